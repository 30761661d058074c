package cmd

import (
	"errors"
	"flag"

	"zinnialock/core/version/zltablecheck"
	"zinnialock/io/process/zlconfig"
)

// runCheck validates a settings file and prints its entries, or checks a configuration of the
// users' platform.
func runCheck(e *env, args []string) int {
	fs := newFlags(e, "check", "Validate a settings file and print each value with its origin, or check a routing configuration of the platform.")
	path := fs.String("config", "zinnialock.toml", "settings `FILE`")
	table := fs.String("platform", "", "check the platform's routing configuration in this JSON `FILE` instead")
	inForce := fs.String("in-force", "", "with -platform: compare it with the version in force in this JSON `FILE`")
	format := formatFlag(fs)
	asJSON := fs.Bool("json", false, "same as -format json")
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	if err := errors.Join(checkFormat(*format), checkTableFlags(fs, *table)); err != nil {
		return e.fail(exitUsage, err)
	}
	isJSON := *asJSON || *format == "json"
	if *table != "" {
		return runTableCheck(e, *table, *inForce, isJSON)
	}
	_, entries, err := zlconfig.Load(*path)
	if err != nil {
		return e.fail(exitUsage, err)
	}
	if isJSON {
		e.json(entries)
		return exitOK
	}
	for _, entry := range entries {
		e.printf("%-18s %-28s %s\n", entry.Key, entry.Value, entry.Origin)
	}
	return exitOK
}

// checkTableFlags returns an error if the file to check is empty, as an unset shell variable
// gives it: the settings file must not be checked instead.
func checkTableFlags(fs *flag.FlagSet, table string) error {
	var err error
	fs.Visit(func(f *flag.Flag) {
		if f.Name == "platform" || f.Name == "in-force" {
			err = checkText("platform", table, "a file")
		}
	})
	return err
}

// runTableCheck checks a configuration of the platform. The exit code is exitFailed if it has
// errors; warnings alone do not fail.
func runTableCheck(e *env, path, inForce string, isJSON bool) int {
	r, err := checkTable(path, inForce)
	if err != nil {
		return e.fail(exitUsage, err)
	}
	if isJSON {
		e.json(r)
	} else {
		printTableReport(e, r)
	}
	if r.Errors() > 0 {
		return exitFailed
	}
	return exitOK
}

func printTableReport(e *env, r *zltablecheck.Report) {
	for _, level := range []zltablecheck.Level{zltablecheck.LevelError, zltablecheck.LevelWarning} {
		for _, f := range r.Findings {
			if f.Level == level {
				e.printf("%-8s %s: %s\n", f.Level, f.Place, f.Text)
			}
		}
	}
	for _, c := range r.Changes {
		e.printf("%-8s %s\n", c.What, c.Entry)
		for _, d := range c.Details {
			e.printf("           %s\n", d)
		}
	}
	e.printf("version %d: %d errors, %d warnings", r.Version, r.Errors(), len(r.Findings)-r.Errors())
	if r.InForce != 0 {
		e.printf(", %d changes from version %d", len(r.Changes), r.InForce)
	}
	e.printf("\n")
}

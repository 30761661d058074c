package cmd

import (
	"zinnialock/io/process/zlconfig"
)

// runCheck validates a settings file and prints its entries.
func runCheck(e *env, args []string) int {
	fs := newFlags(e, "check", "Validate a settings file and print each value with its origin.")
	path := fs.String("config", "zinnialock.toml", "settings `FILE`")
	format := formatFlag(fs)
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	if err := checkFormat(*format); err != nil {
		return e.fail(exitUsage, err)
	}
	_, entries, err := zlconfig.Load(*path)
	if err != nil {
		return e.fail(exitUsage, err)
	}
	if *format == "json" {
		e.json(entries)
		return exitOK
	}
	for _, entry := range entries {
		e.printf("%-18s %-28s %s\n", entry.Key, entry.Value, entry.Origin)
	}
	return exitOK
}

package cmd

import (
	"fmt"

	"zinnialock/core/version/zltablecheck"
	"zinnialock/platform"
)

// runRelay runs a daemon on the platform.
func runRelay(e *env, args []string) int {
	fs := newFlags(e, "relay", "Run a daemon on the platform. The environment names its settings file.")
	cross := fs.String("cross-data-centre", "", "`MODE` of the traffic between data centres: fixed or adaptive; goes before the settings file")
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	var options platform.Options
	if *cross != "" {
		mode, err := platform.ParseCrossDataCentre(*cross)
		if err != nil {
			return e.fail(exitUsage, fmt.Errorf("flag -cross-data-centre: found %q, allowed is fixed or adaptive", *cross))
		}
		options.CrossDataCentre = mode
	}
	if err := platform.Run(e.stdout, options); err != nil {
		return e.fail(exitFailed, err)
	}
	return exitOK
}

// checkTable checks a configuration of the platform. It is here since only this file imports
// that package.
func checkTable(path, inForce string) (*zltablecheck.Report, error) {
	return platform.CheckTable(path, inForce)
}

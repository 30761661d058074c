package cmd

import "zinnialock/platform"

// runRelay runs a daemon on the platform.
func runRelay(e *env, args []string) int {
	fs := newFlags(e, "relay", "Run a daemon on the platform. The environment names its settings file.")
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	if err := platform.Run(e.stdout); err != nil {
		return e.fail(exitFailed, err)
	}
	return exitOK
}

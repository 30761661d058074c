package cmd

import "zinnialock/platform"

// runRelay runs a daemon on the users' platform.
func runRelay(e *env, args []string) int {
	fs := newFlags(e, "relay", "Run a daemon on the users' platform; its settings file is named by the environment.")
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	if err := platform.Run(e.stdout); err != nil {
		return e.fail(exitFailed, err)
	}
	return exitDone
}

// Package cmd implements the subcommands of zinnialock, each in a file of its own,
// some with further files for their output. It parses flags, calls the packages that
// do the work, and prints results to stdout and errors to stderr, as text or JSON.
// Main returns the exit code and does not end the process. The package holds no
// rules of queries, leases or synchronisation and offers no API to other packages.
package cmd

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
)

// The exit codes of every subcommand.
const (
	exitOK = 0
	// exitFailed means that the operation failed or a check found something.
	exitFailed = 1
	// exitUsage means that flags, arguments or a file that they name are invalid.
	exitUsage = 2
)

// env holds the outputs of a subcommand.
type env struct {
	stdout io.Writer
	stderr io.Writer
}

// command is one subcommand.
type command struct {
	name string
	// summary is its line in the help.
	summary string
	// run takes the arguments after the name and returns the exit code.
	run func(e *env, args []string) int
}

func allCommands() []command {
	return append(operatorCommands(), developmentCommands()...)
}

// operatorCommands lists the subcommands that run, inspect and change a deployment.
func operatorCommands() []command {
	return []command{
		{
			name:    "serve",
			summary: "run a daemon",
			run:     runServe,
		},
		{
			name:    "relay",
			summary: "run a daemon on the platform, with the settings file that the environment names",
			run:     runRelay,
		},
		{
			name:    "check",
			summary: "validate a daemon's settings file, or check a routing configuration of the platform",
			run:     runCheck,
		},
		{
			name:    "config",
			summary: "show and change the operators' settings tree",
			run:     runConfig,
		},
		{
			name:    "mark",
			summary: "take a VM, a data centre or an upstream out of service, or bring it back",
			run:     runMark,
		},
		{
			name:    "query",
			summary: "send one query and show its answer",
			run:     runQuery,
		},
		{
			name:    "explain",
			summary: "show the decisions for a recent request and their reasons",
			run:     runExplain,
		},
		{
			name:    "load",
			summary: "send queries at a rate and check each answer",
			run:     runLoad,
		},
		{
			name:    "status",
			summary: "show each daemon's view of the fleet",
			run:     runStatus,
		},
		{
			name:    "events",
			summary: "show the repairs that daemons made and their reasons",
			run:     runEvents,
		},
		{
			name:    "quarantine",
			summary: "list the requests that crash replicas and are refused, or lift a quarantine",
			run:     runQuarantine,
		},
	}
}

// developmentCommands lists the subcommands that test and measure the system with
// stand-ins.
func developmentCommands() []command {
	return []command{
		{
			name:    "standin",
			summary: "run a small stand-in for the platform or an upstream",
			run:     runStandin,
		},
		{
			name:    "demo",
			summary: "run the whole system in one process and inject faults",
			run:     runDemo,
		},
		{
			name:    "soak",
			summary: "run daemons as processes, inject overlapping faults and check the invariants",
			run:     runSoak,
		},
		{
			name:    "capacity",
			summary: "measure how the cost of the tier grows with its size",
			run:     runCapacity,
		},
		{
			name:    "experiment",
			summary: "measure the tier against the naive version",
			run:     runExperiment,
		},
	}
}

// Main runs the subcommand that args name and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	e := &env{
		stdout: stdout,
		stderr: stderr,
	}
	if len(args) == 0 {
		printUsage(stderr, "", allCommands())
		return exitUsage
	}
	if isHelp(args[0]) {
		printUsage(stdout, "", allCommands())
		return exitOK
	}
	return dispatch(e, "", allCommands(), args)
}

// isHelp reports whether arg asks for help.
func isHelp(arg string) bool {
	return arg == "-h" || arg == "-help" || arg == "--help" || arg == "help"
}

// dispatch runs the command of list that args[0] names. parent is the name of the command
// that list belongs to, followed by a space, or empty.
func dispatch(e *env, parent string, list []command, args []string) int {
	for _, c := range list {
		if c.name == args[0] {
			return c.run(e, args[1:])
		}
	}
	_, _ = fmt.Fprintf(e.stderr, "zinnialock: unknown subcommand %q%s\n", parent+args[0], suggestion(parent, list, args[0]))
	return exitUsage
}

// printUsage prints the commands of list.
func printUsage(w io.Writer, parent string, list []command) {
	_, _ = fmt.Fprintf(w, "Usage: zinnialock %sSUBCOMMAND [flags]\n", parent)
	for _, c := range list {
		_, _ = fmt.Fprintf(w, "  %-10s %s\n", c.name, c.summary)
	}
	_, _ = fmt.Fprintf(w, "`zinnialock %sSUBCOMMAND -h` shows the flags of a subcommand.\n", parent)
}

// maxSuggestionDistance is the largest edit distance at which a subcommand is suggested.
const maxSuggestionDistance = 3

// suggestion returns the end of the message for an unknown subcommand: the name that is
// probably meant, or how to list all.
func suggestion(parent string, list []command, typed string) string {
	best := ""
	bestDistance := maxSuggestionDistance + 1
	for _, c := range list {
		if typed != "" && strings.HasPrefix(c.name, typed) {
			return fmt.Sprintf("; did you mean %q?", parent+c.name)
		}
		if d := editDistance(typed, c.name); d < bestDistance {
			best, bestDistance = c.name, d
		}
	}
	if best == "" {
		return fmt.Sprintf("; `zinnialock %shelp` lists all subcommands", parent)
	}
	return fmt.Sprintf("; did you mean %q?", parent+best)
}

// editDistance returns the Levenshtein distance of a and b.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			next := min(row[j+1]+1, row[j]+1, diagonal+cost)
			diagonal = row[j+1]
			row[j+1] = next
		}
	}
	return row[len(b)]
}

// newFlags returns a flag set with a usage line and a description, which prints to e.stderr.
func newFlags(e *env, name, description string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(e.stderr)
	fs.Usage = func() {
		_, _ = fmt.Fprintf(fs.Output(), "Usage: zinnialock %s [flags]\n%s\n", name, description)
		fs.PrintDefaults()
	}
	return fs
}

// parse parses args. If ok is false, the subcommand must end with code: after help, which
// goes to stdout, or an error, which has been printed.
func parse(e *env, fs *flag.FlagSet, args []string) (code int, ok bool) {
	for _, a := range args {
		if a == "-h" || a == "-help" || a == "--help" {
			fs.SetOutput(e.stdout)
		}
	}
	switch err := fs.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return exitOK, false
	case err != nil:
		return exitUsage, false
	case fs.NArg() > 0:
		_, _ = fmt.Fprintf(e.stderr, "zinnialock %s: unexpected %q\n", fs.Name(), strings.Join(fs.Args(), " "))
		return exitUsage, false
	}
	return exitOK, true
}

// fail prints err to stderr and returns code.
func (e *env) fail(code int, err error) int {
	_, _ = fmt.Fprintln(e.stderr, err)
	return code
}

// printf prints to stdout.
func (e *env) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(e.stdout, format, args...)
}

// json prints value to stdout as indented JSON.
func (e *env) json(value any) {
	encoder := json.NewEncoder(e.stdout)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}

// formatFlag adds the -format flag and returns its value.
func formatFlag(fs *flag.FlagSet) *string {
	return fs.String("format", "text", "output format, text or json")
}

// checkFormat returns an error unless format is text or json.
func checkFormat(format string) error {
	if format != "text" && format != "json" {
		return fmt.Errorf("flag -format: found %q, allowed is text or json", format)
	}
	return nil
}

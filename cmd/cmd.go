// Package cmd holds the subcommands of zinnialock, one file each.
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
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// env is where a subcommand writes.
type env struct {
	stdout io.Writer
	stderr io.Writer
}

// command is one subcommand.
type command struct {
	name    string
	summary string
	run     func(e *env, args []string) int
}

func commands() []command {
	return append(operatorCommands(), workshopCommands()...)
}

// operatorCommands run daemons and look after them.
func operatorCommands() []command {
	return []command{
		{
			name:    "serve",
			summary: "run a daemon",
			run:     runServe,
		},
		{
			name:    "relay",
			summary: "run a daemon on the users' platform",
			run:     runRelay,
		},
		{
			name:    "check",
			summary: "validate a daemon's settings file",
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
			summary: "tell what a daemon decided for a recent request, and why",
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
			summary: "show what daemons repaired, and why",
			run:     runEvents,
		},
	}
}

// workshopCommands try the product out and measure it.
func workshopCommands() []command {
	return []command{
		{
			name:    "standin",
			summary: "run a small stand-in for the platform or an upstream",
			run:     runStandin,
		},
		{
			name:    "demo",
			summary: "run the whole system in one process under faults",
			run:     runDemo,
		},
		{
			name:    "soak",
			summary: "run daemons as processes under overlapping faults and check the promises",
			run:     runSoak,
		},
		{
			name:    "capacity",
			summary: "measure what the tier costs as it grows",
			run:     runCapacity,
		},
		{
			name:    "experiment",
			summary: "measure the tier beside the naive version",
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
		usageOf(stderr, "", commands())
		return exitUsage
	}
	if isHelp(args[0]) {
		usageOf(stdout, "", commands())
		return exitDone
	}
	return dispatch(e, "", commands(), args)
}

func isHelp(arg string) bool {
	return arg == "-h" || arg == "-help" || arg == "--help" || arg == "help"
}

// dispatch runs the command of list that args name; parent is what stands
// before it, with a space.
func dispatch(e *env, parent string, list []command, args []string) int {
	for _, c := range list {
		if c.name == args[0] {
			return c.run(e, args[1:])
		}
	}
	_, _ = fmt.Fprintf(e.stderr, "zinnialock: unknown subcommand %q%s\n", parent+args[0], hint(parent, list, args[0]))
	return exitUsage
}

func usageOf(w io.Writer, parent string, list []command) {
	_, _ = fmt.Fprintf(w, "Usage: zinnialock %sSUBCOMMAND [flags]\n", parent)
	for _, c := range list {
		_, _ = fmt.Fprintf(w, "  %-10s %s\n", c.name, c.summary)
	}
	_, _ = fmt.Fprintf(w, "`zinnialock %sSUBCOMMAND -h` lists the flags of one.\n", parent)
}

// hintDistance is how many edits away a subcommand is still suggested.
const hintDistance = 3

func hint(parent string, list []command, typed string) string {
	best := ""
	least := hintDistance + 1
	for _, c := range list {
		if typed != "" && strings.HasPrefix(c.name, typed) {
			return fmt.Sprintf("; did you mean %q?", parent+c.name)
		}
		if d := distance(typed, c.name); d < least {
			best, least = c.name, d
		}
	}
	if best == "" {
		return fmt.Sprintf("; `zinnialock %shelp` lists them", parent)
	}
	return fmt.Sprintf("; did you mean %q?", parent+best)
}

// distance is the number of single-letter edits between two words.
func distance(a, b string) int {
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

// newFlags makes a flag set that prints its help to e.
func newFlags(e *env, name, about string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(e.stderr)
	fs.Usage = func() {
		_, _ = fmt.Fprintf(fs.Output(), "Usage: zinnialock %s [flags]\n%s\n", name, about)
		fs.PrintDefaults()
	}
	return fs
}

// parse parses args; ok is false when the subcommand must end with code.
func parse(e *env, fs *flag.FlagSet, args []string) (code int, ok bool) {
	for _, a := range args {
		if a == "-h" || a == "-help" || a == "--help" {
			fs.SetOutput(e.stdout)
		}
	}
	switch err := fs.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return exitDone, false
	case err != nil:
		return exitUsage, false
	case fs.NArg() > 0:
		_, _ = fmt.Fprintf(e.stderr, "zinnialock %s: unexpected %q\n", fs.Name(), strings.Join(fs.Args(), " "))
		return exitUsage, false
	}
	return exitDone, true
}

func (e *env) fail(code int, err error) int {
	_, _ = fmt.Fprintln(e.stderr, err)
	return code
}

func (e *env) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(e.stdout, format, args...)
}

func (e *env) json(value any) {
	encoder := json.NewEncoder(e.stdout)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}

// formatFlag adds the -format flag and returns whether JSON is wanted.
func formatFlag(fs *flag.FlagSet) *string {
	return fs.String("format", "text", "text or json")
}

func checkFormat(format string) error {
	if format != "text" && format != "json" {
		return fmt.Errorf("flag -format: found %q, allowed is text or json", format)
	}
	return nil
}

package cmd

import (
	"errors"
	"fmt"
	"net/url"
	"strings"

	"zinnialock/core/request/zltrace"
	"zinnialock/io/process/zldaemon"
)

func runExplain(e *env, args []string) int {
	fs := newFlags(e, "explain REQUEST-ID", "Show the decisions of a daemon for a recent request and their reasons.")
	admin := fs.String("admin", "127.0.0.1:7101", "admin address of the daemon, `IP:PORT`")
	logs := fs.String("logs", "", "read the decisions from these log `FILES` instead of the daemon, separated by commas; - is standard input")
	format := formatFlag(fs)
	id, args := splitLeadingArgument(args)
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	var missing error
	if id == "" {
		missing = errors.New("zinnialock explain: found no request id; put it before the flags: zinnialock explain REQUEST-ID -admin IP:PORT")
	}
	if err := errors.Join(missing, checkFormat(*format), checkAddress("admin", *admin)); err != nil {
		return e.fail(exitUsage, err)
	}
	if *logs != "" {
		return explainLogs(e, id, strings.Split(*logs, ","), *format)
	}
	var traces []*zltrace.Trace
	err := getAdmin(*admin, zldaemon.ExplainPath+"?request="+url.QueryEscape(id), &traces)
	if err != nil {
		return e.fail(exitFailed, fmt.Errorf("explain: %w", err))
	}
	if *format == "json" {
		e.json(traces)
		return exitOK
	}
	for i, t := range traces {
		if i > 0 {
			e.printf("\n")
		}
		e.printf("%s", explainText(t))
	}
	return exitOK
}

// explainLogs shows a request's history from the logs of daemons. The exit code is
// exitFailed if no line names the request.
func explainLogs(e *env, id string, paths []string, format string) int {
	lines, err := readLogs(paths)
	if err != nil {
		return e.fail(exitFailed, fmt.Errorf("explain: %w", err))
	}
	h := newRequestHistory(lines, id)
	if format == "json" {
		e.json(h)
	} else {
		e.printf("%s", historyText(h))
	}
	if len(h.Lines) == 0 {
		return exitFailed
	}
	return exitOK
}

// splitLeadingArgument returns the argument before the flags, if there is one, and the rest.
func splitLeadingArgument(args []string) (first string, rest []string) {
	if len(args) == 0 || strings.HasPrefix(args[0], "-") {
		return "", args
	}
	return args[0], args[1:]
}

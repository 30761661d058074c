package cmd

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"zinnialock/core/process/zlevent"
)

// daemonEvent is an event with the admin address of the daemon that recorded it.
type daemonEvent struct {
	Admin string `json:"admin"`
	zlevent.Event
}

func runEvents(e *env, args []string) int {
	fs := newFlags(e, "events", "Show the repairs that daemons made and their reasons, oldest first.")
	targets := fs.String("admin", "127.0.0.1:7101", "admin addresses of daemons, `IP:PORT[,IP:PORT]`")
	after := fs.Uint64("after", 0, "show only events with a number above `N`")
	kind := fs.String("kind", "", "show only events of this `KIND`")
	format := formatFlag(fs)
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	if err := checkFormat(*format); err != nil {
		return e.fail(exitUsage, err)
	}
	all := []daemonEvent{}
	code := exitOK
	for _, address := range strings.Split(*targets, ",") {
		if err := checkAddress("admin", address); err != nil {
			return e.fail(exitUsage, err)
		}
		var events []zlevent.Event
		if err := getAdmin(address, fmt.Sprintf("/events?after=%d", *after), &events); err != nil {
			code = e.fail(exitFailed, err)
			continue
		}
		for _, x := range events {
			if *kind == "" || string(x.Kind) == *kind {
				all = append(all, daemonEvent{
					Admin: address,
					Event: x,
				})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b daemonEvent) int {
		return cmp.Compare(a.At.UnixNano(), b.At.UnixNano())
	})
	if *format == "json" {
		e.json(all)
		return code
	}
	for _, x := range all {
		e.printf("%s %s #%d %s %s %s\n", x.At.Format(time.RFC3339Nano), x.Admin, x.Number, x.Kind, x.Subject, x.Why)
	}
	return code
}

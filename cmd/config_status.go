package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/io/version/zlgossip"
)

// fleetReport is what config status shows.
type fleetReport struct {
	Daemons []zlgossip.Status `json:"daemons"`
	// Newest is the newest serial in force anywhere, by kind of record.
	Newest map[string]zlunit.Serial `json:"newest"`
	// Behind lists the daemons with an older serial in force.
	Behind []zlunit.VM `json:"behind"`
	// NotHeardFrom lists the daemons that did not answer.
	NotHeardFrom []zlunit.VM `json:"notHeardFrom"`
}

func runConfigStatus(e *env, args []string) int {
	fs := newFlags(e, "config status", "Show what is in force at each daemon and since when. Exit code 1 if a daemon is behind, refuses something or was not heard from.")
	daemons := fs.String("admin", "127.0.0.1:7101", "admin addresses of daemons to ask for the whole fleet, `IP:PORT[,IP:PORT]`")
	wait := fs.Duration("wait", 30*time.Second, "how long to wait")
	format := formatFlag(fs)
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	addresses, err := checkTargets("admin", *daemons)
	if err := errors.Join(err, checkFormat(*format)); err != nil {
		return e.fail(exitUsage, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), *wait)
	defer cancel()
	report, err := fleetStatus(ctx, addresses)
	if err != nil {
		return e.fail(exitFailed, err)
	}
	if *format == "json" {
		e.json(report)
	} else {
		showFleet(e, report)
	}
	if len(report.Behind) > 0 || len(report.NotHeardFrom) > 0 || report.refuses() {
		return exitFailed
	}
	return exitDone
}

// fleetStatus joins what several daemons see: one that any of them heard from
// counts as heard from.
func fleetStatus(ctx context.Context, addresses []string) (*fleetReport, error) {
	joined := map[zlunit.VM]zlgossip.Status{}
	var faults error
	for _, a := range addresses {
		seen, err := askStatus(ctx, a)
		if err != nil {
			faults = errors.Join(faults, err)
			continue
		}
		for _, s := range seen {
			if known, ok := joined[s.VM]; !ok || known.Silent != "" {
				joined[s.VM] = s
			}
		}
	}
	if len(joined) == 0 {
		return nil, errors.Join(errors.New("no daemon answered with a fleet"), faults)
	}
	return newReport(joined), nil
}

func askStatus(ctx context.Context, address string) ([]zlgossip.Status, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status/news", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() {
		_ = resp.Body.Close()
	}()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: status %d", address, resp.StatusCode)
	}
	var all []zlgossip.Status
	return all, json.NewDecoder(resp.Body).Decode(&all)
}

func newReport(joined map[zlunit.VM]zlgossip.Status) *fleetReport {
	r := &fleetReport{
		Newest: map[string]zlunit.Serial{},
	}
	for _, s := range joined {
		r.Daemons = append(r.Daemons, s)
		for _, o := range s.Objects {
			r.Newest[o.Kind] = max(r.Newest[o.Kind], o.Serial)
		}
	}
	sort.Slice(r.Daemons, func(i, j int) bool {
		return r.Daemons[i].VM < r.Daemons[j].VM
	})
	for _, s := range r.Daemons {
		switch {
		case s.Silent != "":
			r.NotHeardFrom = append(r.NotHeardFrom, s.VM)
		case r.isBehind(&s):
			r.Behind = append(r.Behind, s.VM)
		}
	}
	return r
}

func (r *fleetReport) isBehind(s *zlgossip.Status) bool {
	for kind, newest := range r.Newest {
		if serialOf(s, kind) < newest {
			return true
		}
	}
	return false
}

func serialOf(s *zlgossip.Status, kind string) zlunit.Serial {
	for _, o := range s.Objects {
		if o.Kind == kind {
			return o.Serial
		}
	}
	return 0
}

func (r *fleetReport) refuses() bool {
	for _, s := range r.Daemons {
		if len(s.Refused) > 0 {
			return true
		}
	}
	return false
}

func showFleet(e *env, r *fleetReport) {
	for _, s := range r.Daemons {
		if s.Silent != "" {
			e.printf("%-16s %-12s not heard from: %s\n", s.VM, s.DataCentre, s.Silent)
			continue
		}
		e.printf("%-16s %-12s view %s old, platform %s\n", s.VM, s.DataCentre, age(s.ViewAgeMs), age(s.PlatformAgeMs))
		for _, o := range s.Objects {
			e.printf("  %-10s serial %d (version %d) in force since %s, for %s\n",
				o.Kind, o.Serial, o.Version, o.Since.Format("2006-01-02T15:04:05.000Z"), age(o.InForceMs))
		}
		for _, f := range s.Refused {
			e.printf("  refuses %s serial %d (version %d): %s\n", f.Kind, f.Serial, f.Version, f.Why)
		}
	}
	e.printf("%d daemons; behind: %s; not heard from: %s\n", len(r.Daemons), names(r.Behind), names(r.NotHeardFrom))
}

func names(vms []zlunit.VM) string {
	if len(vms) == 0 {
		return "none"
	}
	out := make([]string, 0, len(vms))
	for _, vm := range vms {
		out = append(out, string(vm))
	}
	return strings.Join(out, ", ")
}

func age(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}

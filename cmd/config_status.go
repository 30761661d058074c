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

// fleetReport is the output of config status.
type fleetReport struct {
	// Daemons are the daemons by name, each as it was last heard from.
	Daemons []zlgossip.Status `json:"daemons"`
	// Newest is the highest serial that any daemon has in force, by kind of record.
	Newest map[string]zlunit.Serial `json:"newest"`
	// Behind lists the daemons that have an older serial in force.
	Behind []zlunit.VM `json:"behind"`
	// NotHeardFrom lists the daemons that did not answer.
	NotHeardFrom []zlunit.VM `json:"notHeardFrom"`
}

func runConfigStatus(e *env, args []string) int {
	fs := newFlags(e, "config status", "Show what is in force at each daemon and since when. Exit code 1 if a daemon is behind, rejected a record or was not heard from.")
	daemons := fs.String("admin", "127.0.0.1:7101", "admin addresses of the daemons that report on the whole fleet, `IP:PORT[,IP:PORT]`")
	wait := fs.Duration("wait", 30*time.Second, "how long to wait for replies")
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
	if len(report.Behind) > 0 || len(report.NotHeardFrom) > 0 || report.hasRejected() {
		return exitFailed
	}
	return exitOK
}

// fleetStatus merges the reports of several daemons. A daemon that any of them heard from
// counts as heard from. It fails if there is no report at all.
func fleetStatus(ctx context.Context, addresses []string) (*fleetReport, error) {
	merged := map[zlunit.VM]zlgossip.Status{}
	var errs error
	for _, a := range addresses {
		report, err := fetchStatus(ctx, a)
		if err != nil {
			errs = errors.Join(errs, err)
			continue
		}
		for _, s := range report {
			if known, ok := merged[s.VM]; !ok || known.Unreachable != "" {
				merged[s.VM] = s
			}
		}
	}
	if len(merged) == 0 {
		return nil, errors.Join(errors.New("config status: no daemon reported on the fleet; check the addresses of -admin"), errs)
	}
	return newFleetReport(merged), nil
}

// fetchStatus reads a daemon's report on the fleet.
func fetchStatus(ctx context.Context, address string) ([]zlgossip.Status, error) {
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

// newFleetReport sorts the daemons and finds those that are behind or silent.
func newFleetReport(merged map[zlunit.VM]zlgossip.Status) *fleetReport {
	r := &fleetReport{
		Newest: map[string]zlunit.Serial{},
	}
	for _, s := range merged {
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
		case s.Unreachable != "":
			r.NotHeardFrom = append(r.NotHeardFrom, s.VM)
		case r.isBehind(&s):
			r.Behind = append(r.Behind, s.VM)
		}
	}
	return r
}

// isBehind reports whether a daemon has an older serial in force than another.
func (r *fleetReport) isBehind(s *zlgossip.Status) bool {
	for kind, newest := range r.Newest {
		if serialOf(s, kind) < newest {
			return true
		}
	}
	return false
}

// serialOf returns the serial in force of a kind of record, 0 for none.
func serialOf(s *zlgossip.Status, kind string) zlunit.Serial {
	for _, o := range s.Objects {
		if o.Kind == kind {
			return o.Serial
		}
	}
	return 0
}

// hasRejected reports whether a daemon rejected a record.
func (r *fleetReport) hasRejected() bool {
	for _, s := range r.Daemons {
		if len(s.Rejected) > 0 {
			return true
		}
	}
	return false
}

// showFleet prints the report as text.
func showFleet(e *env, r *fleetReport) {
	for _, s := range r.Daemons {
		if s.Unreachable != "" {
			e.printf("%-16s %-12s not heard from: %s\n", s.VM, s.DataCentre, s.Unreachable)
			continue
		}
		e.printf("%-16s %-12s view %s old, platform %s\n", s.VM, s.DataCentre, formatAge(s.ViewAgeMs), formatAge(s.PlatformAgeMs))
		for _, o := range s.Objects {
			e.printf("  %-10s serial %d (version %d) in force since %s, for %s\n",
				o.Kind, o.Serial, o.Version, o.Since.Format("2006-01-02T15:04:05.000Z"), formatAge(o.InForceMs))
		}
		for _, f := range s.Rejected {
			e.printf("  rejected %s serial %d (version %d): %s\n", f.Kind, f.Serial, f.Version, f.Reason)
		}
	}
	e.printf("%d daemons; behind: %s; not heard from: %s\n", len(r.Daemons), joinVMs(r.Behind), joinVMs(r.NotHeardFrom))
}

// joinVMs returns the names with commas between, or "none".
func joinVMs(vms []zlunit.VM) string {
	if len(vms) == 0 {
		return "none"
	}
	out := make([]string, 0, len(vms))
	for _, vm := range vms {
		out = append(out, string(vm))
	}
	return strings.Join(out, ", ")
}

// formatAge returns an age given in milliseconds, "never" if it is negative.
func formatAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}

package zlquarantine

import (
	"cmp"
	"slices"
	"time"

	"zinnialock/core/process/zlunit"
)

// Status is a request in quarantine as an operator sees it.
type Status struct {
	Fingerprint zlunit.Fingerprint
	// Left is the time until the request is tried again.
	Left time.Duration
	// Trials counts the trials that crashed a replica.
	Trials int
	// Replicas are those that this VM knows to have ended under the request.
	Replicas []zlunit.Upstream
}

// List returns the requests in quarantine, those that stay longest first.
func (l *Ledger) List() []Status {
	if !l.active.Load() {
		return nil
	}
	now := l.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Status
	for f, r := range l.requests {
		if r.verdict(now) != Quarantined {
			continue
		}
		s := Status{
			Fingerprint: f,
			Left:        r.quarantinedUntil.Sub(now),
			Trials:      r.trials,
		}
		for _, c := range r.crashes {
			if !slices.Contains(s.Replicas, c.Upstream) {
				s.Replicas = append(s.Replicas, c.Upstream)
			}
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b Status) int {
		return cmp.Or(cmp.Compare(b.Left, a.Left), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return list
}

// Lift ends the quarantine of a request at all VMs, by an operator's decision, and reports
// whether there was one. What is known against the request is forgotten.
func (l *Ledger) Lift(f zlunit.Fingerprint) bool {
	if l.Left(f) <= 0 || !l.clearRecord(f, "lifted") {
		return false
	}
	l.reportCleared(f)
	return true
}

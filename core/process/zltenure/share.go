package zltenure

import (
	"time"

	"zinnialock/core/process/zlunit"
)

// Why is the reason for the size of a share.
type Why string

// The reasons for the size of a share.
const (
	// WhyHeld means that this daemon has the whole upstream.
	WhyHeld Why = "held"
	// WhyNotHolder means that the roster in force does not assign the upstream
	// to this daemon.
	WhyNotHolder Why = "notHolder"
	// WhyLeaseOver means that the lease has ended and nothing may be sent: not
	// all earlier holders have finished, a later epoch is known, or the process
	// was paused.
	WhyLeaseOver Why = "leaseOver"
	// WhyWaiting means that the lease of an earlier holder may still run.
	WhyWaiting Why = "waitingForEarlierHolder"
	// WhyReduced means that the lease of an earlier holder has ended, but that
	// holder is not known to have released the upstream or to be dead.
	WhyReduced Why = "earlierHolderSilent"
	// WhyStranded means that the lease has ended and no later epoch is known,
	// so that a reduced share remains.
	WhyStranded Why = "stranded"
)

// Share is what this daemon may use of an upstream at a given time.
type Share struct {
	// OK is set if requests may be sent.
	OK bool
	// Why is the reason for the size of the share.
	Why Why
	// Until is the local time at which the share ends.
	Until time.Time
	// Slots is the most requests in flight.
	Slots zlunit.Slots
	// Cold is the most requests in flight while the upstream is cold.
	Cold zlunit.Slots
	// Connections is the most open connections.
	Connections zlunit.Connections
}

// May returns the share that this daemon has of u at the local time now.
func (t *Tenure) May(u Use, now time.Time) Share {
	t.mu.RLock()
	defer t.mu.RUnlock()
	a, ok := t.assignments[u.Name]
	if !ok {
		return Share{
			Why: WhyNotHolder,
		}
	}
	end := latest(t.leaseEnd(), a.previousLeaseEnd).Add(-sendMargin)
	left := remaining(now, end)
	switch {
	case left <= 0:
		return t.strandedShare(u, a, now)
	case a.leased > 0:
		return Share{
			Why: WhyWaiting,
		}
	}
	s := Share{
		Why:         WhyHeld,
		Until:       now.Add(left),
		Slots:       u.Slots - reserve(u.Slots)*zlunit.Slots(a.unreleased),
		Cold:        u.Cold - zlunit.Slots(a.unreleased),
		Connections: connections(u),
	}
	if a.unreleased > 0 {
		s.Why = WhyReduced
		s.Cold = max(s.Cold, 0)
		s.Connections = u.Connections - connections(u)*zlunit.Connections(a.unreleased)
	}
	s.OK = s.Slots > 0 && s.Connections > 0
	return s
}

// strandedShare returns the share of a holder whose lease has ended while it
// knows of no later epoch: the part that every later holder leaves free until
// this one has finished. After a pause there is none, since the state of the
// upstream may have changed meanwhile.
func (t *Tenure) strandedShare(u Use, a *assignment, now time.Time) Share {
	if !a.exclusive() || t.latestEpoch > t.roster.Epoch || t.pausedSinceLease || t.paused(now) {
		return Share{
			Why: WhyLeaseOver,
		}
	}
	s := Share{
		Why:         WhyStranded,
		Until:       now.Add(t.Lease),
		Slots:       u.Slots / 2,
		Connections: connections(u),
	}
	s.OK = s.Slots > 0
	return s
}

// reserve returns how many slots are kept free for an earlier holder that has
// not finished: half, and at least one, for the request that it may have
// checked but not sent before it was paused.
func reserve(slots zlunit.Slots) zlunit.Slots {
	return max(slots/2, 1)
}

// connections returns how many connections a holder may open: half of the cap,
// so that the next holder need not wait until those of a paused one are closed,
// or the whole cap if half is less than the slots.
func connections(u Use) zlunit.Connections {
	half := u.Connections / 2
	if half < zlunit.Connections(u.Slots) {
		return u.Connections
	}
	return half
}

// Held is an upstream that the roster in force assigns to this daemon.
type Held struct {
	// Upstream is the name of the upstream.
	Upstream zlunit.Upstream
	// Waiting names the earlier holders that have not finished.
	Waiting []zlunit.VM
}

// Held returns the upstreams that the roster in force assigns to this daemon,
// in no order.
func (t *Tenure) Held(now time.Time) []Held {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]Held, 0, len(t.assignments))
	for u, a := range t.assignments {
		held := Held{
			Upstream: u,
		}
		for _, prev := range a.earlierHolders {
			if !t.finished(u, prev, now) {
				held.Waiting = append(held.Waiting, prev.holder.VM)
			}
		}
		out = append(out, held)
	}
	return out
}

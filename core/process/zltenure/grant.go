package zltenure

import (
	"time"

	"zinnialock/core/process/zlunit"
)

// Why tells why a grant is less than the whole upstream.
type Why string

// The reasons behind a grant.
const (
	// WhyHeld is the whole upstream.
	WhyHeld Why = "held"
	// WhyNotHolder is an upstream that another daemon holds.
	WhyNotHolder Why = "notHolder"
	// WhyLeaseOver is a lease that ended while not all earlier holders had
	// been accounted for.
	WhyLeaseOver Why = "leaseOver"
	// WhyWaiting is an earlier holder whose lease may still run.
	WhyWaiting Why = "waitingForEarlierHolder"
	// WhyReduced is an earlier holder whose lease has ended but which is not
	// known to have released the upstream or to be dead.
	WhyReduced Why = "earlierHolderSilent"
	// WhyStranded is a lease that ended without news of a later epoch.
	WhyStranded Why = "stranded"
)

// Share is what this daemon may use of an upstream at one moment.
type Share struct {
	// OK tells whether anything may be sent.
	OK  bool
	Why Why
	// Until is the local time at which the share ends.
	Until       time.Time
	Slots       zlunit.Slots
	Cold        zlunit.Slots
	Connections zlunit.Connections
}

// May returns what this daemon may use of u at the local time now.
func (t *Tenure) May(u Use, now time.Time) Share {
	t.mu.RLock()
	defer t.mu.RUnlock()
	h, ok := t.holds[u.Name]
	if !ok {
		return Share{
			Why: WhyNotHolder,
		}
	}
	end := latest(t.leaseEnd(), h.carried).Add(-sendMargin)
	left := remaining(now, end)
	switch {
	case left <= 0:
		return t.stranded(u, h, now)
	case h.blocked > 0:
		return Share{
			Why: WhyWaiting,
		}
	}
	s := Share{
		Why:         WhyHeld,
		Until:       now.Add(left),
		Slots:       u.Slots - reserve(u.Slots)*zlunit.Slots(h.unaccounted),
		Cold:        u.Cold - zlunit.Slots(h.unaccounted),
		Connections: connections(u),
	}
	if h.unaccounted > 0 {
		s.Why = WhyReduced
		s.Cold = max(s.Cold, 0)
		s.Connections = u.Connections - connections(u)*zlunit.Connections(h.unaccounted)
	}
	s.OK = s.Slots > 0 && s.Connections > 0
	return s
}

// stranded is the share of a holder whose lease ended without news of a later
// epoch: what every later holder leaves free until this one is accounted for.
// After a pause there is none, since what was known of the upstream is old.
func (t *Tenure) stranded(u Use, h *hold, now time.Time) Share {
	if !h.full() || t.later > t.roster.Epoch || t.woke || t.paused(now) {
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

// reserve is the part of the slots that is kept free for an earlier holder
// that is not accounted for: half, and at least the one request that it may
// have checked but not sent before it was paused.
func reserve(slots zlunit.Slots) zlunit.Slots {
	return max(slots/2, 1)
}

// connections is how many connections a holder may open: half of the cap,
// so that the next holder need not wait for a paused one's, unless half would
// not do for the slots.
func connections(u Use) zlunit.Connections {
	half := u.Connections / 2
	if half < zlunit.Connections(u.Slots) {
		return u.Connections
	}
	return half
}

// Held is one upstream that the roster in force assigns to this daemon.
type Held struct {
	Upstream zlunit.Upstream
	// Waiting names the earlier holders that are not accounted for.
	Waiting []zlunit.VM
}

// Held lists what the roster in force assigns to this daemon.
func (t *Tenure) Held(now time.Time) []Held {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]Held, 0, len(t.holds))
	for u, h := range t.holds {
		held := Held{
			Upstream: u,
		}
		for _, d := range h.debts {
			if !t.accounted(u, d, now) {
				held.Waiting = append(held.Waiting, d.holder.VM)
			}
		}
		out = append(out, held)
	}
	return out
}

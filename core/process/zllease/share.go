package zllease

import (
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
)

// Reason is the reason for the size of a share.
type Reason string

// The reasons for the size of a share.
const (
	// ReasonHeld means that this daemon has the whole upstream.
	ReasonHeld Reason = "held"
	// ReasonNotHolder means that the roster in force does not assign the upstream
	// to this daemon.
	ReasonNotHolder Reason = "notHolder"
	// ReasonLeaseExpired means that the lease has ended and nothing may be sent:
	// not all earlier holders have finished, a later epoch is known, or the process
	// was paused.
	ReasonLeaseExpired Reason = "leaseOver"
	// ReasonWaitingForEarlierHolder means that the lease of an earlier holder may
	// still run.
	ReasonWaitingForEarlierHolder Reason = "waitingForEarlierHolder"
	// ReasonEarlierHolderSilent means that the lease of an earlier holder has
	// ended, but that holder is not known to have released the upstream or to be dead.
	ReasonEarlierHolderSilent Reason = "earlierHolderSilent"
	// ReasonLeaseExpiredReduced means that the lease has ended and no later epoch
	// is known, so that a reduced share remains.
	ReasonLeaseExpiredReduced Reason = "stranded"
)

// Share is what this daemon may use of an upstream at a given time.
type Share struct {
	// OK is set if requests may be sent.
	OK bool
	// Reason is the reason for the size of the share.
	Reason Reason
	// Until is the local time at which the share ends.
	Until time.Time
	// Slots is the most requests in flight.
	Slots zlunit.Slots
	// Cold is the most requests in flight while the upstream is cold.
	Cold zlunit.Slots
	// Connections is the most open connections.
	Connections zlunit.Connections
}

// Share returns the share that this daemon has of u at the local time now.
func (l *Leases) Share(u Capacity, now time.Time) Share {
	l.mu.RLock()
	defer l.mu.RUnlock()
	a, ok := l.assignments[u.Name]
	if !ok {
		return Share{
			Reason: ReasonNotHolder,
		}
	}
	end := latest(l.leaseEnd(), a.previousLeaseEnd).Add(-sendMargin)
	left := zltimer.Remaining(now, end)
	switch {
	case left <= 0:
		return l.reducedShare(u, a, now)
	case a.leased > 0:
		return Share{
			Reason: ReasonWaitingForEarlierHolder,
		}
	}
	s := Share{
		Reason:      ReasonHeld,
		Until:       now.Add(left),
		Slots:       u.Slots - reserve(u.Slots)*zlunit.Slots(a.unreleased),
		Cold:        u.Cold - zlunit.Slots(a.unreleased),
		Connections: connections(u),
	}
	if a.unreleased > 0 {
		s.Reason = ReasonEarlierHolderSilent
		s.Cold = max(s.Cold, 0)
		s.Connections = u.Connections - connections(u)*zlunit.Connections(a.unreleased)
	}
	s.OK = s.Slots > 0 && s.Connections > 0
	return s
}

// reducedShare returns the share of a holder whose lease has ended while it
// knows of no later epoch: the part that every later holder leaves free until
// this one has finished. After a pause the share is empty, since the state of the
// upstream may have changed during the pause.
func (l *Leases) reducedShare(u Capacity, a *assignment, now time.Time) Share {
	if !a.exclusive() || l.latestEpoch > l.roster.Epoch || l.pausedSinceLease || l.paused(now) {
		return Share{
			Reason: ReasonLeaseExpired,
		}
	}
	s := Share{
		Reason:      ReasonLeaseExpiredReduced,
		Until:       now.Add(l.Lease),
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
func connections(u Capacity) zlunit.Connections {
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
	// EarlierHolders names the earlier holders that have not finished.
	EarlierHolders []zlunit.VM
}

// Held returns the upstreams that the roster in force assigns to this daemon,
// in no order.
func (l *Leases) Held(now time.Time) []Held {
	l.mu.RLock()
	defer l.mu.RUnlock()
	out := make([]Held, 0, len(l.assignments))
	for u, a := range l.assignments {
		held := Held{
			Upstream: u,
		}
		for _, prev := range a.earlierHolders {
			if !l.finished(u, prev, now) {
				held.EarlierHolders = append(held.EarlierHolders, prev.holder.VM)
			}
		}
		out = append(out, held)
	}
	return out
}

package zllease

import (
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlroster"
)

// processState is what is known for certain of one process.
type processState struct {
	adoptions []adoption
	// released holds, by upstream, the epoch at which the process did not hold
	// it and had nothing in flight.
	released map[zlunit.Upstream]zlunit.ObjectVersion
	// stopped is set if the process gave up all upstreams before it ended.
	stopped bool
	dead    bool
	// deadBy is the latest time at which it can have died.
	deadBy time.Time
	// endedEpoch, if not 0, is the epoch that ended when the death was recorded
	// in the roster.
	endedEpoch zlunit.ObjectVersion
}

// adoption is an epoch and a time by which a process had adopted it.
type adoption struct {
	epoch zlunit.ObjectVersion
	by    time.Time
}

// adopt records that the process had adopted epoch by the given time, unless
// that epoch or a later one is recorded already.
func (s *processState) adopt(epoch zlunit.ObjectVersion, by time.Time) {
	n := len(s.adoptions)
	if n > 0 && s.adoptions[n-1].epoch >= epoch {
		return
	}
	s.adoptions = append(s.adoptions, adoption{
		epoch: epoch,
		by:    by,
	})
	if len(s.adoptions) > maxAdoptions {
		s.adoptions = s.adoptions[1:]
	}
}

// leftBy returns the latest time at which the process can have left epoch, and
// false if it may still be in it.
func (s *processState) leftBy(epoch zlunit.ObjectVersion) (time.Time, bool) {
	for _, a := range s.adoptions {
		if a.epoch > epoch {
			return a.by, true
		}
	}
	return s.deadBy, s.dead
}

// firstAdoptionAfter returns the earliest time by which some process is known
// to have adopted an epoch after the given one.
func (t *Leases) firstAdoptionAfter(epoch zlunit.ObjectVersion) (time.Time, bool) {
	var first time.Time
	found := false
	for _, s := range t.processes {
		for _, a := range s.adoptions {
			if a.epoch > epoch {
				if !found || a.by.Before(first) {
					first = a.by
				}
				found = true
				break
			}
		}
	}
	return first, found
}

// deadSince returns the latest time at which the process can have died.
func (t *Leases) deadSince(s *processState) time.Time {
	if s.endedEpoch != 0 {
		if by, ok := t.firstAdoptionAfter(s.endedEpoch); ok && by.Before(s.deadBy) {
			return by
		}
	}
	return s.deadBy
}

// process returns the state kept for k, and creates it if there is none.
func (t *Leases) process(k zlroster.Key) *processState {
	s, ok := t.processes[k]
	if !ok {
		s = &processState{
			released: map[zlunit.Upstream]zlunit.ObjectVersion{},
		}
		t.processes[k] = s
	}
	return s
}

// MarkDead records proof, received at now, that a process has ended.
func (t *Leases) MarkDead(k zlroster.Key, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dead(k, now)
	t.countEarlierHolders(now)
}

// dead is Dead for callers that hold the lock and update the counts. Only the
// first proof for a process counts.
func (t *Leases) dead(k zlroster.Key, by time.Time) {
	s := t.process(k)
	if s.dead {
		return
	}
	s.dead = true
	s.deadBy = by
}

// recordDepartures records the deaths and releases that the roster in force
// lists, and drops the state of processes that it does not name.
func (t *Leases) recordDepartures(now time.Time) {
	known := map[zlroster.Key]bool{
		t.Self: true,
	}
	newest := map[zlunit.VM]zlunit.Incarnation{}
	seen := func(m zlroster.Member) {
		known[m.Key()] = true
		newest[m.VM] = max(newest[m.VM], m.Incarnation)
	}
	for _, m := range t.roster.Members {
		seen(m)
	}
	for _, c := range t.roster.Changes {
		for _, d := range c.Out {
			seen(d.Member)
			t.recordDeparture(d, c.Epoch, now)
		}
	}
	for k := range known {
		if k.Incarnation < newest[k.VM] {
			t.dead(k, now)
		}
	}
	for k := range t.processes {
		if !known[k] {
			delete(t.processes, k)
		}
	}
}

// recordDeparture records what one departure, which ended the epoch endedEpoch,
// proves about its process.
func (t *Leases) recordDeparture(d zlroster.Departure, endedEpoch zlunit.ObjectVersion, now time.Time) {
	switch d.Exit {
	case zlroster.ExitReleased:
		t.process(d.Key()).stopped = true
		t.dead(d.Key(), now)
	case zlroster.ExitDead, zlroster.ExitReplaced:
		t.dead(d.Key(), now)
		t.process(d.Key()).endedEpoch = endedEpoch
	case zlroster.ExitSilent, zlroster.ExitChanged:
		// The process may still run.
	}
}

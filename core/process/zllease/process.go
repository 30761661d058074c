package zllease

import (
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlroster"
)

// processState holds the confirmed facts about one process.
type processState struct {
	adoptions []adoption
	// releasedAtEpoch holds, by upstream, the epoch at which the process did not hold
	// it and had nothing in flight.
	releasedAtEpoch map[zlunit.Upstream]zlunit.ObjectVersion
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
func (l *Leases) firstAdoptionAfter(epoch zlunit.ObjectVersion) (time.Time, bool) {
	var first time.Time
	found := false
	for _, s := range l.processes {
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
func (l *Leases) deadSince(s *processState) time.Time {
	if s.endedEpoch != 0 {
		if by, ok := l.firstAdoptionAfter(s.endedEpoch); ok && by.Before(s.deadBy) {
			return by
		}
	}
	return s.deadBy
}

// process returns the state kept for k, and creates it if there is none.
func (l *Leases) process(k zlroster.Key) *processState {
	s, ok := l.processes[k]
	if !ok {
		s = &processState{
			releasedAtEpoch: map[zlunit.Upstream]zlunit.ObjectVersion{},
		}
		l.processes[k] = s
	}
	return s
}

// MarkDead records proof, received at now, that a process has ended.
func (l *Leases) MarkDead(k zlroster.Key, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dead(k, now)
	l.countEarlierHolders(now)
}

// dead is MarkDead for callers that hold the lock and update the counts. Only the
// first proof for a process counts.
func (l *Leases) dead(k zlroster.Key, by time.Time) {
	s := l.process(k)
	if s.dead {
		return
	}
	s.dead = true
	s.deadBy = by
}

// recordDepartures records the deaths and releases that the roster in force
// lists, and drops the state of processes that it does not name.
func (l *Leases) recordDepartures(now time.Time) {
	known := map[zlroster.Key]bool{
		l.Self: true,
	}
	newest := map[zlunit.VM]zlunit.Incarnation{}
	seen := func(m zlroster.Member) {
		known[m.Key()] = true
		newest[m.VM] = max(newest[m.VM], m.Incarnation)
	}
	for _, m := range l.roster.Members {
		seen(m)
	}
	for _, c := range l.roster.Changes {
		for _, d := range c.Out {
			seen(d.Member)
			l.recordDeparture(d, c.Epoch, now)
		}
	}
	for k := range known {
		if k.Incarnation < newest[k.VM] {
			l.dead(k, now)
		}
	}
	for k := range l.processes {
		if !known[k] {
			delete(l.processes, k)
		}
	}
}

// recordDeparture records what one departure, which ended the epoch endedEpoch,
// proves about its process.
func (l *Leases) recordDeparture(d zlroster.Departure, endedEpoch zlunit.ObjectVersion, now time.Time) {
	switch d.Exit {
	case zlroster.ExitReleased:
		l.process(d.Key()).stopped = true
		l.dead(d.Key(), now)
	case zlroster.ExitDead, zlroster.ExitReplaced:
		l.dead(d.Key(), now)
		l.process(d.Key()).endedEpoch = endedEpoch
	case zlroster.ExitSilent, zlroster.ExitChanged:
		// The process may still run.
	}
}

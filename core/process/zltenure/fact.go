package zltenure

import (
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlroster"
)

// fact is what is known for certain of one process.
type fact struct {
	adoptions []adoption
	// released holds, by upstream, the epoch as of which the process did not
	// hold it and had nothing in flight.
	released map[zlunit.Upstream]zlunit.ObjectVersion
	// stopped tells that it gave up everything before it ended.
	stopped bool
	dead    bool
	// deadBy is the latest time at which it can have died.
	deadBy time.Time
	// ended, if not 0, is the epoch that ended with the record of the death.
	ended zlunit.ObjectVersion
}

// adoption tells by when a process had adopted an epoch.
type adoption struct {
	epoch zlunit.ObjectVersion
	by    time.Time
}

func (f *fact) adopt(epoch zlunit.ObjectVersion, by time.Time) {
	n := len(f.adoptions)
	if n > 0 && f.adoptions[n-1].epoch >= epoch {
		return
	}
	f.adoptions = append(f.adoptions, adoption{
		epoch: epoch,
		by:    by,
	})
	if len(f.adoptions) > keptAdoptions {
		f.adoptions = f.adoptions[1:]
	}
}

// left returns the latest time at which the process can have left epoch.
func (f *fact) left(epoch zlunit.ObjectVersion) (time.Time, bool) {
	for _, a := range f.adoptions {
		if a.epoch > epoch {
			return a.by, true
		}
	}
	return f.deadBy, f.dead
}

// ended returns the earliest time by which some process is known to have
// adopted an epoch after the given one.
func (t *Tenure) ended(epoch zlunit.ObjectVersion) (time.Time, bool) {
	var first time.Time
	found := false
	for _, f := range t.facts {
		for _, a := range f.adoptions {
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
func (t *Tenure) deadSince(f *fact) time.Time {
	if f.ended != 0 {
		if by, ok := t.ended(f.ended); ok && by.Before(f.deadBy) {
			return by
		}
	}
	return f.deadBy
}

func (t *Tenure) fact(k zlroster.Key) *fact {
	f, ok := t.facts[k]
	if !ok {
		f = &fact{
			released: map[zlunit.Upstream]zlunit.ObjectVersion{},
		}
		t.facts[k] = f
	}
	return f
}

// Dead notes a proof, had at now, that a process has ended.
func (t *Tenure) Dead(k zlroster.Key, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dead(k, now)
	t.settle(now)
}

func (t *Tenure) dead(k zlroster.Key, by time.Time) {
	f := t.fact(k)
	if f.dead {
		return
	}
	f.dead = true
	f.deadBy = by
}

// noteExits takes the proofs that the roster in force carries, and forgets
// what it has no use for any more.
func (t *Tenure) noteExits(now time.Time) {
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
	for _, c := range t.roster.Past {
		for _, d := range c.Out {
			seen(d.Member)
			t.noteExit(d, c.Epoch, now)
		}
	}
	for k := range known {
		if k.Incarnation < newest[k.VM] {
			t.dead(k, now)
		}
	}
	for k := range t.facts {
		if !known[k] {
			delete(t.facts, k)
		}
	}
}

func (t *Tenure) noteExit(d zlroster.Departure, ended zlunit.ObjectVersion, now time.Time) {
	switch d.How {
	case zlroster.ExitReleased:
		t.fact(d.Key()).stopped = true
		t.dead(d.Key(), now)
	case zlroster.ExitDead, zlroster.ExitReplaced:
		t.dead(d.Key(), now)
		t.fact(d.Key()).ended = ended
	case zlroster.ExitSilent, zlroster.ExitChanged:
		// It may still run.
	}
}

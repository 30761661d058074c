package zlrollout

import (
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zltable"
)

const (
	// windows is how many periods of an order are compared apart; what comes later counts
	// for the last one. An order's duration takes half of them.
	windows = 64
	// minWindow is the shortest period: at 100 requests a second it has about 47 of the
	// baseline.
	minWindow = 500 * time.Millisecond
	// maxReporters limits the VMs whose evidence is kept; the design size is 660.
	maxReporters = 2000
)

// evidence is what VMs reported of an order.
type evidence struct {
	start     time.Time
	window    time.Duration
	reporters map[zlunit.VM]*reporter
	// dirty: bad responses of the target were added since the last test, which was at
	// testedAt.
	dirty    bool
	testedAt time.Time
	// bad counts the bad responses of the target.
	bad int32
}

// reporter is what one VM reported.
type reporter struct {
	start   int64
	heard   time.Time
	percent int
	busy    bool
	routes  map[zltable.RouteName]*track
}

// track holds one VM's counts of a route.
type track struct {
	// total are the counts of the VM's present incarnation.
	total   Tally
	samples []sample
}

// sample is what one VM added in one window.
type sample struct {
	window   int32
	target   tested
	baseline tested
}

// tested counts responses, and which of them are bad by each of the two criteria.
type tested struct {
	n   int32
	bad [numCriteria]int32
}

// The criteria by which responses are bad. Failures are also tested without slow
// responses, which may be many at both groups.
const (
	failed = iota
	failedOrSlow
	numCriteria
)

// add adds the change between two cumulative counts.
func (t *tested) add(before, after Counts) {
	f := int32(after.Failed - before.Failed)
	slow := int32(after.Slow - before.Slow)
	t.n += f + slow + int32(after.Good-before.Good)
	t.bad[failed] += f
	t.bad[failedOrSlow] += f + slow
}

// total returns the number of responses that c counts.
func (c Counts) total() uint64 {
	return uint64(c.Good) + uint64(c.Failed) + uint64(c.Slow)
}

// take takes a VM's evidence. Datagrams may come in another order than they were sent, so
// that lower counts than known ones are old.
func (e *evidence) take(vm zlunit.VM, start int64, r *Evidence, now time.Time) {
	v := e.reporters[vm]
	if v == nil {
		if len(e.reporters) >= maxReporters {
			return
		}
		v = &reporter{
			start:  start,
			routes: map[zltable.RouteName]*track{},
		}
		e.reporters[vm] = v
	}
	if start < v.start {
		return
	}
	if start > v.start {
		v.start = start
		for _, t := range v.routes {
			t.total = Tally{}
		}
	}
	v.heard = now
	v.percent = r.Percent
	v.busy = r.Busy
	w := min(max(int(now.Sub(e.start)/e.window), 0), windows-1)
	for i := range r.Tallies {
		if bad := v.take(&r.Tallies[i], int32(w)); bad > 0 {
			e.bad += bad
			e.dirty = true
		}
	}
}

// take adds what is new in t to window w, and returns how many bad responses of the target
// that are.
func (v *reporter) take(t *Tally, w int32) int32 {
	k := v.routes[t.Route]
	if k == nil {
		if len(v.routes) > maxRoutes {
			return 0
		}
		k = &track{}
		v.routes[t.Route] = k
	}
	if t.Target.total() < k.total.Target.total() || t.Baseline.total() < k.total.Baseline.total() ||
		(t.Target == k.total.Target && t.Baseline == k.total.Baseline) {
		return 0
	}
	n := len(k.samples)
	if n == 0 || k.samples[n-1].window < w {
		k.samples = append(k.samples, sample{
			window: w,
		})
		n++
	}
	s := &k.samples[n-1]
	before := s.target.bad[failedOrSlow]
	s.target.add(k.total.Target, t.Target)
	s.baseline.add(k.total.Baseline, t.Baseline)
	k.total = *t
	return s.target.bad[failedOrSlow] - before
}

package zlrollout

import (
	"math"
	"time"

	"zinnialock/core/version/zltable"
)

const (
	// significance is the chance at which a good build may be found bad by one test.
	significance = 0.001
	// minBad is how many bad responses a verdict needs.
	minBad = 5
	// testTime is the time between tests for each VM that reports, so that tests take less
	// than 3% of a core: one takes up to 22 us for each VM.
	testTime = time.Millisecond
	// minOthers is how many responses the other VMs must have before one VM's bad
	// responses count at most as much as those of all others.
	minOthers = 3
	// minFailing and failingPart are how many responses of the baseline, and which part of
	// them, are bad at a VM whose evidence of that time is left out; in the whole fleet
	// less than calmPart must be bad.
	minFailing  = 3
	failingPart = 0.5
	calmPart    = 0.25
	// failingReach is how many windows before and after are looked at for that.
	failingReach = 2
	// minBaseline and baselineRatio are how many responses of the baseline, and how many
	// times those of the target, are gathered from earlier windows.
	minBaseline   = 20
	baselineRatio = 10
	// raisedFactor is how much more of the baseline's responses than usual must be bad
	// for a window to be compared only with itself; minRaised is how many at least.
	raisedFactor = 2
	minRaised    = 2
)

// finding is why a build was found bad.
type finding struct {
	// route is empty if all routes together gave the verdict.
	route    zltable.RouteName
	bad      float64
	of       float64
	expected float64
}

// needsTest reports whether a test may find more than the last one.
func (e *evidence) needsTest(now time.Time) bool {
	return e.dirty && e.bad >= minBad && now.Sub(e.testedAt) >= time.Duration(len(e.reporters))*testTime
}

// test returns why the target is bad, or nil if nothing significant speaks against it. It
// tests all routes together and each of them.
func (e *evidence) test() *finding {
	routes := map[zltable.RouteName]bool{}
	for _, v := range e.reporters {
		for r := range v.routes {
			routes[r] = true
		}
	}
	for c := range numCriteria {
		if f := e.compare(c, nil, significance/numCriteria); f != nil {
			return f
		}
		if len(routes) < 2 {
			continue
		}
		for r := range routes {
			if f := e.compare(c, &r, significance/numCriteria/float64(len(routes))); f != nil {
				return f
			}
		}
	}
	return nil
}

// tail returns the chance that a Poisson variable of this mean reaches n, which is above
// it. It is an upper bound for sums of independent events with this mean.
func tail(n, mean float64) float64 {
	logGamma, _ := math.Lgamma(n + 1)
	term := math.Exp(n*math.Log(mean) - mean - logGamma)
	sum := 0.0
	for k := n + 1; term > sum/1e6; k++ {
		sum += term
		term *= mean / k
	}
	return sum
}

// group sums one group in one window.
type group struct {
	n   float64
	bad float64
}

func (g *group) add(t *tested, criterion int) {
	g.n += float64(t.n)
	g.bad += float64(t.bad[criterion])
}

func (g *group) subtract(other group) {
	g.n -= other.n
	g.bad -= other.bad
}

// series holds the sums of each window.
type series struct {
	target   [windows]group
	baseline [windows]group
}

func (s *series) add(one *sample, criterion int) {
	s.target[one.window].add(&one.target, criterion)
	s.baseline[one.window].add(&one.baseline, criterion)
}

// compare tests by one criterion whether the target has more bad responses than the
// baseline explains, on one route or, if it is nil, on all together.
func (e *evidence) compare(criterion int, route *zltable.RouteName, level float64) *finding {
	sum, worst := e.sum(criterion, route)
	total := between(&sum.target, 0, windows-1)
	bad := min(total.bad, sum.confirmed(worst))
	if bad < minBad {
		return nil
	}
	expected := sum.expected()
	if expected <= 0 || bad <= expected || tail(bad, expected) > level {
		return nil
	}
	f := &finding{
		bad:      total.bad,
		of:       total.n,
		expected: expected,
	}
	if route != nil {
		f.route = *route
	}
	return f
}

// sum returns the counts of all VMs without those of VMs that fail themselves, and those
// of the VM with most bad responses of the target.
func (e *evidence) sum(criterion int, route *zltable.RouteName) (all, worst *series) {
	all, worst = &series{}, &series{}
	var failing []*series
	most := 0.0
	for _, v := range e.reporters {
		var baseline, target group
		v.each(route, func(s *sample) {
			all.add(s, criterion)
			baseline.add(&s.baseline, criterion)
			target.add(&s.target, criterion)
		})
		if baseline.bad < minFailing && target.bad <= most {
			continue
		}
		own := &series{}
		v.each(route, func(s *sample) {
			own.add(s, criterion)
		})
		if baseline.bad >= minFailing {
			failing = append(failing, own)
		}
		if target.bad > most {
			most = target.bad
			worst = own
		}
	}
	fleet := all.baseline
	for _, own := range failing {
		for w := range windows {
			if !own.failing(w, &fleet) {
				continue
			}
			all.baseline[w].subtract(own.baseline[w])
			all.target[w].subtract(own.target[w])
			own.target[w] = group{}
		}
	}
	return all, worst
}

// confirmed returns how many of the target's bad responses count. Those of the VM that has
// most count no more than those of all others if these had responses at the same times:
// its path to the target may be cut.
func (s *series) confirmed(worst *series) float64 {
	var own, others group
	bad := 0.0
	for w := range windows {
		bad += s.target[w].bad - worst.target[w].bad
		if worst.target[w].bad > 0 {
			own.bad += worst.target[w].bad
			others.n += s.target[w].n - worst.target[w].n
		}
	}
	if others.n >= minOthers {
		return bad + min(own.bad, bad)
	}
	return bad + own.bad
}

// each calls f with the VM's samples of a route, or of all if it is nil.
func (v *reporter) each(route *zltable.RouteName, f func(s *sample)) {
	for r, k := range v.routes {
		if route != nil && r != *route {
			continue
		}
		for i := range k.samples {
			f(&k.samples[i])
		}
	}
}

// between sums the windows from first to last.
func between(list *[windows]group, first, last int) group {
	out := group{}
	for w := max(first, 0); w <= min(last, windows-1); w++ {
		out.n += list[w].n
		out.bad += list[w].bad
	}
	return out
}

// failing reports whether the VM's sends to the baseline fail around window w while those
// of the fleet do not, as when its own links are cut.
func (s *series) failing(w int, fleet *[windows]group) bool {
	own := between(&s.baseline, w-failingReach, w+failingReach)
	if own.bad < minFailing || own.bad < failingPart*own.n {
		return false
	}
	all := between(fleet, w-failingReach, w+failingReach)
	return all.bad-own.bad <= calmPart*(all.n-own.n)
}

// expected returns how many bad responses the target would have if it were like the
// baseline. Each bad response of a window and of the baseline's responses that the window
// is compared with is the target's with the same chance.
func (s *series) expected() float64 {
	total := between(&s.baseline, 0, windows-1)
	out := 0.0
	for w := range windows {
		t := s.target[w]
		if t.n <= 0 {
			continue
		}
		base := s.reference(w, total)
		out += (t.bad + base.bad) * t.n / (t.n + base.n)
	}
	return out
}

// reference returns the baseline's responses that window w is compared with: those of the
// window itself if more of them are bad than usual, as in a burst, else also those of
// earlier windows.
func (s *series) reference(w int, total group) group {
	near := between(&s.baseline, w-1, w+1)
	usual := 0.0
	if rest := total.n - near.n; rest > 0 {
		usual = (total.bad - near.bad) / rest
	}
	base := s.baseline[w]
	if near.n >= minBaseline && near.bad >= minRaised && near.bad > raisedFactor*usual*near.n {
		if base.n < minBaseline {
			return near
		}
		return base
	}
	for i := w - 1; i >= 0 && base.n < max(minBaseline, baselineRatio*s.target[w].n); i-- {
		base.n += s.baseline[i].n
		base.bad += s.baseline[i].bad
	}
	return base
}

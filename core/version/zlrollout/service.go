package zlrollout

import (
	"maps"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zltable"
)

const (
	// baselineGrace is how long no replica of the baseline is known before another build
	// becomes the baseline. Replicas that crash are usually back sooner.
	baselineGrace = 30 * time.Second
	// trustBaselineAfter is how long a baseline must be known before an order for it is
	// taken as an order to stay at it. A VM that starts during a roll-out may find more
	// new replicas than old ones.
	trustBaselineAfter = 10 * time.Second
)

// service is what is known of a service's builds.
type service struct {
	name     zlunit.Service
	replicas []*zlregistry.Entry
	// counts holds the number of replicas of each build.
	counts map[zlunit.Build]int
	// baseline is the build that needs no order, and baselineSince when it became that.
	baseline      zlunit.Build
	baselineSince time.Time
	// baselineMax is the greatest number of baseline replicas.
	baselineMax int
	// goneSince is when the last replica of the baseline was removed; zero if there is one.
	goneSince time.Time
	// bad holds the builds whose orders were rolled back, and retired those that an order
	// replaced.
	bad     map[zlunit.Build]bool
	retired map[zlunit.Build]bool
	// order is the order in force; nil if there is none.
	order *order
	split *Split
	// flights counts what was sent while there was a split. Uncounted: there is none, so
	// that sends, all to uncountedBuild, are not counted; uncountedUntil is when that ended.
	flights        flights
	uncounted      bool
	uncountedBuild zlunit.Build
	uncountedUntil time.Time
	// longest is the longest time that a request to the service takes.
	longest time.Duration
	// medians holds the baseline's usual latencies.
	medians map[zltable.RouteName]*median
}

// setReplicas takes the replicas of the next view.
func (s *service) setReplicas(list []*zlregistry.Entry, now time.Time) {
	s.replicas = list
	clear(s.counts)
	for _, e := range list {
		s.counts[e.Build]++
	}
	n := s.counts[s.baseline]
	switch {
	case s.baselineSince.IsZero() && s.running():
		s.chooseBaseline(s.order.id.Target, now)
	case s.baselineSince.IsZero():
		s.chooseBaseline("", now)
	case n > 0:
		s.goneSince = time.Time{}
		s.baselineMax = max(s.baselineMax, n)
	case s.goneSince.IsZero():
		s.goneSince = now
	}
	if s.order != nil {
		s.order.noteTarget(s.counts[s.order.id.Target] > 0, now)
	}
}

// expireBaseline replaces a baseline without replicas once baselineGrace has passed and no
// order decides. If only bad builds are left after that time, they serve: the platform
// drains replicas of a build that was rolled back within seconds, so these are meant.
func (s *service) expireBaseline(now time.Time) bool {
	if s.goneSince.IsZero() || now.Sub(s.goneSince) < baselineGrace || len(s.replicas) == 0 || s.running() {
		return false
	}
	if s.counts[s.baseline] == 0 && len(s.counts) == s.badCount() {
		clear(s.bad)
	}
	s.chooseBaseline("", now)
	return true
}

// badCount returns how many of the known builds are bad.
func (s *service) badCount() int {
	n := 0
	for b := range s.counts {
		if s.bad[b] {
			n++
		}
	}
	return n
}

// chooseBaseline makes the build with most replicas the baseline, except the given one and
// bad ones. Of equals the first by name is taken, so that all VMs take the same.
func (s *service) chooseBaseline(except zlunit.Build, now time.Time) {
	best, most := zlunit.Build(""), 0
	for b, n := range s.counts {
		if (except != "" && b == except) || s.bad[b] {
			continue
		}
		if n > most || (n == most && b < best) {
			best, most = b, n
		}
	}
	if most > 0 {
		s.setBaseline(best, now)
	}
}

// setBaseline makes b the baseline.
func (s *service) setBaseline(b zlunit.Build, now time.Time) {
	s.baseline = b
	s.baselineSince = now
	s.baselineMax = s.counts[b]
	s.goneSince = time.Time{}
	delete(s.retired, b)
	clear(s.medians)
}

// running reports whether an order is in force that has not ended.
func (s *service) running() bool {
	return s.order != nil && !s.order.outcome.Final()
}

// updateSplit brings the split up to date.
func (s *service) updateSplit(c *Controller, now time.Time) {
	var p *plan
	if s.running() {
		p = s.orderedPlan(c.maxExposure(), now)
	} else {
		p = s.unorderedPlan()
	}
	if p == nil {
		s.split = nil
		if len(s.replicas) > 0 {
			s.uncounted = true
			s.uncountedBuild = s.baseline
		}
		return
	}
	if s.uncounted {
		s.uncounted = false
		s.uncountedUntil = now
	}
	if s.split == nil {
		s.split = c.newSplit(s)
	}
	s.split.plan.Store(p)
}

// usesOldReplicas reports whether requests of this VM may be in flight at other replicas than
// those of the order's target: some that were counted, or some from when none were counted.
func (s *service) usesOldReplicas(now time.Time) bool {
	target := s.order.id.Target
	if !s.uncountedUntil.IsZero() && s.uncountedBuild != target && now.Sub(s.uncountedUntil) < s.longest {
		return true
	}
	return s.flights.anyExcept(target)
}

// orderedPlan returns the plan during an order.
func (s *service) orderedPlan(exposure float64, now time.Time) *plan {
	o := s.order
	p := &plan{
		share:    o.appliedShare(),
		target:   o.id.Target,
		baseline: s.baseline,
		denied:   maps.Clone(s.bad),
		// Replicas of other builds serve only in the place of baseline replicas.
		onlyBaseline: s.counts[s.baseline] > 0 && s.counts[s.baseline] >= s.baselineMax,
	}
	if p.share < 1 {
		p.exposure = exposurePart * exposure
		p.chosen = s.chooseReplicas(p.target, p.share, now)
	}
	p.count(s.replicas)
	if !p.hasBaseline {
		// The target gets all requests whatever the share, which a few replicas may not bear.
		p.chosen = nil
	}
	return p
}

// unorderedPlan returns the plan without an order in force, or nil if all replicas are of
// the baseline.
func (s *service) unorderedPlan() *plan {
	n := s.counts[s.baseline]
	if n == len(s.replicas) && !s.bad[s.baseline] {
		return nil
	}
	p := &plan{
		baseline: s.baseline,
		denied:   map[zlunit.Build]bool{},
	}
	if s.baselineMax > 0 {
		p.share = float64(s.baselineMax-n) / float64(s.baselineMax)
	}
	for b := range s.counts {
		if s.bad[b] || (s.retired[b] && n > 0) {
			p.denied[b] = true
		}
	}
	p.count(s.replicas)
	return p
}

// count sets which groups have replicas.
func (p *plan) count(list []*zlregistry.Entry) {
	for _, e := range list {
		p.hasTarget = p.hasTarget || p.allows(e, GroupTarget)
		p.hasBaseline = p.hasBaseline || p.allows(e, GroupBaseline)
	}
}

// chooseReplicas returns the replicas of the target that serve a small share: in each data
// centre so few that each gets at least the load that it has in the end, so that a build
// that fails only under load fails while the share is small. Warm replicas come first.
func (s *service) chooseReplicas(target zlunit.Build, share float64, now time.Time) map[zlunit.Upstream]bool {
	total := map[zlunit.DataCentre]int{}
	for _, e := range s.replicas {
		if e.Build == target {
			total[e.DataCentre]++
		}
	}
	chosen := map[zlunit.Upstream]bool{}
	taken := map[zlunit.DataCentre]int{}
	for _, cold := range []bool{false, true} {
		for _, e := range s.replicas {
			limit := max(1, int(share*float64(total[e.DataCentre])))
			if e.Build == target && e.Cold(now) == cold && taken[e.DataCentre] < limit {
				taken[e.DataCentre]++
				chosen[e.ID] = true
			}
		}
	}
	return chosen
}

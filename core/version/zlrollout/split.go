package zlrollout

import (
	"math"
	"sync"
	"sync/atomic"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
)

// maxQuotaDebt is how many sends the target may be behind its share.
const maxQuotaDebt = 2

// Split divides the requests of one service between two groups of replicas. Its methods
// may be called concurrently. For each send the caller gets a group from Choose, places
// the request at a replica that Allows accepts for it, and calls Sent with the group and the
// build of that replica, and Ended when the send has ended in any way. If no replica of
// GroupTarget can take the request, GroupBaseline is tried; not the other way round.
type Split struct {
	plan atomic.Pointer[plan]
	// flights is that of the service.
	flights *flights

	mu sync.Mutex
	// quota is how many sends the target should have had by now. The next one goes to it
	// when quota exceeds next, which grows by 1 for each, with a random part in [0, 1): so
	// the expected number of sends to the target is quota, also if a VM has few sends.
	quota float64
	next  float64
	// sends counts this VM's sends since the order.
	sends uint64
}

// plan is what the sends follow until the next one. It is immutable.
type plan struct {
	share float64
	// exposure, if above 0, caps the target's part of this VM's sends.
	exposure float64
	// target is the ordered build; empty without an order.
	target zlunit.Build
	// baseline is the build that others are compared with.
	baseline zlunit.Build
	// denied lists the builds that get nothing.
	denied map[zlunit.Build]bool
	// onlyBaseline: builds other than the baseline and the target get nothing.
	onlyBaseline bool
	// chosen lists the replicas of the target that serve a small share; nil means all.
	chosen map[zlunit.Upstream]bool
	// hasTarget and hasBaseline: the group has a replica that may serve.
	hasTarget   bool
	hasBaseline bool
}

// Choose returns the group of the next send. Draw is a random number in [0, 1).
func (s *Split) Choose(draw float64) Group {
	p := s.plan.Load()
	switch {
	case !p.hasTarget:
		return GroupBaseline
	case !p.hasBaseline || p.share >= 1:
		return GroupTarget
	case p.share <= 0:
		return GroupBaseline
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nextQuota(p) <= s.next {
		return GroupBaseline
	}
	s.next = math.Floor(s.next) + draw
	return GroupTarget
}

// nextQuota returns the quota after one more send. The caller holds mu.
func (s *Split) nextQuota(p *plan) float64 {
	quota := s.quota + p.share
	if p.exposure > 0 {
		quota = min(quota, max(p.exposure*float64(s.sends+1), s.quota))
	}
	// A target that could not take its requests does not get them all later.
	return min(quota, s.next+maxQuotaDebt)
}

// GroupOf returns the group of a replica of the given build.
func (s *Split) GroupOf(b zlunit.Build) Group {
	return s.plan.Load().groupOf(b)
}

func (p *plan) groupOf(b zlunit.Build) Group {
	if p.target != "" {
		if b == p.target {
			return GroupTarget
		}
		return GroupBaseline
	}
	if b == p.baseline {
		return GroupBaseline
	}
	return GroupTarget
}

// Allows reports whether a request for group g may be sent to the replica.
func (s *Split) Allows(e *zlregistry.Entry, g Group) bool {
	return s.plan.Load().allows(e, g)
}

func (p *plan) allows(e *zlregistry.Entry, g Group) bool {
	if p.groupOf(e.Build) != g || p.denied[e.Build] {
		return false
	}
	if g == GroupTarget {
		return p.chosen == nil || p.chosen[e.ID]
	}
	return !p.onlyBaseline || e.Build == p.baseline
}

// Sent notes that a request was sent to a replica of group g and build b.
func (s *Split) Sent(g Group, b zlunit.Build) {
	s.flights.add(b)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quota = s.nextQuota(s.plan.Load())
	s.sends++
	if g == GroupTarget {
		s.next++
	}
}

// Ended notes the end of a send to build b that Sent was called for.
func (s *Split) Ended(b zlunit.Build) {
	s.flights.remove(b)
}

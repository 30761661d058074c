package zlrollout

import (
	"sync"
	"sync/atomic"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
)

// Split divides the requests of one service between two groups of replicas. Its methods
// may be called concurrently. For each send the caller gets a group from Choose, places
// the request at a replica that Allows accepts for it, and calls Sent with GroupOf of that
// replica's build and Ended when the send has ended in any way. If no replica of
// GroupTarget can take the request, GroupBaseline is tried; not the other way round.
type Split struct {
	plan atomic.Pointer[plan]

	mu sync.Mutex
	// phase is where this VM begins to count its allowance, from 0 to 1.
	phase float64
	// sends and targetSends count this VM's sends since the order.
	sends       uint64
	targetSends uint64
	inFlight    [2]int
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
	case draw >= p.share:
		return GroupBaseline
	case p.exposure > 0 && !s.mayExpose(p.exposure):
		return GroupBaseline
	}
	return GroupTarget
}

// mayExpose reports whether one more send to the target keeps this VM's sends to it within
// the given part of its sends. The phase differs between VMs, so that the sum over many
// VMs with few sends each is near that part of the sum of their sends.
func (s *Split) mayExpose(exposure float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase+exposure*float64(s.sends+1) >= float64(s.targetSends+1)
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

// Sent notes that a request was sent to a replica of group g.
func (s *Split) Sent(g Group) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sends++
	if g == GroupTarget {
		s.targetSends++
	}
	s.inFlight[g]++
}

// Ended notes the end of a send that Sent was called for.
func (s *Split) Ended(g Group) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight[g]--
}

// baselineInFlight reports whether sends to baseline replicas have not ended.
func (s *Split) baselineInFlight() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight[GroupBaseline] > 0
}

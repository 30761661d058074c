package zlbalancer

import (
	"sync"
	"time"

	"zinnialock/core/process/zlunit"
)

const (
	// unreachableThreshold is how many requests to a data centre must be
	// overdue or unreached, with no answer between them, for it to count as
	// unreachable. Pauses alone (4 in 100 requests) make that unlikely.
	unreachableThreshold = 3
	// unreachableDuration is how long a data centre counts as unreachable
	// after the last such request.
	unreachableDuration = 500 * time.Millisecond
	// unreachableCost is added for the replicas of an unreachable data centre.
	unreachableCost = 15
)

// siteHealth counts consecutive failures on the way to a data centre. It
// detects a data centre that is cut off as a whole: without it each of its
// replicas would have to be found unreachable separately.
type siteHealth struct {
	mu sync.Mutex
	// failures counts the overdue and unreached requests since the last answer.
	failures    int
	lastFailure time.Time
}

func (s *siteHealth) recordFailure(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures++
	s.lastFailure = now
}

func (s *siteHealth) recordAnswer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = 0
}

func (s *siteHealth) isUnreachable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failures >= unreachableThreshold && now.Sub(s.lastFailure) < unreachableDuration
}

func (p *Placer) siteFor(dc zlunit.DataCentre) *siteHealth {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.sites[dc]
	if !ok {
		if p.sites == nil {
			p.sites = map[zlunit.DataCentre]*siteHealth{}
		}
		s = &siteHealth{}
		p.sites[dc] = s
	}
	return s
}

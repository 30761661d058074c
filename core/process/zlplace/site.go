package zlplace

import (
	"sync"
	"time"

	"zinnialock/core/process/zlunit"
)

const (
	// strikesMost is how many requests to different replicas of a data centre
	// must be overdue or unreached, with no answer between, for it to count as
	// cut off: pauses alone (4 in 100) make that unlikely.
	strikesMost = 3
	// cutTime is how long a data centre counts as cut off after the last strike.
	cutTime = 500 * time.Millisecond
	// cutCost is that of a data centre that counts as cut off.
	cutCost = 15
)

// site is what is known of the way to another data centre. It answers the
// pattern of a data centre that is cut off: without it each of its replicas has
// to be found out by itself.
type site struct {
	mu      sync.Mutex
	strikes int
	last    time.Time
}

func (s *site) strike(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.strikes++
	s.last = now
}

func (s *site) answered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.strikes = 0
}

func (s *site) isCut(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.strikes >= strikesMost && now.Sub(s.last) < cutTime
}

func (p *Placer) siteOf(dc zlunit.DataCentre) *site {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.sites[dc]
	if !ok {
		if p.sites == nil {
			p.sites = map[zlunit.DataCentre]*site{}
		}
		s = &site{}
		p.sites[dc] = s
	}
	return s
}

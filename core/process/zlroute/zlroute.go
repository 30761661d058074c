// Package zlroute chooses among replicas by what is in flight from this
// process and by recent service time, never by reported load.
package zlroute

import (
	"math/rand/v2"
	"sync"
	"time"

	"zinnialock/core/process/zlunit"

	"github.com/cespare/xxhash/v2"
)

const (
	tableShards = 64
	// smoothing is the weight of a new service time in the running mean.
	smoothing = 0.1
)

type entry struct {
	inFlight int
	mean     float64
}

type tableShard struct {
	mu      sync.Mutex
	entries map[zlunit.Upstream]*entry
}

// Router keeps a small record per upstream, in shards with a lock each. The
// zero value is ready for use.
type Router struct {
	shards [tableShards]tableShard
}

func (r *Router) with(u zlunit.Upstream, f func(*entry)) {
	s := &r.shards[xxhash.Sum64String(string(u))%tableShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[u]
	if !ok {
		if s.entries == nil {
			s.entries = map[zlunit.Upstream]*entry{}
		}
		e = &entry{}
		s.entries[u] = e
	}
	f(e)
}

func (r *Router) cost(u zlunit.Upstream) float64 {
	var cost float64
	r.with(u, func(e *entry) {
		cost = (float64(e.inFlight) + 1) * (e.mean + float64(time.Millisecond))
	})
	return cost
}

// Pick returns the better of two random candidates that skip does not hold, or
// false if none is left.
func (r *Router) Pick(candidates, skip []zlunit.Upstream) (zlunit.Upstream, bool) {
	var left [8]zlunit.Upstream
	n := 0
	for _, c := range candidates {
		if n < len(left) && !contains(skip, c) {
			left[n] = c
			n++
		}
	}
	if n == 0 {
		return "", false
	}
	if n == 1 {
		return left[0], true
	}
	i := rand.IntN(n)
	j := rand.IntN(n - 1)
	if j >= i {
		j++
	}
	if r.cost(left[j]) < r.cost(left[i]) {
		i = j
	}
	return left[i], true
}

func contains(list []zlunit.Upstream, u zlunit.Upstream) bool {
	for _, x := range list {
		if x == u {
			return true
		}
	}
	return false
}

// Sent notes a sub-request to u.
func (r *Router) Sent(u zlunit.Upstream) {
	r.with(u, func(e *entry) {
		e.inFlight++
	})
}

// Ended notes that a sub-request to u is over after d.
func (r *Router) Ended(u zlunit.Upstream, d time.Duration) {
	r.with(u, func(e *entry) {
		e.inFlight--
		e.mean += smoothing * (float64(d) - e.mean)
	})
}

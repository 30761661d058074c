package zlplace

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"zinnialock/core/process/zlunit"
)

// Waiter waits for a place at a service. Its fields must be set before use.
type Waiter struct {
	Service zlunit.Service
	// Rank orders those who wait; the lowest goes first.
	Rank int
	// Due is when the work stops being worth its full worth.
	Due time.Time
	// Nudge tells that there may be room; it must not block.
	Nudge func()
}

// group keeps those who wait for a place at one service.
type group struct {
	mu      sync.Mutex
	waiters []*Waiter
}

func (p *Placer) groupOf(s zlunit.Service) *group {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, ok := p.groups[s]
	if !ok {
		if p.groups == nil {
			p.groups = map[zlunit.Service]*group{}
		}
		g = &group{}
		p.groups[s] = g
	}
	return g
}

// Wait adds a waiter: by rank, then those due sooner.
func (p *Placer) Wait(w *Waiter) {
	g := p.groupOf(w.Service)
	g.mu.Lock()
	defer g.mu.Unlock()
	i, _ := slices.BinarySearchFunc(g.waiters, w, func(a, b *Waiter) int {
		if a.Rank != b.Rank {
			return cmp.Compare(a.Rank, b.Rank)
		}
		return a.Due.Compare(b.Due)
	})
	g.waiters = slices.Insert(g.waiters, i, w)
}

// Leave removes a waiter.
func (p *Placer) Leave(w *Waiter) {
	g := p.groupOf(w.Service)
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := slices.Index(g.waiters, w); i >= 0 {
		g.waiters = slices.Delete(g.waiters, i, i+1)
	}
}

// Waiting is how many wait for a place at a service.
func (p *Placer) Waiting(s zlunit.Service) int {
	g := p.groupOf(s)
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiters)
}

// WaitingInAll is how many wait for a place at any service.
func (p *Placer) WaitingInAll() int {
	p.mu.Lock()
	groups := slices.Collect(maps.Values(p.groups))
	p.mu.Unlock()
	n := 0
	for _, g := range groups {
		g.mu.Lock()
		n += len(g.waiters)
		g.mu.Unlock()
	}
	return n
}

// freed wakes the first waiter; it stays until it leaves.
func (g *group) freed() {
	g.mu.Lock()
	var nudge func()
	if len(g.waiters) > 0 {
		nudge = g.waiters[0].Nudge
	}
	g.mu.Unlock()
	if nudge != nil {
		nudge()
	}
}

// yields reports whether someone of a lower rank waits.
func (g *group) yields(rank int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiters) > 0 && g.waiters[0].Rank < rank
}

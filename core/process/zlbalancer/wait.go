package zlbalancer

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"zinnialock/core/process/zlfairshare"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
)

// Turn is what orders the requests for places at a service: by Priority, then by how far the
// organisation is over its fair share, then returning callers before others.
//
// Load pattern: one organisation sends many times its usual rate, and the callers that it
// makes the VM refuse return at once. They must not go before the first attempts of others.
type Turn struct {
	// Priority is that of the organisation or route; the lowest is served first.
	Priority int
	// Account is that of the organisation, nil in a deployment without organisations.
	Account *zlfairshare.Account
	// Returning is set if the caller was probably refused before.
	Returning bool
}

// compareRank compares by what does not change while a request waits.
func (t *Turn) compareRank(u *Turn) int {
	if c := cmp.Compare(t.Priority, u.Priority); c != 0 || t.Returning == u.Returning {
		return c
	}
	if t.Returning {
		return -1
	}
	return 1
}

// compareShare compares by priority and by how far the organisations are over their shares.
func (t *Turn) compareShare(u *Turn) int {
	return cmp.Or(cmp.Compare(t.Priority, u.Priority), cmp.Compare(t.Account.Level(), u.Account.Level()))
}

// goesBefore reports whether a request is served before another one that is not due earlier.
func (t *Turn) goesBefore(u *Turn) bool {
	return cmp.Or(t.compareShare(u), t.compareRank(u)) < 0
}

// Waiter is a request that waits for a free place at a service. Its fields
// must be set before Wait.
type Waiter struct {
	Service zlunit.Service
	// Turn orders the waiters.
	Turn Turn
	// Due is the time after which the answer loses value; of waiters of one
	// turn, the earliest is served first.
	Due time.Time
	// Started is that of PlacementRequest.
	Started bool
	// Notify is called when there may be a free place; it must not block.
	Notify func()
}

// waitQueue holds those who wait for a place at one service, by priority, returning callers
// and due time. Levels of organisations change while requests wait, so they are compared when
// a place is free.
type waitQueue struct {
	mu      sync.Mutex
	waiters []*Waiter
	freed   freedPlaces
	// shortAt is when this process last found the service short of places, reportedAt when
	// another VM last said so, and toldAt when it said so soon after the report before.
	shortAt    time.Time
	reportedAt time.Time
	toldAt     time.Time
}

func (p *Placer) queueFor(s zlunit.Service) *waitQueue {
	p.mu.Lock()
	defer p.mu.Unlock()
	q, ok := p.waitQueues[s]
	if !ok {
		if p.waitQueues == nil {
			p.waitQueues = map[zlunit.Service]*waitQueue{}
		}
		q = &waitQueue{}
		p.waitQueues[s] = q
	}
	return q
}

// Wait adds a waiter. It stays until Leave.
func (p *Placer) Wait(now time.Time, w *Waiter) {
	q := p.queueFor(w.Service)
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.Turn.Account != nil && w.Turn.Account.Level() == 0 {
		q.shortAt = now
	}
	i, _ := slices.BinarySearchFunc(q.waiters, w, func(a, b *Waiter) int {
		return cmp.Or(a.Turn.compareRank(&b.Turn), a.Due.Compare(b.Due))
	})
	q.waiters = slices.Insert(q.waiters, i, w)
}

// Leave removes a waiter; it does nothing if the waiter is not there.
func (p *Placer) Leave(w *Waiter) {
	q := p.queueFor(w.Service)
	q.mu.Lock()
	defer q.mu.Unlock()
	if i := slices.Index(q.waiters, w); i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
	}
}

// Waiting returns how many wait for a place at a service.
func (p *Placer) Waiting(s zlunit.Service) int {
	q := p.queueFor(s)
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiters)
}

// TotalWaiting returns how many wait for a place, over all services.
func (p *Placer) TotalWaiting() int {
	p.mu.Lock()
	queues := slices.Collect(maps.Values(p.waitQueues))
	p.mu.Unlock()
	n := 0
	for _, q := range queues {
		q.mu.Lock()
		n += len(q.waiters)
		q.mu.Unlock()
	}
	return n
}

// first returns the waiter that is served first of those that may use a place for levels up
// to highest, or nil. The caller holds mu.
func (q *waitQueue) first(now time.Time, highest int) *Waiter {
	var best *Waiter
	for _, w := range q.waiters {
		if best != nil && (w.Turn.Priority > best.Turn.Priority || best.Turn.Account.Level() == 0) {
			break
		}
		if !q.isCapped(now, w, highest) && (best == nil || w.Turn.compareShare(&best.Turn) < 0) {
			best = w
		}
	}
	return best
}

// placeFreed counts a place that is free again and notifies the first waiter that may use a
// place for levels up to highest. The waiter stays in the queue until it leaves.
func (q *waitQueue) placeFreed(now time.Time, highest int) {
	q.mu.Lock()
	q.freed.add(now)
	var notify func()
	if w := q.first(now, highest); w != nil {
		notify = w.Notify
	}
	q.mu.Unlock()
	if notify != nil {
		notify()
	}
}

// before returns how many wait before w, or before one that is not in the queue, and may use a
// place for levels up to highest; all count if that is -1.
func (q *waitQueue) before(now time.Time, w *Waiter, highest int) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.countBefore(now, w, highest)
}

// countBefore is before; the caller holds mu.
func (q *waitQueue) countBefore(now time.Time, w *Waiter, highest int) int {
	i := slices.Index(q.waiters, w)
	n := 0
	for j, v := range q.waiters {
		c := -1
		if i >= 0 {
			c = v.Turn.compareShare(&w.Turn)
		}
		if (c < 0 || c == 0 && j < i) && !q.isCapped(now, v, highest) {
			n++
		}
	}
	return n
}

// hasBefore reports whether someone waits who may use a place for levels up to highest and is
// served first by the turn alone.
func (q *waitQueue) hasBefore(now time.Time, t *Turn, highest int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := q.first(now, highest)
	return w != nil && w.Turn.goesBefore(t)
}

// MustWait reports whether someone waits at a service who is served before a request that
// arrives, and may use a place that is free.
func (p *Placer) MustWait(v *zlregistry.View, now time.Time, s zlunit.Service, t *Turn) bool {
	return p.queueFor(s).hasBefore(now, t, p.highestLevel(v, now, s))
}

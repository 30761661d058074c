package zlbalancer

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"zinnialock/core/process/zlunit"
)

// Waiter is a request that waits for a free place at a service. Its fields
// must be set before Wait.
type Waiter struct {
	Service zlunit.Service
	// Rank orders the waiters; the lowest is served first.
	Rank int
	// Due is the time after which the answer loses value; of waiters of one
	// rank, the earliest is served first.
	Due time.Time
	// Notify is called when there may be a free place; it must not block.
	Notify func()
}

// waitQueue holds those who wait for a place at one service, the next to be
// served first.
type waitQueue struct {
	mu      sync.Mutex
	waiters []*Waiter
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

// Wait adds a waiter, ordered by Rank and then by Due. It stays until Leave.
func (p *Placer) Wait(w *Waiter) {
	q := p.queueFor(w.Service)
	q.mu.Lock()
	defer q.mu.Unlock()
	i, _ := slices.BinarySearchFunc(q.waiters, w, func(a, b *Waiter) int {
		if a.Rank != b.Rank {
			return cmp.Compare(a.Rank, b.Rank)
		}
		return a.Due.Compare(b.Due)
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

// wakeFirst notifies the first waiter, which stays in the queue until it leaves.
func (q *waitQueue) wakeFirst() {
	q.mu.Lock()
	var notify func()
	if len(q.waiters) > 0 {
		notify = q.waiters[0].Notify
	}
	q.mu.Unlock()
	if notify != nil {
		notify()
	}
}

// before returns how many wait before w, or before one that is not in the queue.
func (q *waitQueue) before(w *Waiter) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if i := slices.Index(q.waiters, w); i >= 0 {
		return i
	}
	return len(q.waiters)
}

// hasBefore reports whether someone of a lower rank waits, who is served
// first.
func (q *waitQueue) hasBefore(rank int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiters) > 0 && q.waiters[0].Rank < rank
}

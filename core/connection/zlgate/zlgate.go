// Package zlgate admits sub-requests to one upstream: within its slots, within
// what a cold start bears, and in order of deadline.
package zlgate

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
)

// State is what the gate believes of its upstream.
type State string

// The states of an upstream.
const (
	StateCold    State = "cold"
	StateWarming State = "warming"
	StateWarm    State = "warm"
)

const (
	// queuePerSlot bounds the waiting sub-requests for each slot.
	queuePerSlot = 64
	// successesPerStep is how many successes per slot in use widen a warming
	// gate by one slot.
	successesPerStep = 8
)

// Limits is what an upstream bears from this daemon.
type Limits struct {
	Slots zlunit.Slots
	Cold  zlunit.Slots
}

// Gate guards one upstream. Its own lock covers all its state.
type Gate struct {
	Timer *zltimer.Service

	mu        sync.Mutex
	limits    Limits
	limit     int
	inFlight  int
	successes int
	process   zlunit.Process
	queue     queue
}

// SetLimits sets what the upstream bears; a new gate starts cold.
func (g *Gate) SetLimits(l Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limits == (Limits{}) {
		g.limit = int(l.Cold)
	}
	g.limits = l
	g.limit = min(g.limit, int(l.Slots))
	g.wake()
}

// Snapshot returns the state, the limit in force and what is in flight.
func (g *Gate) Snapshot() (State, int, int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state(), g.limit, g.inFlight
}

func (g *Gate) state() State {
	switch {
	case g.limit <= int(g.limits.Cold):
		return StateCold
	case g.limit < int(g.limits.Slots):
		return StateWarming
	default:
		return StateWarm
	}
}

// Admit waits for a slot until deadline. On refusal nothing was sent and the
// reason tells why.
func (g *Gate) Admit(ctx context.Context, deadline time.Time) zlquery.Reason {
	w, reason := g.enqueue(deadline)
	if w == nil {
		return reason
	}
	alarm := g.Timer.After(deadline.Sub(g.Timer.Now()))
	defer alarm.Stop()
	select {
	case <-w.ready:
		return zlquery.ReasonNone
	case <-alarm.C:
		return g.leave(w, zlquery.ReasonDeadline)
	case <-ctx.Done():
		return g.leave(w, zlquery.ReasonCancelled)
	}
}

func (g *Gate) enqueue(deadline time.Time) (*waiter, zlquery.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inFlight < g.limit && g.queue.Len() == 0 {
		g.inFlight++
		return nil, zlquery.ReasonNone
	}
	if g.queue.Len() >= queuePerSlot*max(g.limit, 1) {
		return nil, zlquery.ReasonQueueFull
	}
	w := &waiter{
		deadline: deadline,
		ready:    make(chan struct{}),
	}
	heap.Push(&g.queue, w)
	return w, zlquery.ReasonNone
}

// leave gives up waiting; a slot granted meanwhile is given back.
func (g *Gate) leave(w *waiter, reason zlquery.Reason) zlquery.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.index < 0 {
		g.inFlight--
		g.wake()
		return reason
	}
	heap.Remove(&g.queue, w.index)
	return reason
}

// Release ends an admitted sub-request that succeeded in process.
func (g *Gate) Release(process zlunit.Process) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if process != g.process {
		g.process = process
		g.chill()
	}
	g.widen()
	g.wake()
}

// ReleaseFailed ends an admitted sub-request that failed; cold tells that the
// upstream may have started anew or sheds load.
func (g *Gate) ReleaseFailed(cold bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if cold {
		g.chill()
	}
	g.wake()
}

// Chill narrows the gate to the cold limit, with queued work left waiting.
func (g *Gate) Chill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.chill()
}

func (g *Gate) chill() {
	g.limit = min(int(g.limits.Cold), int(g.limits.Slots))
	g.successes = 0
}

func (g *Gate) widen() {
	if g.limit >= int(g.limits.Slots) {
		return
	}
	g.successes++
	if g.successes >= successesPerStep*max(g.limit, 1) {
		g.successes = 0
		g.limit++
	}
}

func (g *Gate) wake() {
	for g.inFlight < g.limit && g.queue.Len() > 0 {
		w := heap.Pop(&g.queue).(*waiter)
		g.inFlight++
		close(w.ready)
	}
}

type waiter struct {
	deadline time.Time
	ready    chan struct{}
	index    int
}

// queue is a heap of waiters, the earliest deadline first.
type queue []*waiter

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].deadline.Before(q[j].deadline) }

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

func (q *queue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

func (q *queue) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	w.index = -1
	return w
}

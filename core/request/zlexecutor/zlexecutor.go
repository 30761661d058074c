// Package zlexecutor is the receiving side of a daemon of zinnialock serve: it runs
// batches of sub-requests at the upstreams that this daemon holds. It checks the
// daemon's lease on an upstream, admits each sub-request at the upstream's gate,
// calls the upstream through a Fetcher, and hands over exactly one reply to each.
//
// It neither picks replicas nor merges parts, which is what package zlcoordinator
// does.
package zlexecutor

import (
	"context"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"zinnialock/core/connection/zladmission"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/process/zlworker"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/core/version/zlview"

	"github.com/cespare/xxhash/v2"
)

// gateShards is the number of locks over which the gates are spread.
const gateShards = 64

// gateShard is a part of the gates with its lock.
type gateShard struct {
	mu    sync.Mutex
	gates map[zlunit.Upstream]*zladmission.Gate
}

// Executor serves batches. Self, Timer, Views and Fetcher must be set before
// use, and no exported field may change afterwards. It is safe for concurrent
// use.
type Executor struct {
	// Self is the VM of this daemon.
	Self zlunit.VM
	// Timer is the clock and the source of timers.
	Timer *zltimer.Service
	// Views holds the current view of catalogues, members and marks.
	Views *zlview.CurrentView
	// Fetcher calls the upstreams.
	Fetcher Fetcher
	// Leases grants the leases on upstreams; nil grants everything without an
	// end.
	Leases Leases
	// Counter counts the refusals of gates; it may be nil.
	Counter zladmission.Counter
	// OnChange is called after each change of the state of an upstream; it may
	// be nil.
	OnChange func(zladmission.Change)

	shards  [gateShards]gateShard
	once    sync.Once
	workers zlworker.Pool[*sub]
	batches atomic.Int64
}

// Batches returns the number of batches that await replies. A planned stop
// waits until there are none.
func (e *Executor) Batches() int64 {
	return e.batches.Load()
}

// Wait blocks until no call to an upstream is left, and ends the idle worker
// goroutines.
func (e *Executor) Wait() {
	e.workers.Wait()
}

// Serve starts serving batch and returns without waiting for replies. It calls
// sink, on any goroutine, once for each sub-request. The end of ctx cancels all
// of them.
func (e *Executor) Serve(ctx context.Context, batch *zlquery.Batch, sink func(zlquery.Reply)) *ServedBatch {
	e.once.Do(func() {
		e.workers.Do = (*sub).run
	})
	e.batches.Add(1)
	w := newServedBatch(e, batch, sink)
	w.start(ctx)
	return w
}

// grant returns what the lease on an upstream allows now.
func (e *Executor) grant(u zlcatalog.Upstream) Grant {
	if e.Leases == nil {
		return UnlimitedLease{}.Grant(u)
	}
	return e.Leases.Grant(u)
}

// gateFor returns the gate of an upstream with the limits of grant.
func (e *Executor) gateFor(u *zlcatalog.Upstream, grant *Grant) *zladmission.Gate {
	g := e.findGate(u.Name)
	g.SetLimits(zladmission.Limits{
		Slots:         grant.Slots,
		Cold:          grant.Cold,
		Connections:   grant.Connections,
		ColdSuccesses: u.ColdWork,
		MinColdTime:   time.Duration(u.ColdMs) * time.Millisecond,
	})
	return g
}

// findGate returns the gate of an upstream and creates it on first use.
func (e *Executor) findGate(name zlunit.Upstream) *zladmission.Gate {
	s := &e.shards[xxhash.Sum64String(string(name))%gateShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.gates[name]
	if !ok {
		if s.gates == nil {
			s.gates = map[zlunit.Upstream]*zladmission.Gate{}
		}
		g = &zladmission.Gate{
			Name:     name,
			Timer:    e.Timer,
			Counter:  e.Counter,
			OnChange: e.OnChange,
		}
		s.gates[name] = g
	}
	return g
}

// Snapshot returns the status of the upstreams that this daemon has a gate for
// and that are still in a catalogue, sorted by name.
func (e *Executor) Snapshot() []zladmission.Status {
	var out []zladmission.Status
	view := e.Views.Load()
	if view == nil {
		return out
	}
	for i := range e.shards {
		s := &e.shards[i]
		s.mu.Lock()
		for name, g := range s.gates {
			if _, ok := view.Upstream(name); ok {
				out = append(out, g.Snapshot())
			}
		}
		s.mu.Unlock()
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].Upstream < out[j].Upstream
	})
	return out
}

// States returns the number of upstreams in each state, including states
// without any.
func (e *Executor) States() map[zladmission.State]int {
	out := map[zladmission.State]int{}
	for _, s := range zladmission.States() {
		out[s] = 0
	}
	for _, s := range e.Snapshot() {
		out[s.State]++
	}
	return out
}

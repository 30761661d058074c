// Package zlaggr serves batches for the upstreams that this daemon speaks to:
// it admits each sub-request at its upstream's gate and calls the upstream.
package zlaggr

import (
	"context"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"zinnialock/core/connection/zlgate"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/process/zlworker"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/core/version/zlview"

	"github.com/cespare/xxhash/v2"
)

const tableShards = 64

type tableShard struct {
	mu    sync.Mutex
	gates map[zlunit.Upstream]*zlgate.Gate
}

// Aggregator serves batches. All exported fields must be set before use, but
// for those that may be nil.
type Aggregator struct {
	Self    zlunit.VM
	Timer   *zltimer.Service
	Views   *zlview.Holder
	Fetcher Fetcher
	// Tenure may be nil, which grants everything.
	Tenure Tenure
	// Counter counts what gates refuse; it may be nil.
	Counter zlgate.Counter
	// Changed is called after each change of an upstream's state; it may be
	// nil.
	Changed func(zlgate.Change)

	shards  [tableShards]tableShard
	once    sync.Once
	workers zlworker.Pool[*sub]
	batches atomic.Int64
}

// Batches returns how many batches have replies outstanding. A planned stop
// waits until there are none.
func (a *Aggregator) Batches() int64 {
	return a.batches.Load()
}

// Wait returns once no call to an upstream is left, and ends the goroutines
// that were kept for more.
func (a *Aggregator) Wait() {
	a.workers.Wait()
}

// Serve starts the sub-requests of batch; sink gets one reply for each, on any
// goroutine. Ctx ends them all.
func (a *Aggregator) Serve(ctx context.Context, batch *zlquery.Batch, sink func(zlquery.Reply)) *Work {
	a.once.Do(func() {
		a.workers.Do = (*sub).run
	})
	a.batches.Add(1)
	w := newWork(a, batch, sink)
	w.start(ctx)
	return w
}

func (a *Aggregator) grant(u zlcatalog.Upstream) Grant {
	if a.Tenure == nil {
		return AlwaysTenure{}.Grant(u)
	}
	return a.Tenure.Grant(u)
}

// gate returns the gate of an upstream, made on first use.
func (a *Aggregator) gate(u *zlcatalog.Upstream, grant *Grant) *zlgate.Gate {
	g := a.find(u.Name)
	g.SetLimits(zlgate.Limits{
		Slots:       grant.Slots,
		Cold:        grant.Cold,
		Connections: grant.Connections,
		ColdWork:    u.ColdWork,
		ColdTime:    time.Duration(u.ColdMs) * time.Millisecond,
	})
	return g
}

func (a *Aggregator) find(name zlunit.Upstream) *zlgate.Gate {
	s := &a.shards[xxhash.Sum64String(string(name))%tableShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.gates[name]
	if !ok {
		if s.gates == nil {
			s.gates = map[zlunit.Upstream]*zlgate.Gate{}
		}
		g = &zlgate.Gate{
			Name:    name,
			Timer:   a.Timer,
			Counter: a.Counter,
			Changed: a.Changed,
		}
		s.gates[name] = g
	}
	return g
}

// Snapshot returns the status of every upstream that this daemon has spoken
// to and that is still in a catalogue, by name.
func (a *Aggregator) Snapshot() []zlgate.Status {
	var out []zlgate.Status
	view := a.Views.Load()
	if view == nil {
		return out
	}
	for i := range a.shards {
		s := &a.shards[i]
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

// States counts the upstreams in each state.
func (a *Aggregator) States() map[zlgate.State]int {
	out := map[zlgate.State]int{}
	for _, s := range zlgate.States() {
		out[s] = 0
	}
	for _, s := range a.Snapshot() {
		out[s.State]++
	}
	return out
}

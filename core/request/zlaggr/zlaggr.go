// Package zlaggr serves batches for the upstreams that this daemon speaks to:
// it admits each sub-request at its upstream's gate and calls the upstream.
package zlaggr

import (
	"context"
	"sync"
	"time"

	"zinnialock/core/connection/zlgate"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/core/version/zlview"

	"github.com/cespare/xxhash/v2"
)

// Fetch is one call to an upstream.
type Fetch struct {
	Query      zlunit.QueryID
	Request    zlunit.RequestID
	Shard      zlunit.Shard
	Version    zlunit.IndexVersion
	Text       string
	Idempotent bool
	Deadline   time.Time
}

// Fetched is the result of a Fetch.
type Fetched struct {
	Result zlquery.Result
	// Process is the upstream's identity, when it said so.
	Process zlunit.Process
	// Broken tells that a connection broke or could not be made.
	Broken bool
}

// Fetcher calls upstreams.
type Fetcher interface {
	Fetch(ctx context.Context, u zlcatalog.Upstream, f *Fetch) Fetched
}

const tableShards = 64

type tableShard struct {
	mu    sync.Mutex
	gates map[zlunit.Upstream]*zlgate.Gate
}

// Aggregator serves batches. All exported fields must be set before use.
type Aggregator struct {
	Self    zlunit.VM
	Timer   *zltimer.Service
	Views   *zlview.Holder
	Fetcher Fetcher
	// Tenure may be nil, which grants everything.
	Tenure Tenure

	shards [tableShards]tableShard
}

// Work is a batch being served.
type Work struct {
	cancels map[zlunit.SubID]context.CancelFunc
	wg      sync.WaitGroup
}

// Cancel gives up one sub-request; its reply still comes.
func (w *Work) Cancel(sub zlunit.SubID) {
	if cancel, ok := w.cancels[sub]; ok {
		cancel()
	}
}

// Wait returns once every reply was handed over.
func (w *Work) Wait() {
	w.wg.Wait()
}

// Serve starts the sub-requests of batch; sink gets one reply for each. Ctx
// ends them all.
func (a *Aggregator) Serve(ctx context.Context, batch *zlquery.Batch, sink func(zlquery.Reply)) *Work {
	deadline := a.Timer.Now().Add(batch.Left)
	w := &Work{
		cancels: make(map[zlunit.SubID]context.CancelFunc, len(batch.Subs)),
	}
	contexts := make([]context.Context, len(batch.Subs))
	for i, sub := range batch.Subs {
		contexts[i], w.cancels[sub.ID] = context.WithCancel(ctx)
	}
	for i, sub := range batch.Subs {
		cancel := w.cancels[sub.ID]
		w.wg.Go(func() {
			defer cancel()
			sink(zlquery.Reply{
				Query:  batch.Query,
				Sub:    sub.ID,
				Result: a.serveSub(contexts[i], batch, sub, deadline),
			})
		})
	}
	return w
}

func (a *Aggregator) serveSub(ctx context.Context, batch *zlquery.Batch, sub zlquery.Sub, deadline time.Time) zlquery.Result {
	view := a.Views.Load()
	u, ok := view.Upstream(sub.Upstream)
	if !ok {
		return notRun(zlquery.ReasonNoReplica)
	}
	if holders := view.Holders(u.Name); len(holders) == 0 || holders[0] != a.Self {
		return notRun(zlquery.ReasonNotHolder)
	}
	if view.Marks.UpstreamOut(u.Name, u.DataCentre) {
		return notRun(zlquery.ReasonMarkedOut)
	}
	grant := a.grant(u)
	if grant.Refusal != zlquery.ReasonNone {
		return notRun(grant.Refusal)
	}
	deadline = grant.cut(deadline)
	gate := a.gate(u, &grant)
	if reason := gate.Admit(ctx, deadline); reason != zlquery.ReasonNone {
		return notRun(reason)
	}
	grant = a.grant(u)
	if grant.Refusal != zlquery.ReasonNone {
		gate.ReleaseFailed(false)
		return notRun(grant.Refusal)
	}
	deadline = grant.cut(deadline)
	start := a.Timer.Now()
	fetched := a.Fetcher.Fetch(ctx, u, &Fetch{
		Query:      batch.Query,
		Request:    batch.Request,
		Shard:      sub.Shard,
		Version:    sub.Version,
		Text:       batch.Text,
		Idempotent: batch.Idempotent,
		Deadline:   deadline,
	})
	if done, ok := fetched.Result.(zlquery.Done); ok {
		done.Service = a.Timer.Now().Sub(start)
		gate.Release(fetched.Process)
		return done
	}
	gate.ReleaseFailed(fetched.Broken || shed(fetched.Result))
	return fetched.Result
}

func (a *Aggregator) grant(u zlcatalog.Upstream) Grant {
	if a.Tenure == nil {
		return AlwaysTenure{}.Grant(u)
	}
	return a.Tenure.Grant(u)
}

// gate returns the gate of an upstream, made on first use.
func (a *Aggregator) gate(u zlcatalog.Upstream, grant *Grant) *zlgate.Gate {
	s := &a.shards[xxhash.Sum64String(string(u.Name))%tableShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.gates[u.Name]
	if !ok {
		if s.gates == nil {
			s.gates = map[zlunit.Upstream]*zlgate.Gate{}
		}
		g = &zlgate.Gate{
			Timer: a.Timer,
		}
		s.gates[u.Name] = g
	}
	g.SetLimits(zlgate.Limits{
		Slots: grant.Slots,
		Cold:  grant.Cold,
	})
	return g
}

func shed(result zlquery.Result) bool {
	refused, ok := result.(zlquery.NotRun)
	return ok && refused.Reason == zlquery.ReasonShed
}

func notRun(reason zlquery.Reason) zlquery.Result {
	return zlquery.NotRun{
		Reason: reason,
	}
}

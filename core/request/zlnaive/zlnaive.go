// Package zlnaive answers queries in the plainest way: all shards at once, one
// random replica each, wait for all, retry on any error. It is what tests and
// measurements compare with.
package zlnaive

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlaggr"
	"zinnialock/core/request/zlmerge"
	"zinnialock/core/request/zlplan"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlview"

	"github.com/google/uuid"
)

// triesPerShard bounds the calls for one shard.
const triesPerShard = 3

// Naive answers queries. All fields must be set before use.
type Naive struct {
	Timer   *zltimer.Service
	Views   *zlview.Holder
	Fetcher zlaggr.Fetcher
}

// Answer runs req and waits for every shard.
func (n *Naive) Answer(ctx context.Context, req *zlquery.Request) *zlquery.Answer {
	view := n.Views.Load()
	policy := view.Policy(req.Service, req.Kind)
	if req.Deadline.IsZero() {
		req.Deadline = n.Timer.Now().Add(policy.Deadline)
	}
	maker := &zlplan.Maker{
		View:   view,
		Policy: &policy,
	}
	plan, err := maker.Make(req.Service)
	if err != nil {
		return &zlquery.Answer{
			ID:      req.ID,
			Outcome: zlquery.OutcomeNotRun,
			Reason:  zlquery.ReasonUnknownService,
		}
	}
	merge := zlmerge.New(plan.Version, len(plan.Shards))
	var subs atomic.Int64
	var mu sync.Mutex
	var wg sync.WaitGroup
	query := zlunit.QueryID(uuid.NewString())
	for s := range plan.Shards {
		wg.Go(func() {
			part, ok := n.shard(ctx, view, req, plan, query, zlunit.Shard(s), &subs)
			mu.Lock()
			defer mu.Unlock()
			if ok {
				merge.Add(part)
			}
		})
	}
	wg.Wait()
	a := answer(req, plan, merge)
	a.Subs = int(subs.Load())
	a.Retries = a.Subs - len(plan.Shards)
	return a
}

func (n *Naive) shard(ctx context.Context, view *zlview.View, req *zlquery.Request, plan *zlplan.Plan, query zlunit.QueryID, s zlunit.Shard, subs *atomic.Int64) (zlquery.Part, bool) {
	replicas := plan.Shards[s]
	for range triesPerShard {
		if len(replicas) == 0 || !n.Timer.Now().Before(req.Deadline) {
			break
		}
		u, _ := view.Upstream(replicas[rand.IntN(len(replicas))].Upstream)
		subs.Add(1)
		fetched := n.Fetcher.Fetch(ctx, u, &zlaggr.Fetch{
			Query:      query,
			Request:    req.ID,
			Shard:      s,
			Version:    plan.Version,
			Text:       req.Text,
			Idempotent: req.Idempotent,
			Deadline:   req.Deadline,
		})
		if done, ok := fetched.Result.(zlquery.Done); ok {
			return done.Part, true
		}
	}
	return zlquery.Part{}, false
}

func answer(req *zlquery.Request, plan *zlplan.Plan, merge *zlmerge.Merge) *zlquery.Answer {
	a := &zlquery.Answer{
		ID:       req.ID,
		Outcome:  zlquery.OutcomeDone,
		Version:  plan.Version,
		Coverage: merge.Coverage(),
		Complete: merge.Complete(),
		Parts:    merge.Parts(),
	}
	for s := range plan.Shards {
		if !merge.Has(zlunit.Shard(s)) {
			a.Missing = append(a.Missing, zlquery.Missing{
				Shard:  zlunit.Shard(s),
				Reason: zlquery.ReasonBadReply,
			})
		}
	}
	if len(a.Parts) == 0 {
		a.Outcome = zlquery.OutcomeUnknown
		a.Reason = zlquery.ReasonCoverage
	}
	return a
}

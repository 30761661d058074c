// Package zlnaive is a baseline query coordinator for tests and benchmarks. It
// queries one random replica of each shard, waits for all of them and retries on any
// error, without hedges, budgets or early answers. It is not for production use.
package zlnaive

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlexecutor"
	"zinnialock/core/request/zlmerge"
	"zinnialock/core/request/zlplan"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlview"

	"github.com/google/uuid"
)

// maxSendsPerShard limits the sub-requests of one shard.
const maxSendsPerShard = 3

// Naive answers queries. All fields must be set before use; Answer may then be called
// concurrently.
type Naive struct {
	// Timer is the source of the time.
	Timer *zltimer.Service
	// Views holds the current view of the platform.
	Views *zlview.CurrentView
	// Fetcher sends sub-requests to upstreams.
	Fetcher zlexecutor.Fetcher
}

// Answer queries all shards and returns once each has a part, has used up its sends
// or has reached the deadline. If req has no deadline, it sets that of the policy.
func (n *Naive) Answer(ctx context.Context, req *zlquery.Request) *zlquery.Answer {
	view := n.Views.Load()
	policy := view.Policy(req.Service, req.Kind)
	if req.Deadline.IsZero() {
		req.Deadline = n.Timer.Now().Add(policy.Deadline)
	}
	planner := &zlplan.Planner{
		View:   view,
		Policy: &policy,
	}
	plan, err := planner.Make(req.Service)
	if err != nil {
		return &zlquery.Answer{
			ID:      req.ID,
			Outcome: zlquery.OutcomeNotRun,
			Reason:  zlquery.ReasonUnknownService,
		}
	}
	merge := zlmerge.New(plan.Version, len(plan.Shards))
	var sends atomic.Int64
	var mu sync.Mutex
	var wg sync.WaitGroup
	query := zlunit.QueryID(uuid.NewString())
	for s := range plan.Shards {
		wg.Go(func() {
			part, ok := n.fetchShard(ctx, view, req, plan, query, zlunit.Shard(s), &sends)
			mu.Lock()
			defer mu.Unlock()
			if ok {
				merge.Add(part)
			}
		})
	}
	wg.Wait()
	a := newAnswer(req, plan, merge)
	a.SubRequests = int(sends.Load())
	a.Retries = a.SubRequests - len(plan.Shards)
	return a
}

// fetchShard queries random replicas of shard s until one returns a part, and counts
// the sub-requests in sends. It reports false if there is no part.
func (n *Naive) fetchShard(ctx context.Context, view *zlview.View, req *zlquery.Request, plan *zlplan.Plan, query zlunit.QueryID, s zlunit.Shard, sends *atomic.Int64) (zlquery.Part, bool) {
	replicas := plan.Shards[s]
	for range maxSendsPerShard {
		if len(replicas) == 0 || !n.Timer.Now().Before(req.Deadline) {
			break
		}
		u, _ := view.Upstream(replicas[rand.IntN(len(replicas))].Upstream)
		sends.Add(1)
		fetched := n.Fetcher.Fetch(ctx, u, &zlexecutor.Fetch{
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

func newAnswer(req *zlquery.Request, plan *zlplan.Plan, merge *zlmerge.Merge) *zlquery.Answer {
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

// Package zlcoordinator coordinates the execution of a query in zinnialock serve;
// its counterpart in the relay is zlrelay. Given a caller's request, it plans which
// replica serves each shard, dispatches sub-requests to the daemons that hold these
// upstreams, retries and hedges them, and collects the parts into one answer.
//
// The package does no I/O: a Dispatcher carries the sub-requests. Package zlexecutor
// is the receiving side, which admits them and calls the upstreams.
package zlcoordinator

import (
	"context"
	"errors"
	"time"

	"zinnialock/core/process/zlquantile"
	"zinnialock/core/process/zlquarantine"
	"zinnialock/core/process/zlroute"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlplan"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/request/zltrace"
	"zinnialock/core/version/zlview"

	"github.com/google/uuid"
)

// Call is a batch that has been dispatched.
type Call interface {
	// Cancel gives up one sub-request of the batch without waiting. A reply to
	// it may still arrive.
	Cancel(sub zlunit.SubRequestID)
}

// Dispatcher carries batches of sub-requests to the daemons that hold their
// upstreams.
type Dispatcher interface {
	// Dispatch sends batch to the daemon on a VM without waiting for replies.
	// It calls sink, on any goroutine, exactly once for each sub-request unless
	// ctx ends first.
	Dispatch(ctx context.Context, to zlunit.VM, batch *zlquery.Batch, sink func(zlquery.Reply)) Call
}

// Counter counts refusals, retries, hedges and dropped replies.
type Counter interface {
	// Count adds one to the counter of an event and its reason. It must be safe
	// for concurrent use.
	Count(name string, reason zlquery.Reason)
}

// Disabled lists the mechanisms that are switched off, for experiments only. The
// zero value leaves all of them on.
type Disabled struct {
	// Routing switches off the choice of replicas by latency and health. This
	// package ignores it: the code that creates the Router applies it.
	Routing bool
	// Hedges switches off hedges.
	Hedges bool
	// Retries switches off retries of sub-requests that failed.
	Retries bool
	// Bypass switches off the second send that bypasses a silent daemon.
	Bypass bool
	// Replan switches off starting over at another index version.
	Replan bool
	// Cancel switches off cancelling the losing sub-requests of a hedge.
	Cancel bool
	// Budgets lets hedges and retries ignore their budgets.
	Budgets bool
	// EarlyRefusal switches off the early end of a query that cannot reach its
	// coverage or deadline.
	EarlyRefusal bool
}

// Coordinator answers queries. Timer, Views, Router, Dispatcher and Counter
// must be set before use, and no exported field may change afterwards. It is
// safe for concurrent use.
type Coordinator struct {
	// Self is the VM of this daemon, which is never suspected of being down.
	Self zlunit.VM
	// Timer is the clock and the source of timers.
	Timer *zltimer.Service
	// Views holds the current view of catalogues, members and settings.
	Views *zlview.CurrentView
	// Router picks a replica for each sub-request.
	Router *zlroute.Router
	// Dispatcher sends batches to daemons, including this one.
	Dispatcher Dispatcher
	// Counter counts events by reason.
	Counter Counter
	// Traces receives the trace of each query; nil switches traces off.
	Traces zltrace.Sink
	// Quarantine recognises queries that crash upstreams; nil sends them like others.
	Quarantine *zlquarantine.Ledger
	// Disabled lists the mechanisms that are switched off.
	Disabled Disabled

	profiles profileTable
	// allLatency is the latency of all query kinds together, for a kind of
	// which too little is known.
	allLatency zlquantile.Tracker
}

const (
	// replyMargin is how long before the caller's deadline the wait for replies
	// ends, so that the answer itself arrives in time.
	replyMargin = 2 * time.Millisecond
	// defaultRetryAfter is the retry delay given to a refused caller when no
	// replica stated one.
	defaultRetryAfter = 250 * time.Millisecond
)

// Answer runs req and returns its answer, at the latest by req.Deadline. A zero
// Deadline is set to the one that the policy gives. A query that fails is an
// answer with an outcome other than OutcomeDone, never nil. When ctx ends, the
// query is cancelled.
func (c *Coordinator) Answer(ctx context.Context, req *zlquery.Request) *zlquery.Answer {
	now := c.Timer.Now()
	view := c.Views.Load()
	if view == nil {
		return c.refuse(req, now, zlquery.ReasonNoVersion)
	}
	if _, ok := view.Catalogs[req.Service]; !ok {
		return c.refuse(req, now, zlquery.ReasonUnknownService)
	}
	profile := c.profiles.get(req.Service, req.Kind)
	policy := profile.policyOf(view)
	if req.Deadline.IsZero() {
		req.Deadline = now.Add(policy.Deadline)
	}
	if !now.Before(req.Deadline) {
		return c.refuse(req, now, zlquery.ReasonDeadline)
	}
	verdict := c.begin(req)
	if verdict == zlquarantine.Quarantined {
		return c.refuse(req, now, zlquery.ReasonQuarantined)
	}
	if !c.Disabled.EarlyRefusal && profile.deadlineUnreachable(now, req.Deadline.Sub(now)) {
		return c.refuse(req, now, zlquery.ReasonDeadline)
	}
	plan, err := profile.plan(c, view, policy, now)
	if err != nil {
		return c.refuse(req, now, reasonOf(err))
	}
	if best := zlunit.Coverage(plan.Served) / zlunit.Coverage(len(plan.Shards)); plan.Served == 0 || best < req.LeastCoverage {
		return c.refuse(req, now, zlquery.ReasonNoReplica)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &queryRun{
		coordinator: c,
		ctx:         ctx,
		req:         req,
		profile:     profile,
		policy:      policy,
		plan:        plan,
		query:       zlunit.QueryID(uuid.NewString()),
		start:       now,
	}
	r.crash.suspected = verdict == zlquarantine.Suspected || verdict == zlquarantine.Trial
	r.crash.trial = verdict == zlquarantine.Trial
	return r.answer()
}

// refuse returns the answer to a request for which nothing was sent.
func (c *Coordinator) refuse(req *zlquery.Request, now time.Time, reason zlquery.Reason) *zlquery.Answer {
	c.Counter.Count("refusal", reason)
	a := &zlquery.Answer{
		ID:      req.ID,
		Outcome: zlquery.OutcomeNotRun,
		Reason:  reason,
	}
	switch reason {
	case zlquery.ReasonUnknownService:
	case zlquery.ReasonQuarantined:
		a.RetryAfter = max(c.Quarantine.Left(fingerprintOf(req)), defaultRetryAfter)
	default:
		a.RetryAfter = defaultRetryAfter
	}
	if c.Traces != nil {
		c.Traces.Keep(&zltrace.Trace{
			Request:    req.ID,
			Service:    req.Service,
			Kind:       req.Kind,
			Idempotent: req.Idempotent,
			Start:      now,
			Budget:     req.Deadline.Sub(now),
			Outcome:    a.Outcome,
			Reason:     reason,
		})
	}
	return a
}

// reasonOf returns the reason that a planning error carries, or ReasonNoVersion
// for any other error.
func reasonOf(err error) zlquery.Reason {
	var planErr *zlplan.Error
	if errors.As(err, &planErr) {
		return planErr.Kind
	}
	return zlquery.ReasonNoVersion
}

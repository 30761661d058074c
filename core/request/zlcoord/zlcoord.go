// Package zlcoord runs one query: it plans, dispatches sub-requests to the
// daemons that speak to the upstreams, waits, hedges, retries and merges.
package zlcoord

import (
	"context"
	"errors"
	"time"

	"zinnialock/core/process/zlquantile"
	"zinnialock/core/process/zlroute"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlplan"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/request/zltrace"
	"zinnialock/core/version/zlview"

	"github.com/google/uuid"
)

// Call is a batch in flight.
type Call interface {
	// Cancel gives up one sub-request; its reply may still arrive.
	Cancel(sub zlunit.SubID)
}

// Dispatcher carries batches to the daemon that speaks to their upstreams. It
// delivers exactly one reply for each sub-request unless ctx ends first.
type Dispatcher interface {
	Dispatch(ctx context.Context, to zlunit.VM, batch *zlquery.Batch, sink func(zlquery.Reply)) Call
}

// Counter counts refusals, retries, hedges and dropped replies by reason.
type Counter interface {
	Count(what string, reason zlquery.Reason)
}

// Without names mechanisms that are switched off, for experiments only.
type Without struct {
	// Routing is heeded by whoever sets the Router.
	Routing  bool
	Hedges   bool
	Retries  bool
	Around   bool
	Replan   bool
	Cancel   bool
	Budgets  bool
	EarlyEnd bool
}

// Coordinator answers queries. All fields but Self, Traces and Without must be
// set before use.
type Coordinator struct {
	// Self is the daemon's own name; it is never held for dead.
	Self       zlunit.VM
	Timer      *zltimer.Service
	Views      *zlview.Holder
	Router     *zlroute.Router
	Dispatcher Dispatcher
	Counter    Counter
	// Traces, if set, gets the trace of each query.
	Traces zltrace.Sink
	// Without switches mechanisms off.
	Without Without

	profiles profileTable
	// latency is that of all query kinds, for kinds that are new.
	latency zlquantile.Tracker
}

const (
	// lateness is how much earlier than the caller's deadline the wait ends,
	// so that the answer itself is in time.
	lateness = 2 * time.Millisecond
	// comeBack is the advice to a refused caller when nothing better is known.
	comeBack = 250 * time.Millisecond
)

// Answer runs req and always returns an answer, at the latest by its deadline.
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
	if !c.Without.EarlyEnd && profile.tooLate(now, req.Deadline.Sub(now)) {
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
	r := &run{
		coordinator: c,
		ctx:         ctx,
		req:         req,
		profile:     profile,
		policy:      policy,
		plan:        plan,
		query:       zlunit.QueryID(uuid.NewString()),
		start:       now,
	}
	return r.answer()
}

// refuse answers without having sent anything.
func (c *Coordinator) refuse(req *zlquery.Request, now time.Time, reason zlquery.Reason) *zlquery.Answer {
	c.Counter.Count("refusal", reason)
	a := &zlquery.Answer{
		ID:      req.ID,
		Outcome: zlquery.OutcomeNotRun,
		Reason:  reason,
	}
	if reason != zlquery.ReasonUnknownService {
		a.RetryAfter = comeBack
	}
	if c.Traces != nil {
		c.Traces.Keep(&zltrace.Trace{
			Request:    req.ID,
			Service:    req.Service,
			Kind:       req.Kind,
			Idempotent: req.Idempotent,
			Start:      now,
			Allowed:    req.Deadline.Sub(now),
			Outcome:    a.Outcome,
			Reason:     reason,
		})
	}
	return a
}

func reasonOf(err error) zlquery.Reason {
	var planErr *zlplan.Error
	if errors.As(err, &planErr) {
		return planErr.Kind
	}
	return zlquery.ReasonNoVersion
}

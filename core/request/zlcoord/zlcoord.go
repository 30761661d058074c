// Package zlcoord runs one query: it plans, dispatches sub-requests to the
// daemons that speak to the upstreams, waits, retries and merges.
package zlcoord

import (
	"context"
	"errors"
	"time"

	"zinnialock/core/process/zlroute"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlplan"
	"zinnialock/core/request/zlquery"
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

// Counter counts refusals, retries and dropped replies by reason.
type Counter interface {
	Count(what string, reason zlquery.Reason)
}

// Coordinator answers queries. All fields must be set before use.
type Coordinator struct {
	Timer      *zltimer.Service
	Views      *zlview.Holder
	Router     *zlroute.Router
	Dispatcher Dispatcher
	Counter    Counter
}

// Answer runs req and always returns an answer, at the latest by its deadline.
func (c *Coordinator) Answer(ctx context.Context, req *zlquery.Request) *zlquery.Answer {
	view := c.Views.Load()
	if view == nil {
		return c.refuse(req, zlquery.ReasonNoVersion)
	}
	policy := view.Policy(req.Service, req.Kind)
	now := c.Timer.Now()
	if req.Deadline.IsZero() {
		req.Deadline = now.Add(policy.Deadline)
	}
	if !now.Before(req.Deadline) {
		return c.refuse(req, zlquery.ReasonDeadline)
	}
	maker := &zlplan.Maker{
		View:   view,
		Age:    c.Views.Age(now),
		Now:    now,
		Policy: &policy,
	}
	plan, err := maker.Make(req.Service)
	if err != nil {
		return c.refuse(req, reasonOf(err))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{
		coordinator: c,
		ctx:         ctx,
		req:         req,
		policy:      policy,
		plan:        plan,
		query:       zlunit.QueryID(uuid.NewString()),
		start:       now,
	}
	return r.answer()
}

func (c *Coordinator) refuse(req *zlquery.Request, reason zlquery.Reason) *zlquery.Answer {
	c.Counter.Count("refusal", reason)
	return &zlquery.Answer{
		ID:      req.ID,
		Outcome: zlquery.OutcomeNotRun,
		Reason:  reason,
	}
}

func reasonOf(err error) zlquery.Reason {
	var planErr *zlplan.Error
	if errors.As(err, &planErr) {
		return planErr.Kind
	}
	return zlquery.ReasonNoVersion
}

// lateness is how much earlier than the caller's deadline the wait ends, so
// that the answer itself is in time.
const lateness = 2 * time.Millisecond

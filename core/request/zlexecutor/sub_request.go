package zlexecutor

import (
	"context"
	"sync/atomic"
	"time"

	"zinnialock/core/connection/zladmission"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/core/version/zlview"
)

// sub is a sub-request that is being served. It is the Waiter at the gate and
// the Permit of its call.
type sub struct {
	work     *ServedBatch
	request  *zlquery.SubRequest
	upstream zlcatalog.Upstream
	// view is the view by which the sub-request was admitted.
	view *zlview.View
	// gate is set before the sub-request enters it.
	gate   atomic.Pointer[zladmission.Gate]
	ticket zladmission.Ticket
	fetch  Fetch
	// givenUp is set before gate is read, so that a sub-request that was given
	// up never enters the gate.
	givenUp atomic.Bool
	// finished is true once the reply has been handed over.
	finished atomic.Bool
}

// admit checks whether this daemon may serve the sub-request, and enters it at
// the gate of its upstream.
func (s *sub) admit() {
	e := s.work.executor
	s.view = e.Views.Load()
	u, reason := e.findUpstream(s.view, s.request.Upstream)
	if reason != zlquery.ReasonNone {
		s.reply(notRun(reason, 0))
		return
	}
	grant := e.grant(u)
	if grant.Refusal != zlquery.ReasonNone {
		s.reply(notRun(grant.Refusal, 0))
		return
	}
	s.upstream = u
	deadline := grant.limitDeadline(s.work.deadline)
	s.prepare(deadline)
	gate := e.gateFor(&u, &grant)
	if reason := hedgeRefusal(s.request, gate); reason != zlquery.ReasonNone {
		s.reply(notRun(reason, 0))
		return
	}
	s.gate.Store(gate)
	if s.givenUp.Load() {
		return
	}
	if deadline.Before(s.work.deadline) {
		e.Timer.AfterFunc(deadline.Sub(e.Timer.Now()), func() {
			s.giveUp(zlquery.ReasonDeadline)
		})
	}
	gate.Enter(&s.ticket)
}

// findUpstream returns an upstream, or the reason why this daemon may not send
// new work to it by view.
func (e *Executor) findUpstream(view *zlview.View, name zlunit.Upstream) (zlcatalog.Upstream, zlquery.Reason) {
	if view == nil {
		return zlcatalog.Upstream{}, zlquery.ReasonNoReplica
	}
	u, ok := view.Upstream(name)
	if !ok {
		return zlcatalog.Upstream{}, zlquery.ReasonNoReplica
	}
	holders := view.Holders(name)
	switch {
	case len(holders) == 0 || holders[0] != e.Self:
		return zlcatalog.Upstream{}, zlquery.ReasonNotHolder
	case view.Marks.UpstreamOut(name, u.DataCentre):
		return zlcatalog.Upstream{}, zlquery.ReasonMarkedOut
	case u.Leaving:
		return zlcatalog.Upstream{}, zlquery.ReasonDraining
	default:
		return u, zlquery.ReasonNone
	}
}

// hedgeRefusal returns why a hedge is not sent to an upstream, or ReasonNone.
// Since a hedge is optional, only an upstream that is warm, or is warming and
// has room, is sent one.
func hedgeRefusal(request *zlquery.SubRequest, gate *zladmission.Gate) zlquery.Reason {
	if !request.Hedge {
		return zlquery.ReasonNone
	}
	status := gate.Snapshot()
	switch status.State {
	case zladmission.StateCold:
		return zlquery.ReasonColdBudget
	case zladmission.StateWarming:
		if status.InFlight+status.Queued >= status.Limit {
			return zlquery.ReasonColdBudget
		}
		return zlquery.ReasonNone
	case zladmission.StateShedding:
		return zlquery.ReasonShed
	case zladmission.StateDraining:
		return zlquery.ReasonDraining
	case zladmission.StateGone:
		return zlquery.ReasonDialFailed
	default:
		return zlquery.ReasonNone
	}
}

// prepare fills in the ticket for the gate and the call to the upstream.
func (s *sub) prepare(deadline time.Time) {
	b := s.work.batch
	s.ticket.Kind = b.Kind
	s.ticket.Value = zladmission.ValueOf(b.Priority, rankOf(s.request), b.Query)
	s.ticket.Deadline = deadline
	s.ticket.Waiter = s
	s.fetch.Query = b.Query
	s.fetch.Request = b.Request
	s.fetch.Shard = s.request.Shard
	s.fetch.Version = s.request.Version
	s.fetch.Text = b.Text
	s.fetch.Idempotent = b.Idempotent
	s.fetch.Deadline = deadline
	s.fetch.Permit = s
}

// rankOf returns the rank of a sub-request when a gate sheds load.
func rankOf(request *zlquery.SubRequest) zladmission.Rank {
	switch {
	case request.Hedge:
		return zladmission.RankHedge
	case request.Retry:
		return zladmission.RankRetry
	default:
		return zladmission.RankFirst
	}
}

// Granted implements zladmission.Waiter.
func (s *sub) Granted() {
	s.work.executor.workers.Run(s)
}

// Refused implements zladmission.Waiter.
func (s *sub) Refused(reason zlquery.Reason, retryAfter time.Duration) {
	s.reply(notRun(reason, retryAfter))
}

// Gate implements Permit.
func (s *sub) Gate() *zladmission.Gate {
	return s.gate.Load()
}

// Start implements Permit. It is the last check before the first byte is
// written. The view is checked again only if it has changed since admission.
func (s *sub) Start(c *zladmission.Conn) zlquery.Reason {
	e := s.work.executor
	if view := e.Views.Load(); view != s.view {
		if _, reason := e.findUpstream(view, s.request.Upstream); reason != zlquery.ReasonNone {
			return reason
		}
	}
	grant := e.grant(s.upstream)
	if grant.Refusal != zlquery.ReasonNone {
		return grant.Refusal
	}
	if !grant.Until.IsZero() && grant.Until.Before(s.fetch.Deadline) {
		// The upstream could work past the end of the lease, since the deadline
		// that it would be sent is later.
		return zlquery.ReasonNotHolder
	}
	return s.Gate().Start(&s.ticket, c)
}

// run calls the upstream of an admitted sub-request and replies.
func (s *sub) run() {
	e := s.work.executor
	fetched := e.Fetcher.Fetch(context.Background(), s.upstream, &s.fetch)
	took := s.Gate().End(&s.ticket, outcomeOf(&fetched), fetched.Process)
	if done, ok := fetched.Result.(zlquery.Done); ok {
		done.Service = took
		fetched.Result = done
	}
	s.reply(fetched.Result)
}

// giveUp replies immediately. A call that is under way is asked to stop and
// ends later.
func (s *sub) giveUp(reason zlquery.Reason) {
	if s.finished.Load() {
		return
	}
	s.givenUp.Store(true)
	gate := s.gate.Load()
	unsent := gate == nil || gate.Leave(&s.ticket)
	s.fetch.Abandon()
	if unsent {
		s.reply(notRun(reason, 0))
		return
	}
	s.reply(zlquery.Unknown{
		Reason: reason,
	})
}

// reply hands over the first reply; later ones are dropped.
func (s *sub) reply(result zlquery.Result) {
	if !s.finished.CompareAndSwap(false, true) {
		return
	}
	s.work.sink(zlquery.Reply{
		Query:  s.work.batch.Query,
		Sub:    s.request.ID,
		Result: result,
	})
	s.work.countReply()
}

// outcomeOf returns what the result of a call means for the gate.
func outcomeOf(f *Fetched) zladmission.Outcome {
	switch result := f.Result.(type) {
	case zlquery.Done:
		return zladmission.OutcomeDone
	case zlquery.NotRun:
		return refusalOutcome(result.Reason)
	case zlquery.Unknown:
		switch result.Reason {
		case zlquery.ReasonCancelled, zlquery.ReasonDeadline:
			return zladmission.OutcomeGivenUp
		case zlquery.ReasonShed, zlquery.ReasonDraining:
			return refusalOutcome(result.Reason)
		default:
			return zladmission.OutcomeFailed
		}
	default:
		return zladmission.OutcomeFailed
	}
}

// refusalOutcome returns what a refusal by an upstream means for its gate.
func refusalOutcome(reason zlquery.Reason) zladmission.Outcome {
	switch reason {
	case zlquery.ReasonShed:
		return zladmission.OutcomeShed
	case zlquery.ReasonDraining:
		return zladmission.OutcomeDraining
	default:
		return zladmission.OutcomeRefused
	}
}

func notRun(reason zlquery.Reason, retryAfter time.Duration) zlquery.Result {
	return zlquery.NotRun{
		Reason:     reason,
		RetryAfter: retryAfter,
	}
}

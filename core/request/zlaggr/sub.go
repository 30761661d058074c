package zlaggr

import (
	"context"
	"sync/atomic"
	"time"

	"zinnialock/core/connection/zlgate"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/core/version/zlview"
)

// sub is one sub-request being served. It is the entrant at the gate and the
// permit of its own call.
type sub struct {
	work     *Work
	ask      *zlquery.Sub
	upstream zlcatalog.Upstream
	// view is what begin decided from.
	view *zlview.View
	// guard is set once the sub-request has entered it.
	guard  atomic.Pointer[zlgate.Gate]
	ticket zlgate.Ticket
	fetch  Fetch
	// gaveUp is set before the guard is looked at, so that a sub-request that
	// was given up is never entered.
	gaveUp atomic.Bool
	over   atomic.Bool
}

// begin checks whether this daemon may serve the sub-request and enters it at
// its upstream's gate.
func (s *sub) begin() {
	a := s.work.aggregator
	s.view = a.Views.Load()
	u, reason := a.place(s.view, s.ask.Upstream)
	if reason != zlquery.ReasonNone {
		s.reply(notRun(reason, 0))
		return
	}
	grant := a.grant(u)
	if grant.Refusal != zlquery.ReasonNone {
		s.reply(notRun(grant.Refusal, 0))
		return
	}
	s.upstream = u
	deadline := grant.cut(s.work.deadline)
	s.prepare(deadline)
	gate := a.gate(&u, &grant)
	if reason := spare(s.ask, gate); reason != zlquery.ReasonNone {
		s.reply(notRun(reason, 0))
		return
	}
	s.guard.Store(gate)
	if s.gaveUp.Load() {
		return
	}
	if deadline.Before(s.work.deadline) {
		a.Timer.Call(deadline.Sub(a.Timer.Now()), func() {
			s.giveUp(zlquery.ReasonDeadline)
		})
	}
	gate.Enter(&s.ticket)
}

// place finds an upstream that this daemon may send new work to, by view.
func (a *Aggregator) place(view *zlview.View, name zlunit.Upstream) (zlcatalog.Upstream, zlquery.Reason) {
	if view == nil {
		return zlcatalog.Upstream{}, zlquery.ReasonNoReplica
	}
	u, ok := view.Upstream(name)
	if !ok {
		return zlcatalog.Upstream{}, zlquery.ReasonNoReplica
	}
	holders := view.Holders(name)
	switch {
	case len(holders) == 0 || holders[0] != a.Self:
		return zlcatalog.Upstream{}, zlquery.ReasonNotHolder
	case view.Marks.UpstreamOut(name, u.DataCentre):
		return zlcatalog.Upstream{}, zlquery.ReasonMarkedOut
	case u.Leaving:
		return zlcatalog.Upstream{}, zlquery.ReasonDraining
	default:
		return u, zlquery.ReasonNone
	}
}

// spare tells why a hedge does not go to an upstream: it is not needed, so only
// one that is known to be warm, or past its cold start with room, gets it.
func spare(ask *zlquery.Sub, gate *zlgate.Gate) zlquery.Reason {
	if !ask.Hedge {
		return zlquery.ReasonNone
	}
	now := gate.Snapshot()
	switch now.State {
	case zlgate.StateCold:
		return zlquery.ReasonColdBudget
	case zlgate.StateWarming:
		if now.InFlight+now.Queued >= now.Limit {
			return zlquery.ReasonColdBudget
		}
		return zlquery.ReasonNone
	case zlgate.StateShedding:
		return zlquery.ReasonShed
	case zlgate.StateDraining:
		return zlquery.ReasonDraining
	case zlgate.StateGone:
		return zlquery.ReasonDialFailed
	default:
		return zlquery.ReasonNone
	}
}

func (s *sub) prepare(deadline time.Time) {
	b := s.work.batch
	s.ticket.Kind = b.Kind
	s.ticket.Value = zlgate.ValueOf(b.Priority, rankOf(s.ask), b.Query)
	s.ticket.Deadline = deadline
	s.ticket.Entrant = s
	s.fetch.Query = b.Query
	s.fetch.Request = b.Request
	s.fetch.Shard = s.ask.Shard
	s.fetch.Version = s.ask.Version
	s.fetch.Text = b.Text
	s.fetch.Idempotent = b.Idempotent
	s.fetch.Deadline = deadline
	s.fetch.Permit = s
}

func rankOf(ask *zlquery.Sub) zlgate.Rank {
	switch {
	case ask.Hedge:
		return zlgate.RankHedge
	case ask.Retry:
		return zlgate.RankRetry
	default:
		return zlgate.RankFirst
	}
}

// Granted implements zlgate.Entrant.
func (s *sub) Granted() {
	s.work.aggregator.workers.Run(s)
}

// Refused implements zlgate.Entrant.
func (s *sub) Refused(reason zlquery.Reason, retryAfter time.Duration) {
	s.reply(notRun(reason, retryAfter))
}

// Gate implements Permit.
func (s *sub) Gate() *zlgate.Gate {
	return s.guard.Load()
}

// Start implements Permit: the last check before the first byte. What the view
// says is looked at again only if there is a newer one.
func (s *sub) Start(c *zlgate.Conn) zlquery.Reason {
	a := s.work.aggregator
	if view := a.Views.Load(); view != s.view {
		if _, reason := a.place(view, s.ask.Upstream); reason != zlquery.ReasonNone {
			return reason
		}
	}
	grant := a.grant(s.upstream)
	if grant.Refusal != zlquery.ReasonNone {
		return grant.Refusal
	}
	if !grant.Until.IsZero() && grant.Until.Before(s.fetch.Deadline) {
		// The deadline that would be sent is past what may be held.
		return zlquery.ReasonNotHolder
	}
	return s.Gate().Start(&s.ticket, c)
}

func (s *sub) run() {
	a := s.work.aggregator
	fetched := a.Fetcher.Fetch(context.Background(), s.upstream, &s.fetch)
	took := s.Gate().End(&s.ticket, outcomeOf(&fetched), fetched.Process)
	if done, ok := fetched.Result.(zlquery.Done); ok {
		done.Service = took
		fetched.Result = done
	}
	s.reply(fetched.Result)
}

// giveUp replies at once; the call, if out, ends on its own.
func (s *sub) giveUp(reason zlquery.Reason) {
	if s.over.Load() {
		return
	}
	s.gaveUp.Store(true)
	gate := s.guard.Load()
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

// reply hands over the one reply; later ones are dropped.
func (s *sub) reply(result zlquery.Result) {
	if !s.over.CompareAndSwap(false, true) {
		return
	}
	s.work.sink(zlquery.Reply{
		Query:  s.work.batch.Query,
		Sub:    s.ask.ID,
		Result: result,
	})
	s.work.replied()
}

func outcomeOf(f *Fetched) zlgate.Outcome {
	switch result := f.Result.(type) {
	case zlquery.Done:
		return zlgate.OutcomeDone
	case zlquery.NotRun:
		return refusalOutcome(result.Reason)
	case zlquery.Unknown:
		switch result.Reason {
		case zlquery.ReasonCancelled, zlquery.ReasonDeadline:
			return zlgate.OutcomeGivenUp
		case zlquery.ReasonShed, zlquery.ReasonDraining:
			return refusalOutcome(result.Reason)
		default:
			return zlgate.OutcomeFailed
		}
	default:
		return zlgate.OutcomeFailed
	}
}

func refusalOutcome(reason zlquery.Reason) zlgate.Outcome {
	switch reason {
	case zlquery.ReasonShed:
		return zlgate.OutcomeShed
	case zlquery.ReasonDraining:
		return zlgate.OutcomeDraining
	default:
		return zlgate.OutcomeRefused
	}
}

func notRun(reason zlquery.Reason, retryAfter time.Duration) zlquery.Result {
	return zlquery.NotRun{
		Reason:     reason,
		RetryAfter: retryAfter,
	}
}

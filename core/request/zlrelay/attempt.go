package zlrelay

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"zinnialock/core/process/zlbalancer"
	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zluplink"
)

// The states of an attempt.
const (
	attemptPending int32 = iota
	attemptStarted
	attemptAbandoned
)

// attempt is one send to one replica.
type attempt struct {
	part      *part
	placement *zlbalancer.Placement
	cancel    context.CancelFunc
	state     atomic.Int32
	placedAt  time.Time
	// overdueAt is when the attempt becomes overdue, and overdue is set once it
	// is. charged is set if the attempt was charged to the budget.
	overdueAt time.Time
	charged   bool
	overdue   bool
	// round is that of crashState.
	round int
}

// isOverdue reports whether the attempt is overdue. If another request to the same
// replica is overdue, the attempt counts as overdue once the expected latency has passed.
func (a *attempt) isOverdue(now time.Time) bool {
	if !now.Before(a.overdueAt) {
		return true
	}
	return now.Sub(a.placedAt) >= a.part.run.expectedLatency && a.placement.Flight.ReplicaOverdue()
}

func (p *part) launch(now time.Time, placement *zlbalancer.Placement, charged bool) {
	x := p.run
	ctx, cancel := context.WithCancel(context.WithoutCancel(x.ctx))
	a := &attempt{
		part:      p,
		placement: placement,
		cancel:    cancel,
		placedAt:  now,
		overdueAt: now.Add(x.overdueAfter),
		charged:   charged,
	}
	x.noteLaunch(a)
	x.count(now)
	x.account.Use(now, 1)
	if uplink := x.relay.Uplink; uplink != nil {
		uplink.Sent(placement.Entry.ID)
	}
	p.inFlight = append(p.inFlight, a)
	p.tried = append(p.tried, placement.Entry.ID)
	p.sends++
	p.arrivals++
	p.mayHaveRun++
	x.sends++
	x.relay.sends.Add(1)
	go a.send(ctx, placement.Remote && x.relay.Placer.IsScarce(x.view.Table.Services[p.service]))
}

// send sends the request to the replica and delivers the result to the run. It
// runs in its own goroutine.
func (a *attempt) send(ctx context.Context, shortIdle bool) {
	x := a.part.run
	defer x.relay.sends.Done()
	defer a.cancel()
	reply := x.relay.Sender.Send(ctx, a.placement.Entry, &Call{
		Request:   x.req,
		Deadline:  x.deadline,
		Start:     a.begin,
		ShortIdle: shortIdle,
	})
	report := a.evidence(ctx, reply)
	a.recordOutcome(ctx, reply)
	x.deliver(result{
		attempt: a,
		reply:   reply,
	})
	// After the delivery, so that the caller does not wait for locks of the evidence.
	report()
}

// begin implements Call.Start: it denies the first byte if the attempt was
// abandoned, the deadline has passed, or the replica may no longer be used or asked for
// no requests since it was chosen.
func (a *attempt) begin() bool {
	x := a.part.run
	now := x.relay.Timer.Now()
	if !now.Before(x.deadline) || !a.replicaUsable() || !a.placement.Flight.MaySend(now) {
		return false
	}
	if !a.state.CompareAndSwap(attemptPending, attemptStarted) {
		return false
	}
	a.placement.Flight.MarkSent(now)
	return true
}

// replicaUsable reports whether the newest view still has the same incarnation of
// the replica, in a data centre that is in service.
func (a *attempt) replicaUsable() bool {
	v := a.part.run.relay.Registry.Current()
	if v.OutOfService[a.placement.Entry.DataCentre] {
		return false
	}
	for _, e := range v.Replicas[a.part.service] {
		if e.ID == a.placement.Entry.ID {
			return e.Incarnation == a.placement.Entry.Incarnation
		}
	}
	return false
}

// abandon prevents an attempt from starting and reports whether it did: false
// means that the attempt has started already.
func (a *attempt) abandon() bool {
	return a.state.CompareAndSwap(attemptPending, attemptAbandoned)
}

// removeUnstarted removes an abandoned attempt, which neither reached the replica
// nor ran, and returns its charge to the budget.
func (p *part) removeUnstarted(a *attempt) {
	a.cancel()
	p.removeAttempt(a)
	if p.run.crash.canary == a {
		p.run.crash.canary = nil
	}
	p.mayHaveRun--
	p.arrivals--
	if a.charged {
		p.window.RefundOf(p.run.relay.Timer.Now(), p.run.account.Name())
	}
}

// recordOutcome updates the replica's record and the latency profile with the
// result of the attempt.
func (a *attempt) recordOutcome(ctx context.Context, reply Reply) {
	x := a.part.run
	now := x.relay.Timer.Now()
	started := a.state.Load() == attemptStarted
	outcome := zlbalancer.OutcomeServed
	retryAfter := time.Duration(0)
	var notice Notice
	// genuine is set if the answer is certainly the replica's own.
	genuine := false
	switch rep := reply.(type) {
	case *Response:
		notice = rep.Notice
		genuine = true
		a.placement.Flight.SetResponseBytes(len(rep.Body))
		if rep.Status >= http.StatusInternalServerError {
			outcome = zlbalancer.OutcomeFailed
		} else {
			x.profile.Observe(now, now.Sub(a.placedAt))
		}
	case *NotRun:
		notice = rep.Notice
		retryAfter = rep.RetryAfter
		outcome = zlbalancer.OutcomeRefused
		genuine = rep.Arrived && rep.Reason == zldecision.ReasonRefused
		switch {
		case !rep.Arrived:
			outcome = zlbalancer.OutcomeUnreached
		case rep.Reason == zldecision.ReasonWrongReplica:
			outcome = zlbalancer.OutcomeMoved
		}
	case *Unknown:
		notice = rep.Notice
		outcome = zlbalancer.OutcomeFailed
	}
	a.recordNotice(now, notice)
	a.recordRateLimit(now, notice, genuine)
	a.recordUplink(ctx, reply)
	if ctx.Err() != nil && outcome != zlbalancer.OutcomeServed {
		outcome = zlbalancer.OutcomeGivenUp
		if started && a.isPastOverdueTime(now) {
			x.profile.Observe(now, now.Sub(a.placedAt))
		}
	}
	a.placement.Flight.Done(now, outcome, x.expectedLatency, retryAfter)
}

// recordUplink notes for the uplink whether a replica answered. A send that was given up
// says nothing of it.
func (a *attempt) recordUplink(ctx context.Context, reply Reply) {
	uplink := a.part.run.relay.Uplink
	if uplink == nil {
		return
	}
	answered := false
	switch rep := reply.(type) {
	case *Response:
		answered = true
	case *NotRun:
		answered = rep.Arrived
		if rep.Reason == zldecision.ReasonOutOfService {
			return
		}
	case *Unknown:
		answered = rep.Reason != zldecision.ReasonConnectionBroken
	}
	switch {
	case answered:
		uplink.Answered(a.placedAt)
	case ctx.Err() == nil:
		failure := zluplink.FailureBroken
		if _, ok := reply.(*NotRun); ok {
			failure = zluplink.FailureUnconnected
		}
		uplink.Failed(a.placement.Entry.ID, a.placedAt, failure)
	}
}

// recordNotice applies what the replica said of itself, and records it.
func (a *attempt) recordNotice(now time.Time, n Notice) {
	if n == (Notice{}) {
		return
	}
	e := &zldecision.Belief{
		Topic:   "replica",
		Name:    string(a.placement.Entry.ID),
		Service: a.part.service,
	}
	if n.Leaving && a.placement.Flight.MarkLeaving(now) {
		e.What = "leaving"
		a.part.run.relay.note(e)
	}
	if n.Backoff > 0 {
		a.placement.Flight.BackOff(now, n.Backoff)
		backoff := *e
		backoff.What = "backoff"
		a.part.run.relay.note(&backoff)
	}
}

// recordRateLimit applies the rate limit that the replica named, and records a change. A
// genuine answer without one ends the limit.
func (a *attempt) recordRateLimit(now time.Time, n Notice, genuine bool) {
	what := "limited"
	switch {
	case n.RateLimited:
		if !a.placement.Flight.SetRateLimit(now, n.RateLimit) {
			return
		}
	case !genuine || !a.placement.Flight.ClearRateLimit():
		return
	default:
		what = "unlimited"
	}
	a.part.run.relay.note(&zldecision.Belief{
		Topic:     "replica",
		Name:      string(a.placement.Entry.ID),
		Service:   a.part.service,
		What:      what,
		RateLimit: n.RateLimit,
	})
}

func (a *attempt) isPastOverdueTime(now time.Time) bool {
	return !now.Before(a.overdueAt)
}

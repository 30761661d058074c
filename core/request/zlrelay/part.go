package zlrelay

import (
	"time"

	"zinnialock/core/process/zlbalancer"
	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlsendbudget"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/process/zluplink"
)

// part is the state of a request at one service: its only service, or one shard.
type part struct {
	run     *run
	service zlunit.Service
	window  *zlsendbudget.Window

	// response is the usable response. failure is an error response of a
	// replica, which the caller gets if there is no usable one.
	response *Response
	failure  *Response
	servedBy zlunit.Upstream
	// lostReason is why the part gets no response; it is empty while the part
	// may still get one.
	lostReason zldecision.Reason

	inFlight []*attempt
	tried    []zlunit.Upstream
	// arrivals counts the sends that may have reached a replica; mayHaveRun
	// counts those that are not proven not to have run.
	arrivals   int
	mayHaveRun int
	sends      int
	// heard is set once a replica answered a send, whatever the answer.
	heard bool
	// forwarded is set while another VM serves the part.
	forwarded bool
	// budgetNoted is set once a second send was held back for lack of budget, so
	// that this is recorded only once.
	budgetNoted   bool
	sendReason    zldecision.Reason
	waiter        *zlbalancer.Waiter
	nextPlacement time.Time
}

func (p *part) isOpen() bool {
	return p.response == nil && p.lostReason == ""
}

// step makes the sends that are due and marks the newest one overdue.
func (p *part) step(now time.Time) {
	if !p.isOpen() || p.forwarded {
		return
	}
	if len(p.inFlight) == 0 {
		if p.nextPlacement.IsZero() || !now.Before(p.nextPlacement) || p.waiter != nil {
			p.sendNext(now, p.sendReason)
		}
		return
	}
	a := p.inFlight[len(p.inFlight)-1]
	p.checkOverdue(now)
	if a.overdue && (p.nextPlacement.IsZero() || !now.Before(p.nextPlacement)) {
		p.hedge(now, a)
	}
}

// checkOverdue marks the newest send overdue once it is.
func (p *part) checkOverdue(now time.Time) {
	if !p.isOpen() || len(p.inFlight) == 0 {
		return
	}
	a := p.inFlight[len(p.inFlight)-1]
	if a.overdue || !a.isOverdue(now) {
		return
	}
	a.overdue = true
	if now.Before(a.overdueAt) {
		return
	}
	a.placement.Flight.MarkOverdue(now)
	if uplink := p.run.relay.Uplink; uplink != nil {
		uplink.Failed(a.placement.Entry.ID, a.placedAt, zluplink.FailureOverdue)
	}
}

// nextWakeup returns when step must be called next, or zero if no time is known.
func (p *part) nextWakeup() time.Time {
	if !p.isOpen() || p.forwarded {
		return time.Time{}
	}
	if len(p.inFlight) == 0 || p.inFlight[len(p.inFlight)-1].overdue {
		return p.nextPlacement
	}
	return p.inFlight[len(p.inFlight)-1].overdueAt
}

// hedge sends to another replica while first is under way. If first has sent
// nothing yet, it is cancelled and replaced instead.
func (p *part) hedge(now time.Time, first *attempt) {
	x := p.run
	p.nextPlacement = now.Add(placementRetryInterval)
	reason := zldecision.ReasonOverdue
	if now.Before(first.overdueAt) {
		reason = zldecision.ReasonReplicaOverdue
	}
	if first.abandon() {
		p.removeUnstarted(first)
		p.sendNext(now, zldecision.ReasonUnreached)
		return
	}
	if !x.route.Idempotent {
		p.nextPlacement = x.deadline
		return
	}
	if p.mayHaveRun >= x.route.Attempts || p.sends >= maxSendsPerPart {
		p.nextPlacement = x.deadline
		return
	}
	if x.crash.suspected || !x.mayHedgeBlindly() {
		return
	}
	p.placeAndSend(now, reason, first.placement.Entry.ID, true)
}

// sendNext makes the first send, or a retry after one that ended. The reason is
// empty for a first send.
func (p *part) sendNext(now time.Time, reason zldecision.Reason) {
	x := p.run
	if p.sends >= maxSendsPerPart || p.mayHaveRun >= max(x.route.Attempts, 1) {
		p.markLost(zldecision.ReasonAttemptsUsed)
		return
	}
	if p.mayHaveRun > 0 && !x.route.Idempotent {
		p.markLost(zldecision.ReasonConnectionBroken)
		return
	}
	if p.waitsForOthers(now) {
		return
	}
	from := zlunit.Upstream("")
	if len(p.tried) > 0 {
		from = p.tried[len(p.tried)-1]
	}
	p.placeAndSend(now, reason, from, false)
}

// placeAndSend selects a replica and sends to it; hedge means that another send is
// under way. A hedge or retry is charged to the budget of second sends unless
// nothing has reached a replica before.
func (p *part) placeAndSend(now time.Time, reason zldecision.Reason, from zlunit.Upstream, hedge bool) {
	x := p.run
	if p.mayCrash(now) {
		return
	}
	charged := p.arrivals > 0 || hedge
	if charged && !p.spendBudget(now, hedge) {
		p.holdForBudget(now, reason, from, hedge)
		return
	}
	placement, result := x.relay.Placer.Place(x.relay.Registry.Current(), now, &zlbalancer.PlacementRequest{
		Service:     p.service,
		Skip:        p.tried,
		HealthyOnly: hedge,
		Target:      x.replyTarget,
		Draw:        x.draw,
		Turn:        x.turn(),
		Started:     x.route.IsSharded() || p.sends > 0,
		Waiter:      p.waiter,
		Notify:      x.wake,
	})
	if result == zlbalancer.Placed {
		p.nextPlacement = time.Time{}
		p.leaveQueue()
		p.launch(now, placement, charged)
		if reason != "" {
			x.relay.note(&zldecision.Sent{
				Subject:  x.subject(),
				Reason:   reason,
				Service:  p.service,
				From:     from,
				To:       placement.Entry.ID,
				InFlight: placement.InFlight,
				Budget:   p.window.Left(now),
			})
		}
		return
	}
	if charged {
		p.window.RefundOf(now, x.account.Name())
	}
	switch {
	case hedge:
	case result == zlbalancer.NoReplica:
		p.markLost(zldecision.ReasonNoReplica)
	case result == zlbalancer.BackingOff:
		p.markLost(zldecision.ReasonBackoff)
	case result == zlbalancer.RateLimited && p.rateComesTooLate(now):
		p.markLost(zldecision.ReasonRateLimited)
	default:
		p.joinQueue(now)
	}
}

// holdForBudget records a second send for which there is no budget. If nothing
// else is under way, the budget is checked again until placementEnd.
func (p *part) holdForBudget(now time.Time, reason zldecision.Reason, from zlunit.Upstream, hedge bool) {
	if !hedge {
		p.nextPlacement = now.Add(placementRetryInterval)
		if !now.Before(p.run.placementEnd()) {
			p.markLost(zldecision.ReasonNoBudget)
		}
	}
	if p.budgetNoted {
		return
	}
	p.budgetNoted = true
	p.run.relay.note(&zldecision.Held{
		Subject: p.run.subject(),
		Reason:  reason,
		Service: p.service,
		From:    from,
		Budget:  p.window.Left(now),
	})
}

// joinQueue queues the part for capacity at a replica of its service.
func (p *part) joinQueue(now time.Time) {
	x := p.run
	if !now.Before(x.placementEnd()) {
		p.markLost(zldecision.ReasonNoRoom)
		return
	}
	p.nextPlacement = now.Add(placementRetryInterval)
	if end := x.placementEnd(); end.Before(p.nextPlacement) {
		p.nextPlacement = end
	}
	if p.waiter != nil {
		return
	}
	p.waiter = &zlbalancer.Waiter{
		Service: p.service,
		Turn:    *x.turn(),
		Due:     x.partialAnswerAt,
		Started: x.route.IsSharded() && x.admitted || p.sends > 0,
		Notify:  x.wake,
	}
	x.relay.Placer.Wait(now, p.waiter)
}

// rateComesTooLate reports whether the replicas' rate limits allow the part only when an
// answer is of no use any more.
func (p *part) rateComesTooLate(now time.Time) bool {
	x := p.run
	until := x.placementEnd()
	if x.route.IsSharded() {
		until = x.partialAnswerAt.Add(-x.expectedLatency)
	}
	return now.Add(x.relay.Placer.RateLimitWait(x.view, now, p.service, p.waiter)).After(until)
}

// leaveQueue removes the part from the queue for capacity, if it is in it.
func (p *part) leaveQueue() {
	if p.waiter != nil {
		p.run.relay.Placer.Leave(p.waiter)
		p.waiter = nil
	}
}

func (p *part) markLost(reason zldecision.Reason) {
	p.lostReason = reason
	p.leaveQueue()
}

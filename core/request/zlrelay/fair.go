package zlrelay

import (
	"time"

	"zinnialock/core/process/zlbalancer"
	"zinnialock/core/process/zldecision"
	"zinnialock/core/version/zltable"
)

// setOrganisation sets the organisation of the caller, nil if it has none, and the account that
// its sends count for. Callers without an organisation have one account together, unless the
// deployment has no organisations.
func (x *run) setOrganisation(o *zltable.Organisation) {
	x.organisation = o
	if x.view.KeyTable().NeedsKeys() {
		x.account = x.relay.shares.Account(x.req.Organisation)
		x.account.SetLimited(o != nil && o.Rate > 0 && x.relay.Limiter != nil)
	}
}

// turn returns what orders the request in the queue for capacity at a replica: the priority of
// the organisation, or of the route if that has none, then the organisation's fair share. It
// then puts retries of callers that were refused before first attempts, so that no caller is
// refused twice while others are admitted at once.
func (x *run) turn() *zlbalancer.Turn {
	t := &zlbalancer.Turn{
		Priority:  x.route.Priority,
		Account:   x.account,
		Returning: x.likelyRetry,
	}
	if x.organisation != nil && x.organisation.HasPriority {
		t.Priority = x.organisation.Priority
	}
	return t
}

// waitsForOthers queues a part of a request that is not scattered behind those that go first,
// if the deployment has organisations, and reports whether it did. Otherwise a place that is
// free when a request arrives is its own.
func (p *part) waitsForOthers(now time.Time) bool {
	x := p.run
	if x.account == nil || x.route.IsSharded() || p.sends > 0 || !x.relay.Placer.MustWait(x.view, now, p.service, x.turn()) {
		return false
	}
	p.joinQueue(now)
	if p.isHopeless(now) {
		p.markLost(zldecision.ReasonOverShare)
	}
	return true
}

// isHopeless reports whether the part waits and will get no place in time, since its
// organisation is over its fair share and others wait. It is refused then, so that the caller
// can still be served elsewhere or later.
func (p *part) isHopeless(now time.Time) bool {
	return p.waiter != nil && p.run.relay.Placer.IsHopeless(now, p.waiter, p.run.placementDeadline)
}

// spendBudget charges a second send to the budget of the service; it is limited to the
// organisation's fair share while the budget is short.
func (p *part) spendBudget(now time.Time, hedge bool) bool {
	x := p.run
	return p.window.SpendOf(now, x.budgetReserve(hedge), x.account.Name(), x.account.FairShare(now))
}

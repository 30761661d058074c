package zlrelay

import (
	"context"
	"slices"
	"sync"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zltable"
)

const (
	// ForwardTransit is the time for the way from another VM and back, which its
	// caller's answer takes in addition.
	ForwardTransit = 4 * time.Millisecond
	// sendCPUTime is the processor time of one send to a replica and its reply, and
	// intakeShare the share of this VM's processor that the sends for other VMs may take.
	sendCPUTime = 142 * time.Microsecond
	intakeShare = 0.6
	// intakeBurst is for how long of that share the sends may come at once.
	intakeBurst = 250 * time.Millisecond
)

// ServeForward serves a request, or parts of one, for another VM. It declines if this VM
// cannot serve it, or ends before it did, and never forwards it itself.
func (r *Relay) ServeForward(ctx context.Context, f *Forward) ForwardReply {
	r.running.Add(1)
	defer r.running.Add(-1)
	view := r.Registry.Current()
	route, reason := r.checkForward(view, f)
	isTry := false
	if reason == "" {
		isTry, reason = r.admitForward(route, len(f.Parts))
	}
	if reason != "" {
		r.note(&zldecision.Refused{
			Subject: r.subjectOf(view, f.Request, route, f.Origin),
			Reason:  reason,
		})
		return &Declined{
			Reason:  reason,
			Serving: r.servingPeers(),
		}
	}
	x := r.newRun(ctx, view, route, f.Request)
	x.setOrganisation(r.identify(view, f.Request, f.Request.Organisation))
	x.forwarded = f
	x.forward.trying = isTry
	x.counted = f.Counted
	x.crash.suspected = f.Suspected
	services := make([]zlunit.Service, 0, len(f.Parts))
	for _, p := range f.Parts {
		services = append(services, p.Service)
	}
	x.setParts(services)
	for i, p := range f.Parts {
		x.parts[i].arrivals = p.Arrivals
		x.parts[i].mayHaveRun = p.MayHaveRun
	}
	answer := x.serve()
	if refused, ok := answer.(*Refused); ok && (refused.Reason == zldecision.ReasonUplinkLost || refused.Reason == zldecision.ReasonStopping) {
		return &Declined{
			Reason:  refused.Reason,
			Serving: r.servingPeers(),
		}
	}
	return &Relayed{
		Answer:  answer,
		Version: view.Table.Version,
	}
}

// checkForward returns the route of a forward, or why this VM's table does not allow it.
func (r *Relay) checkForward(view *zlregistry.View, f *Forward) (*zltable.Route, zldecision.Reason) {
	switch {
	case !view.Ready():
		return nil, zldecision.ReasonNoTable
	case view.Table.Version < f.Version:
		return nil, zldecision.ReasonOldTable
	}
	route, ok := view.Table.Match(f.Request.Message.Host, f.Request.Message.Path)
	if !ok || len(f.Parts) == 0 || !routeHas(route, f.Parts) || f.Request.Organisation == "" && !allowsAnonymous(view, route, f.Request) {
		return nil, zldecision.ReasonOldTable
	}
	return route, ""
}

// admitForward returns why this VM makes no sends for a forward. isTry is set if the forward
// is the one by which the uplink is tried again: a VM without callers of its own has no other.
func (r *Relay) admitForward(route *zltable.Route, parts int) (isTry bool, reason zldecision.Reason) {
	if r.Uplink != nil && r.Uplink.IsLost() {
		if r.Uplink.Try(route.Idempotent) {
			return true, ""
		}
		return false, zldecision.ReasonUplinkLost
	}
	if !r.intake.allow(r.Timer.Now(), parts, r.intakeRate()) {
		return false, zldecision.ReasonBusy
	}
	return false, ""
}

// routeHas reports whether all parts are of services of the route.
func routeHas(route *zltable.Route, parts []ForwardPart) bool {
	for _, p := range parts {
		isTarget := slices.ContainsFunc(route.Targets, func(t zltable.Target) bool {
			return t.Service == p.Service
		})
		if !isTarget && !slices.Contains(route.Shards, p.Service) {
			return false
		}
	}
	return route.IsSharded() || len(parts) == 1
}

// stepForOrigin ends a request of another VM if this one has lost its uplink meanwhile, so
// that the other one can ask elsewhere.
func (x *run) stepForOrigin() (Answer, bool) {
	if !x.relay.Uplink.IsLost() || x.answeredParts() > 0 || x.stillTrying() {
		return nil, false
	}
	for i := range x.parts {
		p := &x.parts[i]
		for _, a := range p.inFlight {
			if a.abandon() {
				p.mayHaveRun--
			}
		}
		if p.mayHaveRun > x.forwarded.Parts[i].MayHaveRun {
			return x.fail(zldecision.ReasonUplinkLost, false), true
		}
	}
	return x.relay.refuse(x.view, x.req, x.route, zldecision.ReasonUplinkLost, ""), true
}

// intakeRate returns how many sends a second this VM makes for others.
func (r *Relay) intakeRate() float64 {
	cores := r.Settings.Cores
	if cores <= 0 {
		cores = 1
	}
	return intakeShare * cores / sendCPUTime.Seconds()
}

// intake limits the sends for other VMs.
//
// Load pattern: most VMs, or all but one, lose their paths to the replicas at once, and the
// few that are left are asked for more than they have processor time for. Their own callers
// and the requests that they take have to be answered in time; what exceeds that is declined
// at once, before anything is sent.
type intake struct {
	mu sync.Mutex
	// debt is how many sends are ahead of the rate, as of at.
	debt float64
	at   time.Time
}

// allow counts n sends unless the earlier ones have used up the burst.
func (i *intake) allow(now time.Time, n int, rate float64) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.at.IsZero() {
		i.debt = max(i.debt-rate*now.Sub(i.at).Seconds(), 0)
	}
	i.at = now
	if i.debt >= rate*intakeBurst.Seconds() {
		return false
	}
	i.debt += float64(n)
	return true
}

package zlrelay

import (
	"context"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlplace"
	"zinnialock/core/process/zlquantile"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zltable"
)

const (
	// answerMarginLeast is the least time before the objective's end at which an
	// answer that may lack parts goes out, besides what is on the way: late
	// timers, merging and writing. timerMargin is the first of these.
	answerMarginLeast = 4 * time.Millisecond
	timerMargin       = 2 * time.Millisecond
	// partWork is the processor time for each part by which the answer goes out
	// sooner on a VM with little of a processor, which may be busy with what
	// arrives for another request then: a quarter of the 142 us that a send and
	// its answer cost (half of it is the answer, half of that is to come on
	// average), by the processor seconds of two days of 65 VMs.
	partWork = 35 * time.Microsecond
	// marginMost bounds all that as a share of the objective.
	marginMost = 0.15
	// waitShare is the part of the objective within which a refusal is early, by
	// the platform's pages; the ways to and back are part of it, and waitMargin
	// is left for late timers.
	waitShare  = 0.25
	waitMargin = 2 * time.Millisecond
	// limitMargin is the time before the caller's deadline at which a request
	// ends: the way back (3 ms) and late timers.
	limitMargin = 10 * time.Millisecond
	// lookAgain is how often a place is looked for without a sign.
	lookAgain = 20 * time.Millisecond
	// sendsMost bounds what one part sends, refusals included.
	sendsMost = 4
	// budgetUse is the part of the bound on second sends that is used, since
	// VMs count windows that begin at different moments.
	budgetUse = 0.9
)

// run is one request under way. Its fields belong to the goroutine of serve.
type run struct {
	relay   *Relay
	view    *zlregistry.View
	route   *zltable.Route
	req     *Request
	ctx     context.Context
	profile *zlquantile.Tracker
	parts   []part
	results chan result
	nudges  chan struct{}
	// answerBy is when an answer that lacks parts goes out; placeBy when a
	// request that was not sent is turned away; limit when it ends.
	answerBy time.Time
	placeBy  time.Time
	limit    time.Time
	timedBy  zldecision.Reason
	sends    int
	expected time.Duration
	delay    time.Duration
	// target is the time in which an answer of a replica is of use.
	target time.Duration
	// admitted tells that enough parts had a place at once.
	admitted bool
	// returning tells that the caller was turned away before.
	returning bool
}

// result is how an attempt ended.
type result struct {
	attempt *attempt
	reply   Reply
}

func (r *Relay) start(ctx context.Context, v *zlregistry.View, route *zltable.Route, req *Request) *run {
	x := &run{
		relay:    r,
		ctx:      ctx,
		view:     v,
		route:    route,
		req:      req,
		profile:  r.profile(route),
		nudges:   make(chan struct{}, 1),
		answerBy: req.Received.Add(route.Objective - req.OnTheWay - r.answerMargin(route)),
		placeBy:  req.Received.Add(max(time.Duration(waitShare*float64(route.Objective))-req.OnTheWay-waitMargin, 0)),
		limit:    req.Received.Add(route.Timeout),
		timedBy:  zldecision.ReasonTimeout,
	}
	if end := req.Deadline.Add(-limitMargin); !req.Deadline.IsZero() && (end.Before(x.limit) || route.Timeout <= 0) {
		x.limit = end
		x.timedBy = zldecision.ReasonDeadline
	}
	if x.answerBy.After(x.limit) {
		x.answerBy = x.limit
	}
	services := route.Shards
	if !route.Scattered() {
		services = []zlunit.Service{r.target(v.Table, route)}
	}
	x.parts = make([]part, len(services))
	for i, s := range services {
		x.parts[i] = part{
			run:     x,
			service: s,
			window:  r.window(s),
		}
	}
	x.returning = r.isReturning(x.route, req)
	x.results = make(chan result, len(services)*sendsMost)
	return x
}

// answerMargin is how long before the objective's end an answer that lacks parts
// has to be on its way. It answers the pattern of many weak VMs, each with few
// requests of many parts.
func (r *Relay) answerMargin(route *zltable.Route) time.Duration {
	margin := answerMarginLeast
	if cores := r.Settings.Cores; cores > 0 && cores < 1 {
		work := float64(len(route.Shards)) * float64(partWork) / cores
		margin = max(margin, timerMargin+time.Duration(work))
	}
	return min(margin, max(time.Duration(marginMost*float64(route.Objective)), answerMarginLeast))
}

func (x *run) serve() Answer {
	defer x.finish()
	now := x.relay.Timer.Now()
	for i := range x.parts {
		x.parts[i].window.Request(now)
	}
	if x.route.Scattered() {
		if s, ok := x.reachable(); !ok {
			return x.relay.refuse(x.view, x.req, x.route, zldecision.ReasonTooFewShards, s)
		}
	}
	x.times(now)
	alarm := x.relay.Timer.After(time.Hour)
	defer alarm.Stop()
	for {
		if a := x.step(x.relay.Timer.Now()); a != nil {
			return a
		}
		alarm.Reset(max(x.next().Sub(x.relay.Timer.Now()), 0))
		select {
		case res := <-x.results:
			x.take(res)
			x.drain()
		case <-x.nudges:
		case <-alarm.C:
		case <-x.ctx.Done():
			return x.left()
		}
	}
}

// drain takes the results that are there already.
func (x *run) drain() {
	for {
		select {
		case res := <-x.results:
			x.take(res)
		default:
			return
		}
	}
}

// reachable reports whether enough shards have a replica that may serve; if
// not, it names one that has none.
func (x *run) reachable() (zlunit.Service, bool) {
	n := 0
	var without zlunit.Service
	for i := range x.parts {
		if zlplace.Any(x.view, x.parts[i].service) {
			n++
		} else {
			without = x.parts[i].service
		}
	}
	return without, n >= x.route.LeastParts()
}

// placeEnd is until when a place, or the budget for one, is waited for.
func (x *run) placeEnd() time.Time {
	if x.sends > 0 && x.route.Scattered() {
		return x.answerBy
	}
	return x.placeBy
}

// nudge wakes the run; it does not block.
func (x *run) nudge() {
	select {
	case x.nudges <- struct{}{}:
	default:
	}
}

// step does what is due and returns the answer once there is one.
func (x *run) step(now time.Time) Answer {
	if !x.admitted {
		if s, ok := x.admit(now); !ok {
			if now.Before(x.placeBy) {
				return nil
			}
			return x.relay.refuse(x.view, x.req, x.route, zldecision.ReasonNoRoom, s)
		}
	}
	if now.Before(x.limit) {
		for i := range x.parts {
			x.parts[i].step(now)
		}
	}
	if x.route.Scattered() {
		return x.settleParts(now)
	}
	return x.settleOne(now)
}

// admit reports whether enough shards have room now, so that the work of the
// others is not done for an answer that comes too late or never. It answers the
// pattern in which several shards bear less than they are asked: without it all
// requests wait for them and all are late. If not, it names a shard without room.
func (x *run) admit(now time.Time) (zlunit.Service, bool) {
	if !x.route.Scattered() {
		x.admitted = true
		return "", true
	}
	room := 0
	var without *part
	for i := range x.parts {
		p := &x.parts[i]
		if x.relay.Placer.Room(x.view, now, p.service, x.rank()) {
			room++
		} else if zlplace.Any(x.view, p.service) {
			without = p
		}
	}
	if room >= x.route.LeastParts() || without == nil {
		x.admitted = true
		return "", true
	}
	without.wait(now)
	return without.service, false
}

// rank orders those who wait for a place: the more urgent route first, then who
// was turned away before, so that nobody is twice while others get in at once.
func (x *run) rank() int {
	if x.returning {
		return 2 * x.route.Priority
	}
	return 2*x.route.Priority + 1
}

// next is when step is to be called at the latest.
func (x *run) next() time.Time {
	next := x.limit
	if !x.admitted && x.placeBy.Before(next) {
		next = x.placeBy
	}
	if x.route.Scattered() && x.answerBy.Before(next) && x.relay.Timer.Now().Before(x.answerBy) {
		next = x.answerBy
	}
	for i := range x.parts {
		if at := x.parts[i].next(); !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	return next
}

// finish ends what is under way for any part.
func (x *run) finish() {
	for i := range x.parts {
		x.parts[i].settle()
	}
}

// left notes that the caller is gone; finish ends the work.
func (x *run) left() Answer {
	x.relay.note(&zldecision.Failed{
		Subject: x.subject(),
		Reason:  zldecision.ReasonCallerLeft,
		Sends:   x.sends,
		Parts:   x.good(),
	})
	return nil
}

func (x *run) subject() zldecision.Subject {
	return x.relay.subject(x.view, x.req, x.route)
}

// good is how many parts are in.
func (x *run) good() int {
	n := 0
	for i := range x.parts {
		if x.parts[i].whole != nil {
			n++
		}
	}
	return n
}

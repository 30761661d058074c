package zlrelay

import (
	"context"
	"time"

	"zinnialock/core/process/zlbalancer"
	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlfairshare"
	"zinnialock/core/process/zlquantile"
	"zinnialock/core/process/zlquarantine"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zltable"
)

const (
	// minAnswerMargin is the least time before the end of the objective at which
	// a partial answer is sent, besides network transit. It covers late timers,
	// merging and writing; timerMargin is the share of late timers.
	minAnswerMargin = 4 * time.Millisecond
	timerMargin     = 2 * time.Millisecond
	// partCPUTime is the processor time for each part by which a VM with less
	// than one core sends a partial answer earlier, since it may be busy with
	// the parts of another request then. A send and its reply cost 142 us of
	// processor time (from the processor seconds of two days of 65 VMs); the
	// reply is half of that, and on average half of the replies are yet to come.
	partCPUTime = 35 * time.Microsecond
	// maxAnswerMarginShare limits the whole margin to a share of the objective.
	maxAnswerMarginShare = 0.15
	// refusalShare is the share of the objective within which the platform's
	// documentation counts a refusal as early. It includes network transit;
	// refusalMargin covers late timers.
	refusalShare  = 0.25
	refusalMargin = 2 * time.Millisecond
	// deadlineMargin is the time before the caller's deadline at which a request
	// ends. It covers the network transit of the answer (3 ms) and late timers.
	deadlineMargin = 10 * time.Millisecond
	// placementRetryInterval is the time between two searches for a replica if
	// no event wakes the request before.
	placementRetryInterval = 20 * time.Millisecond
	// maxSendsPerPart limits the sends of one part, including those that a
	// replica refused.
	maxSendsPerPart = 4
	// budgetUseShare is the share of the limit on second sends that is used,
	// since the windows of the VMs start at different times.
	budgetUseShare = 0.9
)

// run is the state of one request. Its fields are only used by the goroutine that
// runs serve, except where attempts read what is fixed at the start.
type run struct {
	relay *Relay
	view  *zlregistry.View
	route *zltable.Route
	req   *Request
	// organisation is the caller's organisation, nil if the request has none.
	organisation *zltable.Organisation
	// account is what the organisation used; nil in a deployment without organisations.
	account *zlfairshare.Account
	ctx     context.Context
	profile *zlquantile.Tracker
	parts   []part
	results chan result
	wakeups chan struct{}
	// partialAnswerAt is when an answer is sent even if parts are missing;
	// placementDeadline is when a request that was not sent is refused;
	// deadline is when the request ends, for the reason deadlineReason.
	partialAnswerAt   time.Time
	placementDeadline time.Time
	deadline          time.Time
	deadlineReason    zldecision.Reason
	// sends counts the sends of all parts.
	sends int
	// expectedLatency is the median time to a reply; overdueAfter is the time
	// after which a send is overdue.
	expectedLatency time.Duration
	overdueAfter    time.Duration
	// replyTarget is the time within which the reply of a replica is of use.
	replyTarget time.Duration
	// admitted is set once enough shards had capacity at the same time; until then
	// awaited is the part in whose queue the request waits.
	admitted bool
	awaited  *part
	// likelyRetry is set if the caller was probably refused before.
	likelyRetry bool
	// draw is that of zlbalancer.PlacementRequest.
	draw float64
	// broken is set once a connection broke after the request was sent.
	broken bool
	crash  crashState
	watch  crashWatch
	// counted is set once the request counts for the limit on second sends.
	counted bool
	// forwarded is what the request came with from another VM; nil if it came from a
	// caller.
	forwarded *Forward
	forward   forwardState
}

// result is the outcome of an attempt.
type result struct {
	attempt *attempt
	reply   Reply
}

// start returns the run of a caller's request.
func (r *Relay) start(ctx context.Context, v *zlregistry.View, route *zltable.Route, req *Request) *run {
	x := r.newRun(ctx, v, route, req)
	services := route.Shards
	if !route.IsSharded() {
		services = []zlunit.Service{r.nextTarget(v.Table, route)}
	}
	x.setParts(services)
	return x
}

// setParts sets the services of the parts.
func (x *run) setParts(services []zlunit.Service) {
	x.parts = make([]part, len(services))
	for i, s := range services {
		x.parts[i] = part{
			run:     x,
			service: s,
			window:  x.relay.window(s),
		}
	}
	x.results = make(chan result, len(services)*maxSendsPerPart)
}

// minParts returns how many parts an answer needs.
func (x *run) minParts() int {
	if x.forwarded != nil {
		return x.forwarded.MinParts
	}
	return x.route.MinParts()
}

// newRun returns a run without parts.
func (r *Relay) newRun(ctx context.Context, v *zlregistry.View, route *zltable.Route, req *Request) *run {
	x := &run{
		relay:   r,
		ctx:     ctx,
		view:    v,
		route:   route,
		req:     req,
		profile: r.profile(route),
		wakeups: make(chan struct{}, 1),
		forward: forwardState{
			results: make(chan forwardResult, maxForwards),
		},
		partialAnswerAt:   req.Received.Add(route.Objective - req.Transit - r.answerMargin(route)),
		placementDeadline: req.Received.Add(max(time.Duration(refusalShare*float64(route.Objective))-req.Transit-refusalMargin, 0)),
		deadline:          req.Received.Add(route.Timeout),
		deadlineReason:    zldecision.ReasonTimeout,
	}
	if end := req.Deadline.Add(-deadlineMargin); !req.Deadline.IsZero() && (end.Before(x.deadline) || route.Timeout <= 0) {
		x.deadline = end
		x.deadlineReason = zldecision.ReasonDeadline
	}
	if x.partialAnswerAt.After(x.deadline) {
		x.partialAnswerAt = x.deadline
	}
	x.likelyRetry = r.isLikelyRetry(x.route, req)
	if r.Placer.Restricted() {
		x.draw = r.randomFloat()
	}
	return x
}

// answerMargin returns how long before the end of the objective a partial answer
// is sent. It allows for VMs with a fraction of a core, which need long to process
// the many parts of a request.
func (r *Relay) answerMargin(route *zltable.Route) time.Duration {
	margin := minAnswerMargin
	if cores := r.Settings.Cores; cores > 0 && cores < 1 {
		work := float64(len(route.Shards)) * float64(partCPUTime) / cores
		margin = max(margin, timerMargin+time.Duration(work))
	}
	return min(margin, max(time.Duration(maxAnswerMarginShare*float64(route.Objective)), minAnswerMargin))
}

func (x *run) serve() Answer {
	defer x.cancelAll()
	now := x.relay.Timer.Now()
	x.enter()
	defer x.leave()
	if !x.likelyRetry {
		x.account.Ask(now, len(x.parts))
	}
	if !x.startsForwarded() {
		x.count(now)
	}
	if x.begin() == zlquarantine.Quarantined {
		return x.relay.refuse(x.view, x.req, x.route, zldecision.ReasonQuarantined, "")
	}
	if x.route.IsSharded() {
		if s, ok := x.enoughShardsAvailable(); !ok {
			return x.relay.refuse(x.view, x.req, x.route, zldecision.ReasonTooFewShards, s)
		}
	}
	x.setLatencies(now)
	wakeTimer := x.relay.Timer.After(time.Hour)
	defer wakeTimer.Stop()
	for {
		if answer := x.step(x.relay.Timer.Now()); answer != nil {
			return answer
		}
		wakeTimer.Reset(max(x.nextWakeup().Sub(x.relay.Timer.Now()), 0))
		select {
		case res := <-x.results:
			x.handleResult(res)
			x.drainResults()
		case res := <-x.forward.results:
			x.handleForward(x.relay.Timer.Now(), res)
		case <-x.wakeups:
		case <-wakeTimer.C:
		case <-x.ctx.Done():
			return x.callerLeft()
		}
	}
}

// drainResults handles the results that are already available.
func (x *run) drainResults() {
	for {
		select {
		case res := <-x.results:
			x.handleResult(res)
		default:
			return
		}
	}
}

// enoughShardsAvailable reports whether enough shards have a replica that may
// serve; if not, it returns a shard that has none.
func (x *run) enoughShardsAvailable() (zlunit.Service, bool) {
	n := 0
	var unavailable zlunit.Service
	for i := range x.parts {
		if x.relay.Placer.Available(x.view, x.relay.Timer.Now(), x.parts[i].service).Replicas > 0 {
			n++
		} else {
			unavailable = x.parts[i].service
		}
	}
	return unavailable, n >= x.minParts()
}

// placementEnd returns until when a part waits for capacity at a replica or for
// budget.
func (x *run) placementEnd() time.Time {
	if x.sends > 0 && x.route.IsSharded() {
		return x.partialAnswerAt
	}
	return x.placementDeadline
}

// wake makes serve call step; it does not block.
func (x *run) wake() {
	select {
	case x.wakeups <- struct{}{}:
	default:
	}
}

// step performs the actions that are due and returns the answer once there is
// one, or nil.
func (x *run) step(now time.Time) Answer {
	if answer, done := x.stepForward(now); done {
		return answer
	}
	if !x.admitted {
		if s, ok := x.admit(now); !ok {
			return x.awaitAdmission(now, s)
		}
	}
	if !x.isOver(now) {
		for i := range x.parts {
			x.parts[i].step(now)
		}
	}
	return x.answer(now)
}

// awaitAdmission refuses a request that waits for capacity of a service, or returns nil if
// it may still get some.
func (x *run) awaitAdmission(now time.Time, s zlunit.Service) Answer {
	reason := zldecision.ReasonNoRoom
	switch {
	case !x.admissible(now):
		reason = zldecision.ReasonRateLimited
	case x.relay.ended.Load():
		reason = zldecision.ReasonStopping
	case x.awaited != nil && x.awaited.isHopeless(now):
		reason = zldecision.ReasonOverShare
	case now.Before(x.placementDeadline):
		return nil
	}
	return x.relay.refuse(x.view, x.req, x.route, reason, s)
}

// answer returns the answer, or nil if it is not decided yet.
func (x *run) answer(now time.Time) Answer {
	if x.route.IsSharded() {
		return x.scatteredAnswer(now)
	}
	return x.singleAnswer(now)
}

// count counts the request for the limit on second sends, once.
func (x *run) count(now time.Time) {
	if x.counted {
		return
	}
	x.counted = true
	for i := range x.parts {
		x.parts[i].window.Request(now)
	}
}

// admit is the admission control of scattered requests: it reports whether enough
// shards have capacity now, and otherwise returns a shard without capacity. Without it,
// when several shards are overloaded, the other shards work for answers that come
// too late or never, and all requests wait for the overloaded shards and are late.
func (x *run) admit(now time.Time) (zlunit.Service, bool) {
	if !x.route.IsSharded() {
		x.admitted = true
		return "", true
	}
	turn := x.turn()
	available := 0
	var blocked *part
	for i := range x.parts {
		p := &x.parts[i]
		w := &zlbalancer.PlacementRequest{
			Service: p.service,
			Draw:    x.draw,
			Turn:    turn,
			Waiter:  p.waiter,
		}
		if x.relay.Placer.HasCapacity(x.view, now, w) {
			available++
		} else if x.relay.Placer.Available(x.view, now, p.service).Replicas > 0 {
			blocked = p
		}
	}
	if available >= x.minParts() || blocked == nil {
		x.admitted = true
		return "", true
	}
	if x.awaited != nil && x.awaited != blocked {
		x.awaited.leaveQueue()
		x.awaited.nextPlacement = time.Time{}
	}
	x.awaited = blocked
	blocked.joinQueue(now)
	return blocked.service, false
}

// admissible reports whether the rate limits of the replicas may still allow enough
// shards before placementDeadline.
func (x *run) admissible(now time.Time) bool {
	n := 0
	for i := range x.parts {
		wait := x.relay.Placer.RateLimitWait(x.view, now, x.parts[i].service, x.parts[i].waiter)
		if wait == 0 || wait <= x.placementDeadline.Sub(now) {
			n++
		}
	}
	return n >= x.minParts()
}

// nextWakeup returns when step must be called at the latest.
func (x *run) nextWakeup() time.Time {
	next := x.deadline
	if !x.admitted && x.placementDeadline.Before(next) {
		next = x.placementDeadline
	}
	if x.route.IsSharded() && x.partialAnswerAt.Before(next) && x.relay.Timer.Now().Before(x.partialAnswerAt) {
		next = x.partialAnswerAt
	}
	if at := x.forwardWakeup(); !at.IsZero() && at.Before(next) {
		next = at
	}
	for i := range x.parts {
		if at := x.parts[i].nextWakeup(); !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	return next
}

// cancelAll cancels the sends and leaves the queues of all parts.
func (x *run) cancelAll() {
	x.cancelForward()
	x.endWatched()
}

// callerLeft records that the caller disconnected; cancelAll then ends the work.
func (x *run) callerLeft() Answer {
	x.relay.note(&zldecision.Failed{
		Subject: x.subject(),
		Reason:  zldecision.ReasonCallerLeft,
		Sends:   x.sends,
		Parts:   x.answeredParts(),
	})
	return nil
}

func (x *run) subject() zldecision.Subject {
	origin := zlunit.VM("")
	if x.forwarded != nil {
		origin = x.forwarded.Origin
	}
	return x.relay.subjectOf(x.view, x.req, x.route, origin)
}

// answeredParts returns the number of parts that have a usable response.
func (x *run) answeredParts() int {
	n := 0
	for i := range x.parts {
		if x.parts[i].response != nil {
			n++
		}
	}
	return n
}

package zlrelay

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zltable"
)

const (
	// retryAfterShare limits Retry-After to a share of the caller's remaining
	// time; callers honour up to a third of it.
	retryAfterShare = 0.3
	// minRetryAfter and maxRetryAfter limit Retry-After.
	minRetryAfter = 20 * time.Millisecond
	// returnSpread is the share of a back-off of all replicas over which the callers'
	// returns are spread after it.
	returnSpread  = 0.25
	maxRetryAfter = 2 * time.Second
)

// handleResult updates the part of an attempt that ended.
func (x *run) handleResult(res result) {
	a := res.attempt
	p := a.part
	if a.state.Load() == attemptAbandoned {
		return
	}
	p.removeAttempt(a)
	x.noteReply(a, res.reply)
	switch rep := res.reply.(type) {
	case *Response:
		p.heard = true
		switch {
		case !x.isUsable(rep):
			p.failure = rep
			p.sendReason = zldecision.ReasonReplicaFailed
		case p.response == nil:
			p.response = rep
			p.servedBy = a.placement.Entry.ID
			p.cancelAttempts()
		}
	case *NotRun:
		p.heard = p.heard || rep.Arrived
		p.mayHaveRun--
		if !rep.Arrived {
			p.arrivals--
			if a.charged {
				p.window.RefundOf(x.relay.Timer.Now(), x.account.Name())
			}
		}
		p.sendReason = rep.Reason
	case *Unknown:
		p.sendReason = rep.Reason
		x.broken = x.broken || rep.Reason == zldecision.ReasonConnectionBroken
	}
	p.nextPlacement = time.Time{}
}

// isUsable reports whether a response can be passed to the caller or, for a
// scattered request, merged. A server error is not usable, and neither is a part
// without a signature.
func (x *run) isUsable(w *Response) bool {
	if x.route.IsSharded() {
		return w.Status >= http.StatusOK && w.Status < http.StatusMultipleChoices && w.Signature != ""
	}
	return w.Status < http.StatusInternalServerError
}

// cancelAttempts cancels all sends of the part and leaves the queue for capacity.
func (p *part) cancelAttempts() {
	now := p.run.relay.Timer.Now()
	for _, a := range p.inFlight {
		a.cancelSuperseded(now)
	}
	p.leaveQueue()
}

func (p *part) removeAttempt(a *attempt) {
	if i := slices.Index(p.inFlight, a); i >= 0 {
		p.inFlight = slices.Delete(p.inFlight, i, i+1)
	}
}

// singleAnswer returns the answer to a request to one service, or nil if it is not
// decided yet.
func (x *run) singleAnswer(now time.Time) Answer {
	p := &x.parts[0]
	switch {
	case p.response != nil:
		x.relay.note(&zldecision.Answered{
			Subject:  x.subject(),
			Status:   p.response.Status,
			Sends:    x.sends,
			Late:     now.Sub(x.req.Received) > x.route.Objective,
			Upstream: p.servedBy,
			Via:      x.forward.via,
		})
		return &Served{
			Response: p.response,
		}
	case p.lostReason != "" && x.forwardUnreached(now):
		return nil
	case p.lostReason != "" && p.mayHaveRun <= 0:
		return x.relay.refuse(x.view, x.req, x.route, x.refusalReason(p), p.service)
	case p.lostReason != "":
		return x.fail(p.lostReason, false)
	case x.isOver(now):
		return x.expire()
	default:
		return nil
	}
}

// isOver reports whether the request has no more time.
func (x *run) isOver(now time.Time) bool {
	return !now.Before(x.deadline) || x.relay.ended.Load()
}

// overReason returns why the request has no more time.
func (x *run) overReason() zldecision.Reason {
	if x.relay.ended.Load() {
		return zldecision.ReasonStopping
	}
	return x.deadlineReason
}

func (x *run) refusalReason(p *part) zldecision.Reason {
	if p.sends > 0 {
		return zldecision.ReasonAllRefused
	}
	return p.lostReason
}

// scatteredAnswer returns the answer to a scattered request, or nil if it is not
// decided yet.
func (x *run) scatteredAnswer(now time.Time) Answer {
	answered, open, mayHaveRun := x.countParts()
	minParts := x.minParts()
	switch {
	case open == 0 && answered >= minParts:
		return x.mergedAnswer(now, "")
	case answered >= minParts && x.relay.ended.Load():
		return x.mergedAnswer(now, zldecision.ReasonStopping)
	case answered >= minParts && !now.Before(x.partialAnswerAt):
		return x.mergedAnswer(now, zldecision.ReasonObjectiveNear)
	case answered+open < minParts && x.forwardUnreached(now):
		return nil
	case answered+open < minParts && mayHaveRun == 0:
		return x.relay.refuse(x.view, x.req, x.route, zldecision.ReasonTooFewShards, x.missingShards()[0])
	case answered+open < minParts:
		return x.fail(zldecision.ReasonPartsLost, false)
	case x.isOver(now):
		return x.expire()
	default:
		return nil
	}
}

// countParts returns the number of parts that are answered, of those that may still be, and
// of the sends that may have run.
func (x *run) countParts() (answered, open, mayHaveRun int) {
	for i := range x.parts {
		p := &x.parts[i]
		mayHaveRun += max(p.mayHaveRun, 0)
		switch {
		case p.response != nil:
			answered++
		case p.lostReason == "":
			open++
		}
	}
	return answered, open, mayHaveRun
}

// mergedAnswer merges the parts. A reason in early means that the answer does not
// wait for the missing ones.
func (x *run) mergedAnswer(now time.Time, early zldecision.Reason) Answer {
	m := &Merged{}
	bodies := make([][]byte, 0, len(x.parts))
	for i := range x.parts {
		p := &x.parts[i]
		if p.response == nil {
			m.Missing++
			continue
		}
		bodies = append(bodies, p.response.Body)
		m.Signatures = append(m.Signatures, p.response.Signature)
		m.Services = append(m.Services, p.service)
	}
	m.Records = topRecords(bodies, x.route.MaxRecords)
	a := &zldecision.Answered{
		Subject: x.subject(),
		Status:  http.StatusOK,
		Parts:   len(bodies),
		Missing: m.Missing,
		Sends:   x.sends,
		Late:    now.Sub(x.req.Received) > x.route.Objective,
		Early:   early,
		Via:     x.forward.via,
	}
	if m.Missing > 0 {
		a.Absent = x.missingShards()
	}
	x.relay.note(a)
	return m
}

func (x *run) missingShards() []zlunit.Service {
	var list []zlunit.Service
	for i := range x.parts {
		if x.parts[i].response == nil {
			list = append(list, x.parts[i].service)
		}
	}
	return list
}

// expire ends a request that has no more time. It refuses the request if
// no part of it can have run.
func (x *run) expire() Answer {
	if a := x.forward.current; a != nil && !a.state.CompareAndSwap(attemptPending, attemptAbandoned) {
		return x.fail(x.overReason(), true)
	}
	for i := range x.parts {
		p := &x.parts[i]
		for _, a := range p.inFlight {
			if a.abandon() {
				p.mayHaveRun--
				a.cancel()
			}
		}
		if p.mayHaveRun > 0 || p.response != nil {
			return x.fail(x.overReason(), true)
		}
	}
	return x.relay.refuse(x.view, x.req, x.route, x.overReason(), x.parts[0].service)
}

// fail ends a request that may have run. If the request was not scattered and did
// not time out, the caller gets a replica's own error response unchanged.
func (x *run) fail(reason zldecision.Reason, timedOut bool) Answer {
	f := &zldecision.Failed{
		Subject:       x.subject(),
		Reason:        reason,
		Status:        http.StatusBadGateway,
		Sends:         x.sends,
		Parts:         x.answeredParts(),
		NotIdempotent: !x.route.Idempotent,
		Absent:        x.missingShards(),
	}
	if x.broken {
		f.Fingerprint = x.fingerprint()
	}
	for i := range x.parts {
		if tried := x.parts[i].tried; len(tried) > 0 && x.parts[i].response == nil {
			f.Upstream = tried[len(tried)-1]
		}
	}
	if p := &x.parts[0]; !x.route.IsSharded() && p.failure != nil && !timedOut {
		f.Status = p.failure.Status
		x.relay.note(f)
		return &Served{
			Response: p.failure,
		}
	}
	if timedOut {
		f.Status = http.StatusGatewayTimeout
	}
	x.relay.note(f)
	return &Failed{
		Reason:     reason,
		TimedOut:   timedOut,
		Runs:       x.mostRuns(),
		RetryAfter: x.relay.retryAfter(x.req),
	}
}

// mostRuns returns on how many replicas a part may have run here, at least 1.
func (x *run) mostRuns() int {
	most := 1
	for i := range x.parts {
		n := x.parts[i].mayHaveRun
		if x.forwarded != nil {
			n -= x.forwarded.Parts[i].MayHaveRun
		}
		most = max(most, n)
	}
	return most
}

// refuse refuses a request that did not run; s is the service without capacity or
// replicas, or empty.
func (r *Relay) refuse(v *zlregistry.View, req *Request, route *zltable.Route, reason zldecision.Reason, s zlunit.Service) Answer {
	return r.refuseService(v, req, route, reason, s, 0)
}

// refuseWith refuses a request as another VM did, with at least its advice when to retry.
func (r *Relay) refuseWith(v *zlregistry.View, req *Request, route *zltable.Route, reason zldecision.Reason, advice time.Duration) Answer {
	return r.refuseService(v, req, route, reason, "", advice)
}

func (r *Relay) refuseService(v *zlregistry.View, req *Request, route *zltable.Route, reason zldecision.Reason, s zlunit.Service, advice time.Duration) Answer {
	retryAfter := max(r.retryAfter(req), advice)
	if s != "" {
		retryAfter = max(retryAfter, r.untilServable(route, s))
	}
	switch reason {
	case zldecision.ReasonRateLimited:
		retryAfter = max(retryAfter, r.Placer.RateLimitWait(v, r.Timer.Now(), s, nil))
	case zldecision.ReasonQuarantined:
		retryAfter = max(retryAfter, r.Quarantine.Left(req.Fingerprint()))
	default:
	}
	e := &zldecision.Refused{
		Subject:    r.subject(v, req, route),
		Reason:     reason,
		RetryAfter: retryAfter,
		Service:    s,
	}
	if reason == zldecision.ReasonOverShare {
		e.Organisation = req.Organisation
	}
	if s != "" {
		e.Waiting = r.Placer.Waiting(s)
	}
	r.note(e)
	return &Refused{
		Reason:     reason,
		RetryAfter: retryAfter,
	}
}

// untilServable returns how long so many replicas want no requests that the route cannot
// be served, and a random addition, so that callers refused together do not retry
// together. It is 0 if that does not bind or never ends.
func (r *Relay) untilServable(route *zltable.Route, s zlunit.Service) time.Duration {
	services, needed := []zlunit.Service{s}, 1
	if route.IsSharded() {
		services, needed = route.Shards, route.MinParts()
	}
	now := r.Timer.Now()
	view := r.Registry.Current()
	var returns []time.Time
	for _, service := range services {
		a := r.Placer.Available(view, now, service)
		switch {
		case a.Replicas > 0:
			needed--
		case !a.RetryAt.IsZero():
			returns = append(returns, a.RetryAt)
		}
	}
	if needed <= 0 || len(returns) < needed {
		return 0
	}
	slices.SortFunc(returns, time.Time.Compare)
	wait := returns[needed-1].Sub(now)
	return wait + time.Duration(r.randomFloat()*max(returnSpread*float64(wait), float64(minRetryAfter)))
}

// retryAfter returns how long a caller should wait before it retries: a random
// part of its remaining time, so that callers refused together do not retry
// together.
func (r *Relay) retryAfter(req *Request) time.Duration {
	limit := maxRetryAfter
	if !req.Deadline.IsZero() {
		left := req.Deadline.Sub(r.Timer.Now())
		limit = min(limit, time.Duration(retryAfterShare*float64(left)))
	}
	if limit <= minRetryAfter {
		return minRetryAfter
	}
	return minRetryAfter + time.Duration(r.randomFloat()*float64(limit-minRetryAfter))
}

func (r *Relay) randomFloat() float64 {
	if r.Random != nil {
		return r.Random()
	}
	return rand.Float64()
}

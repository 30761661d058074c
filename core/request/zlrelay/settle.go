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
	// dueQuantile is the quantile of recent answers past which one is overdue.
	// What is beyond it, and the pauses, must fit the budget of second sends.
	dueQuantile = 0.95
	// dueShare bounds the time to overdue as a share of the objective, so that
	// a second send can still make it.
	dueShare = 0.4
	// targetShare is the part of the objective in which the answer of a replica
	// is of use: a third, so that a queue does not take the time of a second send.
	targetShare = 0.35
	// dueLeast is the least time to overdue: a few times a round trip between
	// data centres.
	dueLeast = 6 * time.Millisecond
	// lastParts is how many missing parts are few. A second send for one of them
	// beside another that is under way leaves lastReserve of the budget, and one
	// of many leaves manyReserve, to parts that have nothing under way.
	lastParts   = 2
	lastReserve = 0.15
	manyReserve = 0.5
	// backShare is the most of a caller's time left that Retry-After asks for;
	// callers honour up to a third.
	backShare = 0.3
	// backLeast and backMost bound Retry-After.
	backLeast = 20 * time.Millisecond
	backMost  = 2 * time.Second
)

// times sets what an answer usually takes and when one is overdue.
func (x *run) times(now time.Time) {
	objective := x.route.Objective
	x.target = time.Duration(targetShare * float64(objective))
	x.expected = objective / 8
	if d, ok := x.profile.Quantile(now, 0.5); ok {
		x.expected = d
	}
	x.delay = time.Duration(dueShare * float64(objective))
	if d, ok := x.profile.Quantile(now, dueQuantile); ok {
		x.delay = max(min(x.delay, d), dueLeast)
	}
}

// reserve is the share of the budget that a second send must leave; spare tells
// that another one is under way.
func (x *run) reserve(spare bool) float64 {
	if !spare {
		return 0
	}
	open := 0
	for i := range x.parts {
		if x.parts[i].open() {
			open++
		}
	}
	if open <= lastParts {
		return lastReserve
	}
	return manyReserve
}

// take notes how an attempt ended.
func (x *run) take(res result) {
	a := res.attempt
	p := a.part
	if a.state.Load() == attemptAbandoned {
		return
	}
	p.drop(a)
	switch rep := res.reply.(type) {
	case *Whole:
		if !x.usable(rep) {
			p.failure = rep
			p.why = zldecision.ReasonReplicaFailed
			return
		}
		if p.whole == nil {
			p.whole = rep
			p.served = a.spot.Entry.ID
			p.settle()
		}
	case *NotRun:
		p.mayHaveRun--
		if !rep.Arrived {
			p.arrivals--
			if a.counted {
				p.window.Return(x.relay.Timer.Now())
			}
		}
		p.why = rep.Reason
	case *Broken:
		p.why = rep.Reason
	}
	p.lookAt = time.Time{}
}

// usable reports whether a reply is one that a caller may get as a success or
// as the replica's own word, or a part of an answer.
func (x *run) usable(w *Whole) bool {
	if x.route.Scattered() {
		return w.Status >= http.StatusOK && w.Status < http.StatusMultipleChoices && w.Proof != ""
	}
	return w.Status < http.StatusInternalServerError
}

// settle ends what else is under way for a part that is in.
func (p *part) settle() {
	for _, a := range p.live {
		a.cancel()
	}
	p.leave()
}

func (p *part) drop(a *attempt) {
	if i := slices.Index(p.live, a); i >= 0 {
		p.live = slices.Delete(p.live, i, i+1)
	}
}

// settleOne returns the answer of a request to one replica, or nil.
func (x *run) settleOne(now time.Time) Answer {
	p := &x.parts[0]
	switch {
	case p.whole != nil:
		x.relay.note(&zldecision.Answered{
			Subject:  x.subject(),
			Status:   p.whole.Status,
			Sends:    x.sends,
			Late:     now.Sub(x.req.Received) > x.route.Objective,
			Upstream: p.served,
		})
		return &Served{
			Whole: p.whole,
		}
	case p.lost != "" && p.mayHaveRun <= 0:
		return x.relay.refuse(x.view, x.req, x.route, x.refusal(p), p.service)
	case p.lost != "":
		return x.fail(p.lost, false)
	case !now.Before(x.limit):
		return x.expire()
	default:
		return nil
	}
}

func (x *run) refusal(p *part) zldecision.Reason {
	if p.sends > 0 {
		return zldecision.ReasonAllRefused
	}
	return p.lost
}

// settleParts returns the answer of a request to all shards, or nil.
func (x *run) settleParts(now time.Time) Answer {
	good, open, ran := 0, 0, 0
	for i := range x.parts {
		p := &x.parts[i]
		ran += max(p.mayHaveRun, 0)
		switch {
		case p.whole != nil:
			good++
		case p.lost == "":
			open++
		}
	}
	least := x.route.LeastParts()
	switch {
	case open == 0 && good >= least:
		return x.merge(now, "")
	case good >= least && !now.Before(x.answerBy):
		return x.merge(now, zldecision.ReasonObjective)
	case good+open < least && ran == 0:
		return x.relay.refuse(x.view, x.req, x.route, zldecision.ReasonTooFewShards, x.absent()[0])
	case good+open < least:
		return x.fail(zldecision.ReasonNotReachable, false)
	case !now.Before(x.limit):
		return x.expire()
	default:
		return nil
	}
}

func (x *run) merge(now time.Time, early zldecision.Reason) Answer {
	m := &Merged{}
	bodies := make([][]byte, 0, len(x.parts))
	for i := range x.parts {
		p := &x.parts[i]
		if p.whole == nil {
			m.Missing++
			continue
		}
		bodies = append(bodies, p.whole.Body)
		m.Proofs = append(m.Proofs, p.whole.Proof)
	}
	m.Records = greatest(bodies, x.route.Top)
	a := &zldecision.Answered{
		Subject: x.subject(),
		Status:  http.StatusOK,
		Parts:   len(bodies),
		Missing: m.Missing,
		Sends:   x.sends,
		Late:    now.Sub(x.req.Received) > x.route.Objective,
		Early:   early,
	}
	if m.Missing > 0 {
		a.Absent = x.absent()
	}
	x.relay.note(a)
	return m
}

func (x *run) absent() []zlunit.Service {
	var list []zlunit.Service
	for i := range x.parts {
		if x.parts[i].whole == nil {
			list = append(list, x.parts[i].service)
		}
	}
	return list
}

// expire ends a request whose time is up.
func (x *run) expire() Answer {
	for i := range x.parts {
		p := &x.parts[i]
		for _, a := range p.live {
			if a.abandon() {
				p.mayHaveRun--
				a.cancel()
			}
		}
		if p.mayHaveRun > 0 || p.whole != nil {
			return x.fail(x.timedBy, true)
		}
	}
	return x.relay.refuse(x.view, x.req, x.route, x.timedBy, x.parts[0].service)
}

// fail ends a request that may have run. A failure of the replica's own goes
// to the caller as it is.
func (x *run) fail(why zldecision.Reason, timedOut bool) Answer {
	f := &zldecision.Failed{
		Subject: x.subject(),
		Reason:  why,
		Status:  http.StatusBadGateway,
		Sends:   x.sends,
		Parts:   x.good(),
		Once:    !x.route.Idempotent,
		Absent:  x.absent(),
	}
	for i := range x.parts {
		if tried := x.parts[i].tried; len(tried) > 0 && x.parts[i].whole == nil {
			f.Upstream = tried[len(tried)-1]
		}
	}
	if p := &x.parts[0]; !x.route.Scattered() && p.failure != nil && !timedOut {
		f.Status = p.failure.Status
		x.relay.note(f)
		return &Served{
			Whole: p.failure,
		}
	}
	if timedOut {
		f.Status = http.StatusGatewayTimeout
	}
	x.relay.note(f)
	return &Failed{
		Reason:   why,
		TimedOut: timedOut,
		Hint:     x.relay.backAfter(x.req),
	}
}

// refuse turns a request away that did not run.
func (r *Relay) refuse(v *zlregistry.View, req *Request, route *zltable.Route, why zldecision.Reason, s zlunit.Service) Answer {
	hint := r.backAfter(req)
	e := &zldecision.Refused{
		Subject:    r.subject(v, req, route),
		Reason:     why,
		RetryAfter: hint,
		Service:    s,
	}
	if s != "" {
		e.Waiting = r.Placer.Waiting(s)
	}
	r.note(e)
	return &Refused{
		Reason:     why,
		RetryAfter: hint,
	}
}

// backAfter is when a caller may come back: spread over the time that it can
// still use, so that those turned away together do not return together.
func (r *Relay) backAfter(req *Request) time.Duration {
	most := backMost
	if !req.Deadline.IsZero() {
		left := req.Deadline.Sub(r.Timer.Now())
		most = min(most, time.Duration(backShare*float64(left)))
	}
	if most <= backLeast {
		return backLeast
	}
	return backLeast + time.Duration(r.draw()*float64(most-backLeast))
}

func (r *Relay) draw() float64 {
	if r.Random != nil {
		return r.Random()
	}
	return rand.Float64()
}

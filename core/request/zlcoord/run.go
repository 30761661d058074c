package zlcoord

import (
	"context"
	"slices"
	"time"

	"zinnialock/core/process/zlquantile"
	"zinnialock/core/process/zlroute"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlmerge"
	"zinnialock/core/request/zlplan"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/request/zltrace"
	"zinnialock/core/version/zltree"
)

// shardState is what a run knows of one shard of the plan. Times count from the
// start of the query.
type shardState struct {
	// last is the newest sub-request, as an index into the run's, or -1.
	last int
	open int
	// round counts how often all replicas have been asked in turn.
	round int
	// pauses counts the waits before it was asked again.
	pauses int
	// settled tells that the shard is merged or given up.
	settled bool
	// ran tells that a sub-request for the shard may have run.
	ran bool
	// lateAt is when an open shard is next looked at for being late.
	lateAt time.Duration
	// againAt, if not 0, is when the shard is asked again.
	againAt time.Duration
	// why is the reason for which it is asked again then.
	why    zlquery.Reason
	reason zlquery.Reason
	// hint is what the last refusal said about when to come back.
	hint time.Duration
	// noted tells that a refused hedge or retry was recorded already.
	noted bool
}

// subState is one dispatched sub-request. Times count from the start of the
// query.
type subState struct {
	shard zlunit.Shard
	// prev is the sub-request before it for the shard, or -1.
	prev  int
	round int
	to    *zlroute.Candidate
	call  Call
	sent  time.Duration
	took  time.Duration
	open  bool
	cause zltrace.Cause
	// why is the reason of a hedge or retry.
	why    zlquery.Reason
	end    zltrace.End
	reason zlquery.Reason
	// version is the version it is pinned to.
	version zlunit.IndexVersion
}

func (s *subState) ended() bool {
	return !s.open
}

// run is the state of one query. Only its own goroutine touches it, but for
// the inbox.
type run struct {
	coordinator *Coordinator
	ctx         context.Context
	req         *zlquery.Request
	profile     *profile
	policy      *zltree.Policy
	plan        *zlplan.Plan
	query       zlunit.QueryID
	start       time.Time
	// due is when the wait ends.
	due time.Time
	// hedgeAfter is when a sub-request counts as late, and hedgeSurely when
	// it does while the budget of hedges is short.
	hedgeAfter  time.Duration
	hedgeSurely time.Duration

	inbox  *inbox
	shards []shardState
	subs   []subState
	merge  *zlmerge.Merge
	// pending counts the shards that are neither merged nor given up.
	pending int
	hedges  int
	retries int
	// enough tells that the time is over in which only full coverage ends
	// the wait.
	enough bool
	// ran tells that something ran under an earlier plan.
	ran bool
	// former is what an earlier plan had merged.
	former    *outcome
	plans     int
	decisions []zltrace.Decision
	// skip is room for the replicas that a pick leaves out.
	skip []zlunit.Upstream
	// spare is what the inbox is swapped for.
	spare []zlquery.Reply
	// took collects the latencies that the profile learns at the end.
	took []time.Duration
	// rearm tells that the alarm may have to ring sooner.
	rearm bool
}

func (r *run) answer() *zlquery.Answer {
	allowed := r.req.Deadline.Sub(r.start)
	r.due = r.req.Deadline.Add(-min(lateness, allowed/10))
	r.hedgeAfter = r.lateAfter(allowed, r.policy.HedgeQuantile, lateMedians)
	r.hedgeSurely = r.lateAfter(allowed, 1-(1-r.policy.HedgeQuantile)/surelyTimes, surelyMedians)
	room := rooms.Get().(*room)
	defer room.put(r)
	room.lend(r)
	r.adopt(r.plan, zlquery.ReasonNone)
	r.wait()
	room.waiting = r.inbox.close()
	r.abandon()
	now := r.coordinator.Timer.Now()
	r.profile.latency.Observe(now, r.took...)
	// A few of each query are enough to tell of all kinds together.
	r.coordinator.latency.Observe(now, r.took[:min(len(r.took), sampled)]...)
	return r.finish()
}

// adopt starts over with a plan: nothing of an earlier one is kept.
func (r *run) adopt(p *zlplan.Plan, why zlquery.Reason) {
	n := len(p.Shards)
	r.plan = p
	r.plans++
	r.shards = slices.Grow(r.shards[:0], n)[:n]
	clear(r.shards)
	for i := range r.shards {
		r.shards[i].last = -1
	}
	r.merge = zlmerge.New(p.Version, n)
	r.pending = n
	if r.traced() {
		r.note(zltrace.Decision{
			What:    zltrace.WhatPlan,
			Version: p.Version,
			Shards:  n,
			Reason:  why,
		})
	}
	r.dispatchAll()
}

const (
	// defaultLate is the largest share of the time allowed, as a divisor,
	// after which a sub-request is late.
	defaultLate = 8
	// unknownLate is when it is late while nothing was measured yet.
	unknownLate = 100 * time.Millisecond
	// sampled is how many latencies of a query count for all kinds.
	sampled = 4
	// surelyTimes is how many times fewer sub-requests are late while the
	// budget of hedges is short.
	surelyTimes = 3
	// lateMedians and surelyMedians bound the two delays by the median, which
	// a moment in which all was slow does not move.
	lateMedians   = 3
	surelyMedians = 4
)

// lateAfter is the time at a quantile of the kind's latency, or of all kinds'
// while too little is known of it, but no more than some medians.
func (r *run) lateAfter(allowed time.Duration, quantile float64, medians time.Duration) time.Duration {
	d := unknownLate
	for _, tracker := range []*zlquantile.Tracker{&r.profile.latency, &r.coordinator.latency} {
		at, ok := tracker.Quantile(r.start, quantile)
		if !ok {
			continue
		}
		median, _ := tracker.Quantile(r.start, 0.5)
		d = min(at, medians*median)
		break
	}
	return max(min(d, allowed/defaultLate), leastLate)
}

// leastLate is the least time after which a sub-request counts as late.
const leastLate = time.Millisecond

// wait takes replies until the answer is whole, good enough or due.
func (r *run) wait() {
	timer := r.coordinator.Timer
	alarm := timer.After(r.nextWake().Sub(timer.Now()))
	defer alarm.Stop()
	for !r.over() {
		select {
		case <-r.inbox.wake:
		case <-alarm.C:
			// Replies that wait go first: what they bring is not late.
			r.takeAll()
			if !r.over() {
				r.lookForLate(timer.Now())
			}
			r.rearm = true
		case <-r.ctx.Done():
			r.note(zltrace.Decision{
				What: zltrace.WhatCallerGone,
			})
			return
		}
		r.takeAll()
		if r.rearm {
			r.arm(alarm)
		}
	}
}

func (r *run) arm(alarm *zltimer.Alarm) {
	r.rearm = false
	alarm.Reset(max(r.nextWake().Sub(r.coordinator.Timer.Now()), 0))
}

// takeAll takes the waiting replies.
func (r *run) takeAll() {
	replies := r.inbox.drain(r.spare)
	r.spare = replies
	if len(replies) == 0 {
		return
	}
	now := r.coordinator.Timer.Now()
	for i := range replies {
		r.take(&replies[i], now)
		replies[i] = zlquery.Reply{}
	}
}

// over reports whether the wait ends, and notes why if it ends early.
func (r *run) over() bool {
	now := r.coordinator.Timer.Now()
	if r.pending == 0 || !now.Before(r.due) {
		return true
	}
	if r.merge.Reachable(r.pending) < r.req.LeastCoverage && !r.coordinator.Without.EarlyEnd {
		r.note(zltrace.Decision{
			What: zltrace.WhatHopeless,
		})
		return true
	}
	r.enough = r.enough || now.Sub(r.start) >= r.policy.EnoughAfter
	if !r.enough || r.merge.Coverage() < max(r.policy.EnoughCoverage, r.req.LeastCoverage) {
		return false
	}
	r.note(zltrace.Decision{
		What: zltrace.WhatEnough,
	})
	return true
}

// nextWake is when the run has to look at its shards again.
func (r *run) nextWake() time.Time {
	next := r.at(r.due)
	if !r.enough {
		next = min(next, r.policy.EnoughAfter)
	}
	for i := range r.shards {
		st := &r.shards[i]
		if st.settled {
			continue
		}
		if st.againAt > 0 && st.againAt < next {
			next = st.againAt
		}
		if st.open > 0 && r.req.Idempotent && st.lateAt < next {
			next = st.lateAt
		}
	}
	return r.start.Add(next)
}

// at is the time since the start of the query.
func (r *run) at(now time.Time) time.Duration {
	return now.Sub(r.start)
}

func (r *run) note(d zltrace.Decision) {
	if !r.traced() {
		return
	}
	d.At = r.coordinator.Timer.Now().Sub(r.start)
	r.decisions = append(r.decisions, d)
}

func (r *run) traced() bool {
	return r.coordinator.Traces != nil
}

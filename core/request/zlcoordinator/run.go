package zlcoordinator

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
	"zinnialock/core/version/zlsettings"
)

// shardState is the state of one shard of the plan. Times count from the start
// of the query.
type shardState struct {
	// lastSub is the newest sub-request for the shard, as an index into
	// queryRun.subs, or -1.
	lastSub int
	// openSubs is the number of sub-requests in flight for the shard.
	openSubs int
	// round counts how often all replicas have been tried.
	round int
	// backoffs counts the waits before a retry.
	backoffs int
	// settled is true once the shard is merged or given up.
	settled bool
	// mayHaveRun is true if a sub-request for the shard ran or may have run.
	mayHaveRun bool
	// overdueAt is when the shard, while a sub-request for it is in flight, is
	// next checked for being overdue.
	overdueAt time.Duration
	// retryAt is when the shard is retried; 0 means that no retry is scheduled.
	retryAt time.Duration
	// retryReason is the reason of the scheduled retry.
	retryReason zlquery.Reason
	// awaitsCanary is true while the shard waits for the canary of crashState.
	awaitsCanary bool
	// reason is why the shard has no part, as far as is known.
	reason zlquery.Reason
	// retryAfter is the delay that the last refusal asked for, or 0.
	retryAfter time.Duration
	// denialRecorded is true once a hedge or retry that the budget did not
	// allow has been recorded.
	denialRecorded bool
}

// subState is the state of one sub-request. Times count from the start of the
// query.
type subState struct {
	shard zlunit.Shard
	// prev is the previous sub-request for the shard, as an index into
	// queryRun.subs, or -1.
	prev      int
	round     int
	candidate *zlroute.Candidate
	call      Call
	sentAt    time.Duration
	took      time.Duration
	open      bool
	cause     zltrace.Cause
	// causeReason is the reason of a hedge, retry or new plan.
	causeReason zlquery.Reason
	end         zltrace.End
	reason      zlquery.Reason
	// requestedVersion is the index version that the sub-request asks for.
	requestedVersion zlunit.IndexVersion
	// crashRound is the round of crashState in which it was sent.
	crashRound int
}

func (s *subState) ended() bool {
	return !s.open
}

// queryRun is the state of one query. Only its own goroutine accesses it,
// except for replies.
type queryRun struct {
	coordinator *Coordinator
	ctx         context.Context
	req         *zlquery.Request
	profile     *profile
	policy      *zlsettings.Policy
	plan        *zlplan.Plan
	query       zlunit.QueryID
	start       time.Time
	// waitEnd is when the wait for replies ends.
	waitEnd time.Time
	// hedgeDelay is the time after which a sub-request is overdue. After the
	// longer longHedgeDelay, a hedge may also use the reserved part of the
	// hedge budget.
	hedgeDelay     time.Duration
	longHedgeDelay time.Duration

	replies *replyQueue
	shards  []shardState
	subs    []subState
	merge   *zlmerge.Merge
	// unsettled counts the shards that are neither merged nor given up.
	unsettled int
	hedges    int
	retries   int
	// partialAllowed is true once the policy's EnoughAfter has passed. From
	// then on its EnoughCoverage ends the wait; before, only full coverage
	// does.
	partialAllowed bool
	// anyPlanRan is true if a sub-request of an earlier plan may have run. Once
	// the answer is built, it covers the last plan as well.
	anyPlanRan bool
	// bestEarlier is the result of the earlier plan with the highest coverage,
	// or nil.
	bestEarlier *planResult
	planCount   int
	decisions   []zltrace.Decision
	// excluded is scratch memory for the replicas that a pick leaves out.
	excluded []zlunit.Upstream
	// spareReplies is the slice that is exchanged with that of the reply queue.
	spareReplies []zlquery.Reply
	// latencies are those that the latency trackers observe when the wait is
	// over.
	latencies []time.Duration
	// rearmNeeded is true if the wake-up timer may have to fire earlier than set.
	rearmNeeded bool
	crash       crashState
}

// answer runs the query and returns its answer.
func (r *queryRun) answer() *zlquery.Answer {
	allowed := r.req.Deadline.Sub(r.start)
	r.waitEnd = r.req.Deadline.Add(-min(replyMargin, allowed/10))
	r.hedgeDelay = r.hedgeDelayAt(allowed, r.policy.HedgeQuantile, hedgeDelayMedians)
	r.longHedgeDelay = r.hedgeDelayAt(allowed, 1-(1-r.policy.HedgeQuantile)/longDelayRatio, longDelayMedians)
	buffers := bufferPool.Get().(*runBuffers)
	defer buffers.release(r)
	buffers.attach(r)
	r.startPlan(r.plan, zlquery.ReasonNone)
	r.waitForReplies()
	buffers.queuedReplies = r.replies.close()
	r.cancelRemaining()
	now := r.coordinator.Timer.Now()
	r.profile.latency.Observe(now, r.latencies...)
	// A few latencies of each query suffice for the tracker of all kinds.
	r.coordinator.allLatency.Observe(now, r.latencies[:min(len(r.latencies), allLatencySamples)]...)
	return r.buildAnswer()
}

// startPlan starts the query over with plan, without any state of an earlier
// plan, and sends the first sub-requests. The reason is that of a new plan.
func (r *queryRun) startPlan(plan *zlplan.Plan, reason zlquery.Reason) {
	n := len(plan.Shards)
	r.plan = plan
	r.planCount++
	r.shards = slices.Grow(r.shards[:0], n)[:n]
	clear(r.shards)
	for i := range r.shards {
		r.shards[i].lastSub = -1
	}
	r.merge = zlmerge.New(plan.Version, n)
	r.unsettled = n
	if r.traced() {
		r.recordDecision(zltrace.Decision{
			Kind:    zltrace.KindPlan,
			Version: plan.Version,
			Shards:  n,
			Reason:  reason,
		})
	}
	r.dispatchAll()
}

const (
	// hedgeDelayDivisor bounds the delays of hedges: a sub-request is overdue
	// at the latest after the time allowed for the query divided by it.
	hedgeDelayDivisor = 8
	// defaultHedgeDelay applies while no latencies are known.
	defaultHedgeDelay = 100 * time.Millisecond
	// allLatencySamples is how many latencies of a query enter the tracker of
	// all kinds.
	allLatencySamples = 4
	// longDelayRatio is, by the quantiles alone, the ratio of the sub-requests
	// that exceed hedgeDelay to those that exceed longHedgeDelay.
	longDelayRatio = 3
	// hedgeDelayMedians and longDelayMedians bound the two delays as multiples
	// of the median latency. Unlike a high quantile, the median does not rise
	// when all replicas are slow for a moment.
	hedgeDelayMedians = 3
	longDelayMedians  = 4
)

// hedgeDelayAt returns the delay of hedges for a quantile: that quantile of the
// latency of the query kind, or of all kinds while too little is known of this
// one, but at most the given number of medians.
func (r *queryRun) hedgeDelayAt(allowed time.Duration, quantile float64, medians time.Duration) time.Duration {
	delay := defaultHedgeDelay
	for _, tracker := range []*zlquantile.Tracker{&r.profile.latency, &r.coordinator.allLatency} {
		value, ok := tracker.Quantile(r.start, quantile)
		if !ok {
			continue
		}
		median, _ := tracker.Quantile(r.start, 0.5)
		delay = min(value, medians*median)
		break
	}
	return max(min(delay, allowed/hedgeDelayDivisor), minHedgeDelay)
}

// minHedgeDelay is the shortest delay of hedges.
const minHedgeDelay = time.Millisecond

// waitForReplies handles replies and timers until the answer is complete, has
// enough coverage or is due.
func (r *queryRun) waitForReplies() {
	timer := r.coordinator.Timer
	wakeTimer := timer.After(r.nextWake().Sub(timer.Now()))
	defer wakeTimer.Stop()
	for !r.waitOver() {
		select {
		case <-r.replies.ready:
		case <-wakeTimer.C:
			// Replies in the queue are handled first, since their sub-requests
			// are not overdue.
			r.handleReplies()
			if !r.waitOver() {
				r.handleTimers(timer.Now())
			}
			r.rearmNeeded = true
		case <-r.ctx.Done():
			r.recordDecision(zltrace.Decision{
				Kind: zltrace.KindCallerGone,
			})
			return
		}
		r.handleReplies()
		if r.rearmNeeded {
			r.rearm(wakeTimer)
		}
	}
}

// rearm sets wakeTimer to the next wake-up.
func (r *queryRun) rearm(wakeTimer *zltimer.Timer) {
	r.rearmNeeded = false
	wakeTimer.Reset(max(r.nextWake().Sub(r.coordinator.Timer.Now()), 0))
}

// handleReplies handles the replies in the queue.
func (r *queryRun) handleReplies() {
	replies := r.replies.drain(r.spareReplies)
	r.spareReplies = replies
	if len(replies) == 0 {
		return
	}
	now := r.coordinator.Timer.Now()
	for i := range replies {
		r.handleReply(&replies[i], now)
		replies[i] = zlquery.Reply{}
	}
}

// waitOver reports whether the wait ends, and records the decision if it ends
// early.
func (r *queryRun) waitOver() bool {
	now := r.coordinator.Timer.Now()
	if r.unsettled == 0 || !now.Before(r.waitEnd) {
		return true
	}
	if r.merge.Reachable(r.unsettled) < r.req.LeastCoverage && !r.coordinator.Disabled.EarlyRefusal {
		r.recordDecision(zltrace.Decision{
			Kind: zltrace.KindUnreachable,
		})
		return true
	}
	r.partialAllowed = r.partialAllowed || now.Sub(r.start) >= r.policy.EnoughAfter
	if !r.partialAllowed || r.merge.Coverage() < max(r.policy.EnoughCoverage, r.req.LeastCoverage) {
		return false
	}
	r.recordDecision(zltrace.Decision{
		Kind: zltrace.KindSufficient,
	})
	return true
}

// nextWake returns when the next retry, hedge or end of the wait is due.
func (r *queryRun) nextWake() time.Time {
	next := r.sinceStart(r.waitEnd)
	if !r.partialAllowed {
		next = min(next, r.policy.EnoughAfter)
	}
	for i := range r.shards {
		st := &r.shards[i]
		if st.settled {
			continue
		}
		if st.retryAt > 0 && st.retryAt < next {
			next = st.retryAt
		}
		if st.openSubs > 0 && r.req.Idempotent && st.overdueAt < next {
			next = st.overdueAt
		}
	}
	return r.start.Add(next)
}

// sinceStart converts a time to the time since the start of the query.
func (r *queryRun) sinceStart(now time.Time) time.Duration {
	return now.Sub(r.start)
}

// recordDecision adds d with the current time to the trace, if there is one.
func (r *queryRun) recordDecision(d zltrace.Decision) {
	if !r.traced() {
		return
	}
	d.At = r.coordinator.Timer.Now().Sub(r.start)
	r.decisions = append(r.decisions, d)
}

func (r *queryRun) traced() bool {
	return r.coordinator.Traces != nil
}

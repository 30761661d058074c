package zlcoord

import (
	"time"

	"zinnialock/core/process/zlroute"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/request/zltrace"
)

const (
	// silentTimes is how many times the hedging delay a daemon may be silent.
	silentTimes = 2
	// leastSilence is the least silence that counts.
	leastSilence = 10 * time.Millisecond
	// stall is how late an alarm may ring before this process itself counts
	// as having been stopped; replies may then be waiting in the kernel.
	stall = 5 * time.Millisecond
)

// lookForLate asks again for the shards whose pause is over, and hedges those
// that are late.
func (r *run) lookForLate(now time.Time) {
	plans := r.plans
	for s := range r.shards {
		if r.plans != plans {
			return
		}
		st := &r.shards[s]
		if st.settled {
			continue
		}
		shard := zlunit.Shard(s)
		if st.againAt > 0 && r.at(now) >= st.againAt {
			st.againAt = 0
			r.again(shard, st.why, now)
			continue
		}
		if st.open > 0 && r.req.Idempotent && r.at(now) >= st.lateAt {
			r.late(shard, st, now)
		}
	}
}

// late decides what to do for a shard whose newest sub-request is late.
func (r *run) late(shard zlunit.Shard, st *shardState, now time.Time) {
	stalled := r.at(now)-st.lateAt > max(r.hedgeAfter, stall)
	st.lateAt = r.at(now) + r.hedgeAfter
	if stalled {
		return
	}
	sub := &r.subs[st.last]
	if !sub.ended() && r.silent(sub, now) {
		r.around(shard, st, now)
		return
	}
	r.hedge(shard, st, now)
}

// silent reports whether the daemon of sub gives no sign of life. Its silence
// counts from the first sub-request of any query that it left unanswered, since
// hedges may end each query before long.
func (r *run) silent(sub *subState, now time.Time) bool {
	c := r.coordinator
	peer := sub.to.Peer
	if c.Without.Around || peer.VM == c.Self {
		return false
	}
	tooShort := peer.Quiet(now) < max(silentTimes*r.hedgeAfter, leastSilence)
	if tooShort && !peer.Suspected() || !c.Router.Silent(peer, r.start.Add(sub.sent)) {
		return false
	}
	r.suspect(peer, now)
	return true
}

// around sends a shard past a daemon that gives no sign of life. The retry
// budget pays, since the sub-request in its hands is as good as lost.
func (r *run) around(shard zlunit.Shard, st *shardState, now time.Time) {
	c, _, ok := r.pick(shard, now, zlroute.CareSpare)
	if !ok {
		return
	}
	if !r.takeRetry(0) {
		r.noteRefused(st, shard, zltrace.WhatNoRetry)
		return
	}
	r.retries++
	r.coordinator.Counter.Count("around", zlquery.ReasonPeerLost)
	r.sendOne(shard, c, zltrace.CauseAround, zlquery.ReasonPeerLost)
}

// hedge sends a late shard to another replica in good standing, if the budget
// of hedges allows it.
func (r *run) hedge(shard zlunit.Shard, st *shardState, now time.Time) {
	w := &r.coordinator.Without
	if w.Hedges || r.policy.HedgeShare == 0 || r.allLate(st, now) {
		return
	}
	c, _, ok := r.pick(shard, now, zlroute.CareSpare)
	if !ok {
		return
	}
	if !w.Budgets && !r.takeHedge(r.at(now)-r.subs[st.last].sent) {
		st.lateAt = max(r.subs[st.last].sent+r.hedgeSurely, r.at(now)+r.hedgeAfter/2)
		r.noteRefused(st, shard, zltrace.WhatNoHedge)
		return
	}
	r.hedges++
	r.coordinator.Counter.Count("hedge", zlquery.ReasonDeadline)
	r.sendOne(shard, c, zltrace.CauseHedge, zlquery.ReasonDeadline)
}

// hedgeReserve is the share of the budget of hedges that is kept for what is
// late beyond doubt.
const hedgeReserve = 0.5

// takeHedge takes a token for a sub-request that has been out for a while.
func (r *run) takeHedge(out time.Duration) bool {
	reserve := hedgeReserve
	if out >= r.hedgeSurely {
		reserve = 0
	}
	return r.profile.hedges.Take(reserve)
}

const (
	// siblings is how many shards a query must have for them to be compared.
	siblings = 4
	// allLateTimes is how many times the hedging delay a query waits at most
	// for its other shards.
	allLateTimes = 8
)

// allLate reports whether most shards of the query are out as well: then it is
// all that is slow, and hedges would only add to it.
func (r *run) allLate(st *shardState, now time.Time) bool {
	n := len(r.shards)
	out := r.at(now) - r.subs[st.last].sent
	return n >= siblings && 2*r.pending > n && out < allLateTimes*r.hedgeAfter
}

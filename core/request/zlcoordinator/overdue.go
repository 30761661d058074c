package zlcoordinator

import (
	"time"

	"zinnialock/core/process/zlroute"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/request/zltrace"
)

const (
	// silenceFactor hedge delays, but at least minSilence, is how long a daemon
	// must leave all sub-requests unanswered to count as silent.
	silenceFactor = 2
	minSilence    = 10 * time.Millisecond
	// stallThreshold is the delay of a timer from which this process itself
	// counts as having stalled. Replies may then be waiting in the kernel, so
	// no sub-request is taken to be overdue.
	stallThreshold = 5 * time.Millisecond
)

// handleTimers retries the shards whose backoff is over, and hedges those that
// are overdue.
func (r *queryRun) handleTimers(now time.Time) {
	planCount := r.planCount
	for s := range r.shards {
		if r.planCount != planCount {
			return
		}
		st := &r.shards[s]
		if st.settled {
			continue
		}
		shard := zlunit.Shard(s)
		if st.retryAt > 0 && r.sinceStart(now) >= st.retryAt {
			st.retryAt = 0
			r.retryShard(shard, st.retryReason, now)
			continue
		}
		if st.openSubs > 0 && r.req.Idempotent && r.sinceStart(now) >= st.overdueAt {
			r.handleOverdue(shard, st, now)
		}
	}
}

// handleOverdue hedges a shard whose newest sub-request is overdue, or bypasses
// its daemon if that is silent.
func (r *queryRun) handleOverdue(shard zlunit.Shard, st *shardState, now time.Time) {
	stalled := r.sinceStart(now)-st.overdueAt > max(r.hedgeDelay, stallThreshold)
	st.overdueAt = r.sinceStart(now) + r.hedgeDelay
	if stalled || r.crash.suspected {
		return
	}
	sub := &r.subs[st.lastSub]
	if !sub.ended() && r.peerSilent(sub, now) {
		r.bypassPeer(shard, st, now)
		return
	}
	r.sendHedge(shard, st, now)
}

// peerSilent reports whether the daemon that sub was sent to is silent. The
// silence counts from the first sub-request of any query that it left
// unanswered, since hedges may end each single query early.
func (r *queryRun) peerSilent(sub *subState, now time.Time) bool {
	c := r.coordinator
	peer := sub.candidate.Peer
	if c.Disabled.Bypass || peer.VM == c.Self {
		return false
	}
	tooShort := peer.SilentFor(now) < max(silenceFactor*r.hedgeDelay, minSilence)
	if tooShort && !peer.Suspected() || !c.Router.Silent(peer, r.start.Add(sub.sentAt)) {
		return false
	}
	r.suspectPeer(peer, now)
	return true
}

// bypassPeer sends a shard to another daemon than the silent one. It takes a
// token of the retry budget, since the first sub-request is most likely lost.
func (r *queryRun) bypassPeer(shard zlunit.Shard, st *shardState, now time.Time) {
	candidate, _, ok := r.pickReplica(shard, now, zlroute.PurposeOptional)
	if !ok {
		return
	}
	if !r.takeRetryToken(0) {
		r.recordNoBudget(st, shard, zltrace.KindNoRetry)
		return
	}
	r.retries++
	r.coordinator.Counter.Count("around", zlquery.ReasonPeerLost)
	r.sendExtra(shard, candidate, zltrace.CauseBypass, zlquery.ReasonPeerLost)
}

// sendHedge sends an overdue shard to another replica in good standing, if the
// hedge budget allows it.
func (r *queryRun) sendHedge(shard zlunit.Shard, st *shardState, now time.Time) {
	without := &r.coordinator.Disabled
	if without.Hedges || r.policy.HedgeShare == 0 || r.mostShardsOpen(st, now) {
		return
	}
	candidate, _, ok := r.pickReplica(shard, now, zlroute.PurposeOptional)
	if !ok {
		return
	}
	if !without.Budgets && !r.takeHedgeToken(r.sinceStart(now)-r.subs[st.lastSub].sentAt) {
		st.overdueAt = max(r.subs[st.lastSub].sentAt+r.longHedgeDelay, r.sinceStart(now)+r.hedgeDelay/2)
		r.recordNoBudget(st, shard, zltrace.KindNoHedge)
		return
	}
	r.hedges++
	r.coordinator.Counter.Count("hedge", zlquery.ReasonDeadline)
	r.sendExtra(shard, candidate, zltrace.CauseHedge, zlquery.ReasonDeadline)
}

// hedgeReserve is the share of the hedge budget that is kept for sub-requests
// that exceed longHedgeDelay.
const hedgeReserve = 0.5

// takeHedgeToken takes a token from the hedge budget for a sub-request that was
// sent elapsed ago.
func (r *queryRun) takeHedgeToken(elapsed time.Duration) bool {
	reserve := hedgeReserve
	if elapsed >= r.longHedgeDelay {
		reserve = 0
	}
	return r.profile.hedgeBudget.Take(reserve)
}

const (
	// minComparedShards is the least number of shards of a query for which
	// mostShardsOpen compares them.
	minComparedShards = 4
	// maxDelaysWhileMostOpen bounds, in hedge delays, how long mostShardsOpen
	// holds back the hedge of a sub-request.
	maxDelaysWhileMostOpen = 8
)

// mostShardsOpen reports whether most shards of the query are without a part as
// well. All replicas are then slow, and hedges would only add load.
func (r *queryRun) mostShardsOpen(st *shardState, now time.Time) bool {
	n := len(r.shards)
	elapsed := r.sinceStart(now) - r.subs[st.lastSub].sentAt
	return n >= minComparedShards && 2*r.unsettled > n && elapsed < maxDelaysWhileMostOpen*r.hedgeDelay
}

package zlcoordinator

import (
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/request/zltrace"
)

// handleReply handles one reply. A reply that matches no open sub-request is
// dropped.
func (r *queryRun) handleReply(reply *zlquery.Reply, now time.Time) {
	if reply.Query != r.query || int(reply.Sub) >= len(r.subs) {
		r.countDropped(zlquery.ReasonBadReply)
		return
	}
	sub := &r.subs[reply.Sub]
	if !peerLost(reply.Result) {
		r.coordinator.Router.MarkAlive(sub.candidate.Peer, now)
	}
	if sub.ended() {
		r.countDropped(zlquery.ReasonCancelled)
		return
	}
	r.noteCrash(sub, reply.Result, now)
	switch result := reply.Result.(type) {
	case zlquery.Done:
		r.handleDone(reply.Sub, &result, now)
	case zlquery.NotRun:
		r.handleNotRun(sub, result, now)
	case zlquery.Unknown:
		r.handleUnknown(reply.Sub, result.Reason, now)
	default:
		r.handleUnknown(reply.Sub, zlquery.ReasonBadReply, now)
	}
}

// countDropped counts a reply that is not used.
func (r *queryRun) countDropped(reason zlquery.Reason) {
	r.coordinator.Counter.Count("droppedReply", reason)
}

// closeSub marks a sub-request as ended. The caller updates the record of the
// upstream.
func (r *queryRun) closeSub(sub *subState, end zltrace.End, reason zlquery.Reason, now time.Time) {
	sub.end = end
	sub.open = false
	sub.reason = reason
	sub.took = r.sinceStart(now) - sub.sentAt
	r.shards[sub.shard].openSubs--
}

// handleDone merges a part. A part that does not belong to this sub-request is
// dropped, and whether the sub-request ran is then unknown.
func (r *queryRun) handleDone(id zlunit.SubRequestID, done *zlquery.Done, now time.Time) {
	sub := &r.subs[id]
	part := &done.Part
	st := &r.shards[sub.shard]
	if part.Shard != sub.shard || part.Upstream != sub.candidate.Upstream || part.Version != sub.requestedVersion || !r.merge.Add(*part) {
		r.countDropped(zlquery.ReasonBadReply)
		r.handleUnknown(id, zlquery.ReasonBadReply, now)
		return
	}
	r.closeSub(sub, zltrace.EndDone, zlquery.ReasonNone, now)
	sub.candidate.Record.Done(now, sub.took)
	r.latencies = append(r.latencies, sub.took)
	st.mayHaveRun = true
	r.settleShard(st)
	if st.openSubs > 0 {
		r.cancelLosers(sub, now)
	}
}

// settleShard marks a shard as merged or given up.
func (r *queryRun) settleShard(st *shardState) {
	if !st.settled {
		st.settled = true
		r.unsettled--
	}
	st.retryAt = 0
}

// cancelLosers cancels the other sub-requests for the shard of winner.
func (r *queryRun) cancelLosers(winner *subState, now time.Time) {
	if r.coordinator.Disabled.Cancel {
		return
	}
	for i := r.shards[winner.shard].lastSub; i >= 0; i = r.subs[i].prev {
		loser := &r.subs[i]
		if loser.ended() {
			continue
		}
		r.closeSub(loser, zltrace.EndCancelled, zlquery.ReasonNone, now)
		r.recordGivenUp(loser, now, loser.sentAt < winner.sentAt)
		loser.call.Cancel(zlunit.SubRequestID(i))
	}
}

// recordGivenUp records at the upstream that a sub-request was given up. If
// slow is true, the time spent on it counts as a latency.
func (r *queryRun) recordGivenUp(sub *subState, now time.Time, slow bool) {
	if sub.candidate.Peer.Suspected() {
		// The daemon is silent, so the delay says nothing about the upstream.
		sub.candidate.Record.Cancelled(now, 0, false)
		return
	}
	sub.candidate.Record.Cancelled(now, sub.took, slow)
	if slow {
		r.latencies = append(r.latencies, sub.took)
	}
}

// handleNotRun handles the refusal of a sub-request, which is proof that it did
// not run.
func (r *queryRun) handleNotRun(sub *subState, result zlquery.NotRun, now time.Time) {
	r.closeSub(sub, zltrace.EndNotRun, result.Reason, now)
	if result.Reason == zlquery.ReasonPeerLost {
		r.suspectPeer(sub.candidate.Peer, now)
	}
	if sub.cause == zltrace.CauseHedge && result.Reason != zlquery.ReasonPeerLost {
		r.handleRefusedHedge(sub, now)
	} else {
		sub.candidate.Record.Refused(now, sub.took, result.Reason, result.RetryAfter)
	}
	r.shards[sub.shard].retryAfter = result.RetryAfter
	r.handleFailure(sub.shard, result.Reason, now)
}

// handleRefusedHedge handles the refusal of a hedge. Its token returns to the
// budget, and another replica may be hedged to immediately.
func (r *queryRun) handleRefusedHedge(sub *subState, now time.Time) {
	sub.candidate.Record.RefusedHedge(now)
	r.profile.hedgeBudget.Return()
	r.hedges--
	st := &r.shards[sub.shard]
	st.overdueAt = r.sinceStart(now)
	r.rearmNeeded = true
}

// handleUnknown ends a sub-request that may have run. It is cancelled, since it
// may still be running.
func (r *queryRun) handleUnknown(id zlunit.SubRequestID, reason zlquery.Reason, now time.Time) {
	sub := &r.subs[id]
	sub.call.Cancel(id)
	r.closeSub(sub, zltrace.EndUnknown, reason, now)
	r.shards[sub.shard].mayHaveRun = true
	switch reason {
	case zlquery.ReasonPeerLost:
		r.suspectPeer(sub.candidate.Peer, now)
		sub.candidate.Record.Cancelled(now, 0, false)
	case zlquery.ReasonDeadline, zlquery.ReasonCancelled:
		sub.candidate.Record.Cancelled(now, sub.took, true)
	default:
		sub.candidate.Record.Failed(now, sub.took)
	}
	if r.req.Idempotent {
		r.handleFailure(sub.shard, reason, now)
		return
	}
	r.giveUpShard(sub.shard, reason)
}

// giveUpShard settles a shard that will not be tried again.
func (r *queryRun) giveUpShard(shard zlunit.Shard, reason zlquery.Reason) {
	st := &r.shards[shard]
	if st.settled {
		return
	}
	st.reason = reason
	r.settleShard(st)
}

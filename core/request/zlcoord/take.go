package zlcoord

import (
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/request/zltrace"
)

// take handles one reply; one that fits no open sub-request is dropped.
func (r *run) take(reply *zlquery.Reply, now time.Time) {
	if reply.Query != r.query || int(reply.Sub) >= len(r.subs) {
		r.drop(zlquery.ReasonBadReply)
		return
	}
	sub := &r.subs[reply.Sub]
	if !peerLost(reply.Result) {
		r.coordinator.Router.Heard(sub.to.Peer, now)
	}
	if sub.ended() {
		r.drop(zlquery.ReasonCancelled)
		return
	}
	switch result := reply.Result.(type) {
	case zlquery.Done:
		r.takeDone(reply.Sub, &result, now)
	case zlquery.NotRun:
		r.takeNotRun(sub, result, now)
	case zlquery.Unknown:
		r.takeUnknown(reply.Sub, result.Reason, now)
	default:
		r.takeUnknown(reply.Sub, zlquery.ReasonBadReply, now)
	}
}

func (r *run) drop(reason zlquery.Reason) {
	r.coordinator.Counter.Count("droppedReply", reason)
}

// end closes a sub-request. The caller tells the upstream's record.
func (r *run) end(sub *subState, end zltrace.End, reason zlquery.Reason, now time.Time) {
	sub.end = end
	sub.open = false
	sub.reason = reason
	sub.took = r.at(now) - sub.sent
	r.shards[sub.shard].open--
}

// takeDone merges a part. One that is not the answer to this very sub-request
// is not used; whether the sub-request itself ran is then unknown.
func (r *run) takeDone(id zlunit.SubID, done *zlquery.Done, now time.Time) {
	sub := &r.subs[id]
	part := &done.Part
	st := &r.shards[sub.shard]
	if part.Shard != sub.shard || part.Upstream != sub.to.Upstream || part.Version != sub.version || !r.merge.Add(*part) {
		r.drop(zlquery.ReasonBadReply)
		r.takeUnknown(id, zlquery.ReasonBadReply, now)
		return
	}
	r.end(sub, zltrace.EndDone, zlquery.ReasonNone, now)
	sub.to.Record.Done(now, sub.took)
	r.took = append(r.took, sub.took)
	st.ran = true
	r.settle(st)
	if st.open > 0 {
		r.cancelLosers(sub, now)
	}
}

func (r *run) settle(st *shardState) {
	if !st.settled {
		st.settled = true
		r.pending--
	}
	st.againAt = 0
}

// cancelLosers gives up the other sub-requests of the shard of winner.
func (r *run) cancelLosers(winner *subState, now time.Time) {
	if r.coordinator.Without.Cancel {
		return
	}
	for i := r.shards[winner.shard].last; i >= 0; i = r.subs[i].prev {
		loser := &r.subs[i]
		if loser.ended() {
			continue
		}
		r.end(loser, zltrace.EndCancelled, zlquery.ReasonNone, now)
		r.giveBack(loser, now, loser.sent < winner.sent)
		loser.call.Cancel(zlunit.SubID(i))
	}
}

// giveBack tells the records about a sub-request that was given up.
func (r *run) giveBack(sub *subState, now time.Time, late bool) {
	if sub.to.Peer.Suspected() {
		// It is the daemon that is late, not the upstream.
		sub.to.Record.Cancelled(now, 0, false)
		return
	}
	sub.to.Record.Cancelled(now, sub.took, late)
	if late {
		r.took = append(r.took, sub.took)
	}
}

func (r *run) takeNotRun(sub *subState, result zlquery.NotRun, now time.Time) {
	r.end(sub, zltrace.EndNotRun, result.Reason, now)
	if result.Reason == zlquery.ReasonPeerLost {
		r.suspect(sub.to.Peer, now)
	}
	if sub.cause == zltrace.CauseHedge && result.Reason != zlquery.ReasonPeerLost {
		r.hedgeNotRun(sub, now)
	} else {
		sub.to.Record.Refused(now, sub.took, result.Reason, result.RetryAfter)
	}
	r.shards[sub.shard].hint = result.RetryAfter
	r.failed(sub.shard, result.Reason, now)
}

// hedgeNotRun handles the refusal of a hedge: nothing was spent, and another
// replica may be asked at once.
func (r *run) hedgeNotRun(sub *subState, now time.Time) {
	sub.to.Record.RefusedHedge(now)
	r.profile.hedges.Return()
	r.hedges--
	st := &r.shards[sub.shard]
	st.lateAt = r.at(now)
	r.rearm = true
}

// takeUnknown ends a sub-request that may have run and may still be running,
// which is why it is cancelled as well.
func (r *run) takeUnknown(id zlunit.SubID, reason zlquery.Reason, now time.Time) {
	sub := &r.subs[id]
	sub.call.Cancel(id)
	r.end(sub, zltrace.EndUnknown, reason, now)
	r.shards[sub.shard].ran = true
	switch reason {
	case zlquery.ReasonPeerLost:
		r.suspect(sub.to.Peer, now)
		sub.to.Record.Cancelled(now, 0, false)
	case zlquery.ReasonDeadline, zlquery.ReasonCancelled:
		sub.to.Record.Cancelled(now, sub.took, true)
	default:
		sub.to.Record.Failed(now, sub.took)
	}
	if r.req.Idempotent {
		r.failed(sub.shard, reason, now)
		return
	}
	r.giveUp(sub.shard, reason)
}

// giveUp settles a shard that will not be asked again.
func (r *run) giveUp(shard zlunit.Shard, reason zlquery.Reason) {
	st := &r.shards[shard]
	if st.settled {
		return
	}
	st.reason = reason
	r.settle(st)
}

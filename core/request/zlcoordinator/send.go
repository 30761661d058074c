package zlcoordinator

import (
	"slices"
	"time"

	"zinnialock/core/process/zlroute"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlplan"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/request/zltrace"
)

// dispatchAll sends the first sub-request for each shard, in one batch per
// daemon.
func (r *queryRun) dispatchAll() {
	now := r.coordinator.Timer.Now()
	counts := make([]int, len(r.plan.Groups))
	firstID := len(r.subs)
	purpose := r.pickPurpose()
	cause := r.firstCause()
	sentAt := r.sinceStart(now)
	for s := range r.shards {
		if r.holdSuspected(zlunit.Shard(s), zlquery.ReasonNone, now) {
			continue
		}
		choice, ok := r.coordinator.Router.Pick(now, r.plan.Shards[s], nil, purpose)
		if !ok {
			r.giveUpShard(zlunit.Shard(s), r.noReplicaReason(zlunit.Shard(s)))
			continue
		}
		candidate := &r.plan.Shards[s][choice.Index]
		counts[candidate.Group]++
		r.addSub(zlunit.Shard(s), candidate, sentAt, cause, zlquery.ReasonNone)
	}
	sent := r.subs[firstID:]
	r.profile.hedgeBudget.Earn(len(sent), r.policy.HedgeShare)
	r.profile.retryBudget.Earn(len(sent), r.policy.RetryShare)
	r.dispatchGroups(sent, firstID, counts)
}

// pickPurpose returns how replicas are picked for first sends and retries: a
// request that is not idempotent probes no replica that it can do without.
func (r *queryRun) pickPurpose() zlroute.Purpose {
	if r.req.Idempotent {
		return zlroute.PurposeIdempotent
	}
	return zlroute.PurposeNonIdempotent
}

// firstCause returns the cause of the first sub-requests of the current plan.
func (r *queryRun) firstCause() zltrace.Cause {
	if r.planCount > 1 {
		return zltrace.CauseReplan
	}
	return zltrace.CauseFirst
}

// dispatchGroups sends the sub-requests in sent, whose ids start at firstID, in
// one batch per daemon. Counts holds the number of sub-requests for each daemon
// of the plan.
func (r *queryRun) dispatchGroups(sent []subState, firstID int, counts []int) {
	requests := make([]zlquery.SubRequest, len(sent))
	next := make([]int, len(counts))
	offset := 0
	for g, n := range counts {
		next[g] = offset
		offset += n
	}
	for i := range sent {
		g := sent[i].candidate.Group
		requests[next[g]] = r.subRequest(zlunit.SubRequestID(firstID+i), &sent[i])
		next[g]++
	}
	offset = 0
	for g, n := range counts {
		if n > 0 {
			r.dispatch(r.plan.Groups[g], requests[offset:offset+n:offset+n])
		}
		offset += n
	}
}

// addSub adds the state of a sub-request that is about to be sent, and returns
// its id. Unused entries in the capacity of r.subs are zero.
func (r *queryRun) addSub(shard zlunit.Shard, candidate *zlroute.Candidate, sentAt time.Duration, cause zltrace.Cause, reason zlquery.Reason) zlunit.SubRequestID {
	st := &r.shards[shard]
	id := zlunit.SubRequestID(len(r.subs))
	if int(id) == cap(r.subs) {
		r.subs = slices.Grow(r.subs, 1)
	}
	r.subs = r.subs[:id+1]
	s := &r.subs[id]
	s.shard = shard
	s.prev = st.lastSub
	s.round = st.round
	s.candidate = candidate
	s.sentAt = sentAt
	s.cause = cause
	s.causeReason = reason
	s.end = zltrace.EndOpen
	s.open = true
	s.requestedVersion = r.plan.Version
	s.crashRound = r.crash.round
	if r.crash.suspected {
		r.crash.canarySent, r.crash.canary = true, int(id)
	}
	st.lastSub = int(id)
	st.openSubs++
	st.overdueAt = s.sentAt + r.hedgeDelay
	st.retryAt = 0
	st.awaitsCanary = false
	candidate.Record.Sent()
	r.rearmNeeded = true
	return id
}

// subRequest returns the sub-request to send.
func (r *queryRun) subRequest(id zlunit.SubRequestID, s *subState) zlquery.SubRequest {
	return zlquery.SubRequest{
		ID:       id,
		Shard:    s.shard,
		Upstream: s.candidate.Upstream,
		Version:  s.requestedVersion,
		Hedge:    s.cause == zltrace.CauseHedge,
		Retry:    s.cause == zltrace.CauseRetry || s.cause == zltrace.CauseBypass,
	}
}

// dispatch sends a batch to one daemon. Each reply is a sign that the daemon is
// alive, even if it arrives after the end of the query.
func (r *queryRun) dispatch(peer *zlroute.Peer, subs []zlquery.SubRequest) {
	c := r.coordinator
	batch := &zlquery.Batch{
		Query:       r.query,
		Request:     r.req.ID,
		Service:     r.req.Service,
		Kind:        r.req.Kind,
		Text:        r.req.Text,
		Idempotent:  r.req.Idempotent,
		TimeLeft:    r.req.Deadline.Sub(c.Timer.Now()),
		SubRequests: subs,
		Priority:    r.policy.Priority,
	}
	replies := r.replies
	peer.Sent(c.Timer.Now(), len(subs))
	call := c.Dispatcher.Dispatch(r.ctx, peer.VM, batch, func(reply zlquery.Reply) {
		if replies.push(reply) {
			return
		}
		if !peerLost(reply.Result) {
			c.Router.MarkAlive(peer, c.Timer.Now())
		}
		c.Counter.Count("droppedReply", zlquery.ReasonCancelled)
	})
	for i := range subs {
		r.subs[subs[i].ID].call = call
	}
}

// peerLost reports whether a result stands for the loss of the connection to
// the daemon rather than for a reply of it.
func peerLost(result zlquery.Result) bool {
	switch result := result.(type) {
	case zlquery.NotRun:
		return result.Reason == zlquery.ReasonPeerLost
	case zlquery.Unknown:
		return result.Reason == zlquery.ReasonPeerLost
	default:
		return false
	}
}

// sendExtra sends one more sub-request for a shard.
func (r *queryRun) sendExtra(shard zlunit.Shard, candidate *zlroute.Candidate, cause zltrace.Cause, reason zlquery.Reason) {
	id := r.addSub(shard, candidate, r.sinceStart(r.coordinator.Timer.Now()), cause, reason)
	sub := r.subRequest(id, &r.subs[id])
	r.dispatch(candidate.Peer, []zlquery.SubRequest{sub})
}

// pickReplica picks a replica for a retry or hedge by the newest view. It
// leaves out those that are in flight, were tried in this round or lost the
// version. The first bool reports whether the replica is in good standing, the
// second whether there is one.
func (r *queryRun) pickReplica(shard zlunit.Shard, now time.Time, purpose zlroute.Purpose) (*zlroute.Candidate, bool, bool) {
	r.refreshPlan(now)
	st := &r.shards[shard]
	r.excluded = r.excluded[:0]
	for i := st.lastSub; i >= 0; i = r.subs[i].prev {
		s := &r.subs[i]
		if !s.ended() || s.round == st.round || lostVersion(s.reason) {
			r.excluded = append(r.excluded, s.candidate.Upstream)
		}
	}
	candidates := r.plan.Shards[shard]
	choice, ok := r.coordinator.Router.Pick(now, candidates, r.excluded, purpose)
	if !ok && r.plan.Fallback != nil {
		candidates = r.plan.Fallback[shard]
		choice, ok = r.coordinator.Router.Pick(now, candidates, r.excluded, purpose)
	}
	if !ok {
		return nil, false, false
	}
	return &candidates[choice.Index], choice.Eligible, true
}

// lostVersion reports whether a replica that refused for reason will not serve
// the requested version any more.
func lostVersion(reason zlquery.Reason) bool {
	return reason == zlquery.ReasonVersionGone || reason == zlquery.ReasonShardGone
}

// refreshPlan updates the replicas of the plan if the view has changed or
// expired, since hedges and retries are new work. The version and its shard map
// stay.
func (r *queryRun) refreshPlan(now time.Time) {
	c := r.coordinator
	view := c.Views.Load()
	age := c.Views.Age(now)
	if view == r.plan.View && r.plan.Fresh == (age <= r.policy.ViewAge) {
		return
	}
	planner := &zlplan.Planner{
		View:   view,
		Age:    age,
		Now:    now,
		Policy: r.policy,
		Router: c.Router,
	}
	r.plan = planner.ForVersion(r.plan.ShardMap)
}

// noReplicaReason returns why a shard has no replica.
func (r *queryRun) noReplicaReason(shard zlunit.Shard) zlquery.Reason {
	view := r.plan.View
	for _, name := range r.plan.ShardMap.Shards[shard] {
		if u, ok := view.Upstream(name); ok && view.Marks.UpstreamOut(name, u.DataCentre) {
			return zlquery.ReasonMarkedOut
		}
	}
	return zlquery.ReasonNoReplica
}

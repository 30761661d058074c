package zlcoordinator

import (
	"time"

	"zinnialock/core/process/zlroute"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/request/zltrace"
)

const (
	// initialBackoff and maxBackoff bound the wait before all replicas of a
	// shard are tried again. It doubles each time.
	initialBackoff = 5 * time.Millisecond
	maxBackoff     = 200 * time.Millisecond
	// maxBackoffs bounds the number of waits for one shard.
	maxBackoffs = 8
	// retryReserve is the share of the retry budget that is kept for shards of
	// which not all replicas have been tried.
	retryReserve = 0.5
	// reasonNoBudget is the reason of a hedge or retry that the budget did not
	// allow.
	reasonNoBudget = zlquery.ReasonOverload
)

// handleFailure handles the end of a sub-request that brought no part and may
// be sent again.
func (r *queryRun) handleFailure(shard zlunit.Shard, reason zlquery.Reason, now time.Time) {
	st := &r.shards[shard]
	st.reason = reason
	if st.settled || st.openSubs > 0 || st.retryAt > 0 {
		return
	}
	if r.coordinator.Disabled.Retries {
		r.giveUpShard(shard, reason)
		return
	}
	r.retryShard(shard, reason, now)
}

// retryShard sends a shard to another replica. It waits for a backoff first if
// the failure was due to overload and no replica in good standing is left, or
// if the retry budget is used up. If every replica has been tried, it replans,
// gives the shard up or tries all of them again after a backoff, depending on
// the reasons.
func (r *queryRun) retryShard(shard zlunit.Shard, reason zlquery.Reason, now time.Time) {
	if r.holdSuspected(shard, reason, now) {
		return
	}
	st := &r.shards[shard]
	candidate, good, ok := r.pickReplica(shard, now, r.pickPurpose())
	switch {
	case ok && st.lastSub < 0:
		// The first send, which waited until the query was cleared.
		r.sendExtra(shard, candidate, r.firstCause(), zlquery.ReasonNone)
	case !ok && r.allReplicasLostVersion(shard):
		r.handleVersionGone(shard, reason, now)
	case !ok && len(r.plan.Shards[shard]) == 0:
		r.giveUpShard(shard, r.noReplicaReason(shard))
	case !ok && !r.anyTransient(shard, reason):
		r.giveUpShard(shard, reason)
	case !ok:
		st.round++
		r.backOff(shard, reason, now)
	case !good && st.backoffs == 0 && isOverload(reason):
		r.backOff(shard, reason, now)
	case !r.takeRetryToken(st.round):
		r.recordNoBudget(st, shard, zltrace.KindNoRetry)
		r.backOff(shard, reason, now)
	default:
		r.retries++
		r.coordinator.Counter.Count("retry", reason)
		r.sendExtra(shard, candidate, zltrace.CauseRetry, reason)
	}
}

// isOverload reports whether a refusal is due to load. Replicas that refuse
// requests as well are then not tried before a backoff.
func isOverload(reason zlquery.Reason) bool {
	switch reason {
	case zlquery.ReasonShed, zlquery.ReasonColdBudget, zlquery.ReasonQueueFull, zlquery.ReasonOverload:
		return true
	default:
		return false
	}
}

// isTransient reports whether the reason of a failure may cease within moments,
// so that trying all replicas again is worthwhile.
func isTransient(reason zlquery.Reason) bool {
	switch reason {
	case zlquery.ReasonDialFailed, zlquery.ReasonNotHolder:
		return true
	default:
		return isOverload(reason)
	}
}

// takeRetryToken takes a token from the retry budget. Rounds after the first
// leave half of the budget to shards of which not all replicas have been tried.
func (r *queryRun) takeRetryToken(round int) bool {
	if r.coordinator.Disabled.Budgets {
		return true
	}
	reserve := 0.0
	if round > 0 {
		reserve = retryReserve
	}
	return r.policy.RetryShare > 0 && r.profile.retryBudget.Take(reserve)
}

// backOff schedules a retry of a shard after a randomised exponential delay, or
// after the delay that the last refusal asked for if that is longer. It gives
// the shard up after maxBackoffs waits or if too little time is left.
func (r *queryRun) backOff(shard zlunit.Shard, reason zlquery.Reason, now time.Time) {
	st := &r.shards[shard]
	wait := min(initialBackoff<<min(st.backoffs, 6), maxBackoff)
	wait = wait/2 + time.Duration(r.coordinator.Router.RandomInt(int(wait/2)))
	wait = max(wait, st.retryAfter)
	st.backoffs++
	if st.backoffs > maxBackoffs || now.Add(wait).After(r.waitEnd) {
		r.giveUpShard(shard, reason)
		return
	}
	st.retryReason = reason
	st.retryAt = r.sinceStart(now) + wait
	r.rearmNeeded = true
	r.recordDecision(zltrace.Decision{
		Kind:   zltrace.KindWait,
		Shard:  shard,
		Reason: reason,
		Wait:   wait,
	})
}

// recordNoBudget records, once for each shard, that the budget did not allow a
// hedge or retry.
func (r *queryRun) recordNoBudget(st *shardState, shard zlunit.Shard, kind zltrace.DecisionKind) {
	if st.denialRecorded {
		return
	}
	st.denialRecorded = true
	r.coordinator.Counter.Count(string(kind), reasonNoBudget)
	r.recordDecision(zltrace.Decision{
		Kind:   kind,
		Shard:  shard,
		Reason: reasonNoBudget,
	})
}

// allReplicasLostVersion reports whether each replica of a shard refused
// because it no longer holds the requested version.
func (r *queryRun) allReplicasLostVersion(shard zlunit.Shard) bool {
	st := &r.shards[shard]
	candidates := r.plan.Shards[shard]
	if len(candidates) == 0 {
		return false
	}
	for i := range candidates {
		found := false
		for j := st.lastSub; j >= 0 && !found; j = r.subs[j].prev {
			found = lostVersion(r.subs[j].reason) && r.subs[j].candidate.Upstream == candidates[i].Upstream
		}
		if !found {
			return false
		}
	}
	return true
}

// suspectPeer marks a daemon as silent, unless it is this one.
func (r *queryRun) suspectPeer(peer *zlroute.Peer, now time.Time) {
	if peer.VM != r.coordinator.Self && peer.MarkSuspected(now) {
		r.coordinator.Counter.Count("suspect", zlquery.ReasonPeerLost)
	}
}

// anyTransient reports whether reason, or that of any sub-request for the shard
// in this round, is transient.
func (r *queryRun) anyTransient(shard zlunit.Shard, reason zlquery.Reason) bool {
	st := &r.shards[shard]
	for i := st.lastSub; i >= 0; i = r.subs[i].prev {
		if s := &r.subs[i]; s.round == st.round && isTransient(s.reason) {
			return true
		}
	}
	return isTransient(reason)
}

package zlcoord

import (
	"time"

	"zinnialock/core/process/zlroute"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/request/zltrace"
)

const (
	// firstPause and mostPause bound the wait before all replicas of a shard
	// are asked anew; it doubles each time.
	firstPause = 5 * time.Millisecond
	mostPause  = 200 * time.Millisecond
	// maxPauses bounds the waits of one shard.
	maxPauses = 8
	// anewReserve is the share of the retry budget that asking all replicas
	// of a shard anew does not touch.
	anewReserve = 0.5
	// reasonBudget marks what was left undone for want of budget.
	reasonBudget = zlquery.ReasonOverload
)

// failed decides what to do for a shard whose sub-request ended without a part
// and may be sent again.
func (r *run) failed(shard zlunit.Shard, reason zlquery.Reason, now time.Time) {
	st := &r.shards[shard]
	st.reason = reason
	if st.settled || st.open > 0 || st.againAt > 0 {
		return
	}
	if r.coordinator.Without.Retries {
		r.giveUp(shard, reason)
		return
	}
	r.again(shard, reason, now)
}

// again asks another replica of a shard now if one is in good standing, or
// waits before it asks them all anew.
func (r *run) again(shard zlunit.Shard, why zlquery.Reason, now time.Time) {
	st := &r.shards[shard]
	c, good, ok := r.pick(shard, now, r.firstCare())
	switch {
	case !ok && r.allLost(shard):
		r.versionGone(shard, why, now)
	case !ok && len(r.plan.Shards[shard]) == 0:
		r.giveUp(shard, r.noReplica(shard))
	case !ok && !r.anyMayPass(shard, why):
		r.giveUp(shard, why)
	case !ok:
		st.round++
		r.pause(shard, why, now)
	case !good && st.pauses == 0 && speaksOfLoad(why):
		r.pause(shard, why, now)
	case !r.takeRetry(st.round):
		r.noteRefused(st, shard, zltrace.WhatNoRetry)
		r.pause(shard, why, now)
	default:
		r.retries++
		r.coordinator.Counter.Count("retry", why)
		r.sendOne(shard, c, zltrace.CauseRetry, why)
	}
}

// speaksOfLoad reports whether a refusal for reason speaks of load, so that
// replicas that refuse as well are better left alone for a moment.
func speaksOfLoad(reason zlquery.Reason) bool {
	switch reason {
	case zlquery.ReasonShed, zlquery.ReasonColdBudget, zlquery.ReasonQueueFull, zlquery.ReasonOverload:
		return true
	default:
		return false
	}
}

// mayPass reports whether what kept all replicas from serving may be over in a
// moment, so that it is worth asking them anew.
func mayPass(reason zlquery.Reason) bool {
	switch reason {
	case zlquery.ReasonDialFailed, zlquery.ReasonNotHolder:
		return true
	default:
		return speaksOfLoad(reason)
	}
}

// takeRetry takes a token for a retry. Asking all replicas anew leaves half of
// the budget to shards whose other replicas were not asked yet.
func (r *run) takeRetry(round int) bool {
	if r.coordinator.Without.Budgets {
		return true
	}
	reserve := 0.0
	if round > 0 {
		reserve = anewReserve
	}
	return r.policy.RetryShare > 0 && r.profile.retries.Take(reserve)
}

// pause schedules a shard to be asked again, or gives it up if there is no time
// left for that.
func (r *run) pause(shard zlunit.Shard, why zlquery.Reason, now time.Time) {
	st := &r.shards[shard]
	wait := min(firstPause<<min(st.pauses, 6), mostPause)
	wait = wait/2 + time.Duration(r.coordinator.Router.Draw(int(wait/2)))
	wait = max(wait, st.hint)
	st.pauses++
	if st.pauses > maxPauses || now.Add(wait).After(r.due) {
		r.giveUp(shard, why)
		return
	}
	st.why = why
	st.againAt = r.at(now) + wait
	r.rearm = true
	r.note(zltrace.Decision{
		What:   zltrace.WhatWait,
		Shard:  shard,
		Reason: why,
		For:    wait,
	})
}

// noteRefused records once for a shard that an extra sub-request was not sent
// for want of budget.
func (r *run) noteRefused(st *shardState, shard zlunit.Shard, what zltrace.What) {
	if st.noted {
		return
	}
	st.noted = true
	r.coordinator.Counter.Count(string(what), reasonBudget)
	r.note(zltrace.Decision{
		What:   what,
		Shard:  shard,
		Reason: reasonBudget,
	})
}

// allLost reports whether every replica of a shard said that it does not hold
// the pinned version any more.
func (r *run) allLost(shard zlunit.Shard) bool {
	st := &r.shards[shard]
	list := r.plan.Shards[shard]
	if len(list) == 0 {
		return false
	}
	for i := range list {
		found := false
		for j := st.last; j >= 0 && !found; j = r.subs[j].prev {
			found = lost(r.subs[j].reason) && r.subs[j].to.Upstream == list[i].Upstream
		}
		if !found {
			return false
		}
	}
	return true
}

// suspect notes a daemon that gives no sign of life.
func (r *run) suspect(p *zlroute.Peer, now time.Time) {
	if p.VM != r.coordinator.Self && p.Suspect(now) {
		r.coordinator.Counter.Count("suspect", zlquery.ReasonPeerLost)
	}
}

// anyMayPass reports whether what kept any replica of a shard from serving in
// this round may be over in a moment.
func (r *run) anyMayPass(shard zlunit.Shard, why zlquery.Reason) bool {
	st := &r.shards[shard]
	for i := st.last; i >= 0; i = r.subs[i].prev {
		if s := &r.subs[i]; s.round == st.round && mayPass(s.reason) {
			return true
		}
	}
	return mayPass(why)
}

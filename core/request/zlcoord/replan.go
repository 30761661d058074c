package zlcoord

import (
	"slices"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlmerge"
	"zinnialock/core/request/zlplan"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/request/zltrace"
)

const (
	// maxPlans bounds the plans of one query.
	maxPlans = 3
	// replanTimes is how many times the hedging delay must be left for a new
	// plan.
	replanTimes = 3
)

// outcome is what a plan came to that was given up for another.
type outcome struct {
	plan   *zlplan.Plan
	merge  *zlmerge.Merge
	shards []shardState
}

// versionGone handles a shard that no replica holds at the pinned version any
// more: the whole query starts over at another version if time allows, or else
// goes on without the shard.
func (r *run) versionGone(shard zlunit.Shard, why zlquery.Reason, now time.Time) {
	r.profile.markGone(r.plan.Version, now)
	plan := r.otherPlan(now)
	if plan == nil {
		r.giveUp(shard, why)
		return
	}
	r.coordinator.Counter.Count("replan", why)
	r.setAside(now)
	r.adopt(plan, why)
}

// otherPlan returns a whole plan at another version, or nil.
func (r *run) otherPlan(now time.Time) *zlplan.Plan {
	c := r.coordinator
	if c.Without.Replan || r.plans >= maxPlans || r.due.Sub(now) < replanTimes*r.hedgeAfter {
		return nil
	}
	if !r.req.Idempotent && r.mayHaveRun() {
		return nil
	}
	plan, err := r.profile.plan(c, c.Views.Load(), r.policy, now)
	if err != nil || plan.Version == r.plan.Version || plan.Served < len(plan.Shards) {
		return nil
	}
	return plan
}

// mayHaveRun reports whether any sub-request of the current plan may have run.
func (r *run) mayHaveRun() bool {
	for i := range r.shards {
		if r.shards[i].ran || r.shards[i].open > 0 {
			return true
		}
	}
	return false
}

// setAside cancels what is in flight under the current plan and keeps what it
// had merged, in case the new one comes to less.
func (r *run) setAside(now time.Time) {
	r.ran = r.ran || r.mayHaveRun()
	r.cancelOpen(now, zlquery.ReasonVersionGone)
	if r.former == nil || r.merge.Coverage() > r.former.merge.Coverage() {
		r.former = &outcome{
			plan:   r.plan,
			merge:  r.merge,
			shards: slices.Clone(r.shards),
		}
	}
}

func (r *run) cancelOpen(now time.Time, reason zlquery.Reason) {
	for i := range r.subs {
		sub := &r.subs[i]
		if sub.ended() {
			continue
		}
		r.end(sub, zltrace.EndCancelled, reason, now)
		r.giveBack(sub, now, false)
		sub.call.Cancel(zlunit.SubID(i))
	}
}

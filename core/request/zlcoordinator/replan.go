package zlcoordinator

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
	// maxPlans bounds the number of plans of a query.
	maxPlans = 3
	// minReplanDelays is how many hedge delays must be left for a new plan.
	minReplanDelays = 3
)

// planResult is the result of a plan that was replaced by another.
type planResult struct {
	plan   *zlplan.Plan
	merge  *zlmerge.Merge
	shards []shardState
}

// handleVersionGone handles a shard that no replica holds at the requested
// version any more. The whole query starts over at another version if time
// allows; otherwise it continues without the shard.
func (r *queryRun) handleVersionGone(shard zlunit.Shard, reason zlquery.Reason, now time.Time) {
	r.profile.markGone(r.plan.Version, now)
	plan := r.planOtherVersion(now)
	if plan == nil {
		r.giveUpShard(shard, reason)
		return
	}
	r.coordinator.Counter.Count("replan", reason)
	r.setPlanAside(now)
	r.startPlan(plan, reason)
}

// planOtherVersion returns a plan for all shards at another version. It returns
// nil if there is none, if too little time is left or if a query that is not
// idempotent may have run.
func (r *queryRun) planOtherVersion(now time.Time) *zlplan.Plan {
	c := r.coordinator
	if c.Disabled.Replan || r.planCount >= maxPlans || r.waitEnd.Sub(now) < minReplanDelays*r.hedgeDelay {
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

// mayHaveRun reports whether a sub-request of the current plan ran or may have
// run.
func (r *queryRun) mayHaveRun() bool {
	for i := range r.shards {
		if r.shards[i].mayHaveRun || r.shards[i].openSubs > 0 {
			return true
		}
	}
	return false
}

// setPlanAside cancels the sub-requests in flight under the current plan. It
// keeps the result, in case the new plan reaches less coverage.
func (r *queryRun) setPlanAside(now time.Time) {
	r.anyPlanRan = r.anyPlanRan || r.mayHaveRun()
	r.cancelOpenSubs(now, zlquery.ReasonVersionGone)
	if r.bestEarlier == nil || r.merge.Coverage() > r.bestEarlier.merge.Coverage() {
		r.bestEarlier = &planResult{
			plan:   r.plan,
			merge:  r.merge,
			shards: slices.Clone(r.shards),
		}
	}
}

// cancelOpenSubs cancels the sub-requests in flight.
func (r *queryRun) cancelOpenSubs(now time.Time, reason zlquery.Reason) {
	for i := range r.subs {
		sub := &r.subs[i]
		if sub.ended() {
			continue
		}
		r.closeSub(sub, zltrace.EndCancelled, reason, now)
		r.recordGivenUp(sub, now, false)
		sub.call.Cancel(zlunit.SubRequestID(i))
	}
}

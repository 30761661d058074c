package zlcoordinator

import (
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/request/zltrace"
)

// cancelRemaining ends the query: it sets the reason of each shard that is
// still open and cancels the sub-requests in flight.
func (r *queryRun) cancelRemaining() {
	now := r.coordinator.Timer.Now()
	reason := zlquery.ReasonDeadline
	if r.ctx.Err() != nil {
		reason = zlquery.ReasonCancelled
	}
	for s := range r.shards {
		st := &r.shards[s]
		st.mayHaveRun = st.mayHaveRun || st.openSubs > 0
		if !st.settled && (st.openSubs > 0 || st.reason == zlquery.ReasonNone) {
			st.reason = reason
		}
	}
	for i := range r.subs {
		sub := &r.subs[i]
		if sub.ended() {
			continue
		}
		sub.took = r.sinceStart(now) - sub.sentAt
		r.recordGivenUp(sub, now, !now.Before(r.waitEnd))
		sub.call.Cancel(zlunit.SubRequestID(i))
	}
}

// buildAnswer returns the answer from the plan with the highest coverage.
func (r *queryRun) buildAnswer() *zlquery.Answer {
	for i := range r.shards {
		r.anyPlanRan = r.anyPlanRan || r.shards[i].mayHaveRun
	}
	if r.bestEarlier != nil && r.bestEarlier.merge.Coverage() > r.merge.Coverage() {
		r.plan = r.bestEarlier.plan
		r.merge = r.bestEarlier.merge
		r.shards = r.bestEarlier.shards
	}
	a := &zlquery.Answer{
		ID:          r.req.ID,
		Outcome:     zlquery.OutcomeDone,
		Version:     r.plan.Version,
		Coverage:    r.merge.Coverage(),
		Complete:    r.merge.Complete(),
		Parts:       r.merge.Parts(),
		Missing:     r.missingShards(),
		SubRequests: len(r.subs),
		Hedges:      r.hedges,
		Retries:     r.retries,
	}
	if len(a.Parts) == 0 || a.Coverage < r.req.LeastCoverage {
		r.turnIntoRefusal(a)
	}
	if r.traced() {
		r.coordinator.Traces.Keep(r.buildTrace(a))
	}
	return a
}

// missingShards returns the shards without a part, with the reason of each.
func (r *queryRun) missingShards() []zlquery.Missing {
	var missing []zlquery.Missing
	for s := range r.shards {
		if !r.merge.Has(zlunit.Shard(s)) {
			missing = append(missing, zlquery.Missing{
				Shard:  zlunit.Shard(s),
				Reason: r.shards[s].reason,
			})
		}
	}
	return missing
}

// turnIntoRefusal turns an answer with too little coverage into a refusal,
// whose outcome says whether anything may have run.
func (r *queryRun) turnIntoRefusal(a *zlquery.Answer) {
	a.Outcome = zlquery.OutcomeNotRun
	if r.anyPlanRan {
		a.Outcome = zlquery.OutcomeUnknown
	}
	a.Reason = zlquery.ReasonCoverage
	if len(a.Parts) == 0 && len(a.Missing) > 0 {
		a.Reason = a.Missing[0].Reason
	}
	a.Parts = nil
	a.RetryAfter = r.retryAfter()
	r.coordinator.Counter.Count("refusal", a.Reason)
}

// retryAfter returns the longest delay that refusals for the missing shards
// asked for.
func (r *queryRun) retryAfter() time.Duration {
	longest := time.Duration(0)
	for s := range r.shards {
		if !r.merge.Has(zlunit.Shard(s)) {
			longest = max(longest, r.shards[s].retryAfter)
		}
	}
	if longest == 0 {
		return defaultRetryAfter
	}
	return longest
}

func (r *queryRun) buildTrace(a *zlquery.Answer) *zltrace.Trace {
	t := &zltrace.Trace{
		Request:    r.req.ID,
		Query:      r.query,
		Service:    r.req.Service,
		Kind:       r.req.Kind,
		Idempotent: r.req.Idempotent,
		Start:      r.start,
		Budget:     r.req.Deadline.Sub(r.start),
		Took:       r.coordinator.Timer.Now().Sub(r.start),
		Decisions:  r.decisions,
		Attempts:   make([]zltrace.Attempt, len(r.subs)),
		Outcome:    a.Outcome,
		Reason:     a.Reason,
		Version:    a.Version,
		Coverage:   a.Coverage,
		Complete:   a.Complete,
		Missing:    a.Missing,
	}
	for i := range r.subs {
		s := &r.subs[i]
		t.Attempts[i] = zltrace.Attempt{
			Sub:      zlunit.SubRequestID(i),
			Shard:    s.shard,
			Upstream: s.candidate.Upstream,
			VM:       s.candidate.VM,
			Version:  s.requestedVersion,
			Cause:    s.cause,
			Why:      s.causeReason,
			Sent:     s.sentAt,
			Ended:    s.sentAt + s.took,
			End:      s.end,
			Reason:   s.reason,
		}
	}
	return t
}

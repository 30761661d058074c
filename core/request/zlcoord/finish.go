package zlcoord

import (
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/request/zltrace"
)

// abandon notes the reason of every shard that is still open, and cancels what
// is in flight.
func (r *run) abandon() {
	now := r.coordinator.Timer.Now()
	reason := zlquery.ReasonDeadline
	if r.ctx.Err() != nil {
		reason = zlquery.ReasonCancelled
	}
	for s := range r.shards {
		st := &r.shards[s]
		st.ran = st.ran || st.open > 0
		if !st.settled && (st.open > 0 || st.reason == zlquery.ReasonNone) {
			st.reason = reason
		}
	}
	for i := range r.subs {
		sub := &r.subs[i]
		if sub.ended() {
			continue
		}
		sub.took = r.at(now) - sub.sent
		r.giveBack(sub, now, !now.Before(r.due))
		sub.call.Cancel(zlunit.SubID(i))
	}
}

// finish makes the answer from the plan that came to the most.
func (r *run) finish() *zlquery.Answer {
	for i := range r.shards {
		r.ran = r.ran || r.shards[i].ran
	}
	if r.former != nil && r.former.merge.Coverage() > r.merge.Coverage() {
		r.plan = r.former.plan
		r.merge = r.former.merge
		r.shards = r.former.shards
	}
	a := &zlquery.Answer{
		ID:       r.req.ID,
		Outcome:  zlquery.OutcomeDone,
		Version:  r.plan.Version,
		Coverage: r.merge.Coverage(),
		Complete: r.merge.Complete(),
		Parts:    r.merge.Parts(),
		Missing:  r.missing(),
		Subs:     len(r.subs),
		Hedges:   r.hedges,
		Retries:  r.retries,
	}
	if len(a.Parts) == 0 || a.Coverage < r.req.LeastCoverage {
		r.refuseAfter(a)
	}
	if r.traced() {
		r.coordinator.Traces.Keep(r.trace(a))
	}
	return a
}

func (r *run) missing() []zlquery.Missing {
	var out []zlquery.Missing
	for s := range r.shards {
		if !r.merge.Has(zlunit.Shard(s)) {
			out = append(out, zlquery.Missing{
				Shard:  zlunit.Shard(s),
				Reason: r.shards[s].reason,
			})
		}
	}
	return out
}

// refuseAfter turns an answer with too little coverage into a refusal that
// says truly whether anything ran.
func (r *run) refuseAfter(a *zlquery.Answer) {
	a.Outcome = zlquery.OutcomeNotRun
	if r.ran {
		a.Outcome = zlquery.OutcomeUnknown
	}
	a.Reason = zlquery.ReasonCoverage
	if len(a.Parts) == 0 && len(a.Missing) > 0 {
		a.Reason = a.Missing[0].Reason
	}
	a.Parts = nil
	a.RetryAfter = r.comeBack()
	r.coordinator.Counter.Count("refusal", a.Reason)
}

// comeBack is the longest hint of the shards that are missing.
func (r *run) comeBack() time.Duration {
	longest := time.Duration(0)
	for s := range r.shards {
		if !r.merge.Has(zlunit.Shard(s)) {
			longest = max(longest, r.shards[s].hint)
		}
	}
	if longest == 0 {
		return comeBack
	}
	return longest
}

func (r *run) trace(a *zlquery.Answer) *zltrace.Trace {
	t := &zltrace.Trace{
		Request:    r.req.ID,
		Query:      r.query,
		Service:    r.req.Service,
		Kind:       r.req.Kind,
		Idempotent: r.req.Idempotent,
		Start:      r.start,
		Allowed:    r.req.Deadline.Sub(r.start),
		Took:       r.coordinator.Timer.Now().Sub(r.start),
		Decisions:  r.decisions,
		Tries:      make([]zltrace.Try, len(r.subs)),
		Outcome:    a.Outcome,
		Reason:     a.Reason,
		Version:    a.Version,
		Coverage:   a.Coverage,
		Complete:   a.Complete,
		Missing:    a.Missing,
	}
	for i := range r.subs {
		s := &r.subs[i]
		t.Tries[i] = zltrace.Try{
			Sub:      zlunit.SubID(i),
			Shard:    s.shard,
			Upstream: s.to.Upstream,
			VM:       s.to.VM,
			Version:  s.version,
			Cause:    s.cause,
			Why:      s.why,
			Sent:     s.sent,
			Ended:    s.sent + s.took,
			End:      s.end,
			Reason:   s.reason,
		}
	}
	return t
}

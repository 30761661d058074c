package zlcoord

import (
	"context"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlmerge"
	"zinnialock/core/request/zlplan"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zltree"
	"zinnialock/core/version/zlview"
)

// shardState is what a run knows of one shard.
type shardState struct {
	tried  []zlunit.Upstream
	open   int
	reason zlquery.Reason
	// ran tells that a sub-request for the shard may have run.
	ran bool
}

// subState is one dispatched sub-request.
type subState struct {
	shard    zlunit.Shard
	upstream zlunit.Upstream
	call     Call
	sent     time.Time
	ended    bool
}

// run is the state of one query. Only its own goroutine touches it.
type run struct {
	coordinator *Coordinator
	ctx         context.Context
	req         *zlquery.Request
	policy      zltree.Policy
	plan        *zlplan.Plan
	query       zlunit.QueryID
	start       time.Time

	replies chan zlquery.Reply
	shards  []shardState
	subs    []subState
	merge   *zlmerge.Merge
	open    int
	retries int
}

func (r *run) answer() *zlquery.Answer {
	n := len(r.plan.Shards)
	r.replies = make(chan zlquery.Reply, n)
	r.shards = make([]shardState, n)
	r.subs = make([]subState, 0, n+n/8)
	r.merge = zlmerge.New(r.plan.Version, n)
	r.dispatchAll()
	r.wait()
	r.abandon()
	return r.finish()
}

// dispatchAll sends the first sub-request of every shard, one batch a daemon.
func (r *run) dispatchAll() {
	groups := map[zlunit.VM][]zlquery.Sub{}
	for s := range r.shards {
		to, sub, ok := r.next(zlunit.Shard(s))
		if ok {
			groups[to] = append(groups[to], sub)
		}
	}
	for to, subs := range groups {
		r.dispatch(to, subs)
	}
}

// next picks an untried replica for a shard and the daemon that speaks to it.
func (r *run) next(shard zlunit.Shard) (zlunit.VM, zlquery.Sub, bool) {
	st := &r.shards[shard]
	for {
		u, ok := r.pick(shard)
		if !ok {
			if st.reason == zlquery.ReasonNone {
				st.reason = zlquery.ReasonNoReplica
			}
			return "", zlquery.Sub{}, false
		}
		st.tried = append(st.tried, u)
		view := r.coordinator.Views.Load()
		if !r.usable(view, u) {
			st.reason = zlquery.ReasonMarkedOut
			continue
		}
		holders := view.Holders(u)
		if len(holders) == 0 {
			st.reason = zlquery.ReasonNotHolder
			continue
		}
		sub := zlquery.Sub{
			ID:       zlunit.SubID(len(r.subs)),
			Shard:    shard,
			Upstream: u,
			Version:  r.plan.Version,
		}
		r.subs = append(r.subs, subState{
			shard:    shard,
			upstream: u,
			sent:     r.coordinator.Timer.Now(),
		})
		st.open++
		r.open++
		r.coordinator.Router.Sent(u)
		return holders[0], sub, true
	}
}

// pick chooses an untried replica, a spare one only where no other is left.
func (r *run) pick(shard zlunit.Shard) (zlunit.Upstream, bool) {
	tried := r.shards[shard].tried
	u, ok := r.coordinator.Router.Pick(r.plan.Shards[shard], tried)
	if !ok && r.plan.Spare != nil {
		u, ok = r.coordinator.Router.Pick(r.plan.Spare[shard], tried)
	}
	return u, ok
}

// usable checks u against the newest view, since a mark may have come and the
// view may have aged since the plan was made: hedges and retries are new work.
func (r *run) usable(view *zlview.View, u zlunit.Upstream) bool {
	age := r.coordinator.Views.Age(r.coordinator.Timer.Now())
	return view.Usable(u, age, &r.policy)
}

func (r *run) dispatch(to zlunit.VM, subs []zlquery.Sub) {
	batch := &zlquery.Batch{
		Query:      r.query,
		Request:    r.req.ID,
		Service:    r.req.Service,
		Kind:       r.req.Kind,
		Text:       r.req.Text,
		Idempotent: r.req.Idempotent,
		Left:       r.req.Deadline.Sub(r.coordinator.Timer.Now()),
		Subs:       subs,
	}
	call := r.coordinator.Dispatcher.Dispatch(r.ctx, to, batch, r.deliver)
	for _, sub := range subs {
		r.subs[sub.ID].call = call
	}
}

// deliver hands a reply to the run's goroutine, or drops it once the run ended.
func (r *run) deliver(reply zlquery.Reply) {
	select {
	case r.replies <- reply:
	case <-r.ctx.Done():
		r.coordinator.Counter.Count("droppedReply", zlquery.ReasonCancelled)
	}
}

// wait takes replies until the answer is whole, good enough or due.
func (r *run) wait() {
	timer := r.coordinator.Timer
	due := timer.After(r.req.Deadline.Sub(timer.Now()) - lateness)
	defer due.Stop()
	enough := timer.After(r.policy.EnoughAfter - timer.Now().Sub(r.start))
	defer enough.Stop()
	settle := false
	for r.open > 0 {
		select {
		case reply := <-r.replies:
			r.take(reply)
		case <-enough.C:
			settle = true
		case <-due.C:
			r.expire()
			return
		case <-r.ctx.Done():
			r.expire()
			return
		}
		if settle && r.merge.Coverage() >= max(r.policy.EnoughCoverage, r.req.LeastCoverage) {
			r.expire()
			return
		}
	}
}

// take handles one reply; one that fits no open sub-request is dropped.
func (r *run) take(reply zlquery.Reply) {
	if reply.Query != r.query || int(reply.Sub) >= len(r.subs) || r.subs[reply.Sub].ended {
		r.coordinator.Counter.Count("droppedReply", zlquery.ReasonBadReply)
		return
	}
	sub := &r.subs[reply.Sub]
	r.end(sub)
	st := &r.shards[sub.shard]
	switch result := reply.Result.(type) {
	case zlquery.Done:
		st.ran = true
		r.takePart(sub, result.Part)
	case zlquery.NotRun:
		st.reason = result.Reason
		r.retry(sub.shard, result.Reason)
	case zlquery.Unknown:
		st.ran = true
		st.reason = result.Reason
		if r.req.Idempotent {
			r.retry(sub.shard, result.Reason)
		}
	}
}

func (r *run) end(sub *subState) {
	sub.ended = true
	r.open--
	r.shards[sub.shard].open--
	r.coordinator.Router.Ended(sub.upstream, r.coordinator.Timer.Now().Sub(sub.sent))
}

func (r *run) takePart(sub *subState, part zlquery.Part) {
	if part.Shard != sub.shard || !r.merge.Add(part) {
		r.shards[sub.shard].reason = zlquery.ReasonBadReply
		r.coordinator.Counter.Count("droppedReply", zlquery.ReasonBadReply)
	}
}

func (r *run) retry(shard zlunit.Shard, reason zlquery.Reason) {
	if r.merge.Has(shard) || r.shards[shard].open > 0 {
		return
	}
	to, sub, ok := r.next(shard)
	if !ok {
		return
	}
	r.retries++
	r.coordinator.Counter.Count("retry", reason)
	r.dispatch(to, []zlquery.Sub{sub})
}

// expire notes the reason of every shard that is still open.
func (r *run) expire() {
	for i := range r.subs {
		sub := &r.subs[i]
		if sub.ended {
			continue
		}
		st := &r.shards[sub.shard]
		st.ran = true
		if !r.merge.Has(sub.shard) {
			st.reason = zlquery.ReasonDeadline
		}
	}
}

// abandon cancels what is still in flight.
func (r *run) abandon() {
	for i := range r.subs {
		sub := &r.subs[i]
		if sub.ended {
			continue
		}
		sub.call.Cancel(zlunit.SubID(i))
		r.end(sub)
	}
}

func (r *run) finish() *zlquery.Answer {
	a := &zlquery.Answer{
		ID:       r.req.ID,
		Outcome:  zlquery.OutcomeDone,
		Version:  r.plan.Version,
		Coverage: r.merge.Coverage(),
		Parts:    r.merge.Parts(),
		Subs:     len(r.subs),
		Retries:  r.retries,
	}
	a.Complete = r.merge.Complete()
	ran := false
	for s := range r.shards {
		st := &r.shards[s]
		ran = ran || st.ran
		if !r.merge.Has(zlunit.Shard(s)) {
			a.Missing = append(a.Missing, zlquery.Missing{
				Shard:  zlunit.Shard(s),
				Reason: st.reason,
			})
		}
	}
	if len(a.Parts) > 0 && a.Coverage >= r.req.LeastCoverage {
		return a
	}
	return r.refuseAfter(a, ran)
}

// refuseAfter turns an answer with too little coverage into a refusal that
// says truly whether anything ran.
func (r *run) refuseAfter(a *zlquery.Answer, ran bool) *zlquery.Answer {
	a.Outcome = zlquery.OutcomeNotRun
	if ran {
		a.Outcome = zlquery.OutcomeUnknown
	}
	a.Reason = zlquery.ReasonCoverage
	if len(a.Parts) == 0 && len(a.Missing) > 0 {
		a.Reason = a.Missing[0].Reason
	}
	a.Parts = nil
	r.coordinator.Counter.Count("refusal", a.Reason)
	return a
}

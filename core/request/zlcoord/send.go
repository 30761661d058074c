package zlcoord

import (
	"slices"
	"time"

	"zinnialock/core/process/zlroute"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlplan"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/request/zltrace"
)

// dispatchAll sends the first sub-request of every shard, one batch a daemon.
func (r *run) dispatchAll() {
	now := r.coordinator.Timer.Now()
	counts := make([]int, len(r.plan.Groups))
	from := len(r.subs)
	care := r.firstCare()
	cause := r.firstCause()
	at := r.at(now)
	for s := range r.shards {
		choice, ok := r.coordinator.Router.Pick(now, r.plan.Shards[s], nil, care)
		if !ok {
			r.giveUp(zlunit.Shard(s), r.noReplica(zlunit.Shard(s)))
			continue
		}
		c := &r.plan.Shards[s][choice.Index]
		counts[c.Group]++
		r.record(zlunit.Shard(s), c, at, cause, zlquery.ReasonNone)
	}
	sent := r.subs[from:]
	r.profile.hedges.Earn(len(sent), r.policy.HedgeShare)
	r.profile.retries.Earn(len(sent), r.policy.RetryShare)
	r.dispatchGroups(sent, from, counts)
}

func (r *run) firstCare() zlroute.Care {
	if r.req.Idempotent {
		return zlroute.CareNone
	}
	return zlroute.CareOnce
}

func (r *run) firstCause() zltrace.Cause {
	if r.plans > 1 {
		return zltrace.CauseReplan
	}
	return zltrace.CauseFirst
}

// dispatchGroups sends the sub-requests from on, sorted by daemon.
func (r *run) dispatchGroups(sent []subState, from int, counts []int) {
	all := make([]zlquery.Sub, len(sent))
	ends := make([]int, len(counts))
	total := 0
	for g, n := range counts {
		ends[g] = total
		total += n
	}
	for i := range sent {
		g := sent[i].to.Group
		all[ends[g]] = r.subOf(zlunit.SubID(from+i), &sent[i])
		ends[g]++
	}
	total = 0
	for g, n := range counts {
		if n > 0 {
			r.dispatch(r.plan.Groups[g], all[total:total+n:total+n])
		}
		total += n
	}
}

// record enters a sub-request that is about to be sent. The room beyond the
// entries is all zero.
func (r *run) record(shard zlunit.Shard, c *zlroute.Candidate, at time.Duration, cause zltrace.Cause, why zlquery.Reason) zlunit.SubID {
	st := &r.shards[shard]
	id := zlunit.SubID(len(r.subs))
	if int(id) == cap(r.subs) {
		r.subs = slices.Grow(r.subs, 1)
	}
	r.subs = r.subs[:id+1]
	s := &r.subs[id]
	s.shard = shard
	s.prev = st.last
	s.round = st.round
	s.to = c
	s.sent = at
	s.cause = cause
	s.why = why
	s.end = zltrace.EndOpen
	s.open = true
	s.version = r.plan.Version
	st.last = int(id)
	st.open++
	st.lateAt = s.sent + r.hedgeAfter
	st.againAt = 0
	c.Record.Sent()
	r.rearm = true
	return id
}

func (r *run) subOf(id zlunit.SubID, s *subState) zlquery.Sub {
	return zlquery.Sub{
		ID:       id,
		Shard:    s.shard,
		Upstream: s.to.Upstream,
		Version:  s.version,
		Hedge:    s.cause == zltrace.CauseHedge,
		Retry:    s.cause == zltrace.CauseRetry || s.cause == zltrace.CauseAround,
	}
}

// dispatch sends a batch to one daemon; each reply is a sign of its life, also
// one that comes after the run.
func (r *run) dispatch(peer *zlroute.Peer, subs []zlquery.Sub) {
	c := r.coordinator
	batch := &zlquery.Batch{
		Query:      r.query,
		Request:    r.req.ID,
		Service:    r.req.Service,
		Kind:       r.req.Kind,
		Text:       r.req.Text,
		Idempotent: r.req.Idempotent,
		Left:       r.req.Deadline.Sub(c.Timer.Now()),
		Subs:       subs,
		Priority:   r.policy.Priority,
	}
	inbox := r.inbox
	peer.Sent(len(subs))
	call := c.Dispatcher.Dispatch(r.ctx, peer.VM, batch, func(reply zlquery.Reply) {
		if inbox.put(reply) {
			return
		}
		if !peerLost(reply.Result) {
			c.Router.Heard(peer, c.Timer.Now())
		}
		c.Counter.Count("droppedReply", zlquery.ReasonCancelled)
	})
	for i := range subs {
		r.subs[subs[i].ID].call = call
	}
}

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

// sendOne sends one more sub-request for a shard.
func (r *run) sendOne(shard zlunit.Shard, c *zlroute.Candidate, cause zltrace.Cause, why zlquery.Reason) {
	id := r.record(shard, c, r.at(r.coordinator.Timer.Now()), cause, why)
	sub := r.subOf(id, &r.subs[id])
	r.dispatch(c.Peer, []zlquery.Sub{sub})
}

// pick chooses a replica for more work on a shard, by the newest view: one that
// was not asked in this round and has not lost the version.
func (r *run) pick(shard zlunit.Shard, now time.Time, care zlroute.Care) (*zlroute.Candidate, bool, bool) {
	r.refresh(now)
	st := &r.shards[shard]
	r.skip = r.skip[:0]
	for i := st.last; i >= 0; i = r.subs[i].prev {
		s := &r.subs[i]
		if !s.ended() || s.round == st.round || lost(s.reason) {
			r.skip = append(r.skip, s.to.Upstream)
		}
	}
	list := r.plan.Shards[shard]
	choice, ok := r.coordinator.Router.Pick(now, list, r.skip, care)
	if !ok && r.plan.Spare != nil {
		list = r.plan.Spare[shard]
		choice, ok = r.coordinator.Router.Pick(now, list, r.skip, care)
	}
	if !ok {
		return nil, false, false
	}
	return &list[choice.Index], choice.Good, true
}

// lost reports whether a replica that refused for reason will not serve the
// pinned version again.
func lost(reason zlquery.Reason) bool {
	return reason == zlquery.ReasonVersionGone || reason == zlquery.ReasonShardGone
}

// refresh resolves the plan against the newest view, if there is news: hedges
// and retries are new work. The version and its shard map stay.
func (r *run) refresh(now time.Time) {
	c := r.coordinator
	view := c.Views.Load()
	age := c.Views.Age(now)
	if view == r.plan.View && r.plan.Fresh == (age <= r.policy.ViewAge) {
		return
	}
	maker := &zlplan.Maker{
		View:   view,
		Age:    age,
		Now:    now,
		Policy: r.policy,
		Router: c.Router,
	}
	r.plan = maker.At(r.plan.Map)
}

// noReplica tells why a shard has no replica at all.
func (r *run) noReplica(shard zlunit.Shard) zlquery.Reason {
	view := r.plan.View
	for _, name := range r.plan.Map.Shards[shard] {
		if u, ok := view.Upstream(name); ok && view.Marks.UpstreamOut(name, u.DataCentre) {
			return zlquery.ReasonMarkedOut
		}
	}
	return zlquery.ReasonNoReplica
}

package zlcoordinator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/core/version/zlmark"
	"zinnialock/core/version/zlroster"
	"zinnialock/core/version/zlview"
)

// fault is a failure of a sub-request.
type fault int

const (
	// faultLate and faultPastDeadline delay the reply, the latter past any
	// deadline.
	faultLate fault = iota
	faultPastDeadline
	// faultLost drops the reply to a sub-request that ran.
	faultLost
	// faultWrongQuery and faultWrongSub deliver the reply under another query
	// or sub-request first.
	faultWrongQuery
	faultWrongSub
	// faultWrongShard, faultWrongVersion and faultWrongUpstream alter the part
	// in the reply.
	faultWrongShard
	faultWrongVersion
	faultWrongUpstream
	// faultDuplicate delivers the reply twice.
	faultDuplicate
	// faultUndecodable is a reply that could not be decoded.
	faultUndecodable
	// faultPartialCoverage is partial coverage by the upstream itself.
	faultPartialCoverage
	// faultReset is a connection reset, after which the outcome is unknown.
	faultReset
	// faultShed and faultCold are refusals by an upstream that sheds load or is
	// cold.
	faultShed
	faultCold
	// faultCount is the number of faults.
	faultCount
)

// sentSub is the record of a sub-request that was sent, and of what happened to
// it.
type sentSub struct {
	query     zlunit.QueryID
	request   zlquery.SubRequest
	ran       bool
	notRun    bool
	replied   bool
	cancelled bool
	// retryAfter is the delay that a refusal asks for.
	retryAfter time.Duration
}

// faultyDispatcher is a Dispatcher that injects faults and records what happens
// to each sub-request.
type faultyDispatcher struct {
	mu   sync.Mutex
	seed uint64
	// faultPercent is the probability of a fault, in per cent, for each of the
	// two draws of a sub-request.
	faultPercent int
	// faultKinds are the faults to draw from.
	faultKinds []fault
	// dead holds the daemons that reply to nothing.
	dead map[zlunit.VM]bool
	// goneVersions holds the versions that upstreams refuse.
	goneVersions map[zlunit.IndexVersion]bool
	// markedOut holds the upstreams that are marked out of service.
	markedOut map[zlunit.Upstream]bool
	subs      map[zlunit.RequestID][]*sentSub
	// problems lists the rules that the coordinator broke in sending.
	problems []string
}

// rowOf returns the only row of the answer to a sub-request.
func rowOf(version zlunit.IndexVersion, shard zlunit.Shard, upstream zlunit.Upstream, text string) string {
	return fmt.Sprintf("%d/%d/%s/%s", version, shard, upstream, text)
}

type faultyCall struct {
	dispatcher *faultyDispatcher
	subs       map[zlunit.SubRequestID]*sentSub
}

// Cancel implements Call.
func (c *faultyCall) Cancel(sub zlunit.SubRequestID) {
	c.dispatcher.mu.Lock()
	defer c.dispatcher.mu.Unlock()
	c.subs[sub].cancelled = true
}

// Dispatch implements Dispatcher.
func (c *faultyDispatcher) Dispatch(ctx context.Context, to zlunit.VM, batch *zlquery.Batch, sink func(zlquery.Reply)) Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Each batch has its own random numbers, so that they do not depend on
	// concurrent queries.
	random := rand.New(rand.NewPCG(c.seed, xxhash.Sum64String(string(batch.Request))+uint64(batch.SubRequests[0].ID)))
	call := &faultyCall{
		dispatcher: c,
		subs:       map[zlunit.SubRequestID]*sentSub{},
	}
	for _, sub := range batch.SubRequests {
		s := &sentSub{
			query:   batch.Query,
			request: sub,
		}
		c.checkSend(batch, s)
		c.subs[batch.Request] = append(c.subs[batch.Request], s)
		call.subs[sub.ID] = s
		if c.dead[to] {
			s.ran = random.IntN(2) == 0
			continue
		}
		s.retryAfter = time.Duration(random.IntN(100)) * time.Millisecond
		go c.serve(ctx, batch, s, c.drawFaults(random), time.Duration(1+random.IntN(3))*time.Millisecond, sink)
	}
	return call
}

// checkSend checks a sub-request against those sent before for the same
// request.
func (c *faultyDispatcher) checkSend(batch *zlquery.Batch, s *sentSub) {
	if c.markedOut[s.request.Upstream] {
		c.problems = append(c.problems, fmt.Sprintf("upstream %s is marked out and is sent a sub-request", s.request.Upstream))
	}
	for _, before := range c.subs[batch.Request] {
		if before.request.ID == s.request.ID {
			c.problems = append(c.problems, fmt.Sprintf("sub-request id %d is used twice", s.request.ID))
		}
		same := before.request.Shard == s.request.Shard || before.request.Version != s.request.Version
		if !batch.Idempotent && same && !before.notRun {
			c.problems = append(c.problems, fmt.Sprintf("shard %d of a non-idempotent request is sent again without proof that it did not run", s.request.Shard))
		}
		if before.request.Version != s.request.Version && !before.replied && !before.cancelled {
			c.problems = append(c.problems, "sub-requests for two versions are in flight at once")
		}
	}
	if !batch.Idempotent && s.request.Hedge {
		c.problems = append(c.problems, "a non-idempotent request is hedged")
	}
}

// drawFaults returns the faults of one sub-request, at most two.
func (c *faultyDispatcher) drawFaults(random *rand.Rand) map[fault]bool {
	drawn := map[fault]bool{}
	for range 2 {
		if random.IntN(100) < c.faultPercent {
			drawn[c.faultKinds[random.IntN(len(c.faultKinds))]] = true
		}
	}
	return drawn
}

func (c *faultyDispatcher) serve(ctx context.Context, batch *zlquery.Batch, s *sentSub, active map[fault]bool, after time.Duration, sink func(zlquery.Reply)) {
	if active[faultLate] {
		after *= 20
	}
	if active[faultPastDeadline] {
		after = time.Minute
	}
	if !sleepFor(ctx, networkDelay) {
		return
	}
	c.mu.Lock()
	refusal := c.refusal(s, active)
	s.ran = refusal == nil
	c.mu.Unlock()
	if !sleepFor(ctx, after) {
		return
	}
	reply := zlquery.Reply{
		Query:  batch.Query,
		Sub:    s.request.ID,
		Result: c.result(batch, s, active),
	}
	if refusal != nil {
		reply.Result = *refusal
	}
	c.sendMisaddressed(batch, s, active, reply, sink)
	if active[faultLost] && refusal == nil {
		return
	}
	c.mu.Lock()
	s.replied = true
	s.notRun = refusal != nil
	c.mu.Unlock()
	sink(reply)
	if active[faultDuplicate] {
		sink(reply)
	}
}

// networkDelay is the time until a sub-request reaches the upstream.
const networkDelay = time.Millisecond

// sleepFor waits for d and reports false if ctx ends first.
func sleepFor(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// refusal returns why the sub-request does not run, or nil. The caller holds
// c.mu.
func (c *faultyDispatcher) refusal(s *sentSub, active map[fault]bool) *zlquery.NotRun {
	switch {
	case c.goneVersions[s.request.Version]:
		return &zlquery.NotRun{
			Reason: zlquery.ReasonVersionGone,
		}
	case active[faultShed]:
		return &zlquery.NotRun{
			Reason:     zlquery.ReasonShed,
			RetryAfter: s.retryAfter,
		}
	case active[faultCold]:
		return &zlquery.NotRun{
			Reason: zlquery.ReasonColdBudget,
		}
	}
	return nil
}

func (c *faultyDispatcher) result(batch *zlquery.Batch, s *sentSub, active map[fault]bool) zlquery.Result {
	if active[faultReset] || active[faultUndecodable] {
		reason := zlquery.ReasonConnectionReset
		if active[faultUndecodable] {
			reason = zlquery.ReasonBadReply
		}
		return zlquery.Unknown{
			Reason: reason,
		}
	}
	part := zlquery.Part{
		Shard:    s.request.Shard,
		Version:  s.request.Version,
		Upstream: s.request.Upstream,
		Coverage: 1,
		Rows:     []string{rowOf(s.request.Version, s.request.Shard, s.request.Upstream, batch.Text)},
	}
	if active[faultPartialCoverage] {
		part.Coverage = 0.5
	}
	if active[faultWrongShard] {
		part.Shard++
	}
	if active[faultWrongUpstream] {
		part.Upstream = "another"
	}
	if active[faultWrongVersion] {
		part.Version++
	}
	return zlquery.Done{
		Part: part,
	}
}

// sendMisaddressed delivers the reply under another query or sub-request.
func (c *faultyDispatcher) sendMisaddressed(batch *zlquery.Batch, s *sentSub, active map[fault]bool, reply zlquery.Reply, sink func(zlquery.Reply)) {
	if active[faultWrongQuery] {
		misaddressed := reply
		misaddressed.Query = "another"
		sink(misaddressed)
	}
	if _, refused := reply.Result.(zlquery.NotRun); active[faultWrongSub] && !refused {
		misaddressed := reply
		misaddressed.Sub = batch.SubRequests[0].ID
		if misaddressed.Sub == s.request.ID {
			misaddressed.Sub += 1000
		}
		sink(misaddressed)
	}
}

// versionedView has the versions first to last, each with its own shard map,
// over three data centres with one daemon each.
func versionedView(first, last zlunit.IndexVersion, marks *zlmark.Marks) *zlview.View {
	c := &zlcatalog.Catalog{
		Service: "s",
	}
	v := &zlview.View{
		Home: "dc0",
		Catalogs: map[zlunit.Service]*zlcatalog.Catalog{
			"s": c,
		},
		Rosters: map[zlunit.DataCentre]zlroster.Roster{},
		Marks:   marks,
	}
	for i := range 3 {
		v.Rosters[zlunit.DataCentre(fmt.Sprintf("dc%d", i))] = zlroster.Roster{
			Members: []zlroster.Member{
				{
					VM: zlunit.VM(fmt.Sprintf("vm%d", i)),
				},
			},
		}
	}
	for u := range 18 {
		c.Upstreams = append(c.Upstreams, zlcatalog.Upstream{
			Name:       zlunit.Upstream(fmt.Sprintf("u%d", u)),
			DataCentre: zlunit.DataCentre(fmt.Sprintf("dc%d", u%3)),
		})
	}
	for n := first; n <= last; n++ {
		version := zlcatalog.Version{
			Number: n,
		}
		for s := range shardsAt(n) {
			var replicas []zlunit.Upstream
			for i := range 3 {
				replicas = append(replicas, zlunit.Upstream(fmt.Sprintf("u%d", (3*(s+int(n))+i)%18)))
			}
			version.Shards = append(version.Shards, replicas)
		}
		c.Versions = append(c.Versions, version)
	}
	return v.Build()
}

// shardsAt returns the number of shards of a version.
func shardsAt(v zlunit.IndexVersion) int {
	return 3 + int(v)%4
}

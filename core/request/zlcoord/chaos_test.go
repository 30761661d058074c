package zlcoord

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

// fault is one thing that goes wrong with a sub-request.
type fault int

const (
	// faultLate and faultPastDue delay the reply, the latter past any deadline.
	faultLate fault = iota
	faultPastDue
	// faultLost swallows the reply of a sub-request that ran.
	faultLost
	// The crossed ones send the reply under another's name first.
	faultWrongQuery
	faultWrongSub
	faultWrongShard
	faultWrongVersion
	faultWrongUpstream
	faultDoubled
	// faultCut is a reply that could not be decoded.
	faultCut
	// faultPart is an upstream's own partial coverage.
	faultPart
	faultReset
	faultShed
	faultCold
	faults
)

// chaosSub is the truth about one sub-request.
type chaosSub struct {
	query     zlunit.QueryID
	sub       zlquery.Sub
	ran       bool
	notRun    bool
	replied   bool
	cancelled bool
	// hint is when a refusal says to come back.
	hint time.Duration
}

// chaos is a Dispatcher that knows the truth and breaks things.
type chaos struct {
	mu   sync.Mutex
	seed uint64
	// wrong is the share of sub-requests with a fault, in hundred; each of
	// them may have two.
	wrong int
	// kinds are the faults to draw from.
	kinds []fault
	dead  map[zlunit.VM]bool
	gone  map[zlunit.IndexVersion]bool
	// out are the upstreams that are marked out.
	out  map[zlunit.Upstream]bool
	subs map[zlunit.RequestID][]*chaosSub
	// broken lists what the coordinator did wrong in sending.
	broken []string
}

func rowOf(version zlunit.IndexVersion, shard zlunit.Shard, upstream zlunit.Upstream, text string) string {
	return fmt.Sprintf("%d/%d/%s/%s", version, shard, upstream, text)
}

type chaosCall struct {
	chaos *chaos
	subs  map[zlunit.SubID]*chaosSub
}

// Cancel implements Call.
func (c *chaosCall) Cancel(sub zlunit.SubID) {
	c.chaos.mu.Lock()
	defer c.chaos.mu.Unlock()
	c.subs[sub].cancelled = true
}

// Dispatch implements Dispatcher.
func (c *chaos) Dispatch(ctx context.Context, to zlunit.VM, batch *zlquery.Batch, sink func(zlquery.Reply)) Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Each batch has its own draws, whatever other queries do meanwhile.
	random := rand.New(rand.NewPCG(c.seed, xxhash.Sum64String(string(batch.Request))+uint64(batch.Subs[0].ID)))
	call := &chaosCall{
		chaos: c,
		subs:  map[zlunit.SubID]*chaosSub{},
	}
	for _, sub := range batch.Subs {
		s := &chaosSub{
			query: batch.Query,
			sub:   sub,
		}
		c.checkSend(batch, s)
		c.subs[batch.Request] = append(c.subs[batch.Request], s)
		call.subs[sub.ID] = s
		if c.dead[to] {
			s.ran = random.IntN(2) == 0
			continue
		}
		s.hint = time.Duration(random.IntN(100)) * time.Millisecond
		go c.serve(ctx, batch, s, c.draw(random), time.Duration(1+random.IntN(3))*time.Millisecond, sink)
	}
	return call
}

// checkSend checks a sub-request against what was sent before for the request.
func (c *chaos) checkSend(batch *zlquery.Batch, s *chaosSub) {
	if c.out[s.sub.Upstream] {
		c.broken = append(c.broken, fmt.Sprintf("%s is marked out and gets new work", s.sub.Upstream))
	}
	for _, before := range c.subs[batch.Request] {
		if before.sub.ID == s.sub.ID {
			c.broken = append(c.broken, fmt.Sprintf("sub-request id %d is used twice", s.sub.ID))
		}
		same := before.sub.Shard == s.sub.Shard || before.sub.Version != s.sub.Version
		if !batch.Idempotent && same && !before.notRun {
			c.broken = append(c.broken, fmt.Sprintf("shard %d of a non-idempotent request is sent again without proof", s.sub.Shard))
		}
		if before.sub.Version != s.sub.Version && !before.replied && !before.cancelled {
			c.broken = append(c.broken, "versions are mixed in flight")
		}
	}
	if !batch.Idempotent && s.sub.Hedge {
		c.broken = append(c.broken, "a non-idempotent request is hedged")
	}
}

// draw returns the faults of one sub-request, at most two.
func (c *chaos) draw(random *rand.Rand) map[fault]bool {
	out := map[fault]bool{}
	for range 2 {
		if random.IntN(100) < c.wrong {
			out[c.kinds[random.IntN(len(c.kinds))]] = true
		}
	}
	return out
}

func (c *chaos) serve(ctx context.Context, batch *zlquery.Batch, s *chaosSub, wrong map[fault]bool, after time.Duration, sink func(zlquery.Reply)) {
	if wrong[faultLate] {
		after *= 20
	}
	if wrong[faultPastDue] {
		after = time.Minute
	}
	if !pause(ctx, transit) {
		return
	}
	c.mu.Lock()
	refusal := c.refusal(s, wrong)
	s.ran = refusal == nil
	c.mu.Unlock()
	if !pause(ctx, after) {
		return
	}
	reply := zlquery.Reply{
		Query:  batch.Query,
		Sub:    s.sub.ID,
		Result: c.result(batch, s, wrong),
	}
	if refusal != nil {
		reply.Result = *refusal
	}
	c.sendCrossed(batch, s, wrong, reply, sink)
	if wrong[faultLost] && refusal == nil {
		return
	}
	c.mu.Lock()
	s.replied = true
	s.notRun = refusal != nil
	c.mu.Unlock()
	sink(reply)
	if wrong[faultDoubled] {
		sink(reply)
	}
}

// transit is the way to the upstream.
const transit = time.Millisecond

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// refusal returns why the sub-request does not run, or nil; mu is held.
func (c *chaos) refusal(s *chaosSub, wrong map[fault]bool) *zlquery.NotRun {
	switch {
	case c.gone[s.sub.Version]:
		return &zlquery.NotRun{
			Reason: zlquery.ReasonVersionGone,
		}
	case wrong[faultShed]:
		return &zlquery.NotRun{
			Reason:     zlquery.ReasonShed,
			RetryAfter: s.hint,
		}
	case wrong[faultCold]:
		return &zlquery.NotRun{
			Reason: zlquery.ReasonColdBudget,
		}
	}
	return nil
}

func (c *chaos) result(batch *zlquery.Batch, s *chaosSub, wrong map[fault]bool) zlquery.Result {
	if wrong[faultReset] || wrong[faultCut] {
		reason := zlquery.ReasonConnectionReset
		if wrong[faultCut] {
			reason = zlquery.ReasonBadReply
		}
		return zlquery.Unknown{
			Reason: reason,
		}
	}
	part := zlquery.Part{
		Shard:    s.sub.Shard,
		Version:  s.sub.Version,
		Upstream: s.sub.Upstream,
		Coverage: 1,
		Rows:     []string{rowOf(s.sub.Version, s.sub.Shard, s.sub.Upstream, batch.Text)},
	}
	if wrong[faultPart] {
		part.Coverage = 0.5
	}
	if wrong[faultWrongShard] {
		part.Shard++
	}
	if wrong[faultWrongUpstream] {
		part.Upstream = "another"
	}
	if wrong[faultWrongVersion] {
		part.Version++
	}
	return zlquery.Done{
		Part: part,
	}
}

// sendCrossed delivers the reply under another name as well.
func (c *chaos) sendCrossed(batch *zlquery.Batch, s *chaosSub, wrong map[fault]bool, reply zlquery.Reply, sink func(zlquery.Reply)) {
	if wrong[faultWrongQuery] {
		crossed := reply
		crossed.Query = "another"
		sink(crossed)
	}
	if _, refused := reply.Result.(zlquery.NotRun); wrong[faultWrongSub] && !refused {
		crossed := reply
		crossed.Sub = batch.Subs[0].ID
		if crossed.Sub == s.sub.ID {
			crossed.Sub += 1000
		}
		sink(crossed)
	}
}

// chaosView has the versions first to last, each with a map of its own, over 3
// data centres of one daemon each.
func chaosView(first, last zlunit.IndexVersion, marks *zlmark.Marks) *zlview.View {
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

// shardsAt is how many shards a version has.
func shardsAt(v zlunit.IndexVersion) int {
	return 3 + int(v)%4
}

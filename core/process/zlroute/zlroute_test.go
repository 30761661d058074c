package zlroute

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
)

// candidates returns n candidates, each with a daemon of its own.
func candidates(r *Router, n int) []Candidate {
	var out []Candidate
	for i := range n {
		vm := zlunit.VM(fmt.Sprintf("vm%d", i))
		name := zlunit.Upstream(fmt.Sprintf("u%d", i))
		out = append(out, Candidate{
			Upstream: name,
			VM:       vm,
			Record:   r.Record(name),
			Peer:     r.Peer(vm),
		})
	}
	return out
}

// newSeededRouter returns a router with a fixed seed.
func newSeededRouter() *Router {
	return &Router{
		Random: rand.New(rand.NewPCG(1, 1)).IntN,
	}
}

// countPicks returns how often each candidate is chosen in 1000 picks.
func countPicks(r *Router, now time.Time, list []Candidate, purpose Purpose) []int {
	out := make([]int, len(list))
	for range 1000 {
		if c, ok := r.Pick(now, list, nil, purpose); ok {
			out[c.Index]++
		}
	}
	return out
}

// Guards against sending much work to a slow or busy replica, and against
// never trying a slow one again.
func TestPickPrefersFastAndIdleReplicas(t *testing.T) {
	convey.Convey("Given 3 replicas, of which one is slow and one has 20 sub-requests in flight", t, func() {
		r := newSeededRouter()
		now := time.Now()
		list := candidates(r, 3)
		for i, d := range []time.Duration{2, 40, 2} {
			list[i].Record.Sent()
			list[i].Record.Done(now, d*time.Millisecond)
		}
		for range 20 {
			list[2].Record.Sent()
		}
		n := countPicks(r, now, list, PurposeIdempotent)
		convey.So(n[0], convey.ShouldBeBetween, 560, 780)
		convey.So(n[0]+n[1]+n[2], convey.ShouldEqual, 1000)

		convey.Convey("the slow one is preferred to a busy one after 20 s without samples", func() {
			later := now.Add(20 * time.Second)
			convey.So(countPicks(r, now, list[:2], PurposeIdempotent)[1], convey.ShouldEqual, 0)
			list[0].Record.Sent()
			list[0].Record.Done(later, 2*time.Millisecond)
			list[0].Record.Sent()
			convey.So(countPicks(r, later, list[:2], PurposeIdempotent)[1], convey.ShouldEqual, 1000)
		})
	})
}

// Guards against sending work to a replica that keeps failing, and against
// having none to send to when all fail.
func TestOutliersAreEjectedButServeIfAllAre(t *testing.T) {
	convey.Convey("Given 3 replicas of which one keeps failing", t, func() {
		r := newSeededRouter()
		now := time.Now()
		list := candidates(r, 3)
		fail := func(i int) {
			for range ejectAfter {
				list[i].Record.Sent()
				list[i].Record.Failed(now, 0)
			}
		}
		fail(0)
		convey.So(countPicks(r, now, list, PurposeIdempotent)[0], convey.ShouldEqual, 0)

		convey.Convey("one probe goes to it when the ejection ends, and a success makes it eligible again", func() {
			now = now.Add(minEjection)
			convey.So(countPicks(r, now, list, PurposeOptional)[0], convey.ShouldEqual, 0)
			convey.So(countPicks(r, now, list, PurposeNonIdempotent)[0], convey.ShouldEqual, 0)
			convey.So(countPicks(r, now, list, PurposeIdempotent)[0], convey.ShouldEqual, 1)
			for i := range list {
				list[i].Record.Sent()
				list[i].Record.Done(now, time.Millisecond)
			}
			convey.So(countPicks(r, now, list, PurposeIdempotent)[0], convey.ShouldBeGreaterThan, 100)
		})

		convey.Convey("with all of them ejected, they get work but no hedges", func() {
			fail(1)
			fail(2)
			n := countPicks(r, now, list, PurposeNonIdempotent)
			convey.So(n[0]+n[1]+n[2], convey.ShouldEqual, 1000)
			n = countPicks(r, now, list, PurposeOptional)
			convey.So(n[0]+n[1]+n[2], convey.ShouldEqual, 0)
		})
	})
}

// Guards against a long ejection for one cause: when a burst waits at one
// replica, all of it gets late together, and the first three late sub-requests
// already eject the replica.
func TestLateBurstEjectsOnce(t *testing.T) {
	convey.Convey("Given a replica where 80 sub-requests are cancelled as late within 80 ms", t, func() {
		r := newSeededRouter()
		start := time.Now()
		list := candidates(r, 2)
		for range 80 {
			list[0].Record.Sent()
		}
		now := start
		for i := range 80 {
			now = start.Add(300*time.Millisecond + time.Duration(i)*time.Millisecond)
			list[0].Record.Cancelled(now, now.Sub(start), true)
		}
		convey.Convey("the later ones do not lengthen the ejection", func() {
			convey.So(list[0].Record.avoidedUntil(), convey.ShouldHappenOnOrBefore, now.Add(minEjection))
			convey.So(countPicks(r, now.Add(minEjection), list, PurposeIdempotent)[0], convey.ShouldEqual, 1)
		})
		convey.Convey("a late probe doubles the ejection, once", func() {
			now = now.Add(minEjection)
			convey.So(countPicks(r, now, list, PurposeIdempotent)[0], convey.ShouldEqual, 1)
			list[0].Record.Sent()
			now = now.Add(300 * time.Millisecond)
			list[0].Record.Cancelled(now, 300*time.Millisecond, true)
			convey.So(list[0].Record.avoidedUntil(), convey.ShouldEqual, now.Add(2*minEjection))
		})
	})
}

// Guards against sending work to a replica before the time that it asked for.
func TestRetryAfterHintIsObeyed(t *testing.T) {
	convey.Convey("Given a replica that refuses for its load with a retry-after hint", t, func() {
		r := newSeededRouter()
		now := time.Now()
		list := candidates(r, 2)
		list[0].Record.Sent()
		list[0].Record.Refused(now, 0, zlquery.ReasonShed, 300*time.Millisecond)
		convey.So(countPicks(r, now.Add(299*time.Millisecond), list, PurposeIdempotent)[0], convey.ShouldEqual, 0)
		convey.So(countPicks(r, now.Add(300*time.Millisecond), list, PurposeIdempotent)[0], convey.ShouldBeGreaterThan, 0)
	})
}

// Guards against sending work to a daemon that is gone, and against taking
// silence of all daemons, as after a pause of this process, for that of one.
func TestSilentDaemonGetsOnlyProbes(t *testing.T) {
	convey.Convey("Given 2 daemons, of which one was sent sub-requests", t, func() {
		r := newSeededRouter()
		now := time.Now()
		list := candidates(r, 2)
		p := list[0].Peer
		p.Sent(now, minUnanswered)
		convey.So(r.Silent(p, now), convey.ShouldBeFalse)
		r.MarkAlive(list[1].Peer, now.Add(time.Millisecond))
		convey.So(r.Silent(p, now), convey.ShouldBeTrue)

		convey.Convey("a suspected one gets probes at growing intervals, until it is heard from", func() {
			p.MarkSuspected(now)
			probes := 0
			for ms := range 10000 {
				if c, ok := r.Pick(now.Add(time.Duration(ms)*time.Millisecond), list, nil, PurposeIdempotent); ok && c.Index == 0 {
					probes++
				}
			}
			convey.So(probes, convey.ShouldBeBetween, 4, 8)
			r.MarkAlive(p, now.Add(10*time.Second))
			convey.So(r.Silent(p, now), convey.ShouldBeFalse)
			convey.So(countPicks(r, now, list, PurposeIdempotent)[0], convey.ShouldBeGreaterThan, 100)
		})
	})
}

// Guards against measuring the silence of a daemon from the latest query
// instead of from the first unanswered one.
func TestQuietCountsFromFirstUnansweredQuery(t *testing.T) {
	convey.Convey("Given a daemon that leaves two queries in a row unanswered", t, func() {
		r := newSeededRouter()
		now := time.Now()
		p := candidates(r, 1)[0].Peer
		convey.So(p.SilentFor(now), convey.ShouldEqual, 0)
		p.Sent(now, 1)
		p.Sent(now.Add(15*time.Millisecond), 1)
		convey.So(p.SilentFor(now.Add(20*time.Millisecond)), convey.ShouldEqual, 20*time.Millisecond)
		r.MarkAlive(p, now.Add(21*time.Millisecond))
		convey.So(p.SilentFor(now.Add(time.Second)), convey.ShouldEqual, 0)
	})
}

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

func seeded() *Router {
	return &Router{
		Random: rand.New(rand.NewPCG(1, 1)).IntN,
	}
}

// picks counts how often each candidate is picked.
func picks(r *Router, now time.Time, list []Candidate, care Care) []int {
	out := make([]int, len(list))
	for range 1000 {
		if c, ok := r.Pick(now, list, nil, care); ok {
			out[c.Index]++
		}
	}
	return out
}

func TestPickPrefersQuickAndIdle(t *testing.T) {
	convey.Convey("Given 3 replicas, one slow and one with much in flight", t, func() {
		r := seeded()
		now := time.Now()
		list := candidates(r, 3)
		for i, d := range []time.Duration{2, 40, 2} {
			list[i].Record.Sent()
			list[i].Record.Done(now, d*time.Millisecond)
		}
		for range 20 {
			list[2].Record.Sent()
		}
		n := picks(r, now, list, CareNone)
		convey.So(n[0], convey.ShouldBeBetween, 560, 780)
		convey.So(n[0]+n[1]+n[2], convey.ShouldEqual, 1000)

		convey.Convey("the slow one is tried again once it has been idle", func() {
			later := now.Add(20 * time.Second)
			convey.So(picks(r, now, list[:2], CareNone)[1], convey.ShouldEqual, 0)
			list[0].Record.Sent()
			list[0].Record.Done(later, 2*time.Millisecond)
			list[0].Record.Sent()
			convey.So(picks(r, later, list[:2], CareNone)[1], convey.ShouldEqual, 1000)
		})
	})
}

func TestOutliersAreEjectedWithAFloor(t *testing.T) {
	convey.Convey("Given 3 replicas of which one keeps failing", t, func() {
		r := seeded()
		now := time.Now()
		list := candidates(r, 3)
		fail := func(i int) {
			for range ejectAfter {
				list[i].Record.Sent()
				list[i].Record.Failed(now, 0)
			}
		}
		fail(0)
		convey.So(picks(r, now, list, CareNone)[0], convey.ShouldEqual, 0)

		convey.Convey("one probe goes to it when the ejection ends, and success brings it back", func() {
			now = now.Add(ejectFirst)
			convey.So(picks(r, now, list, CareSpare)[0], convey.ShouldEqual, 0)
			convey.So(picks(r, now, list, CareOnce)[0], convey.ShouldEqual, 0)
			convey.So(picks(r, now, list, CareNone)[0], convey.ShouldEqual, 1)
			for i := range list {
				list[i].Record.Sent()
				list[i].Record.Done(now, time.Millisecond)
			}
			convey.So(picks(r, now, list, CareNone)[0], convey.ShouldBeGreaterThan, 100)
		})

		convey.Convey("with all ejected they still serve, but no hedge goes out", func() {
			fail(1)
			fail(2)
			n := picks(r, now, list, CareOnce)
			convey.So(n[0]+n[1]+n[2], convey.ShouldEqual, 1000)
			n = picks(r, now, list, CareSpare)
			convey.So(n[0]+n[1]+n[2], convey.ShouldEqual, 0)
		})
	})
}

// TestLateOnesOfOneWaveEjectOnce replays a burst: what waits at one replica gets
// late together, after the third of it has ejected the replica.
func TestLateOnesOfOneWaveEjectOnce(t *testing.T) {
	convey.Convey("Given a replica at which 80 sub-requests get late within 80 ms", t, func() {
		r := seeded()
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
		convey.Convey("the first ejection is not lengthened by the others", func() {
			convey.So(list[0].Record.until(), convey.ShouldHappenOnOrBefore, now.Add(ejectFirst))
			convey.So(picks(r, now.Add(ejectFirst), list, CareNone)[0], convey.ShouldEqual, 1)
		})
		convey.Convey("a probe that gets late lengthens it, once", func() {
			now = now.Add(ejectFirst)
			convey.So(picks(r, now, list, CareNone)[0], convey.ShouldEqual, 1)
			list[0].Record.Sent()
			now = now.Add(300 * time.Millisecond)
			list[0].Record.Cancelled(now, 300*time.Millisecond, true)
			convey.So(list[0].Record.until(), convey.ShouldEqual, now.Add(2*ejectFirst))
		})
	})
}

func TestRefusalsAreHeeded(t *testing.T) {
	convey.Convey("Given a replica that sheds with a hint", t, func() {
		r := seeded()
		now := time.Now()
		list := candidates(r, 2)
		list[0].Record.Sent()
		list[0].Record.Refused(now, 0, zlquery.ReasonShed, 300*time.Millisecond)
		convey.So(picks(r, now.Add(299*time.Millisecond), list, CareNone)[0], convey.ShouldEqual, 0)
		convey.So(picks(r, now.Add(300*time.Millisecond), list, CareNone)[0], convey.ShouldBeGreaterThan, 0)
	})
}

func TestSilenceOfADaemon(t *testing.T) {
	convey.Convey("Given 2 daemons that were sent something", t, func() {
		r := seeded()
		now := time.Now()
		list := candidates(r, 2)
		p := list[0].Peer
		p.Sent(now, silentLeast)
		convey.So(r.Silent(p, now), convey.ShouldBeFalse)
		r.Heard(list[1].Peer, now.Add(time.Millisecond))
		convey.So(r.Silent(p, now), convey.ShouldBeTrue)

		convey.Convey("a suspected one gets probes ever more seldom, until it is heard", func() {
			p.Suspect(now)
			probes := 0
			for ms := range 10000 {
				if c, ok := r.Pick(now.Add(time.Duration(ms)*time.Millisecond), list, nil, CareNone); ok && c.Index == 0 {
					probes++
				}
			}
			convey.So(probes, convey.ShouldBeBetween, 4, 8)
			r.Heard(p, now.Add(10*time.Second))
			convey.So(r.Silent(p, now), convey.ShouldBeFalse)
			convey.So(picks(r, now, list, CareNone)[0], convey.ShouldBeGreaterThan, 100)
		})
	})
}

func TestQuietCountsAcrossQueries(t *testing.T) {
	convey.Convey("Given a daemon that leaves two queries unanswered, one after the other", t, func() {
		r := seeded()
		now := time.Now()
		p := candidates(r, 1)[0].Peer
		convey.So(p.Quiet(now), convey.ShouldEqual, 0)
		p.Sent(now, 1)
		p.Sent(now.Add(15*time.Millisecond), 1)
		convey.So(p.Quiet(now.Add(20*time.Millisecond)), convey.ShouldEqual, 20*time.Millisecond)
		r.Heard(p, now.Add(21*time.Millisecond))
		convey.So(p.Quiet(now.Add(time.Second)), convey.ShouldEqual, 0)
	})
}

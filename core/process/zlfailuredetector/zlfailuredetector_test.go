package zlfailuredetector

import (
	"testing"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlroster"

	"github.com/smartystreets/goconvey/convey"
)

// newDetector returns a roster of n members, a detector of the first guarantor
// of "vm0", and the member "vm0".
func newDetector(n int) (zlroster.Roster, *Detector, zlroster.Member) {
	r := zlroster.Roster{
		Epoch: 1,
	}
	for i := range n {
		r = r.With(zlroster.Member{
			VM:          zlunit.VM("vm" + string(rune('0'+i))),
			Incarnation: 1,
		}, time.Unix(0, 0))
	}
	m, _ := r.Member("vm0")
	first := r.Guarantors("vm0")[0]
	return r, &Detector{
		Self: first.Key(),
	}, m
}

func TestDetector(t *testing.T) {
	start := time.Unix(1000, 0)
	convey.Convey("Given a daemon that is a guarantor of another", t, func() {
		r, d, m := newDetector(4)
		other := r.Guarantors("vm0")[1].Key()
		d.Watch(r, start)
		// hear passes time up to at, with heartbeats of all members but "vm0".
		hear := func(at time.Duration) time.Time {
			for t := time.Duration(0); t <= at; t += 250 * time.Millisecond {
				d.Tick(start.Add(t))
				d.Heard(other, start.Add(t))
				for _, x := range r.Members {
					if x.VM != "vm0" {
						d.Heard(x.Key(), start.Add(t))
					}
				}
			}
			return start.Add(at)
		}
		convey.Convey("a silent member without proof of death is removed only after SilentAfter", func() {
			convey.So(d.Departures(hear(SilentAfter-time.Second)), convey.ShouldBeEmpty)
			out := d.Departures(hear(SilentAfter))
			convey.So(len(out), convey.ShouldEqual, 1)
			convey.So(out[0].Exit, convey.ShouldEqual, zlroster.ExitSilent)
		})
		convey.Convey("a member with proof of death is removed after DeadAfter", func() {
			d.Refused(m.Key())
			out := d.Departures(hear(DeadAfter))
			convey.So(len(out), convey.ShouldEqual, 1)
			convey.So(out[0].Exit, convey.ShouldEqual, zlroster.ExitDead)
		})
		convey.Convey("a sign of life cancels a refused connection", func() {
			d.Refused(m.Key())
			d.Heard(m.Key(), start)
			convey.So(d.Departures(hear(DeadAfter)), convey.ShouldBeEmpty)
		})
		convey.Convey("a member that another guarantor has heard from is not removed", func() {
			now := hear(SilentAfter)
			d.HeardElsewhere("vm0", now)
			convey.So(d.Departures(now), convey.ShouldBeEmpty)
		})
		convey.Convey("a daemon that hears from no other daemon removes no member", func() {
			now := hear(time.Second)
			for range 400 {
				now = now.Add(250 * time.Millisecond)
				d.Tick(now)
			}
			convey.So(d.Departures(now), convey.ShouldBeEmpty)
		})
		convey.Convey("after a pause of its own the daemon suspects no member at once", func() {
			now := hear(time.Second).Add(time.Minute)
			d.Tick(now)
			convey.So(d.Suspects(now), convey.ShouldBeEmpty)
			convey.So(d.Departures(now), convey.ShouldBeEmpty)
		})
	})
}

func TestListProvesDeath(t *testing.T) {
	started := time.Unix(1000, 0)
	k := zlroster.Key{
		VM:          "vm0",
		Incarnation: zlunit.Incarnation(started.UnixNano()),
	}
	convey.Convey("The list proves a death only if it holds the own VM and the process is older than its lag", t, func() {
		convey.So(ProvenDeadByList(k, "me", map[zlunit.VM]bool{"me": true}, started.Add(time.Hour)), convey.ShouldBeTrue)
		convey.So(ProvenDeadByList(k, "me", map[zlunit.VM]bool{"me": true}, started.Add(VMListLag)), convey.ShouldBeFalse)
		convey.So(ProvenDeadByList(k, "me", map[zlunit.VM]bool{"me": true, "vm0": true}, started.Add(time.Hour)), convey.ShouldBeFalse)
		convey.So(ProvenDeadByList(k, "me", map[zlunit.VM]bool{}, started.Add(time.Hour)), convey.ShouldBeFalse)
	})
}

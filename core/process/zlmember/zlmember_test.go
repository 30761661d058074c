package zlmember

import (
	"testing"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlroster"

	"github.com/smartystreets/goconvey/convey"
)

// roster holds n members; the test's daemon is one that vouches for "vm0".
func roster(n int) (zlroster.Roster, *Detector, zlroster.Member) {
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
	first := r.Vouchers("vm0")[0]
	return r, &Detector{
		Self: first.Key(),
	}, m
}

func TestDetector(t *testing.T) {
	start := time.Unix(1000, 0)
	convey.Convey("Given a daemon that vouches for another", t, func() {
		r, d, m := roster(4)
		other := r.Vouchers("vm0")[1].Key()
		d.Watch(r, start)
		// hear brings the others' heartbeats and time up to at.
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
		convey.Convey("silence alone is acted on late", func() {
			convey.So(d.Judge(hear(SilentAfter-time.Second)), convey.ShouldBeEmpty)
			out := d.Judge(hear(SilentAfter))
			convey.So(len(out), convey.ShouldEqual, 1)
			convey.So(out[0].How, convey.ShouldEqual, zlroster.ExitSilent)
		})
		convey.Convey("proof of death is acted on soon", func() {
			d.Refused(m.Key())
			out := d.Judge(hear(DeadAfter))
			convey.So(len(out), convey.ShouldEqual, 1)
			convey.So(out[0].How, convey.ShouldEqual, zlroster.ExitDead)
		})
		convey.Convey("a sign of life takes the proof back", func() {
			d.Refused(m.Key())
			d.Heard(m.Key(), start)
			convey.So(d.Judge(hear(DeadAfter)), convey.ShouldBeEmpty)
		})
		convey.Convey("what another voucher heard counts", func() {
			now := hear(SilentAfter)
			d.SeenElsewhere("vm0", now)
			convey.So(d.Judge(now), convey.ShouldBeEmpty)
		})
		convey.Convey("a daemon that hears nobody writes nobody out", func() {
			now := hear(time.Second)
			for range 400 {
				now = now.Add(250 * time.Millisecond)
				d.Tick(now)
			}
			convey.So(d.Judge(now), convey.ShouldBeEmpty)
		})
		convey.Convey("after a pause of its own it doubts no one at once", func() {
			now := hear(time.Second).Add(time.Minute)
			d.Tick(now)
			convey.So(d.Doubted(now), convey.ShouldBeEmpty)
			convey.So(d.Judge(now), convey.ShouldBeEmpty)
		})
	})
}

func TestGone(t *testing.T) {
	born := time.Unix(1000, 0)
	k := zlroster.Key{
		VM:          "vm0",
		Incarnation: zlunit.Incarnation(born.UnixNano()),
	}
	convey.Convey("The list proves a death only if it cannot be too old", t, func() {
		convey.So(Gone(k, "me", map[zlunit.VM]bool{"me": true}, born.Add(time.Hour)), convey.ShouldBeTrue)
		convey.So(Gone(k, "me", map[zlunit.VM]bool{"me": true}, born.Add(ListLag)), convey.ShouldBeFalse)
		convey.So(Gone(k, "me", map[zlunit.VM]bool{"me": true, "vm0": true}, born.Add(time.Hour)), convey.ShouldBeFalse)
		convey.So(Gone(k, "me", map[zlunit.VM]bool{}, born.Add(time.Hour)), convey.ShouldBeFalse)
	})
}

package zllease

import (
	"testing"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlroster"

	"github.com/smartystreets/goconvey/convey"
)

func TestShareAfterLeaseWithoutLaterEpoch(t *testing.T) {
	const u zlunit.Upstream = "u"
	use := Capacity{
		Name:        u,
		Slots:       6,
		Connections: 100,
		Cold:        2,
	}
	self := zlroster.Member{
		VM:          "vm0",
		Incarnation: 1,
	}
	start := time.Unix(1000, 0)
	convey.Convey("Given the only member of a roster, confirmed once", t, func() {
		x := &Leases{
			Self:        self.Key(),
			Lease:       DefaultLease,
			ClockError:  DefaultClockError,
			Unconfirmed: DefaultUnconfirmed,
		}
		r := zlroster.Roster{}.With(self, start)
		r.Epoch = 1
		x.Adopt(r, []zlunit.Upstream{u}, start)
		x.Confirm(1, start)
		// run calls Tick until at.
		run := func(at time.Duration) time.Time {
			for d := time.Duration(0); d <= at; d += tickInterval {
				x.Tick(start.Add(d))
			}
			return start.Add(at)
		}
		convey.Convey("it has the whole upstream until its lease ends", func() {
			s := x.Share(use, run(time.Second))
			convey.So(s.Reason, convey.ShouldEqual, ReasonHeld)
			convey.So(s.Slots, convey.ShouldEqual, use.Slots)
			convey.So(s.Until, convey.ShouldEqual, start.Add(DefaultLease-sendMargin))
		})
		convey.Convey("after that it has half of the slots and none of the cold limit", func() {
			s := x.Share(use, run(DefaultLease))
			convey.So(s.OK, convey.ShouldBeTrue)
			convey.So(s.Reason, convey.ShouldEqual, ReasonLeaseExpiredReduced)
			convey.So(s.Slots, convey.ShouldEqual, 3)
			convey.So(s.Cold, convey.ShouldEqual, 0)
		})
		convey.Convey("after a pause it has nothing, before and after the next tick, until the epoch is confirmed", func() {
			now := run(time.Second).Add(time.Minute)
			convey.So(x.Share(use, now).OK, convey.ShouldBeFalse)
			x.Tick(now)
			convey.So(x.Share(use, now.Add(tickInterval)).OK, convey.ShouldBeFalse)
			x.Confirm(1, now)
			x.Tick(now)
			convey.So(x.Share(use, now.Add(tickInterval)).Reason, convey.ShouldEqual, ReasonHeld)
		})
		convey.Convey("after its lease it has nothing if a later epoch is known", func() {
			x.Confirm(2, start)
			convey.So(x.Share(use, run(DefaultLease)).OK, convey.ShouldBeFalse)
		})
		convey.Convey("after Stop it holds nothing", func() {
			x.Stop()
			convey.So(x.Share(use, run(time.Second)).Reason, convey.ShouldEqual, ReasonNotHolder)
		})
	})
}

const tickInterval = 250 * time.Millisecond

package zltenure

import (
	"testing"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlroster"

	"github.com/smartystreets/goconvey/convey"
)

func TestStranded(t *testing.T) {
	const u zlunit.Upstream = "u"
	use := Use{
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
		x := &Tenure{
			Self:        self.Key(),
			Lease:       DefaultLease,
			ClockError:  DefaultClockError,
			Unconfirmed: DefaultUnconfirmed,
		}
		r := zlroster.Roster{}.With(self, start)
		r.Epoch = 1
		x.Adopt(r, []zlunit.Upstream{u}, start)
		x.Confirm(1, start)
		// run ticks until at.
		run := func(at time.Duration) time.Time {
			for d := time.Duration(0); d <= at; d += idleStep {
				x.Tick(start.Add(d))
			}
			return start.Add(at)
		}
		convey.Convey("it may use all until its lease ends", func() {
			s := x.May(use, run(time.Second))
			convey.So(s.Why, convey.ShouldEqual, WhyHeld)
			convey.So(s.Slots, convey.ShouldEqual, use.Slots)
			convey.So(s.Until, convey.ShouldEqual, start.Add(DefaultLease-sendMargin))
		})
		convey.Convey("then half of the slots and nothing of the cold limit", func() {
			s := x.May(use, run(DefaultLease))
			convey.So(s.OK, convey.ShouldBeTrue)
			convey.So(s.Why, convey.ShouldEqual, WhyStranded)
			convey.So(s.Slots, convey.ShouldEqual, 3)
			convey.So(s.Cold, convey.ShouldEqual, 0)
		})
		convey.Convey("but nothing after a pause, before and after the next tick", func() {
			now := run(time.Second).Add(time.Minute)
			convey.So(x.May(use, now).OK, convey.ShouldBeFalse)
			x.Tick(now)
			convey.So(x.May(use, now.Add(idleStep)).OK, convey.ShouldBeFalse)
			x.Confirm(1, now)
			x.Tick(now)
			convey.So(x.May(use, now.Add(idleStep)).Why, convey.ShouldEqual, WhyHeld)
		})
		convey.Convey("nor with news of a later epoch", func() {
			x.Confirm(2, start)
			convey.So(x.May(use, run(DefaultLease)).OK, convey.ShouldBeFalse)
		})
		convey.Convey("nor after it has stopped", func() {
			x.Stop()
			convey.So(x.May(use, run(time.Second)).Why, convey.ShouldEqual, WhyNotHolder)
		})
	})
}

const idleStep = 250 * time.Millisecond

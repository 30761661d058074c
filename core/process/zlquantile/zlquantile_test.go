package zlquantile

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestTrackerForgetsOldDurations(t *testing.T) {
	convey.Convey("Given a tracker", t, func() {
		tr := &Tracker{}
		now := time.Unix(100, 0)
		_, ok := tr.Quantile(now, 0.97)
		convey.So(ok, convey.ShouldBeFalse)
		for i := range 1000 {
			tr.Observe(now, time.Duration(i+1)*time.Millisecond)
		}

		convey.Convey("quantiles are precise to two digits", func() {
			d, ok := tr.Quantile(now, 0.97)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(d, convey.ShouldBeBetween, 960*time.Millisecond, 980*time.Millisecond)
		})

		convey.Convey("old durations are forgotten once there are enough newer ones", func() {
			for range 3 {
				now = now.Add(window)
				for range minSamples {
					tr.Observe(now, 5*time.Millisecond)
				}
			}
			d, _ := tr.Quantile(now, 0.97)
			convey.So(d, convey.ShouldBeBetween, 4900*time.Microsecond, 5100*time.Microsecond)
		})

		convey.Convey("time without new durations forgets nothing", func() {
			d, ok := tr.Quantile(now.Add(time.Hour), 0.5)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(d, convey.ShouldBeBetween, 490*time.Millisecond, 510*time.Millisecond)
		})
	})
}

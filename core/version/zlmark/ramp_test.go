package zlmark

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"zinnialock/core/process/zlunit"
)

// The weight must rise gradually after a mark is removed. A mark that flaps must not bring
// the full work back each time.
func TestWeightRampsUpAfterMarkIsRemoved(t *testing.T) {
	out := &Marks{
		DataCentres: map[zlunit.DataCentre]Mark{
			"lowell": {
				Reason: "test",
			},
		},
	}
	in := &Marks{}
	start := time.Unix(1000, 0)
	convey.Convey("Given a data centre whose mark was removed", t, func() {
		ramps := Ramps{}.Advance(in, out, start).Advance(out, in, start.Add(time.Minute))
		removedAt := start.Add(time.Minute)
		convey.Convey("its weight rises evenly to 1", func() {
			previous := 0.0
			for at := time.Duration(0); at <= RampLength; at += time.Second {
				w := ramps.Weight("u", "lowell", removedAt.Add(at))
				convey.So(w, convey.ShouldBeGreaterThan, previous)
				convey.So(w-previous, convey.ShouldBeLessThan, 0.11)
				previous = w
			}
			convey.So(previous, convey.ShouldEqual, 1)
			convey.So(ramps.Active(removedAt.Add(RampLength)), convey.ShouldBeFalse)
		})
		convey.Convey("another data centre keeps its weight", func() {
			convey.So(ramps.Weight("u", "nashua", removedAt), convey.ShouldEqual, 1)
		})
	})
	convey.Convey("A mark that flaps each second keeps the weight low", t, func() {
		ramps := Ramps{}
		now := start
		for range 8 {
			ramps = ramps.Advance(in, out, now)
			now = now.Add(time.Second)
			ramps = ramps.Advance(out, in, now)
			now = now.Add(time.Second)
			convey.So(ramps.Weight("u", "lowell", now), convey.ShouldBeLessThan, 0.15)
		}
		convey.Convey("and after the flap window the ramp has its normal length again", func() {
			convey.So(ramps.Weight("u", "lowell", now.Add(maxRampLength)), convey.ShouldEqual, 1)
			afterFlapWindow := now.Add(maxRampLength + flapWindow + time.Second)
			nextRamps := ramps.Advance(in, out, afterFlapWindow).Advance(out, in, afterFlapWindow.Add(time.Second))
			convey.So(nextRamps.Weight("u", "lowell", afterFlapWindow.Add(time.Second+RampLength)), convey.ShouldEqual, 1)
		})
	})
}

package zlmark

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"zinnialock/core/process/zlunit"
)

func TestReturnIsARamp(t *testing.T) {
	out := &Marks{
		DataCentres: map[zlunit.DataCentre]Mark{
			"lowell": {
				Reason: "test",
			},
		},
	}
	in := &Marks{}
	start := time.Unix(1000, 0)
	convey.Convey("Given a data centre that came back", t, func() {
		ramps := Ramps{}.Advance(in, out, start).Advance(out, in, start.Add(time.Minute))
		back := start.Add(time.Minute)
		convey.Convey("its weight grows evenly to 1", func() {
			last := 0.0
			for at := time.Duration(0); at <= RampLength; at += time.Second {
				w := ramps.Weight("u", "lowell", back.Add(at))
				convey.So(w, convey.ShouldBeGreaterThan, last)
				convey.So(w-last, convey.ShouldBeLessThan, 0.11)
				last = w
			}
			convey.So(last, convey.ShouldEqual, 1)
			convey.So(ramps.Active(back.Add(RampLength)), convey.ShouldBeFalse)
		})
		convey.Convey("another data centre keeps its weight", func() {
			convey.So(ramps.Weight("u", "nashua", back), convey.ShouldEqual, 1)
		})
	})
	convey.Convey("A mark that flaps each second brings back little work", t, func() {
		ramps := Ramps{}
		now := start
		for range 8 {
			ramps = ramps.Advance(in, out, now)
			now = now.Add(time.Second)
			ramps = ramps.Advance(out, in, now)
			now = now.Add(time.Second)
			convey.So(ramps.Weight("u", "lowell", now), convey.ShouldBeLessThan, 0.15)
		}
		convey.Convey("and once it rests it ramps in full", func() {
			convey.So(ramps.Weight("u", "lowell", now.Add(maxRampLength)), convey.ShouldEqual, 1)
			calm := now.Add(maxRampLength + flapWindow + time.Second)
			again := ramps.Advance(in, out, calm).Advance(out, in, calm.Add(time.Second))
			convey.So(again.Weight("u", "lowell", calm.Add(time.Second+RampLength)), convey.ShouldEqual, 1)
		})
	})
}

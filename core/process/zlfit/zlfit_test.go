package zlfit

import (
	"math"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestFit(t *testing.T) {
	convey.Convey("Points on a line give that line with a standard error of 0", t, func() {
		line, err := Fit([]Point{{X: 1, Y: 5}, {X: 2, Y: 7}, {X: 4, Y: 11}, {X: 8, Y: 19}})
		convey.So(err, convey.ShouldBeNil)
		convey.So(math.Abs(line.Slope-2) < 1e-9, convey.ShouldBeTrue)
		convey.So(math.Abs(line.At(100)-203) < 1e-9, convey.ShouldBeTrue)
		convey.So(line.StandardError(100) < 1e-6, convey.ShouldBeTrue)
	})
	convey.Convey("With scattered points the standard error grows away from them", t, func() {
		line, err := Fit([]Point{{X: 1, Y: 4}, {X: 2, Y: 8}, {X: 4, Y: 10}, {X: 8, Y: 20}})
		convey.So(err, convey.ShouldBeNil)
		convey.So(line.SlopeError, convey.ShouldBeGreaterThan, 0)
		convey.So(line.StandardError(1000), convey.ShouldBeGreaterThan, line.StandardError(4))
	})
	convey.Convey("Three points, or four with the same x, are an error", t, func() {
		_, err := Fit([]Point{{X: 1}, {X: 2}, {X: 3}})
		convey.So(err, convey.ShouldNotBeNil)
		_, err = Fit([]Point{{X: 1}, {X: 1}, {X: 1}, {X: 1}})
		convey.So(err, convey.ShouldNotBeNil)
	})
}

package zlplan

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/core/version/zlmark"
	"zinnialock/core/version/zlsettings"
	"zinnialock/core/version/zlview"
)

func newRampView(now time.Time) *zlview.View {
	c := &zlcatalog.Catalog{
		Service: "s",
		Versions: []zlcatalog.Version{
			{
				Number: 1,
				Shards: [][]zlunit.Upstream{{"a", "b"}, {"b"}},
			},
		},
	}
	for name, dc := range map[zlunit.Upstream]zlunit.DataCentre{"a": "x", "b": "y"} {
		c.Upstreams = append(c.Upstreams, zlcatalog.Upstream{
			Name:       name,
			DataCentre: dc,
		})
	}
	out := &zlmark.Marks{
		DataCentres: map[zlunit.DataCentre]zlmark.Mark{
			"y": {},
		},
	}
	v := &zlview.View{
		Home: "x",
		Catalogs: map[zlunit.Service]*zlcatalog.Catalog{
			"s": c,
		},
		Ramps: zlmark.Ramps{}.Advance(out, &zlmark.Marks{}, now),
	}
	return v.Build()
}

// The load share of a data centre that returns to service must grow over the ramp.
// Without the ramp, its replicas get their full share at once.
func TestLoadShareGrowsDuringRamp(t *testing.T) {
	convey.Convey("Given a data centre that just returned to service", t, func() {
		now := time.Unix(1000, 0)
		view := newRampView(now)
		loadShare := func(after time.Duration) float64 {
			n := 0
			for range 2000 {
				m := &Planner{
					View:   view,
					Now:    now.Add(after),
					Policy: &zlsettings.Policy{},
				}
				m.Policy.ViewAge = time.Second
				p, err := m.Make("s")
				convey.So(err, convey.ShouldBeNil)
				n += len(p.Shards[0]) - 1
				convey.So(len(p.Shards[1]), convey.ShouldEqual, 1)
				if p.Fallback != nil {
					convey.So(len(p.Shards[0])+len(p.Fallback[0]), convey.ShouldEqual, 2)
				}
			}
			return float64(n) / 2000
		}
		// With 2000 draws, 0.1 is about nine standard deviations of a share of one
		// half.
		convey.So(loadShare(0), convey.ShouldBeBetween, 0.0, 0.15)
		convey.So(loadShare(zlmark.RampLength/2), convey.ShouldBeBetween, 0.42, 0.63)
		convey.So(loadShare(zlmark.RampLength), convey.ShouldEqual, 1)
	})
}

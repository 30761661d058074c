package zlview

import (
	"math"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/core/version/zlmark"
	"zinnialock/core/version/zlsettings"
)

func testView(marks *zlmark.Marks) *View {
	c := &zlcatalog.Catalog{
		Service: "s",
		Upstreams: []zlcatalog.Upstream{
			{
				Name:       "near",
				DataCentre: "nashua",
			},
			{
				Name:       "far",
				DataCentre: "lowell",
			},
			{
				Name:       "leaving",
				DataCentre: "nashua",
				Leaving:    true,
			},
		},
	}
	v := &View{
		Home:  "nashua",
		Marks: marks,
		Catalogs: map[zlunit.Service]*zlcatalog.Catalog{
			"s": c,
		},
	}
	return v.Build()
}

func TestUsable(t *testing.T) {
	policy := &zlsettings.Policy{
		ViewAge: 3 * time.Second,
	}
	usable := func(v *View, name zlunit.Upstream, age time.Duration) bool {
		return v.Usable(name, age, policy)
	}
	convey.Convey("Given a view of two data centres", t, func() {
		v := testView(nil)
		convey.Convey("upstreams of other data centres are usable only up to the maximum age of the view", func() {
			convey.So(usable(v, "far", policy.ViewAge), convey.ShouldBeTrue)
			convey.So(usable(v, "far", policy.ViewAge+1), convey.ShouldBeFalse)
			convey.So(usable(v, "near", time.Hour), convey.ShouldBeTrue)
		})
		convey.Convey("with a view that was never confirmed, only upstreams of the own data centre are usable", func() {
			h := &CurrentView{}
			h.Store(v)
			convey.So(h.Age(time.Now()), convey.ShouldEqual, time.Duration(math.MaxInt64))
			convey.So(usable(v, "far", h.Age(time.Now())), convey.ShouldBeFalse)
			convey.So(usable(v, "near", h.Age(time.Now())), convey.ShouldBeTrue)
		})
		convey.Convey("an upstream that is leaving or unknown is not usable", func() {
			convey.So(usable(v, "leaving", 0), convey.ShouldBeFalse)
			convey.So(usable(v, "unknown", 0), convey.ShouldBeFalse)
		})
	})
	convey.Convey("An upstream that is marked out of service is not usable at any age, also in the own data centre", t, func() {
		v := testView(&zlmark.Marks{
			DataCentres: map[zlunit.DataCentre]zlmark.Mark{
				"nashua": {},
			},
			Upstreams: map[zlunit.Upstream]zlmark.Mark{
				"far": {},
			},
		})
		convey.So(usable(v, "near", 0), convey.ShouldBeFalse)
		convey.So(usable(v, "far", 0), convey.ShouldBeFalse)
		convey.So(v.Marks.VMOut("nashua-1", "nashua"), convey.ShouldBeTrue)
		convey.So(v.Marks.VMOut("lowell-1", "lowell"), convey.ShouldBeFalse)
	})
}

func TestConfirmIgnoresEarlierTime(t *testing.T) {
	convey.Convey("A confirmation with an earlier time does not change the age", t, func() {
		h := &CurrentView{}
		now := time.Now()
		h.Confirm(now)
		h.Confirm(now.Add(-time.Minute))
		convey.So(h.Age(now.Add(time.Second)), convey.ShouldEqual, time.Second)
	})
}

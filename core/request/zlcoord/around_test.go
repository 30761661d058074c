package zlcoord

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/request/zltrace"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/core/version/zlroster"
	"zinnialock/core/version/zlview"
)

// wideView has shards with 3 replicas each, one in each of 3 data centres of
// one daemon.
func wideView(shards int) *zlview.View {
	c := &zlcatalog.Catalog{
		Service: "s",
		Versions: []zlcatalog.Version{
			{
				Number: 4,
			},
		},
	}
	v := &zlview.View{
		Home: "dc0",
		Catalogs: map[zlunit.Service]*zlcatalog.Catalog{
			"s": c,
		},
		Rosters: map[zlunit.DataCentre]zlroster.Roster{},
	}
	for i := range 3 {
		v.Rosters[zlunit.DataCentre(fmt.Sprintf("dc%d", i))] = zlroster.Roster{
			Members: []zlroster.Member{
				{
					VM: zlunit.VM(fmt.Sprintf("vm%d", i)),
				},
			},
		}
	}
	for s := range shards {
		var replicas []zlunit.Upstream
		for i := range 3 {
			name := zlunit.Upstream(fmt.Sprintf("u%d-%d", s, i))
			replicas = append(replicas, name)
			c.Upstreams = append(c.Upstreams, zlcatalog.Upstream{
				Name:       name,
				DataCentre: zlunit.DataCentre(fmt.Sprintf("dc%d", i)),
			})
		}
		c.Versions[0].Shards = append(c.Versions[0].Shards, replicas)
	}
	return v.Build()
}

// deadDispatcher answers after a while, but for the daemons that are dead.
type deadDispatcher struct {
	dead  map[zlunit.VM]bool
	to    map[zlunit.VM]int
	inner *fakeDispatcher
}

// Dispatch implements Dispatcher.
func (d *deadDispatcher) Dispatch(ctx context.Context, to zlunit.VM, batch *zlquery.Batch, sink func(zlquery.Reply)) Call {
	d.to[to] += len(batch.Subs)
	if d.dead[to] {
		return fakeCall{}
	}
	return d.inner.Dispatch(ctx, to, batch, sink)
}

func TestQueriesGoAroundADeadDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given a daemon that dies silently and holds a third of all replicas", t, func() {
			d := &deadDispatcher{
				dead: map[zlunit.VM]bool{},
				to:   map[zlunit.VM]int{},
				inner: &fakeDispatcher{
					answer: func(_ *zlquery.Batch, sub zlquery.Sub) (zlquery.Result, time.Duration) {
						return done(sub), 2 * time.Millisecond
					},
				},
			}
			traces := &zltrace.Store{}
			c := testCoordinator(nil)
			c.Dispatcher = d
			c.Traces = traces
			c.Views.Store(wideView(40))
			ask := func() *zlquery.Answer {
				c.Views.Confirm(time.Now())
				return c.Answer(context.Background(), &zlquery.Request{
					ID:         "r",
					Service:    "s",
					Idempotent: true,
					Deadline:   time.Now().Add(2 * time.Second),
				})
			}
			for range 20 {
				convey.So(ask().Complete, convey.ShouldBeTrue)
			}
			d.dead["vm1"] = true
			extra, lost := 0, 0
			for range 200 {
				start := time.Now()
				before := d.to["vm1"]
				a := ask()
				convey.So(a.Complete, convey.ShouldBeTrue)
				convey.So(time.Since(start), convey.ShouldBeLessThan, 200*time.Millisecond)
				extra += a.Subs - 40
				lost += d.to["vm1"] - before
				time.Sleep(10 * time.Millisecond)
			}
			convey.So(float64(extra)/(200*40), convey.ShouldBeLessThan, 0.05)
			convey.So(lost, convey.ShouldBeLessThan, 200)

			convey.Convey("and returns to it once it answers a probe", func() {
				delete(d.dead, "vm1")
				time.Sleep(5 * time.Second)
				for range 20 {
					_ = ask()
				}
				before := d.to["vm1"]
				convey.So(ask().Subs, convey.ShouldEqual, 40)
				convey.So(d.to["vm1"]-before, convey.ShouldBeGreaterThan, 0)
			})
		})
	})
}

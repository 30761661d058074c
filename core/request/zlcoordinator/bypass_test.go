package zlcoordinator

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

// wideView has shards with three replicas each, one in each of three data
// centres with one daemon each.
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

// silentDispatcher passes batches on to inner, except those for silent daemons.
type silentDispatcher struct {
	silent map[zlunit.VM]bool
	sent   map[zlunit.VM]int
	inner  *fakeDispatcher
}

// Dispatch implements Dispatcher.
func (d *silentDispatcher) Dispatch(ctx context.Context, to zlunit.VM, batch *zlquery.Batch, sink func(zlquery.Reply)) Call {
	d.sent[to] += len(batch.SubRequests)
	if d.silent[to] {
		return fakeCall{}
	}
	return d.inner.Dispatch(ctx, to, batch, sink)
}

// TestQueriesBypassASilentDaemon guards against queries that wait for a daemon
// which has stopped replying, and against sending it sub-requests again and
// again before it answers a probe.
func TestQueriesBypassASilentDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given a daemon that stops replying and holds a third of all replicas", t, func() {
			d := &silentDispatcher{
				silent: map[zlunit.VM]bool{},
				sent:   map[zlunit.VM]int{},
				inner: &fakeDispatcher{
					respond: func(_ *zlquery.Batch, sub zlquery.SubRequest) (zlquery.Result, time.Duration) {
						return done(sub), 2 * time.Millisecond
					},
				},
			}
			traces := &zltrace.Store{}
			c := testCoordinator(nil)
			c.Dispatcher = d
			c.Traces = traces
			c.Views.Store(wideView(40))
			query := func() *zlquery.Answer {
				c.Views.Confirm(time.Now())
				return c.Answer(context.Background(), &zlquery.Request{
					ID:         "r",
					Service:    "s",
					Idempotent: true,
					Deadline:   time.Now().Add(2 * time.Second),
				})
			}
			for range 20 {
				convey.So(query().Complete, convey.ShouldBeTrue)
			}
			d.silent["vm1"] = true
			extra, sentToSilent := 0, 0
			for range 200 {
				start := time.Now()
				before := d.sent["vm1"]
				a := query()
				convey.So(a.Complete, convey.ShouldBeTrue)
				convey.So(time.Since(start), convey.ShouldBeLessThan, 200*time.Millisecond)
				extra += a.SubRequests - 40
				sentToSilent += d.sent["vm1"] - before
				time.Sleep(10 * time.Millisecond)
			}
			convey.So(float64(extra)/(200*40), convey.ShouldBeLessThan, 0.05)
			convey.So(sentToSilent, convey.ShouldBeLessThan, 200)

			convey.Convey("it is sent work again once it answers a probe", func() {
				delete(d.silent, "vm1")
				time.Sleep(5 * time.Second)
				for range 20 {
					_ = query()
				}
				before := d.sent["vm1"]
				convey.So(query().SubRequests, convey.ShouldEqual, 40)
				convey.So(d.sent["vm1"]-before, convey.ShouldBeGreaterThan, 0)
			})
		})
	})
}

package zlcoordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlsettings"
)

// runQueries sends n queries over 10 shards, and returns the number of hedges
// and the longest time to an answer. The function delay returns how long a
// sub-request takes.
func runQueries(policy zlsettings.Node, n int, delay func(query int, sub zlquery.SubRequest) time.Duration) (int, time.Duration) {
	query := 0
	c := testCoordinator(&fakeDispatcher{
		respond: func(_ *zlquery.Batch, sub zlquery.SubRequest) (zlquery.Result, time.Duration) {
			return done(sub), delay(query, sub)
		},
	})
	c.Views.Store(policyView(10, policy))
	hedges := 0
	longest := time.Duration(0)
	for query = range n {
		c.Views.Confirm(time.Now())
		start := time.Now()
		a := c.Answer(context.Background(), &zlquery.Request{
			ID:         "r",
			Service:    "s",
			Idempotent: true,
			Deadline:   start.Add(2 * time.Second),
		})
		hedges += a.Hedges
		longest = max(longest, time.Since(start))
	}
	return hedges, longest
}

func TestHedging(t *testing.T) {
	usual := 5 * time.Millisecond
	withStragglers := func(query int, sub zlquery.SubRequest) time.Duration {
		if query >= 20 && query%5 == 0 && sub.ID == zlunit.SubRequestID(query/5%10) {
			return 100 * time.Millisecond
		}
		return usual
	}
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given queries of 10 shards at 5 ms each", t, func() {
			convey.Convey("hedges hide one slow sub-request in 50", func() {
				hedges, longest := runQueries(zlsettings.Node{}, 300, withStragglers)
				convey.So(hedges, convey.ShouldEqual, 56)
				convey.So(longest, convey.ShouldBeLessThan, 25*time.Millisecond)
			})

			convey.Convey("a hedge share of 0 switches hedges off", func() {
				hedges, longest := runQueries(zlsettings.Node{
					zlsettings.KeyHedgeShare: 0.0,
				}, 300, withStragglers)
				convey.So(hedges, convey.ShouldEqual, 0)
				convey.So(longest, convey.ShouldEqual, 100*time.Millisecond)
			})

			convey.Convey("a query whose shards are all slow is not hedged", func() {
				hedges, _ := runQueries(zlsettings.Node{}, 100, func(query int, _ zlquery.SubRequest) time.Duration {
					if query == 50 {
						return 38 * time.Millisecond
					}
					return usual
				})
				convey.So(hedges, convey.ShouldEqual, 0)
			})

			convey.Convey("slow sub-requests beyond the budget are not hedged", func() {
				hedges, _ := runQueries(zlsettings.Node{}, 300, func(_ int, sub zlquery.SubRequest) time.Duration {
					if sub.ID < 2 {
						return 100 * time.Millisecond
					}
					return usual
				})
				convey.So(hedges, convey.ShouldBeBetween, 20, 300*10*4/100+hedgeBurst)
			})
		})
	})
}

package zlcoordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlmark"
	"zinnialock/core/version/zlview"
)

func TestRetryUsesTheNewestView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given a mark that takes all replicas out of service after the first sends, there is no retry", t, func() {
			sent := map[zlunit.Upstream]int{}
			var c *Coordinator
			c = testCoordinator(&fakeDispatcher{
				respond: func(_ *zlquery.Batch, sub zlquery.SubRequest) (zlquery.Result, time.Duration) {
					sent[sub.Upstream]++
					time.AfterFunc(time.Millisecond, func() {
						c.Views.Store(markedView("a0", "a1", "b0", "b1"))
					})
					return zlquery.NotRun{
						Reason: zlquery.ReasonShed,
					}, 2 * time.Millisecond
				},
			})
			a := c.Answer(context.Background(), testRequest())
			convey.So(a.Outcome, convey.ShouldEqual, zlquery.OutcomeNotRun)
			convey.So(len(sent), convey.ShouldEqual, 2)
			convey.So(a.Missing[0].Reason, convey.ShouldEqual, zlquery.ReasonMarkedOut)
		})
	})
}

func TestRetryStopsWhenTheViewIsTooOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given a view of another data centre that becomes too old during a query, there are no sends after that", t, func() {
			sent, sentTooLate := 0, 0
			start := time.Now()
			c := testCoordinator(&fakeDispatcher{
				respond: func(*zlquery.Batch, zlquery.SubRequest) (zlquery.Result, time.Duration) {
					sent++
					if time.Since(start) > testView().Policy("s", "").ViewAge {
						sentTooLate++
					}
					return zlquery.NotRun{
						Reason: zlquery.ReasonShed,
					}, 4 * time.Second
				},
			})
			v := testView()
			v.Home = "elsewhere"
			c.Views.Store(v)
			req := testRequest()
			req.Deadline = time.Now().Add(time.Minute)
			_ = c.Answer(context.Background(), req)
			convey.So(sent, convey.ShouldBeGreaterThanOrEqualTo, 2)
			convey.So(sentTooLate, convey.ShouldEqual, 0)
		})
	})
}

func testRequest() *zlquery.Request {
	return &zlquery.Request{
		ID:         "r",
		Service:    "s",
		Idempotent: true,
	}
}

func markedView(names ...zlunit.Upstream) *zlview.View {
	v := testView()
	v.Marks = &zlmark.Marks{
		Upstreams: map[zlunit.Upstream]zlmark.Mark{},
	}
	for _, name := range names {
		v.Marks.Upstreams[name] = zlmark.Mark{}
	}
	return v
}

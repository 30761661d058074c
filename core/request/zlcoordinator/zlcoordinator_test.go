package zlcoordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"zinnialock/core/process/zlroute"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/core/version/zlroster"
	"zinnialock/core/version/zlview"
)

// fakeDispatcher replies to each sub-request with the result and after the
// delay that respond returns.
type fakeDispatcher struct {
	respond func(batch *zlquery.Batch, sub zlquery.SubRequest) (zlquery.Result, time.Duration)
}

type fakeCall struct{}

func (fakeCall) Cancel(zlunit.SubRequestID) {}

// Dispatch implements Dispatcher.
func (f *fakeDispatcher) Dispatch(ctx context.Context, _ zlunit.VM, batch *zlquery.Batch, sink func(zlquery.Reply)) Call {
	for _, sub := range batch.SubRequests {
		result, after := f.respond(batch, sub)
		go func() {
			select {
			case <-time.After(after):
			case <-ctx.Done():
				return
			}
			sink(zlquery.Reply{
				Query:  batch.Query,
				Sub:    sub.ID,
				Result: result,
			})
		}()
	}
	return fakeCall{}
}

type noCounter struct{}

func (noCounter) Count(string, zlquery.Reason) {}

func testView() *zlview.View {
	c := &zlcatalog.Catalog{
		Service: "s",
		Versions: []zlcatalog.Version{
			{
				Number: 4,
				Shards: [][]zlunit.Upstream{{"a0", "a1"}, {"b0", "b1"}},
			},
		},
	}
	for _, name := range []zlunit.Upstream{"a0", "a1", "b0", "b1"} {
		c.Upstreams = append(c.Upstreams, zlcatalog.Upstream{
			Name:        name,
			DataCentre:  "dc",
			Address:     "127.0.0.1:1",
			Slots:       1,
			Connections: 1,
			ColdLimit:   1,
		})
	}
	v := &zlview.View{
		Home: "dc",
		Catalogs: map[zlunit.Service]*zlcatalog.Catalog{
			"s": c,
		},
		Rosters: map[zlunit.DataCentre]zlroster.Roster{
			"dc": {
				Members: []zlroster.Member{
					{
						VM: "vm1",
					},
				},
			},
		},
	}
	return v.Build()
}

func testCoordinator(f *fakeDispatcher) *Coordinator {
	views := &zlview.CurrentView{}
	views.Store(testView())
	views.Confirm(time.Now())
	return &Coordinator{
		Timer:      &zltimer.Service{},
		Views:      views,
		Router:     &zlroute.Router{},
		Dispatcher: f,
		Counter:    noCounter{},
	}
}

func done(sub zlquery.SubRequest) zlquery.Result {
	return zlquery.Done{
		Part: zlquery.Part{
			Shard:    sub.Shard,
			Version:  sub.Version,
			Upstream: sub.Upstream,
			Coverage: 1,
		},
	}
}

func TestAnswerIsCompleteWhenAllUpstreamsAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given upstreams that all answer, the answer is complete", t, func() {
			c := testCoordinator(&fakeDispatcher{
				respond: func(_ *zlquery.Batch, sub zlquery.SubRequest) (zlquery.Result, time.Duration) {
					return done(sub), time.Millisecond
				},
			})
			a := c.Answer(context.Background(), &zlquery.Request{
				ID:         "r",
				Service:    "s",
				Idempotent: true,
			})
			convey.So(a.Outcome, convey.ShouldEqual, zlquery.OutcomeDone)
			convey.So(a.Complete, convey.ShouldBeTrue)
			convey.So(a.Version, convey.ShouldEqual, zlunit.IndexVersion(4))
		})
	})
}

// TestNonIdempotentQueryIsNotRetriedAfterUnknownOutcome guards against running
// a query twice: a connection reset leaves open whether the sub-request ran, so
// only an idempotent query may be sent again.
func TestNonIdempotentQueryIsNotRetriedAfterUnknownOutcome(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			sends := 0
			c := testCoordinator(&fakeDispatcher{
				respond: func(_ *zlquery.Batch, sub zlquery.SubRequest) (zlquery.Result, time.Duration) {
					if sub.Shard == 0 {
						return done(sub), time.Millisecond
					}
					sends++
					return zlquery.Unknown{
						Reason: zlquery.ReasonConnectionReset,
					}, time.Millisecond
				},
			})
			a := c.Answer(context.Background(), &zlquery.Request{
				ID:            "r",
				Service:       "s",
				Idempotent:    idempotent,
				LeastCoverage: 1,
			})
			want := 1
			if idempotent {
				want = 2
			}
			if sends != want || a.Outcome != zlquery.OutcomeUnknown {
				t.Fatalf("idempotent %v: got %d sends and outcome %s, want %d and unknown", idempotent, sends, a.Outcome, want)
			}
		})
	}
}

func TestCoverageExcludesShardsThatMissTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := testCoordinator(&fakeDispatcher{
			respond: func(_ *zlquery.Batch, sub zlquery.SubRequest) (zlquery.Result, time.Duration) {
				return done(sub), time.Duration(sub.Shard) * time.Hour
			},
		})
		start := time.Now()
		a := c.Answer(context.Background(), &zlquery.Request{
			ID:         "r",
			Service:    "s",
			Idempotent: true,
			Deadline:   start.Add(time.Second),
		})
		if a.Coverage != 0.5 || a.Complete || len(a.Missing) != 1 || time.Since(start) > time.Second {
			t.Fatalf("got %+v after %v, want coverage 0.5 with one missing shard within 1s", a, time.Since(start))
		}
	})
}

package zlexecutor_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"zinnialock/core/connection/zladmission"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlexecutor"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/core/version/zlmark"
	"zinnialock/core/version/zlview"
)

// fakeLease is a Leases that tests change between and during calls.
type fakeLease struct {
	refusal zlquery.Reason
	until   time.Time
}

// Grant implements zlexecutor.Leases.
func (l *fakeLease) Grant(u zlcatalog.Upstream) zlexecutor.Grant {
	return zlexecutor.Grant{
		Refusal:     l.refusal,
		Until:       l.until,
		Slots:       u.Slots,
		Cold:        u.ColdLimit,
		Connections: u.Connections,
	}
}

// hookedFetcher is a Fetcher with a hook between admission and send. A call
// lasts for serviceTime or until it is halted.
type hookedFetcher struct {
	// beforeStart is called right before the permit is checked; it may be nil.
	beforeStart func()
	serviceTime time.Duration
	sent        atomic.Int64
	// stopDelay is how long the upstream takes to confirm the end of a halted
	// call.
	stopDelay time.Duration
}

// Fetch implements zlexecutor.Fetcher.
func (h *hookedFetcher) Fetch(_ context.Context, u zlcatalog.Upstream, call *zlexecutor.Fetch) zlexecutor.Fetched {
	if h.beforeStart != nil {
		h.beforeStart()
	}
	if reason := call.Permit.Start(nil); reason != zlquery.ReasonNone {
		return zlexecutor.Fetched{
			Result: zlquery.NotRun{
				Reason: reason,
			},
		}
	}
	h.sent.Add(1)
	stop := make(stopSignal)
	if call.SetStopper(stop) {
		select {
		case <-time.After(h.serviceTime):
			return zlexecutor.Fetched{
				Result: zlquery.Done{
					Part: zlquery.Part{
						Upstream: u.Name,
					},
				},
			}
		case <-stop:
		}
	}
	time.Sleep(h.stopDelay)
	return zlexecutor.Fetched{
		Result: zlquery.Unknown{
			Reason: zlquery.ReasonCancelled,
		},
	}
}

// fixture is an Executor with the parts that tests change.
type fixture struct {
	executor *zlexecutor.Executor
	views    *zlview.CurrentView
	lease    *fakeLease
	fetcher  *hookedFetcher
}

func newFixture(fetcher *hookedFetcher) *fixture {
	f := &fixture{
		views:   &zlview.CurrentView{},
		lease:   &fakeLease{},
		fetcher: fetcher,
	}
	f.views.Store(testView())
	f.executor = &zlexecutor.Executor{
		Self:    "vm",
		Timer:   &zltimer.Service{},
		Views:   f.views,
		Fetcher: fetcher,
		Leases:  f.lease,
	}
	return f
}

// serve sends n sub-requests for one upstream in one batch. It returns the work
// and the results as they arrive.
func (f *fixture) serve(n int, left time.Duration) (*zlexecutor.ServedBatch, chan zlquery.Result) {
	results := make(chan zlquery.Result, n)
	batch := &zlquery.Batch{
		Query:    "q",
		TimeLeft: left,
	}
	for i := range n {
		batch.SubRequests = append(batch.SubRequests, zlquery.SubRequest{
			ID:       zlunit.SubRequestID(i),
			Upstream: "u-0-0",
		})
	}
	w := f.executor.Serve(context.Background(), batch, func(r zlquery.Reply) {
		results <- r.Result
	})
	return w, results
}

func notRun(reason zlquery.Reason) zlquery.Result {
	return zlquery.NotRun{
		Reason: reason,
	}
}

// TestLeaseIsCheckedImmediatelyBeforeSend guards against sending to an upstream
// that another daemon may hold by then: the lease or the view can change, or
// the process can stall, between admission and send.
func TestLeaseIsCheckedImmediatelyBeforeSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(&hookedFetcher{})
		cases := map[string]func(){
			"lease lost": func() {
				f.lease.refusal = zlquery.ReasonNotHolder
			},
			"stalled past the end of the lease": func() {
				f.lease.until = time.Now().Add(time.Second)
				time.Sleep(2 * time.Second)
			},
			"lease shortened": func() {
				f.lease.until = time.Now().Add(time.Millisecond)
			},
			"upstream marked out": func() {
				view := testView()
				view.Marks = &zlmark.Marks{
					Upstreams: map[zlunit.Upstream]zlmark.Mark{
						"u-0-0": {
							Reason: "test",
						},
					},
				}
				f.views.Store(view)
			},
		}
		for name, change := range cases {
			*f.lease = fakeLease{}
			f.views.Store(testView())
			f.fetcher.beforeStart = change
			_, results := f.serve(1, time.Hour)
			if _, ok := (<-results).(zlquery.NotRun); !ok || f.fetcher.sent.Load() != 0 {
				t.Errorf("%s: got %d sends, want none and the result NotRun", name, f.fetcher.sent.Load())
			}
		}
		f.executor.Wait()
	})
}

func TestDeadlineIsLimitedToTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("A sub-request ends with the lease, and its slot is free once the upstream confirms the end", t, func() {
			f := newFixture(&hookedFetcher{
				serviceTime: time.Hour,
				stopDelay:   3 * time.Second,
			})
			start := time.Now()
			f.lease.until = start.Add(time.Second)
			_, results := f.serve(1, time.Hour)
			convey.So(<-results, convey.ShouldResemble, zlquery.Unknown{
				Reason: zlquery.ReasonDeadline,
			})
			convey.So(time.Since(start), convey.ShouldEqual, time.Second)
			convey.So(f.executor.Snapshot()[0].InFlight, convey.ShouldEqual, 1)
			f.executor.Wait()
			convey.So(time.Since(start), convey.ShouldEqual, 4*time.Second)
			convey.So(f.executor.Snapshot()[0].InFlight, convey.ShouldEqual, 0)
		})
	})
}

// TestCancelRepliesImmediatelyWithTheTrueOutcome checks that a sub-request
// still in the queue is reported as not run and one that was sent as unknown,
// and that the slot of the latter is taken until the upstream confirms its end.
func TestCancelRepliesImmediatelyWithTheTrueOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given three sub-requests for an upstream with a cold limit of 1", t, func() {
			f := newFixture(&hookedFetcher{
				serviceTime: time.Hour,
				stopDelay:   time.Second,
			})
			w, results := f.serve(3, 2*time.Hour)
			synctest.Wait()
			convey.So(f.fetcher.sent.Load(), convey.ShouldEqual, 1)
			convey.So(f.executor.States()[zladmission.StateCold], convey.ShouldEqual, 1)

			w.Cancel(2)
			convey.So(<-results, convey.ShouldResemble, notRun(zlquery.ReasonCancelled))
			w.Cancel(0)
			convey.So(<-results, convey.ShouldResemble, zlquery.Unknown{
				Reason: zlquery.ReasonCancelled,
			})
			synctest.Wait()
			// The upstream has not confirmed the end of the first call yet.
			convey.So(f.fetcher.sent.Load(), convey.ShouldEqual, 1)
			time.Sleep(time.Second)
			synctest.Wait()
			convey.So(f.fetcher.sent.Load(), convey.ShouldEqual, 2)
			w.Cancel(1)
			w.Cancel(1)
			w.Cancel(77)
			w.Wait()
			convey.So(len(results), convey.ShouldEqual, 1)
			convey.So(f.executor.Batches(), convey.ShouldEqual, 0)
			f.executor.Wait()
		})
	})
}

// TestEachSubRequestHasOneReplyWhenEndsCoincide guards against lost or
// duplicate replies when a call, its deadline and a cancellation end at the
// same moment.
func TestEachSubRequestHasOneReplyWhenEndsCoincide(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(&hookedFetcher{
			serviceTime: time.Second,
		})
		for range 50 {
			w, results := f.serve(20, time.Second)
			go w.Cancel(3)
			w.Wait()
			if len(results) != 20 {
				t.Fatalf("got %d replies, want 20", len(results))
			}
		}
		f.executor.Wait()
	})
}

package zlaggr_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"zinnialock/core/connection/zlgate"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlaggr"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/core/version/zlmark"
	"zinnialock/core/version/zlview"
)

// lease is a Tenure that tests change at will.
type lease struct {
	refusal zlquery.Reason
	until   time.Time
}

// Grant implements zlaggr.Tenure.
func (l *lease) Grant(u zlcatalog.Upstream) zlaggr.Grant {
	return zlaggr.Grant{
		Refusal:     l.refusal,
		Until:       l.until,
		Slots:       u.Slots,
		Cold:        u.ColdLimit,
		Connections: u.Connections,
	}
}

// paused is a Fetcher that is stopped between admission and send, and then
// works for a while or until it is halted.
type paused struct {
	before func()
	work   time.Duration
	sent   atomic.Int64
	// confirm is how long the upstream takes to confirm its end when halted.
	confirm time.Duration
}

// Fetch implements zlaggr.Fetcher.
func (p *paused) Fetch(_ context.Context, u zlcatalog.Upstream, call *zlaggr.Fetch) zlaggr.Fetched {
	if p.before != nil {
		p.before()
	}
	if reason := call.Permit.Start(nil); reason != zlquery.ReasonNone {
		return zlaggr.Fetched{
			Result: zlquery.NotRun{
				Reason: reason,
			},
		}
	}
	p.sent.Add(1)
	stop := make(stopper)
	if call.HaltBy(stop) {
		select {
		case <-time.After(p.work):
			return zlaggr.Fetched{
				Result: zlquery.Done{
					Part: zlquery.Part{
						Upstream: u.Name,
					},
				},
			}
		case <-stop:
		}
	}
	time.Sleep(p.confirm)
	return zlaggr.Fetched{
		Result: zlquery.Unknown{
			Reason: zlquery.ReasonCancelled,
		},
	}
}

type bench struct {
	aggregator *zlaggr.Aggregator
	views      *zlview.Holder
	lease      *lease
	fetcher    *paused
}

func newBench(p *paused) *bench {
	b := &bench{
		views:   &zlview.Holder{},
		lease:   &lease{},
		fetcher: p,
	}
	b.views.Store(farmView())
	b.aggregator = &zlaggr.Aggregator{
		Self:    "vm",
		Timer:   &zltimer.Service{},
		Views:   b.views,
		Fetcher: p,
		Tenure:  b.lease,
	}
	return b
}

// serve asks one upstream n times in one batch and returns the replies.
func (b *bench) serve(n int, left time.Duration) (*zlaggr.Work, chan zlquery.Result) {
	results := make(chan zlquery.Result, n)
	batch := &zlquery.Batch{
		Query: "q",
		Left:  left,
	}
	for i := range n {
		batch.Subs = append(batch.Subs, zlquery.Sub{
			ID:       zlunit.SubID(i),
			Upstream: "u-0-0",
		})
	}
	w := b.aggregator.Serve(context.Background(), batch, func(r zlquery.Reply) {
		results <- r.Result
	})
	return w, results
}

func notRun(reason zlquery.Reason) zlquery.Result {
	return zlquery.NotRun{
		Reason: reason,
	}
}

func TestTenureIsCheckedRightBeforeTheSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(&paused{})
		cases := map[string]func(){
			"lost": func() {
				b.lease.refusal = zlquery.ReasonNotHolder
			},
			"paused past its end": func() {
				b.lease.until = time.Now().Add(time.Second)
				time.Sleep(2 * time.Second)
			},
			"shortened": func() {
				b.lease.until = time.Now().Add(time.Millisecond)
			},
			"marked out": func() {
				view := farmView()
				view.Marks = &zlmark.Marks{
					Upstreams: map[zlunit.Upstream]zlmark.Mark{
						"u-0-0": {
							Reason: "test",
						},
					},
				}
				b.views.Store(view)
			},
		}
		for name, change := range cases {
			*b.lease = lease{}
			b.views.Store(farmView())
			b.fetcher.before = change
			_, results := b.serve(1, time.Hour)
			if _, ok := (<-results).(zlquery.NotRun); !ok || b.fetcher.sent.Load() != 0 {
				t.Errorf("%s: sent", name)
			}
		}
		b.aggregator.Wait()
	})
}

func TestDeadlineIsCutToTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("A sub-request ends with the lease, its permit with the upstream's word", t, func() {
			b := newBench(&paused{
				work:    time.Hour,
				confirm: 3 * time.Second,
			})
			start := time.Now()
			b.lease.until = start.Add(time.Second)
			_, results := b.serve(1, time.Hour)
			convey.So(<-results, convey.ShouldResemble, zlquery.Unknown{
				Reason: zlquery.ReasonDeadline,
			})
			convey.So(time.Since(start), convey.ShouldEqual, time.Second)
			convey.So(b.aggregator.Snapshot()[0].InFlight, convey.ShouldEqual, 1)
			b.aggregator.Wait()
			convey.So(time.Since(start), convey.ShouldEqual, 4*time.Second)
			convey.So(b.aggregator.Snapshot()[0].InFlight, convey.ShouldEqual, 0)
		})
	})
}

func TestCancelIsAnsweredAtOnceAndTruly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given three sub-requests at a cold limit of 1", t, func() {
			b := newBench(&paused{
				work:    time.Hour,
				confirm: time.Second,
			})
			w, results := b.serve(3, 2*time.Hour)
			synctest.Wait()
			convey.So(b.fetcher.sent.Load(), convey.ShouldEqual, 1)
			convey.So(b.aggregator.States()[zlgate.StateCold], convey.ShouldEqual, 1)

			w.Cancel(2)
			convey.So(<-results, convey.ShouldResemble, notRun(zlquery.ReasonCancelled))
			w.Cancel(0)
			convey.So(<-results, convey.ShouldResemble, zlquery.Unknown{
				Reason: zlquery.ReasonCancelled,
			})
			synctest.Wait()
			// The upstream has not confirmed its end yet.
			convey.So(b.fetcher.sent.Load(), convey.ShouldEqual, 1)
			time.Sleep(time.Second)
			synctest.Wait()
			convey.So(b.fetcher.sent.Load(), convey.ShouldEqual, 2)
			w.Cancel(1)
			w.Cancel(1)
			w.Cancel(77)
			w.Wait()
			convey.So(len(results), convey.ShouldEqual, 1)
			convey.So(b.aggregator.Batches(), convey.ShouldEqual, 0)
			b.aggregator.Wait()
		})
	})
}

func TestEachSubHasOneReplyWhenAllEndsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(&paused{
			work: time.Second,
		})
		for range 50 {
			w, results := b.serve(20, time.Second)
			go w.Cancel(3)
			w.Wait()
			if len(results) != 20 {
				t.Fatalf("%d replies, want 20", len(results))
			}
		}
		b.aggregator.Wait()
	})
}

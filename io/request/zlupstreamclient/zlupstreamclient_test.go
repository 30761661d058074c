package zlupstreamclient_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlexecutor"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/core/version/zlroster"
	"zinnialock/core/version/zlview"
	"zinnialock/io/request/zlupstreamclient"
	"zinnialock/io/standin/zlfakeupstream"
)

func newUpstream(t *testing.T, edit func(*zlfakeupstream.Settings)) *zlfakeupstream.Upstream {
	t.Helper()
	u := &zlfakeupstream.Upstream{
		Address: "127.0.0.1:0",
		Seed:    1,
		Settings: zlfakeupstream.Settings{
			Name:        "u",
			Service:     "s",
			Slots:       4,
			Connections: 10,
			ColdLimit:   1,
			ColdWork:    20,
			ServiceMs:   1,
			QueueLimit:  64,
			Shards: map[zlunit.IndexVersion][]zlunit.Shard{
				1: {0},
			},
		},
	}
	if edit != nil {
		edit(&u.Settings)
	}
	if err := u.Run(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(u.Close)
	return u
}

func newExecutor(t *testing.T, u *zlfakeupstream.Upstream) *zlexecutor.Executor {
	t.Helper()
	e, stop := executorOf(u)
	t.Cleanup(stop)
	return e
}

// executorOf returns an executor that sends to u, and a function that stops it.
func executorOf(u *zlfakeupstream.Upstream) (*zlexecutor.Executor, func()) {
	view := &zlview.View{
		Home: "dc",
		Catalogs: map[zlunit.Service]*zlcatalog.Catalog{
			"s": {
				Service: "s",
				Upstreams: []zlcatalog.Upstream{
					{
						Name:        "u",
						DataCentre:  "dc",
						Address:     u.Address,
						Slots:       u.Settings.Slots,
						Connections: u.Settings.Connections,
						ColdLimit:   u.Settings.ColdLimit,
					},
				},
			},
		},
		Rosters: map[zlunit.DataCentre]zlroster.Roster{
			"dc": {
				Members: []zlroster.Member{
					{
						VM: "vm",
					},
				},
			},
		},
	}
	views := &zlview.CurrentView{}
	views.Store(view.Build())
	caller := &zlupstreamclient.Caller{}
	e := &zlexecutor.Executor{
		Self:    "vm",
		Timer:   &zltimer.Service{},
		Views:   views,
		Fetcher: caller,
	}
	return e, func() {
		caller.Close()
		e.Wait()
	}
}

var queryNumber atomic.Int64

// runSubRequest runs one sub-request and returns its result. It cancels the sub-request after
// cancelAfter unless that is 0.
func runSubRequest(e *zlexecutor.Executor, idempotent bool, left, cancelAfter time.Duration) zlquery.Result {
	results := make(chan zlquery.Result, 1)
	id := fmt.Sprint(queryNumber.Add(1))
	w := e.Serve(context.Background(), &zlquery.Batch{
		Query:      zlunit.QueryID(id),
		Request:    zlunit.RequestID(id),
		Service:    "s",
		Kind:       "k",
		Idempotent: idempotent,
		TimeLeft:   left,
		SubRequests: []zlquery.SubRequest{
			{
				Upstream: "u",
				Version:  1,
			},
		},
	}, func(r zlquery.Reply) {
		results <- r.Result
	})
	if cancelAfter > 0 {
		stop := time.AfterFunc(cancelAfter, func() {
			w.Cancel(0)
		})
		defer stop.Stop()
	}
	return <-results
}

// load sends requests from 16 goroutines until stop is closed. If cancel is set, one
// in four goroutines cancels its requests after 2 ms.
func load(e *zlexecutor.Executor, stop chan struct{}, cancel bool) *sync.WaitGroup {
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				after := time.Duration(0)
				if cancel && i%4 == 0 {
					after = 2 * time.Millisecond
				}
				runSubRequest(e, i%2 == 0, 200*time.Millisecond, after)
			}
		})
	}
	return &wg
}

// waitForDone waits until u has completed more further requests.
func waitForDone(u *zlfakeupstream.Upstream, more int64) {
	from := u.Counts().Done
	for u.Counts().Done < from+more {
		time.Sleep(time.Millisecond)
	}
}

// TestRestartsUnderFullLoadStayWithinTheColdLimit guards against a restarted, cold
// upstream that gets the load of a warm one. Requests that were queued, cancelled or
// retried during the restart could exceed the cold limit.
func TestRestartsUnderFullLoadStayWithinTheColdLimit(t *testing.T) {
	for _, anonymous := range []bool{false, true} {
		for _, cancel := range []bool{false, true} {
			t.Run(fmt.Sprintf("anonymous %v cancel %v", anonymous, cancel), func(t *testing.T) {
				u := newUpstream(t, func(s *zlfakeupstream.Settings) {
					s.Anonymous = anonymous
				})
				e := newExecutor(t, u)
				stop := make(chan struct{})
				wg := load(e, stop, cancel)
				for range 3 {
					waitForDone(u, 200)
					u.GoCold(true)
				}
				waitForDone(u, 100)
				close(stop)
				wg.Wait()
				c := u.Counts()
				if c.ColdPeak > int(c.ColdLimit) || c.RefusedConns > 0 || len(c.RepeatedRuns) > 0 {
					t.Fatalf("got counts %+v, want at most ColdLimit requests while cold, no refused connections and no request run twice", c)
				}
				if c.Peak < 2 {
					t.Fatalf("got a peak of %d requests in flight, want at least 2: the upstream never became warm, so the test checks nothing", c.Peak)
				}
			})
		}
	}
}

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

package zlcoordinator

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlexecutor"
	"zinnialock/core/request/zlnaive"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/core/version/zlmark"
	"zinnialock/core/version/zlview"
)

// seededUpstreams is the Fetcher of both implementations. What an upstream does
// depends only on the seed and its name.
type seededUpstreams struct {
	seed uint64
	// failingPercent is the share of upstreams to which every call fails, in
	// per cent.
	failingPercent int
}

// Fetch implements zlexecutor.Fetcher.
func (s *seededUpstreams) Fetch(ctx context.Context, u zlcatalog.Upstream, f *zlexecutor.Fetch) zlexecutor.Fetched {
	random := rand.New(rand.NewPCG(s.seed, xxhash.Sum64String(string(u.Name))))
	if !sleepFor(ctx, time.Duration(1+random.IntN(3))*time.Millisecond) {
		return zlexecutor.Fetched{
			Result: zlquery.Unknown{
				Reason: zlquery.ReasonCancelled,
			},
		}
	}
	if random.IntN(100) < s.failingPercent {
		return zlexecutor.Fetched{
			Result: zlquery.NotRun{
				Reason: zlquery.ReasonDialFailed,
			},
		}
	}
	return zlexecutor.Fetched{
		Result: zlquery.Done{
			Part: zlquery.Part{
				Shard:    f.Shard,
				Version:  f.Version,
				Upstream: u.Name,
				Coverage: 1,
				Rows:     []string{rowOf(f.Version, f.Shard, "", f.Text)},
			},
		},
	}
}

// fetchingDispatcher makes a fetch of each sub-request.
type fetchingDispatcher struct {
	fetcher zlexecutor.Fetcher
	views   *zlview.CurrentView
}

// Dispatch implements Dispatcher.
func (d *fetchingDispatcher) Dispatch(ctx context.Context, _ zlunit.VM, batch *zlquery.Batch, sink func(zlquery.Reply)) Call {
	for _, sub := range batch.SubRequests {
		u, _ := d.views.Load().Upstream(sub.Upstream)
		go func() {
			fetched := d.fetcher.Fetch(ctx, u, &zlexecutor.Fetch{
				Query:   batch.Query,
				Shard:   sub.Shard,
				Version: sub.Version,
				Text:    batch.Text,
			})
			sink(zlquery.Reply{
				Query:  batch.Query,
				Sub:    sub.ID,
				Result: fetched.Result,
			})
		}()
	}
	return fakeCall{}
}

// TestCoordinatorAgreesWithNaive sends the same query to the coordinator and to
// the naive implementation over the same upstreams. The coordinator covers at
// least as much, and where the naive answer is complete, both have the same
// rows.
func TestCoordinatorAgreesWithNaive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		complete, incomplete := 0, 0
		rapid.Check(testInBubble{
			TB: t,
		}, func(t *rapid.T) {
			upstreams := &seededUpstreams{
				seed:           rapid.Uint64().Draw(t, "seed"),
				failingPercent: rapid.SampledFrom([]int{0, 10, 30, 60}).Draw(t, "broken"),
			}
			c := testCoordinator(nil)
			c.Views.Store(versionedView(1, zlunit.IndexVersion(rapid.IntRange(1, 4).Draw(t, "last")), &zlmark.Marks{}))
			c.Views.Confirm(time.Now())
			c.Dispatcher = &fetchingDispatcher{
				fetcher: upstreams,
				views:   c.Views,
			}
			naive := &zlnaive.Naive{
				Timer:   &zltimer.Service{},
				Views:   c.Views,
				Fetcher: upstreams,
			}
			for range 5 {
				c.Views.Confirm(time.Now())
				newRequest := func() *zlquery.Request {
					return &zlquery.Request{
						ID:         "r",
						Service:    "s",
						Text:       "text",
						Idempotent: true,
						Deadline:   time.Now().Add(time.Second),
					}
				}
				want := naive.Answer(context.Background(), newRequest())
				got := c.Answer(context.Background(), newRequest())
				if got.Coverage < want.Coverage {
					t.Fatalf("got coverage %v, want at least that of the naive implementation, %v", got.Coverage, want.Coverage)
				}
				if !want.Complete {
					incomplete++
					continue
				}
				complete++
				if got.Outcome != want.Outcome || got.Version != want.Version || !slices.EqualFunc(got.Parts, want.Parts, samePart) {
					t.Fatalf("got %+v, want that of the naive implementation, %+v", got, want)
				}
			}
		})
		if complete == 0 || incomplete == 0 {
			t.Errorf("got %d complete and %d incomplete answers of the naive implementation, want some of each", complete, incomplete)
		}
	})
}

func samePart(a, b zlquery.Part) bool {
	return a.Shard == b.Shard && a.Version == b.Version && a.Coverage == b.Coverage && slices.Equal(a.Rows, b.Rows)
}

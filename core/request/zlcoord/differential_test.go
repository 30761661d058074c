package zlcoord

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
	"zinnialock/core/request/zlaggr"
	"zinnialock/core/request/zlnaive"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/core/version/zlmark"
	"zinnialock/core/version/zlview"
)

// sameUpstreams serves the tier and the naive version alike: what an upstream
// does depends on its name alone.
type sameUpstreams struct {
	seed uint64
	// broken is the share of upstreams that never answer usefully, in hundred.
	broken int
}

// Fetch implements zlaggr.Fetcher.
func (s *sameUpstreams) Fetch(ctx context.Context, u zlcatalog.Upstream, f *zlaggr.Fetch) zlaggr.Fetched {
	random := rand.New(rand.NewPCG(s.seed, xxhash.Sum64String(string(u.Name))))
	if !pause(ctx, time.Duration(1+random.IntN(3))*time.Millisecond) {
		return zlaggr.Fetched{
			Result: zlquery.Unknown{
				Reason: zlquery.ReasonCancelled,
			},
		}
	}
	if random.IntN(100) < s.broken {
		return zlaggr.Fetched{
			Result: zlquery.NotRun{
				Reason: zlquery.ReasonDialFailed,
			},
		}
	}
	return zlaggr.Fetched{
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

// fetchDispatcher turns batches into fetches.
type fetchDispatcher struct {
	fetcher zlaggr.Fetcher
	views   *zlview.Holder
}

// Dispatch implements Dispatcher.
func (d *fetchDispatcher) Dispatch(ctx context.Context, _ zlunit.VM, batch *zlquery.Batch, sink func(zlquery.Reply)) Call {
	for _, sub := range batch.Subs {
		u, _ := d.views.Load().Upstream(sub.Upstream)
		go func() {
			fetched := d.fetcher.Fetch(ctx, u, &zlaggr.Fetch{
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

// TestAgreesWithNaive asks both versions the same over the same upstreams: the
// tier covers at least as much, and where the naive version's answer is whole,
// both are the same row for row.
func TestAgreesWithNaive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		whole, lacking := 0, 0
		rapid.Check(bubble{
			TB: t,
		}, func(t *rapid.T) {
			upstreams := &sameUpstreams{
				seed:   rapid.Uint64().Draw(t, "seed"),
				broken: rapid.SampledFrom([]int{0, 10, 30, 60}).Draw(t, "broken"),
			}
			c := testCoordinator(nil)
			c.Views.Store(chaosView(1, zlunit.IndexVersion(rapid.IntRange(1, 4).Draw(t, "last")), &zlmark.Marks{}))
			c.Views.Confirm(time.Now())
			c.Dispatcher = &fetchDispatcher{
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
				ask := func() *zlquery.Request {
					return &zlquery.Request{
						ID:         "r",
						Service:    "s",
						Text:       "text",
						Idempotent: true,
						Deadline:   time.Now().Add(time.Second),
					}
				}
				want := naive.Answer(context.Background(), ask())
				got := c.Answer(context.Background(), ask())
				if got.Coverage < want.Coverage {
					t.Fatalf("coverage %v, the naive version's %v", got.Coverage, want.Coverage)
				}
				if !want.Complete {
					lacking++
					continue
				}
				whole++
				if got.Outcome != want.Outcome || got.Version != want.Version || !slices.EqualFunc(got.Parts, want.Parts, samePart) {
					t.Fatalf("got %+v, the naive version %+v", got, want)
				}
			}
		})
		if whole == 0 || lacking == 0 {
			t.Errorf("%d whole and %d lacking answers of the naive version: too little was compared", whole, lacking)
		}
	})
}

func samePart(a, b zlquery.Part) bool {
	return a.Shard == b.Shard && a.Version == b.Version && a.Coverage == b.Coverage && slices.Equal(a.Rows, b.Rows)
}

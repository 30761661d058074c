package zlexecutor_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlexecutor"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/core/version/zlview"
)

// instantFetcher is a Fetcher whose calls take no time.
type instantFetcher struct{}

// Fetch implements zlexecutor.Fetcher.
func (instantFetcher) Fetch(_ context.Context, u zlcatalog.Upstream, call *zlexecutor.Fetch) zlexecutor.Fetched {
	if reason := call.Permit.Start(nil); reason != zlquery.ReasonNone {
		return zlexecutor.Fetched{
			Result: zlquery.NotRun{
				Reason: reason,
			},
		}
	}
	return zlexecutor.Fetched{
		Result: zlquery.Done{
			Part: zlquery.Part{
				Shard:    call.Shard,
				Version:  call.Version,
				Upstream: u.Name,
				Coverage: 1,
			},
		},
		Process: "p",
	}
}

// BenchmarkServe16 serves batches of 16 sub-requests to 16 upstreams.
func BenchmarkServe16(b *testing.B) {
	views := &zlview.CurrentView{}
	views.Store(testView())
	e := &zlexecutor.Executor{
		Self:    "vm",
		Timer:   &zltimer.Service{},
		Views:   views,
		Fetcher: instantFetcher{},
	}
	batch := &zlquery.Batch{
		Query:      "0123456789abcdef",
		Request:    "r",
		Service:    "s",
		Kind:       "k",
		Idempotent: true,
		TimeLeft:   10 * time.Second,
	}
	for i := range 16 {
		batch.SubRequests = append(batch.SubRequests, zlquery.SubRequest{
			ID:       zlunit.SubRequestID(i),
			Upstream: zlunit.Upstream(fmt.Sprintf("u-%d-%d", i%testShards, i/testShards)),
			Version:  1,
		})
	}
	b.ReportAllocs()
	for b.Loop() {
		e.Serve(context.Background(), batch, func(r zlquery.Reply) {
			if _, ok := r.Result.(zlquery.Done); !ok {
				b.Errorf("got result %+v, want Done", r.Result)
			}
		}).Wait()
	}
}

package zlaggr_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlaggr"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/core/version/zlview"
)

// instant is a Fetcher whose upstreams take no time.
type instant struct{}

// Fetch implements zlaggr.Fetcher.
func (instant) Fetch(_ context.Context, u zlcatalog.Upstream, call *zlaggr.Fetch) zlaggr.Fetched {
	if reason := call.Permit.Start(nil); reason != zlquery.ReasonNone {
		return zlaggr.Fetched{
			Result: zlquery.NotRun{
				Reason: reason,
			},
		}
	}
	return zlaggr.Fetched{
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

// BenchmarkServe16 serves batches of 16 sub-requests to as many upstreams; the
// cost of a sub-request is a sixteenth.
func BenchmarkServe16(b *testing.B) {
	views := &zlview.Holder{}
	views.Store(farmView())
	a := &zlaggr.Aggregator{
		Self:    "vm",
		Timer:   &zltimer.Service{},
		Views:   views,
		Fetcher: instant{},
	}
	batch := &zlquery.Batch{
		Query:      "0123456789abcdef",
		Request:    "r",
		Service:    "s",
		Kind:       "k",
		Idempotent: true,
		Left:       10 * time.Second,
	}
	for i := range 16 {
		batch.Subs = append(batch.Subs, zlquery.Sub{
			ID:       zlunit.SubID(i),
			Upstream: zlunit.Upstream(fmt.Sprintf("u-%d-%d", i%farmShards, i/farmShards)),
			Version:  1,
		})
	}
	b.ReportAllocs()
	for b.Loop() {
		a.Serve(context.Background(), batch, func(r zlquery.Reply) {
			if _, ok := r.Result.(zlquery.Done); !ok {
				b.Errorf("%+v", r.Result)
			}
		}).Wait()
	}
}

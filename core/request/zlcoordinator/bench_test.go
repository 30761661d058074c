package zlcoordinator

import (
	"context"
	"testing"
	"time"

	"zinnialock/core/process/zlroute"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/request/zltrace"
	"zinnialock/core/version/zlview"
)

// cannedDispatcher replies synchronously with results made in advance, so that
// the benchmark measures only the coordinator.
type cannedDispatcher struct {
	// results holds the results of each shard by replica.
	results [][]zlquery.Result
}

// Dispatch implements Dispatcher.
func (d *cannedDispatcher) Dispatch(_ context.Context, _ zlunit.VM, batch *zlquery.Batch, sink func(zlquery.Reply)) Call {
	for i := range batch.SubRequests {
		sub := &batch.SubRequests[i]
		sink(zlquery.Reply{
			Query:  batch.Query,
			Sub:    sub.ID,
			Result: d.result(sub),
		})
	}
	return fakeCall{}
}

func (d *cannedDispatcher) result(sub *zlquery.SubRequest) zlquery.Result {
	last := sub.Upstream[len(sub.Upstream)-1]
	return d.results[sub.Shard][last-'0']
}

func benchmarkQuery(b *testing.B, traces zltrace.Sink) {
	view := wideView(160)
	views := &zlview.CurrentView{}
	views.Store(view)
	d := &cannedDispatcher{
		results: make([][]zlquery.Result, 160),
	}
	for s, replicas := range view.Catalogs["s"].Versions[0].Shards {
		for _, name := range replicas {
			d.results[s] = append(d.results[s], zlquery.Done{
				Part: zlquery.Part{
					Shard:    zlunit.Shard(s),
					Version:  4,
					Upstream: name,
					Coverage: 1,
				},
			})
		}
	}
	c := &Coordinator{
		Timer:      &zltimer.Service{},
		Views:      views,
		Router:     &zlroute.Router{},
		Dispatcher: d,
		Counter:    noCounter{},
		Traces:     traces,
	}
	b.ReportAllocs()
	for b.Loop() {
		views.Confirm(time.Now())
		a := c.Answer(context.Background(), &zlquery.Request{
			ID:         "r",
			Service:    "s",
			Kind:       "lookup",
			Idempotent: true,
		})
		if !a.Complete {
			b.Fatalf("got %+v, want a complete answer", a)
		}
	}
}

// BenchmarkQuery160 measures planning, routing and merging of a query over 160
// shards.
func BenchmarkQuery160(b *testing.B) {
	benchmarkQuery(b, nil)
}

// BenchmarkQuery160Traced measures the same with a trace that is kept.
func BenchmarkQuery160Traced(b *testing.B) {
	benchmarkQuery(b, &zltrace.Store{})
}

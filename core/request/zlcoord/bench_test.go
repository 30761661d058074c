package zlcoord

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

// readyDispatcher answers at once with results made beforehand, so that the
// benchmark counts the coordinator's own work.
type readyDispatcher struct {
	// results lists the results of the replicas of each shard.
	results [][]zlquery.Result
}

// Dispatch implements Dispatcher.
func (d *readyDispatcher) Dispatch(_ context.Context, _ zlunit.VM, batch *zlquery.Batch, sink func(zlquery.Reply)) Call {
	for i := range batch.Subs {
		sub := &batch.Subs[i]
		sink(zlquery.Reply{
			Query:  batch.Query,
			Sub:    sub.ID,
			Result: d.result(sub),
		})
	}
	return fakeCall{}
}

func (d *readyDispatcher) result(sub *zlquery.Sub) zlquery.Result {
	last := sub.Upstream[len(sub.Upstream)-1]
	return d.results[sub.Shard][last-'0']
}

func benchmarkQuery(b *testing.B, traces zltrace.Sink) {
	view := wideView(160)
	views := &zlview.Holder{}
	views.Store(view)
	d := &readyDispatcher{
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
			b.Fatalf("answer is not whole: %+v", a)
		}
	}
}

// BenchmarkQuery160 is plan, route and merge of one query over 160 shards.
func BenchmarkQuery160(b *testing.B) {
	benchmarkQuery(b, nil)
}

// BenchmarkQuery160Traced also keeps the trace.
func BenchmarkQuery160Traced(b *testing.B) {
	benchmarkQuery(b, &zltrace.Store{})
}

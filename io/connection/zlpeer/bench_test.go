package zlpeer_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlexecutor"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/core/version/zlroster"
	"zinnialock/core/version/zlview"
	"zinnialock/io/connection/zlpeer"
	"zinnialock/io/process/zlkeys"
)

// instantFetcher is a Fetcher whose upstreams answer at once.
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
				Rows:     []string{"one row of a shard's answer", "another row of a shard's answer"},
			},
		},
		Process: "p",
	}
}

// testSubs is the number of sub-requests of a test batch.
const testSubs = 16

// pair is two connected daemons; the second serves all upstreams.
type pair struct {
	nodes [2]*zlpeer.Node
	views *zlview.CurrentView
}

// newPair starts the daemons with a fetcher; edit, if not nil, changes a node
// before it runs.
func newPair(tb testing.TB, fetcher zlexecutor.Fetcher, edit func(*zlpeer.Node)) *pair {
	tb.Helper()
	authority, err := zlkeys.NewAuthority()
	if err != nil {
		tb.Fatal(err)
	}
	p := &pair{
		views: &zlview.CurrentView{},
	}
	view := &zlview.View{
		Home: "dc",
		Rosters: map[zlunit.DataCentre]zlroster.Roster{
			"dc": {},
			"executors": {
				Members: []zlroster.Member{
					{
						VM: "b",
					},
				},
			},
		},
		Catalogs: map[zlunit.Service]*zlcatalog.Catalog{
			"s": {
				Service: "s",
			},
		},
	}
	for i := range testSubs {
		view.Catalogs["s"].Upstreams = append(view.Catalogs["s"].Upstreams, zlcatalog.Upstream{
			Name:        zlunit.Upstream(fmt.Sprintf("upstream-%d", i)),
			DataCentre:  "executors",
			Slots:       100,
			Connections: 100,
			ColdLimit:   100,
		})
	}
	p.views.Store(view.Build())
	for i, name := range []zlunit.VM{"a", "b"} {
		keys, err := authority.Store(string(name))
		if err != nil {
			tb.Fatal(err)
		}
		executor := &zlexecutor.Executor{
			Self:    name,
			Timer:   &zltimer.Service{},
			Views:   p.views,
			Fetcher: fetcher,
		}
		n := &zlpeer.Node{
			Self:     name,
			Address:  "127.0.0.1:0",
			TLS:      keys.Config(zlpeer.Protocol),
			Views:    p.views,
			Executor: executor,
			HandleRequest: func(_ context.Context, _ string, body []byte) ([]byte, error) {
				return body, nil
			},
		}
		if edit != nil {
			edit(n)
		}
		if err := n.Run(); err != nil {
			tb.Fatal(err)
		}
		tb.Cleanup(func() {
			n.Close()
			executor.Wait()
		})
		p.nodes[i] = n
	}
	next := *view
	next.Rosters = map[zlunit.DataCentre]zlroster.Roster{
		"executors": {
			Members: []zlroster.Member{
				{
					VM:   "b",
					Peer: p.nodes[1].ListenAddress(),
				},
			},
		},
	}
	p.views.Store(next.Build())
	return p
}

func testBatch(query string) *zlquery.Batch {
	b := &zlquery.Batch{
		Query:      zlunit.QueryID(query),
		Request:    "request",
		Service:    "s",
		Kind:       "k",
		Text:       "seed paper",
		Idempotent: true,
		TimeLeft:   10 * time.Second,
	}
	for i := range testSubs {
		b.SubRequests = append(b.SubRequests, zlquery.SubRequest{
			ID:       zlunit.SubRequestID(i),
			Upstream: zlunit.Upstream(fmt.Sprintf("upstream-%d", i)),
			Version:  1,
		})
	}
	return b
}

// BenchmarkBatch sends batches to another daemon over loopback and waits for
// the replies, with as many batches in flight as there are processors.
func BenchmarkBatch(b *testing.B) {
	for _, size := range []int{1, 4, 16} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			p := newPair(b, instantFetcher{}, nil)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					p.exchange(b, size)
				}
			})
		})
	}
}

// exchange sends one batch and waits for its replies.
func (p *pair) exchange(tb testing.TB, size int) {
	batch := testBatch("0123456789abcdef")
	batch.SubRequests = batch.SubRequests[:size]
	var wg sync.WaitGroup
	wg.Add(size)
	p.nodes[0].Dispatch(context.Background(), "b", batch, func(r zlquery.Reply) {
		if _, ok := r.Result.(zlquery.Done); !ok {
			tb.Errorf("got result %+v, want a zlquery.Done", r.Result)
		}
		wg.Done()
	})
	wg.Wait()
}

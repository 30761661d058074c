package zlaggr_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zlroute"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlaggr"
	"zinnialock/core/request/zlcoord"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/core/version/zlroster"
	"zinnialock/core/version/zlview"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

const (
	farmShards   = 10
	farmReplicas = 3
	farmSlots    = 3
	farmService  = 10 * time.Millisecond
	// farmBears is how many queries a second the upstreams can serve.
	farmBears = farmReplicas * farmSlots * int(time.Second/farmService)
)

// farm is a Fetcher whose upstreams take a drawn time for each call.
type farm struct {
	mu     sync.Mutex
	random *rand.Rand
	counts map[zlquery.Reason]int
}

type stopper chan struct{}

// Halt implements zlaggr.Halter.
func (s stopper) Halt() {
	close(s)
}

// Fetch implements zlaggr.Fetcher.
func (f *farm) Fetch(_ context.Context, u zlcatalog.Upstream, call *zlaggr.Fetch) zlaggr.Fetched {
	notRun := func(reason zlquery.Reason) zlaggr.Fetched {
		return zlaggr.Fetched{
			Result: zlquery.NotRun{
				Reason: reason,
			},
		}
	}
	if reason := call.Permit.Start(nil); reason != zlquery.ReasonNone {
		return notRun(reason)
	}
	f.mu.Lock()
	d := time.Duration((0.5 + f.random.Float64()) * float64(farmService))
	f.mu.Unlock()
	stop := make(stopper)
	if call.HaltBy(stop) {
		select {
		case <-time.After(d):
		case <-stop:
			return zlaggr.Fetched{
				Result: zlquery.Unknown{
					Reason: zlquery.ReasonCancelled,
				},
				Process: zlunit.Process(u.Name),
			}
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
		Process: zlunit.Process(u.Name),
	}
}

func (f *farm) intN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

// Count implements the counters of all parts.
func (f *farm) Count(what string, reason zlquery.Reason) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[zlquery.Reason(what)+"."+reason]++
}

// local is a dispatcher without a network.
type local struct {
	aggregator *zlaggr.Aggregator
}

// Dispatch implements zlcoord.Dispatcher.
func (l *local) Dispatch(ctx context.Context, _ zlunit.VM, batch *zlquery.Batch, sink func(zlquery.Reply)) zlcoord.Call {
	return l.aggregator.Serve(ctx, batch, sink)
}

func farmView() *zlview.View {
	c := &zlcatalog.Catalog{
		Service: "s",
		Versions: []zlcatalog.Version{
			{
				Number: 1,
				Shards: make([][]zlunit.Upstream, farmShards),
			},
		},
	}
	for s := range farmShards {
		for r := range farmReplicas {
			name := zlunit.Upstream(fmt.Sprintf("u-%d-%d", s, r))
			c.Versions[0].Shards[s] = append(c.Versions[0].Shards[s], name)
			c.Upstreams = append(c.Upstreams, zlcatalog.Upstream{
				Name:        name,
				DataCentre:  "dc",
				Address:     "127.0.0.1:1",
				Slots:       farmSlots,
				Connections: 30,
				ColdLimit:   1,
			})
		}
	}
	v := &zlview.View{
		Home: "dc",
		Catalogs: map[zlunit.Service]*zlcatalog.Catalog{
			"s": c,
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
	return v.Build()
}

// offer sends queries at a rate for a time, after a warm-up, and returns how
// many whole answers a second came in time.
func offer(f *farm, perSecond int, seed uint64) float64 {
	f.random = rand.New(rand.NewPCG(seed, 1))
	f.counts = map[zlquery.Reason]int{}
	timer := &zltimer.Service{}
	views := &zlview.Holder{}
	views.Store(farmView())
	views.Confirm(time.Now())
	a := &zlaggr.Aggregator{
		Self:    "vm",
		Timer:   timer,
		Views:   views,
		Fetcher: f,
		Counter: f,
	}
	c := &zlcoord.Coordinator{
		Self:  "vm",
		Timer: timer,
		Views: views,
		Router: &zlroute.Router{
			Random: f.intN,
		},
		Dispatcher: &local{
			aggregator: a,
		},
		Counter: f,
	}
	const (
		warmUp  = 1500 * time.Millisecond
		measure = time.Second
		allowed = 300 * time.Millisecond
	)
	start := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	useful := 0
	arrivals := rand.New(rand.NewPCG(seed, 3))
	for i := 0; time.Since(start) < warmUp+measure; i++ {
		rate := float64(perSecond)
		if time.Since(start) < warmUp/2 {
			rate = min(rate, float64(farmBears)/4)
		}
		time.Sleep(time.Duration(arrivals.ExpFloat64() / rate * float64(time.Second)))
		counted := time.Since(start) > warmUp
		wg.Go(func() {
			answer := c.Answer(context.Background(), &zlquery.Request{
				ID:            zlunit.RequestID(fmt.Sprint(i)),
				Service:       "s",
				Kind:          "k",
				Idempotent:    true,
				LeastCoverage: 1,
				Deadline:      time.Now().Add(allowed),
			})
			if answer.Complete && counted {
				mu.Lock()
				useful++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	a.Wait()
	return float64(useful) / measure.Seconds()
}

// TestTwiceTheLoadKeepsNineTenthsOfThePeak runs under virtual time.
func TestTwiceTheLoadKeepsNineTenthsOfThePeak(t *testing.T) {
	peak, twice := 0.0, 0.0
	for _, percent := range []int{80, 100, 200} {
		synctest.Test(t, func(t *testing.T) {
			f := &farm{}
			useful := offer(f, farmBears*percent/100, 1)
			t.Logf("offered %d%%: %.0f useful answers/s of %d", percent, useful, farmBears)
			if testing.Verbose() {
				t.Log(f.counts)
			}
			if offered := float64(farmBears * percent / 100); percent < 100 && useful < 0.9*offered {
				t.Errorf("offered %.0f/s, useful %.0f/s: work is refused that could be borne", offered, useful)
			}
			peak = max(peak, useful)
			if percent == 200 {
				twice = useful
			}
		})
	}
	if twice < 0.9*peak {
		t.Fatalf("at twice the load %.0f useful answers/s, want nine tenths of the peak %.0f", twice, peak)
	}
}

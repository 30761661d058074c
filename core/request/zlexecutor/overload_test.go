package zlexecutor_test

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
	"zinnialock/core/request/zlcoordinator"
	"zinnialock/core/request/zlexecutor"
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
	testShards      = 10
	testReplicas    = 3
	testSlots       = 3
	testServiceTime = 10 * time.Millisecond
	// testCapacity is how many queries a second the upstreams can serve.
	testCapacity = testReplicas * testSlots * int(time.Second/testServiceTime)
)

// fakeUpstreams is a Fetcher whose calls take a random time.
type fakeUpstreams struct {
	mu     sync.Mutex
	random *rand.Rand
	counts map[zlquery.Reason]int
}

// stopSignal is a Stopper whose channel is closed by Stop.
type stopSignal chan struct{}

// Stop implements zlexecutor.Stopper.
func (s stopSignal) Stop() {
	close(s)
}

// Fetch implements zlexecutor.Fetcher.
func (f *fakeUpstreams) Fetch(_ context.Context, u zlcatalog.Upstream, call *zlexecutor.Fetch) zlexecutor.Fetched {
	notRun := func(reason zlquery.Reason) zlexecutor.Fetched {
		return zlexecutor.Fetched{
			Result: zlquery.NotRun{
				Reason: reason,
			},
		}
	}
	if reason := call.Permit.Start(nil); reason != zlquery.ReasonNone {
		return notRun(reason)
	}
	f.mu.Lock()
	d := time.Duration((0.5 + f.random.Float64()) * float64(testServiceTime))
	f.mu.Unlock()
	stop := make(stopSignal)
	if call.SetStopper(stop) {
		select {
		case <-time.After(d):
		case <-stop:
			return zlexecutor.Fetched{
				Result: zlquery.Unknown{
					Reason: zlquery.ReasonCancelled,
				},
				Process: zlunit.Process(u.Name),
			}
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
		Process: zlunit.Process(u.Name),
	}
}

func (f *fakeUpstreams) intN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

// Count implements the Counter of both packages.
func (f *fakeUpstreams) Count(name string, reason zlquery.Reason) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[zlquery.Reason(name)+"."+reason]++
}

// localDispatcher is a Dispatcher without a network.
type localDispatcher struct {
	executor *zlexecutor.Executor
}

// Dispatch implements zlcoordinator.Dispatcher.
func (l *localDispatcher) Dispatch(ctx context.Context, _ zlunit.VM, batch *zlquery.Batch, sink func(zlquery.Reply)) zlcoordinator.Call {
	return l.executor.Serve(ctx, batch, sink)
}

// testView has one service with testShards shards of testReplicas replicas
// each, all held by one VM.
func testView() *zlview.View {
	c := &zlcatalog.Catalog{
		Service: "s",
		Versions: []zlcatalog.Version{
			{
				Number: 1,
				Shards: make([][]zlunit.Upstream, testShards),
			},
		},
	}
	for s := range testShards {
		for r := range testReplicas {
			name := zlunit.Upstream(fmt.Sprintf("u-%d-%d", s, r))
			c.Versions[0].Shards[s] = append(c.Versions[0].Shards[s], name)
			c.Upstreams = append(c.Upstreams, zlcatalog.Upstream{
				Name:        name,
				DataCentre:  "dc",
				Address:     "127.0.0.1:1",
				Slots:       testSlots,
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

// offerLoad sends queries at a rate, and returns how many complete answers a
// second arrive by their deadline after the warm-up.
func offerLoad(f *fakeUpstreams, perSecond int, seed uint64) float64 {
	f.random = rand.New(rand.NewPCG(seed, 1))
	f.counts = map[zlquery.Reason]int{}
	timer := &zltimer.Service{}
	views := &zlview.CurrentView{}
	views.Store(testView())
	views.Confirm(time.Now())
	e := &zlexecutor.Executor{
		Self:    "vm",
		Timer:   timer,
		Views:   views,
		Fetcher: f,
		Counter: f,
	}
	c := &zlcoordinator.Coordinator{
		Self:  "vm",
		Timer: timer,
		Views: views,
		Router: &zlroute.Router{
			Random: f.intN,
		},
		Dispatcher: &localDispatcher{
			executor: e,
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
	complete := 0
	arrivals := rand.New(rand.NewPCG(seed, 3))
	for i := 0; time.Since(start) < warmUp+measure; i++ {
		rate := float64(perSecond)
		if time.Since(start) < warmUp/2 {
			rate = min(rate, float64(testCapacity)/4)
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
				complete++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	e.Wait()
	return float64(complete) / measure.Seconds()
}

// TestDoubleLoadKeepsNinetyPercentOfPeakThroughput guards against congestion
// collapse, in which upstreams under overload spend their time on queries that
// miss their deadlines. It runs in virtual time.
func TestDoubleLoadKeepsNinetyPercentOfPeakThroughput(t *testing.T) {
	peak, atDouble := 0.0, 0.0
	for _, percent := range []int{80, 100, 200} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeUpstreams{}
			completeRate := offerLoad(f, testCapacity*percent/100, 1)
			t.Logf("offered %d%% of capacity: %.0f complete answers/s, capacity %d/s", percent, completeRate, testCapacity)
			if testing.Verbose() {
				t.Log(f.counts)
			}
			if offered := float64(testCapacity * percent / 100); percent < 100 && completeRate < 0.9*offered {
				t.Errorf("got %.0f complete answers/s, want at least 90%% of the offered %.0f/s", completeRate, offered)
			}
			peak = max(peak, completeRate)
			if percent == 200 {
				atDouble = completeRate
			}
		})
	}
	if atDouble < 0.9*peak {
		t.Fatalf("got %.0f complete answers/s at double load, want at least 90%% of the peak %.0f/s", atDouble, peak)
	}
}

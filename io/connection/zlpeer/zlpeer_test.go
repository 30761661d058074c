package zlpeer_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlexecutor"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/io/connection/zlpeer"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	if flag.Lookup("test.bench").Value.String() != "" {
		os.Exit(m.Run())
	}
	goleak.VerifyTestMain(m)
}

// blockingFetcher is a Fetcher that runs until it is stopped.
type blockingFetcher struct {
	started chan struct{}
}

type stopper chan struct{}

// Stop implements zlexecutor.Stopper.
func (s stopper) Stop() {
	close(s)
}

// Fetch implements zlexecutor.Fetcher.
func (f *blockingFetcher) Fetch(_ context.Context, _ zlcatalog.Upstream, call *zlexecutor.Fetch) zlexecutor.Fetched {
	_ = call.Permit.Start(nil)
	f.started <- struct{}{}
	stop := make(stopper)
	if call.SetStopper(stop) {
		<-stop
	}
	return zlexecutor.Fetched{
		Result: zlquery.Unknown{
			Reason: zlquery.ReasonCancelled,
		},
	}
}

// counter counts dropped messages by reason.
type counter struct {
	mu     sync.Mutex
	counts map[zlquery.Reason]int
}

// Count implements zlpeer.Counter.
func (c *counter) Count(_ string, reason zlquery.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[zlquery.Reason]int{}
	}
	c.counts[reason]++
}

func (c *counter) get(reason zlquery.Reason) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[reason]
}

// collect returns a sink and the channel, with room for n replies, that it fills.
func collect(n int) (chan zlquery.Reply, func(zlquery.Reply)) {
	replies := make(chan zlquery.Reply, n)
	return replies, func(r zlquery.Reply) {
		replies <- r
	}
}

func TestBatchIsAnsweredOnceForEachSub(t *testing.T) {
	p := newPair(t, instantFetcher{}, nil)
	for i := range 50 {
		replies, sink := collect(2 * testSubs)
		query := fmt.Sprint("query-", i)
		p.nodes[0].Dispatch(context.Background(), "b", testBatch(query), sink)
		seen := map[zlunit.SubRequestID]bool{}
		for range testSubs {
			r := <-replies
			done, ok := r.Result.(zlquery.Done)
			if !ok || seen[r.Sub] || r.Query != zlunit.QueryID(query) || done.Part.Upstream != zlunit.Upstream(fmt.Sprintf("upstream-%d", r.Sub)) {
				t.Fatalf("got reply %+v, want one zlquery.Done of the query for each sub-request", r)
			}
			seen[r.Sub] = true
		}
	}
}

func TestCancelReachesTheOtherDaemon(t *testing.T) {
	f := &blockingFetcher{
		started: make(chan struct{}, testSubs),
	}
	p := newPair(t, f, nil)
	replies, sink := collect(testSubs)
	call := p.nodes[0].Dispatch(context.Background(), "b", testBatch("q"), sink)
	for range testSubs {
		<-f.started
	}
	for i := range testSubs {
		call.Cancel(zlunit.SubRequestID(i))
	}
	for range testSubs {
		r := <-replies
		if r.Result != zlquery.Result(zlquery.Unknown{
			Reason: zlquery.ReasonCancelled,
		}) {
			t.Fatalf("got reply %+v, want unknown with reason cancelled", r)
		}
	}
}

// A batch with slow upstreams has no traffic but keep-alives. Without them its
// connection would end after idleTimeout, and the replies would be lost.
func TestIdleBatchKeepsItsConnection(t *testing.T) {
	f := &blockingFetcher{
		started: make(chan struct{}, testSubs),
	}
	p := newPair(t, f, nil)
	replies, sink := collect(testSubs)
	call := p.nodes[0].Dispatch(context.Background(), "b", testBatch("q"), sink)
	for range testSubs {
		<-f.started
	}
	time.Sleep(7 * time.Second)
	for i := range testSubs {
		call.Cancel(zlunit.SubRequestID(i))
	}
	for range testSubs {
		if r := <-replies; r.Result != zlquery.Result(zlquery.Unknown{
			Reason: zlquery.ReasonCancelled,
		}) {
			t.Fatalf("got reply %+v, want unknown with reason cancelled", r)
		}
	}
}

// The caller may retry what was not run, so a lost daemon may answer with that only
// for a batch that was never sent.
func TestLostDaemonIsUnknownOnceSentAndNotRunBefore(t *testing.T) {
	f := &blockingFetcher{
		started: make(chan struct{}, testSubs),
	}
	p := newPair(t, f, nil)
	replies, sink := collect(testSubs)
	p.nodes[0].Dispatch(context.Background(), "b", testBatch("q"), sink)
	for range testSubs {
		<-f.started
	}
	p.nodes[1].Close()
	for range testSubs {
		if r := <-replies; r.Result != zlquery.Result(zlquery.Unknown{
			Reason: zlquery.ReasonPeerLost,
		}) {
			t.Fatalf("after the send: got reply %+v, want unknown with peerLost", r)
		}
	}
	p.nodes[0].Dispatch(context.Background(), "nobody", testBatch("q"), sink)
	for range testSubs {
		if r := <-replies; r.Result != zlquery.Result(zlquery.NotRun{
			Reason: zlquery.ReasonPeerLost,
		}) {
			t.Fatalf("before the send: got reply %+v, want not run with peerLost", r)
		}
	}
}

func TestBatchOutOfBoundsIsDroppedAndCounted(t *testing.T) {
	c := &counter{}
	p := newPair(t, instantFetcher{}, func(n *zlpeer.Node) {
		n.Counter = c
	})
	edits := map[string]func(*zlquery.Batch){
		"text": func(b *zlquery.Batch) {
			b.Text = strings.Repeat("x", 64<<10+1)
		},
		"query": func(b *zlquery.Batch) {
			b.Query = zlunit.QueryID(strings.Repeat("x", 257))
		},
		"twice": func(b *zlquery.Batch) {
			b.SubRequests[1].ID = b.SubRequests[0].ID
		},
		"left": func(b *zlquery.Batch) {
			b.TimeLeft = 2 * time.Hour
		},
		"priority": func(b *zlquery.Batch) {
			b.Priority = 10
		},
		"subs": func(b *zlquery.Batch) {
			for i := len(b.SubRequests); i <= 4096; i++ {
				b.SubRequests = append(b.SubRequests, zlquery.SubRequest{
					ID:       zlunit.SubRequestID(i),
					Upstream: "u",
				})
			}
		},
		"frame": func(b *zlquery.Batch) {
			b.Text = strings.Repeat("x", 1<<20)
		},
	}
	dropped := 0
	for name, edit := range edits {
		convey.Convey("Out of bounds: "+name, t, func() {
			b := testBatch("q")
			edit(b)
			replies, sink := collect(len(b.SubRequests))
			p.nodes[0].Dispatch(context.Background(), "b", b, sink)
			r := <-replies
			convey.So(r.Result, convey.ShouldHaveSameTypeAs, zlquery.Unknown{})
			dropped++
			convey.So(c.get(zlquery.ReasonBadRequest), convey.ShouldEqual, dropped)
		})
	}
}

func TestAsk(t *testing.T) {
	convey.Convey("A small request gets its response, with bodies of up to 512 KiB", t, func() {
		p := newPair(t, instantFetcher{}, nil)
		for _, size := range []int{0, 1, 1 << 19} {
			body := make([]byte, size)
			got, err := p.nodes[0].Request(context.Background(), p.nodes[1].ListenAddress(), "topic", body)
			convey.So(err, convey.ShouldBeNil)
			convey.So(len(got), convey.ShouldEqual, size)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		_, err := p.nodes[0].Request(ctx, "127.0.0.1:1", "topic", nil)
		convey.So(err, convey.ShouldHaveSameTypeAs, &zlpeer.Error{})
	})
}

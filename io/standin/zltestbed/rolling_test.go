package zltestbed

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/io/process/zldaemon"
	"zinnialock/io/process/zlload"
	"zinnialock/io/request/zlfront"
	"zinnialock/io/standin/zlfakeupstream"

	"github.com/phuslu/log"
	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
)

// callerBalancer picks daemons for callers in turn, from a list that lags behind
// the real one as that of an external load balancer does.
type callerBalancer struct {
	mu      sync.Mutex
	targets []string
	next    int
}

func (b *callerBalancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	return b.targets[b.next%len(b.targets)]
}

func (b *callerBalancer) set(targets []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.targets = targets
}

// outcomeCounts counts queries by outcome.
type outcomeCounts struct {
	answered atomic.Int64
	cut      atomic.Int64
	mu       sync.Mutex
	refused  map[zlquery.Reason]int
	// cutErrors holds the error of each cut query and the time since its daemon
	// was picked.
	cutErrors []string
}

// sendQuery sends a query to the next daemon and counts its outcome.
func (c *outcomeCounts) sendQuery(b *callerBalancer, service zlunit.Service) {
	picked := time.Now()
	a, err := zlload.Post(context.Background(), http.DefaultClient, b.pick(), &zlfront.Request{
		Service:    service,
		Kind:       "lookup",
		Text:       "mark",
		DeadlineMs: 5000,
	})
	switch {
	case err != nil:
		c.cut.Add(1)
		c.mu.Lock()
		c.cutErrors = append(c.cutErrors, fmt.Sprintf("after %v: %v", time.Since(picked), err))
		c.mu.Unlock()
	case a.Refusal != nil:
		c.mu.Lock()
		c.refused[a.Refusal.Reason]++
		c.mu.Unlock()
	default:
		c.answered.Add(1)
	}
}

func rollingPlan() Plan {
	return Plan{
		Deployment:  "guild",
		DataCentres: []zlunit.DataCentre{"nashua", "lowell", "worcester"},
		Daemons:     2,
		Services: []ServicePlan{
			shardedService("finder", 4, 3, 30),
			unshardedService("rolls", 3, 6, 100),
		},
	}
}

// replaceDaemons replaces every daemon, one after another, and returns what failed.
// The balancer drops a daemon from its list half of the grace period after the stop
// began.
func replaceDaemons(testbed *Testbed, b *callerBalancer) []error {
	var errs []error
	n := len(testbed.daemons)
	for i := range n {
		targets := testbed.Targets()
		stopped := make(chan error, 1)
		go func() {
			stopped <- testbed.Stop(i)
		}()
		time.Sleep(500 * time.Millisecond)
		b.set(append(targets[i+1:n:n], targets[n:]...))
		if err := <-stopped; err != nil {
			errs = append(errs, err)
		}
		if err := testbed.RunDaemon(testbed.Plan.DataCentres[i/testbed.Plan.Daemons], i%testbed.Plan.Daemons); err != nil {
			return append(errs, err)
		}
		if err := testbed.waitDaemon(len(testbed.daemons)-1, n); err != nil {
			return append(errs, err)
		}
		b.set(testbed.Targets()[i+1:])
	}
	return errs
}

// waitDaemon waits until daemon i is ready and knows n daemons.
func (t *Testbed) waitDaemon(i, n int) error {
	deadline := time.Now().Add(2 * readyTimeout)
	for time.Now().Before(deadline) {
		if t.daemons[i].Ready(n) {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("daemon %d is not ready: %+v", i, t.daemons[i].(*inProcessDaemon).daemon.Status())
}

// TestRollingReplacementCutsNothing guards against planned stops that cut or refuse
// queries: callers keep picking a daemon for half of its grace period, and queries
// are still running when it leaves. It also checks that the daemons that take over
// respect the cold and connection limits of the upstreams.
func TestRollingReplacementCutsNothing(t *testing.T) {
	defer goleak.VerifyNone(t)
	defer http.DefaultClient.CloseIdleConnections()
	convey.Convey("Replacing all six daemons under load cuts and refuses no query", t, func() {
		testbed := &Testbed{
			Plan: rollingPlan(),
			Seed: 1,
			Log: &log.Logger{
				Level: log.ErrorLevel,
				Writer: &log.IOWriter{
					Writer: os.Stderr,
				},
			},
		}
		convey.So(testbed.Run(context.Background()), convey.ShouldBeNil)
		defer testbed.Close()
		b := &callerBalancer{
			targets: testbed.Targets(),
		}
		count := &outcomeCounts{
			refused: map[zlquery.Reason]int{},
		}
		done := make(chan struct{})
		var callers sync.WaitGroup
		for i := range 4 {
			callers.Go(func() {
				service := []zlunit.Service{"finder", "rolls"}[i%2]
				for {
					select {
					case <-done:
						return
					case <-time.After(20 * time.Millisecond):
						count.sendQuery(b, service)
					}
				}
			})
		}
		errs := replaceDaemons(testbed, b)
		close(done)
		callers.Wait()
		t.Logf("answered %d, cut %d %v, refused %v", count.answered.Load(), count.cut.Load(), count.cutErrors, count.refused)
		convey.So(errs, convey.ShouldBeEmpty)
		convey.So(count.cut.Load(), convey.ShouldEqual, 0)
		convey.So(count.refused, convey.ShouldBeEmpty)
		for _, u := range testbed.Upstreams {
			c := u.Counts()
			convey.So(c.ColdPeak, convey.ShouldBeLessThanOrEqualTo, int(c.ColdLimit))
			convey.So(c.RefusedConns, convey.ShouldEqual, 0)
		}
	})
}

// newSingleDaemonTestbed starts one daemon with one upstream.
func newSingleDaemonTestbed() *Testbed {
	testbed := &Testbed{
		Plan: Plan{
			Deployment:  "guild",
			DataCentres: []zlunit.DataCentre{"nashua"},
			Daemons:     1,
			Services:    []ServicePlan{unshardedService("rolls", 1, 6, 100)},
		},
		Seed: 1,
		Log: &log.Logger{
			Level: log.PanicLevel,
		},
	}
	convey.So(testbed.Run(context.Background()), convey.ShouldBeNil)
	return testbed
}

// TestLeavingDaemonTellsCallersToClose guards against callers that keep a connection
// to a daemon that stops: a later query on it could be cut.
func TestLeavingDaemonTellsCallersToClose(t *testing.T) {
	defer goleak.VerifyNone(t)
	defer http.DefaultClient.CloseIdleConnections()
	convey.Convey("From the start of the grace period, replies tell callers to close their connections", t, func() {
		testbed := newSingleDaemonTestbed()
		defer testbed.Close()
		query := func() (status int, closes bool) {
			body := strings.NewReader(`{"service":"rolls","kind":"lookup","text":"mark","deadlineMs":5000}`)
			resp, err := http.Post("http://"+testbed.Targets()[0]+zlfront.Path, "application/json", body)
			convey.So(err, convey.ShouldBeNil)
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			return resp.StatusCode, resp.Close
		}
		status, closes := query()
		convey.So(status, convey.ShouldEqual, http.StatusOK)
		convey.So(closes, convey.ShouldBeFalse)
		d := testbed.daemons[0].(*inProcessDaemon).daemon
		d.Config.StopGrace = 3 * time.Second
		stopped := make(chan error, 1)
		go func() {
			stopped <- testbed.Stop(0)
		}()
		for ready := true; ready; ready, _ = d.Ready() {
			time.Sleep(time.Millisecond)
		}
		status, closes = query()
		convey.So(status, convey.ShouldEqual, http.StatusOK)
		convey.So(closes, convey.ShouldBeTrue)
		convey.So(<-stopped, convey.ShouldBeNil)
	})
}

// TestStopLimitSaysWhatItCut checks that a stop ends at its limit although a query
// still runs, and that the error counts that query.
func TestStopLimitSaysWhatItCut(t *testing.T) {
	defer goleak.VerifyNone(t)
	defer http.DefaultClient.CloseIdleConnections()
	convey.Convey("A query that outlasts the stop limit is cut and counted", t, func() {
		testbed := newSingleDaemonTestbed()
		defer testbed.Close()
		for _, u := range testbed.Upstreams {
			u.Update(func(settings *zlfakeupstream.Settings) {
				settings.ServiceMs = 60_000
			})
		}
		d := testbed.daemons[0].(*inProcessDaemon).daemon
		d.Config.StopGrace = 0
		d.Config.StopLimit = 200 * time.Millisecond
		queryEnded := make(chan struct{})
		go func() {
			defer close(queryEnded)
			_, _ = zlload.Post(context.Background(), http.DefaultClient, testbed.Targets()[0], &zlfront.Request{
				Service:    "rolls",
				Kind:       "lookup",
				DeadlineMs: 60_000,
			})
		}()
		for d.InFlight() == 0 {
			time.Sleep(time.Millisecond)
		}
		err := testbed.Stop(0)
		var fault *zldaemon.Error
		convey.So(errors.As(err, &fault), convey.ShouldBeTrue)
		convey.So(fault.Kind, convey.ShouldEqual, zldaemon.KindQueriesCut)
		convey.So(err.Error(), convey.ShouldContainSubstring, "1 queries cut")
		<-queryEnded
	})
}

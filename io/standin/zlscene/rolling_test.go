package zlscene

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

// balancer hands out the targets of a list that lags.
type balancer struct {
	mu      sync.Mutex
	targets []string
	next    int
}

func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	return b.targets[b.next%len(b.targets)]
}

func (b *balancer) set(targets []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.targets = targets
}

// tally counts how queries ended.
type tally struct {
	answered atomic.Int64
	cut      atomic.Int64
	mu       sync.Mutex
	refused  map[zlquery.Reason]int
	// errs tells how each cut query ended, and how long after its daemon was
	// picked.
	errs []string
}

func (c *tally) ask(b *balancer, service zlunit.Service) {
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
		c.errs = append(c.errs, fmt.Sprintf("after %v: %v", time.Since(picked), err))
		c.mu.Unlock()
	case a.Refusal != nil:
		c.mu.Lock()
		c.refused[a.Refusal.Reason]++
		c.mu.Unlock()
	default:
		c.answered.Add(1)
	}
}

func rollingPlan() UserPlan {
	return UserPlan{
		Deployment:  "guild",
		DataCentres: []zlunit.DataCentre{"nashua", "lowell", "worcester"},
		Daemons:     2,
		Services: []ServicePlan{
			sharded("finder", 4, 3, 30),
			whole("rolls", 3, 6, 100),
		},
	}
}

// roll replaces every daemon, one after another; the balancer's list lags by
// half of the grace.
func roll(s *Scene, b *balancer) []error {
	var faults []error
	n := len(s.entries)
	for i := range n {
		targets := s.Targets()
		stopped := make(chan error, 1)
		go func() {
			stopped <- s.Stop(i)
		}()
		time.Sleep(500 * time.Millisecond)
		b.set(append(targets[i+1:n:n], targets[n:]...))
		if err := <-stopped; err != nil {
			faults = append(faults, err)
		}
		if err := s.RunDaemon(s.Plan.DataCentres[i/s.Plan.Daemons], i%s.Plan.Daemons); err != nil {
			return append(faults, err)
		}
		if err := s.waitEntry(len(s.entries)-1, n); err != nil {
			return append(faults, err)
		}
		b.set(s.Targets()[i+1:])
	}
	return faults
}

func (s *Scene) waitEntry(i, n int) error {
	deadline := time.Now().Add(2 * readyWait)
	for time.Now().Before(deadline) {
		if s.entries[i].Ready(n) {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("entry %d is not ready: %+v", i, s.entries[i].(*daemonEntry).daemon.Status())
}

func TestRollingReplacementCutsNothing(t *testing.T) {
	defer goleak.VerifyNone(t)
	defer http.DefaultClient.CloseIdleConnections()
	convey.Convey("Replacing all six daemons under load cuts and refuses nothing", t, func() {
		s := &Scene{
			Plan: rollingPlan(),
			Seed: 1,
			Log: &log.Logger{
				Level: log.ErrorLevel,
				Writer: &log.IOWriter{
					Writer: os.Stderr,
				},
			},
		}
		convey.So(s.Run(context.Background()), convey.ShouldBeNil)
		defer s.Close()
		b := &balancer{
			targets: s.Targets(),
		}
		count := &tally{
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
						count.ask(b, service)
					}
				}
			})
		}
		faults := roll(s, b)
		close(done)
		callers.Wait()
		t.Logf("answered %d, cut %d %v, refused %v", count.answered.Load(), count.cut.Load(), count.errs, count.refused)
		convey.So(faults, convey.ShouldBeEmpty)
		convey.So(count.cut.Load(), convey.ShouldEqual, 0)
		convey.So(count.refused, convey.ShouldBeEmpty)
		for _, u := range s.Upstreams {
			c := u.Counts()
			convey.So(c.ColdPeak, convey.ShouldBeLessThanOrEqualTo, int(c.ColdLimit))
			convey.So(c.RefusedConns, convey.ShouldEqual, 0)
		}
	})
}

// oneDaemon runs a daemon before one upstream.
func oneDaemon() *Scene {
	s := &Scene{
		Plan: UserPlan{
			Deployment:  "guild",
			DataCentres: []zlunit.DataCentre{"nashua"},
			Daemons:     1,
			Services:    []ServicePlan{whole("rolls", 1, 6, 100)},
		},
		Seed: 1,
		Log: &log.Logger{
			Level: log.PanicLevel,
		},
	}
	convey.So(s.Run(context.Background()), convey.ShouldBeNil)
	return s
}

// A connection that is used while its daemon leaves is not kept.
func TestLeavingDaemonTellsCallersToClose(t *testing.T) {
	defer goleak.VerifyNone(t)
	defer http.DefaultClient.CloseIdleConnections()
	convey.Convey("Callers are told to end their connections from the start of the grace on", t, func() {
		s := oneDaemon()
		defer s.Close()
		ask := func() (status int, ends bool) {
			body := strings.NewReader(`{"service":"rolls","kind":"lookup","text":"mark","deadlineMs":5000}`)
			resp, err := http.Post("http://"+s.Targets()[0]+zlfront.Path, "application/json", body)
			convey.So(err, convey.ShouldBeNil)
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			return resp.StatusCode, resp.Close
		}
		status, ends := ask()
		convey.So(status, convey.ShouldEqual, http.StatusOK)
		convey.So(ends, convey.ShouldBeFalse)
		d := s.entries[0].(*daemonEntry).daemon
		d.Config.StopGrace = 3 * time.Second
		stopped := make(chan error, 1)
		go func() {
			stopped <- s.Stop(0)
		}()
		for ready := true; ready; ready, _ = d.Ready() {
			time.Sleep(time.Millisecond)
		}
		status, ends = ask()
		convey.So(status, convey.ShouldEqual, http.StatusOK)
		convey.So(ends, convey.ShouldBeTrue)
		convey.So(<-stopped, convey.ShouldBeNil)
	})
}

func TestStopLimitSaysWhatItCut(t *testing.T) {
	defer goleak.VerifyNone(t)
	defer http.DefaultClient.CloseIdleConnections()
	convey.Convey("A query that outlasts the stop limit is cut and counted", t, func() {
		s := oneDaemon()
		defer s.Close()
		for _, u := range s.Upstreams {
			u.Update(func(x *zlfakeupstream.Settings) {
				x.ServiceMs = 60_000
			})
		}
		d := s.entries[0].(*daemonEntry).daemon
		d.Config.StopGrace = 0
		d.Config.StopLimit = 200 * time.Millisecond
		asked := make(chan struct{})
		go func() {
			defer close(asked)
			_, _ = zlload.Post(context.Background(), http.DefaultClient, s.Targets()[0], &zlfront.Request{
				Service:    "rolls",
				Kind:       "lookup",
				DeadlineMs: 60_000,
			})
		}()
		for d.InFlight() == 0 {
			time.Sleep(time.Millisecond)
		}
		err := s.Stop(0)
		var fault *zldaemon.Error
		convey.So(errors.As(err, &fault), convey.ShouldBeTrue)
		convey.So(fault.Kind, convey.ShouldEqual, zldaemon.KindCut)
		convey.So(err.Error(), convey.ShouldContainSubstring, "1 queries cut")
		<-asked
	})
}

package zlfakeupstream

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/io/request/zlupstreamclient"
)

// run starts an upstream with small defaults, changed by edit unless it is nil,
// and closes it at the end of the test.
func run(t *testing.T, edit func(*Settings)) *Upstream {
	t.Helper()
	u := &Upstream{
		Address: "127.0.0.1:0",
		Seed:    1,
		Settings: Settings{
			Name:        "u",
			Service:     "s",
			Slots:       2,
			Connections: 20,
			ColdLimit:   1,
			ColdWork:    2,
			ServiceMs:   1,
			QueueLimit:  8,
			Shards: map[zlunit.IndexVersion][]zlunit.Shard{
				1: {0, 1},
			},
		},
	}
	if edit != nil {
		edit(&u.Settings)
	}
	if err := u.Run(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(u.Close)
	return u
}

// send sends a query and returns the status and the reason of a refusal; status 0
// means that the connection broke.
func send(ctx context.Context, u *Upstream, q zlupstreamclient.Query) (int, zlquery.Reason) {
	if q.DeadlineMs == 0 {
		q.DeadlineMs = 60_000
	}
	if q.Version == 0 {
		q.Version = 1
	}
	body, _ := json.Marshal(q)
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.Address+zlupstreamclient.Path, bytes.NewReader(body))
	req.GetBody = nil
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, zlquery.ReasonConnectionReset
	}
	defer func() {
		_ = resp.Body.Close()
	}()
	var r zlupstreamclient.Refusal
	_ = json.NewDecoder(resp.Body).Decode(&r)
	return resp.StatusCode, r.Reason
}

// control calls a control endpoint and decodes its reply unless into is nil.
func control(t *testing.T, u *Upstream, method, path, body string, into any) {
	t.Helper()
	req, _ := http.NewRequestWithContext(context.Background(), method, "http://"+u.Address+path, bytes.NewBufferString(body))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		_ = resp.Body.Close()
	}()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("%s %s: got status %s, want 200", method, path, resp.Status)
	}
	if into != nil {
		if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
			t.Fatal(err)
		}
	}
}

// waitForInFlight waits until n requests run or wait for a slot.
func waitForInFlight(u *Upstream, n int) {
	for {
		u.mu.Lock()
		now := u.current.inFlight
		u.mu.Unlock()
		if now == n {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// running returns the number of slots in use.
func (u *Upstream) running() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.current.running
}

func TestCountsDuringColdStart(t *testing.T) {
	convey.Convey("Given a cold upstream whose queries run until they are cancelled", t, func() {
		u := run(t, func(s *Settings) {
			s.ServiceMs = 1e6
		})
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		for i := range 3 {
			wg.Go(func() {
				send(ctx, u, zlupstreamclient.Query{
					Shard: zlunit.Shard(i % 2),
				})
			})
		}
		waitForInFlight(u, 3)
		convey.So(u.Counts().ColdPeak, convey.ShouldEqual, 3)

		convey.Convey("a restart ends the running requests and starts with none in flight", func() {
			u.GoCold(true)
			wg.Wait()
			waitForInFlight(u, 0)
			convey.So(u.Counts().Restarts, convey.ShouldEqual, 1)
			convey.So(u.Counts().Done, convey.ShouldEqual, 0)
			u.Update(func(s *Settings) {
				s.ServiceMs = 1
			})
			status, _ := send(context.Background(), u, zlupstreamclient.Query{})
			convey.So(status, convey.ShouldEqual, http.StatusOK)
			convey.So(u.Counts().Versions[1], convey.ShouldEqual, 1)
		})
		convey.Convey("cancelled requests end and are counted", func() {
			cancel()
			wg.Wait()
			waitForInFlight(u, 0)
			// The third request may get the slot of a cancelled one before it is
			// cancelled itself.
			convey.So(u.Counts().Cancelled, convey.ShouldBeBetweenOrEqual, 2, 3)
		})
		cancel()
		wg.Wait()
	})
}

func TestCountsOfRunsAndLeaving(t *testing.T) {
	convey.Convey("Given an upstream", t, func() {
		u := run(t, nil)
		for _, id := range []zlunit.RequestID{"once", "twice", "twice"} {
			send(context.Background(), u, zlupstreamclient.Query{
				RequestID: id,
				Shard:     1,
			})
		}
		convey.Convey("runs are reported by request id", func() {
			var runs Runs
			control(t, u, http.MethodGet, "/control/runs?request=twice", "", &runs)
			convey.So(runs.Shards, convey.ShouldResemble, map[zlunit.Shard]int{
				1: 2,
			})
			convey.So(u.Counts().RepeatedRuns, convey.ShouldResemble, []zlunit.RequestID{"twice"})
		})
		convey.Convey("requests after Leave are refused and counted", func() {
			control(t, u, http.MethodPost, "/control/leave", "", nil)
			_, reason := send(context.Background(), u, zlupstreamclient.Query{})
			convey.So(reason, convey.ShouldEqual, zlquery.ReasonDraining)
			convey.So(u.Counts().AfterLeaving, convey.ShouldEqual, 1)
		})
		convey.Convey("it can lose a shard and be repartitioned", func() {
			control(t, u, http.MethodPost, "/control/lose?version=1&shard=0", "", nil)
			_, reason := send(context.Background(), u, zlupstreamclient.Query{})
			convey.So(reason, convey.ShouldEqual, zlquery.ReasonShardGone)
			control(t, u, http.MethodPost, "/control/repartition?version=2&shards=0,5&drop=true", "", nil)
			_, reason = send(context.Background(), u, zlupstreamclient.Query{})
			convey.So(reason, convey.ShouldEqual, zlquery.ReasonVersionGone)
			status, _ := send(context.Background(), u, zlupstreamclient.Query{
				Version: 2,
				Shard:   5,
			})
			convey.So(status, convey.ShouldEqual, http.StatusOK)
			convey.So(u.Counts().Versions[2], convey.ShouldEqual, 1)
		})
	})
}

func TestLoadEndpointReportsLaggingOrSetLoad(t *testing.T) {
	convey.Convey("Given a busy upstream", t, func() {
		u := run(t, func(s *Settings) {
			s.ServiceMs = 1e6
		})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		load := func(settings string) float64 {
			control(t, u, http.MethodPut, "/control/settings", settings, nil)
			var l Load
			control(t, u, http.MethodGet, "/load", "", &l)
			return l.Load
		}
		convey.So(load(`{"loadLagMs": 3600000}`), convey.ShouldEqual, 0)
		go send(ctx, u, zlupstreamclient.Query{})
		for u.running() == 0 {
			time.Sleep(time.Millisecond)
		}
		convey.Convey("the load endpoint reports the load of LoadLagMs ago, or ReportedLoad", func() {
			convey.So(load(`{"loadLagMs": 3600000}`), convey.ShouldEqual, 0)
			convey.So(load(`{"loadLagMs": 0}`), convey.ShouldEqual, 0.5)
			convey.So(load(`{"reportedLoad": 0.25}`), convey.ShouldEqual, 0.25)
		})
	})
}

func TestConnectionsOverLimitAreRefusedAndCounted(t *testing.T) {
	convey.Convey("Given a limit of one connection that is in use", t, func() {
		u := run(t, func(s *Settings) {
			s.Connections = 1
			s.ServiceMs = 1e6
		})
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() {
			send(ctx, u, zlupstreamclient.Query{})
		})
		waitForInFlight(u, 1)
		status, _ := send(context.Background(), u, zlupstreamclient.Query{})
		convey.So(fmt.Sprint(status), convey.ShouldEqual, "0")
		convey.So(u.Counts().PeakConnections, convey.ShouldEqual, 1)
		convey.So(u.Counts().RefusedConns, convey.ShouldBeGreaterThan, 0)
		cancel()
		wg.Wait()
	})
}

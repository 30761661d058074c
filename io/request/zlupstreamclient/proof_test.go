package zlupstreamclient_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlexecutor"
	"zinnialock/core/request/zlquery"
	"zinnialock/io/standin/zlfakeupstream"
)

// rawServer is a TCP server that reads and counts HTTP requests. It calls answer
// with the number of the request and its connection after each whole request.
type rawServer struct {
	listener net.Listener
	requests atomic.Int64
}

func newRawServer(t *testing.T, answer func(n int64, conn net.Conn)) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{
		listener: listener,
	}
	t.Cleanup(func() {
		_ = listener.Close()
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, answer)
		}
	}()
	return s
}

func (s *rawServer) serve(conn net.Conn, answer func(n int64, conn net.Conn)) {
	defer func() {
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		n := s.requests.Add(1)
		answer(n, conn)
	}
}

func (s *rawServer) executor(t *testing.T) *zlexecutor.Executor {
	u := &zlfakeupstream.Upstream{
		Address: s.listener.Addr().String(),
	}
	u.Settings.Slots = 2
	u.Settings.Connections = 4
	u.Settings.ColdLimit = 1
	return newExecutor(t, u)
}

func send(conn net.Conn, status int, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// TestNothingIsResent guards against a second send of a request that the upstream
// may have run, as an HTTP client that retries on a broken connection would make.
func TestNothingIsResent(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		convey.Convey(fmt.Sprintf("An upstream that closes after reading gets the request once, idempotent %v", idempotent), t, func() {
			s := newRawServer(t, func(_ int64, conn net.Conn) {
				_ = conn.Close()
			})
			result := runSubRequest(s.executor(t), idempotent, 5*time.Second, 0)
			convey.So(result, convey.ShouldResemble, zlquery.Unknown{
				Reason: zlquery.ReasonConnectionReset,
			})
			convey.So(s.requests.Load(), convey.ShouldEqual, 1)
		})
	}
}

// TestNothingIsResentOnAReusedConnection checks the same on an idle connection that
// is reused, on which HTTP clients retry most readily.
func TestNothingIsResentOnAReusedConnection(t *testing.T) {
	convey.Convey("An upstream that answers the first request and closes after reading the second gets the second once", t, func() {
		s := newRawServer(t, func(n int64, conn net.Conn) {
			if n > 1 {
				_ = conn.Close()
				return
			}
			send(conn, http.StatusServiceUnavailable, `{"reason":"shardGone","process":"p","started":false}`)
		})
		e := s.executor(t)
		convey.So(runSubRequest(e, false, 5*time.Second, 0), convey.ShouldResemble, zlquery.NotRun{
			Reason: zlquery.ReasonShardGone,
		})
		convey.So(runSubRequest(e, false, 5*time.Second, 0), convey.ShouldResemble, zlquery.Unknown{
			Reason: zlquery.ReasonConnectionReset,
		})
		convey.So(s.requests.Load(), convey.ShouldEqual, 2)
	})
}

// TestNotRunNeedsProof checks that a reply counts as not run only if the upstream
// states that the work had not started. Anything else may have run.
func TestNotRunNeedsProof(t *testing.T) {
	cases := map[string]struct {
		status int
		body   string
		want   zlquery.Result
	}{
		"refused before starting": {
			status: http.StatusServiceUnavailable,
			body:   `{"reason":"shed","started":false,"retryAfterMs":20}`,
			want: zlquery.NotRun{
				Reason:     zlquery.ReasonShed,
				RetryAfter: 20 * time.Millisecond,
			},
		},
		"refused after starting": {
			status: http.StatusServiceUnavailable,
			body:   `{"reason":"shed","started":true}`,
			want: zlquery.Unknown{
				Reason: zlquery.ReasonShed,
			},
		},
		"refused without saying whether it started": {
			status: http.StatusServiceUnavailable,
			body:   `{"reason":"shed"}`,
			want: zlquery.Unknown{
				Reason: zlquery.ReasonShed,
			},
		},
		"an error page that is not a refusal": {
			status: http.StatusBadGateway,
			body:   `oops`,
			want: zlquery.Unknown{
				Reason: zlquery.ReasonBadReply,
			},
		},
		"the answer to another query": {
			status: http.StatusOK,
			body:   `{"queryId":"other","upstream":"u","version":1,"coverage":1}`,
			want: zlquery.Unknown{
				Reason: zlquery.ReasonBadReply,
			},
		},
		"an answer that is truncated": {
			status: http.StatusOK,
			body:   `{"queryId":`,
			want: zlquery.Unknown{
				Reason: zlquery.ReasonBadReply,
			},
		},
	}
	for name, c := range cases {
		convey.Convey(name, t, func() {
			s := newRawServer(t, func(_ int64, conn net.Conn) {
				send(conn, c.status, c.body)
			})
			convey.So(runSubRequest(s.executor(t), false, 5*time.Second, 0), convey.ShouldResemble, c.want)
		})
	}
	convey.Convey("a refused connection is not run", t, func() {
		s := newRawServer(t, nil)
		_ = s.listener.Close()
		convey.So(runSubRequest(s.executor(t), false, 5*time.Second, 0), convey.ShouldHaveSameTypeAs, zlquery.NotRun{})
	})
}

// TestCancelsKeepWithinTheConnectionCap guards against more connections than the
// upstream allows. Each cancelled request closes its connection, which still counts
// at the upstream until the upstream has closed it too.
func TestCancelsKeepWithinTheConnectionCap(t *testing.T) {
	u := newUpstream(t, func(s *zlfakeupstream.Settings) {
		s.Connections = 3
		s.Slots = 3
		s.ColdLimit = 2
		s.ServiceMs = 3
	})
	e := newExecutor(t, u)
	for range 300 {
		done := make(chan struct{}, 4)
		for range cap(done) {
			go func() {
				runSubRequest(e, true, time.Second, 2*time.Millisecond)
				done <- struct{}{}
			}()
		}
		for range cap(done) {
			<-done
		}
	}
	c := u.Counts()
	if c.RefusedConns > 0 || c.PeakConnections > 3 || c.Cancelled == 0 || c.ColdPeak > 2 {
		t.Fatalf("got counts %+v, want no refused connections, at most 3 connections, some cancelled requests and at most 2 requests while cold", c)
	}
}

// BenchmarkCancelledShare counts the connections opened for each request while a
// share of the requests is cancelled.
func BenchmarkCancelledShare(b *testing.B) {
	for _, every := range []int{0, 20, 5} {
		b.Run(fmt.Sprintf("one in %d", every), func(b *testing.B) {
			benchmarkCancelled(b, every)
		})
	}
}

// benchmarkCancelled sends requests from as many goroutines as there are slots. It
// cancels the requests whose number is a multiple of every, none if every is 0.
func benchmarkCancelled(b *testing.B, every int) {
	u := &zlfakeupstream.Upstream{
		Address: "127.0.0.1:0",
		Seed:    1,
		Settings: zlfakeupstream.Settings{
			Name:        "u",
			Slots:       3,
			Connections: 30,
			ColdLimit:   1,
			ConnectMs:   6,
			ServiceMs:   2,
			QueueLimit:  64,
			Shards: map[zlunit.IndexVersion][]zlunit.Shard{
				1: {0},
			},
		},
	}
	if err := u.Run(); err != nil {
		b.Fatal(err)
	}
	defer u.Close()
	e, stop := executorOf(u)
	defer stop()
	for range 400 {
		runSubRequest(e, true, time.Second, 0)
	}
	var n atomic.Int64
	b.ResetTimer()
	finished := make(chan struct{}, 3)
	for range cap(finished) {
		go func() {
			for {
				i := n.Add(1)
				if i > int64(b.N) {
					finished <- struct{}{}
					return
				}
				after := time.Duration(0)
				if every > 0 && i%int64(every) == 0 {
					after = 500 * time.Microsecond
				}
				runSubRequest(e, true, time.Second, after)
			}
		}()
	}
	for range cap(finished) {
		<-finished
	}
	c := u.Counts()
	b.ReportMetric(float64(c.Connects)/float64(b.N), "connects/op")
}

// BenchmarkSubRequest sends requests one after the other to a warm upstream with no service
// time. The figures include the cost of the upstream, which runs in this process.
func BenchmarkSubRequest(b *testing.B) {
	u := &zlfakeupstream.Upstream{
		Address: "127.0.0.1:0",
		Settings: zlfakeupstream.Settings{
			Name:        "u",
			Slots:       3,
			Connections: 30,
			ColdLimit:   1,
			QueueLimit:  64,
			Shards: map[zlunit.IndexVersion][]zlunit.Shard{
				1: {0},
			},
		},
	}
	if err := u.Run(); err != nil {
		b.Fatal(err)
	}
	defer u.Close()
	e, stop := executorOf(u)
	defer stop()
	b.ReportAllocs()
	for b.Loop() {
		runSubRequest(e, true, time.Second, 0)
	}
}

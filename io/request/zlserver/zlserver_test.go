package zlserver

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/connection/zlreadbudget"
	"zinnialock/io/connection/zlconnlimit"
)

// pipeListener accepts in-memory connections, which work with the virtual time of
// synctest.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	select {
	case <-l.done:
	default:
		close(l.done)
	}
	return nil
}

func (*pipeListener) Addr() net.Addr {
	return &net.TCPAddr{}
}

// dial returns the caller's side of a new connection.
func (l *pipeListener) dial() net.Conn {
	callerSide, serverSide := net.Pipe()
	l.conns <- serverSide
	return callerSide
}

const (
	headLimit = 3 * time.Second
	idleLimit = 15 * time.Second
	// sweepInterval is that of zlconnlimit.
	sweepInterval = time.Second
)

func testLimits() zlconnlimit.Limits {
	return zlconnlimit.Limits{
		HeadTime: headLimit,
		IdleTime: idleLimit,
	}
}

// serve calls test with a running server, in virtual time, and stops the server
// unless test did.
func serve(t *testing.T, handler http.HandlerFunc, test func(t *testing.T, s *Server, l *pipeListener)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l := &pipeListener{
			conns: make(chan net.Conn),
			done:  make(chan struct{}),
		}
		s := &Server{
			Listener: l,
			Handler:  handler,
			Limiter: &zlconnlimit.Limiter{
				Limits: testLimits,
			},
		}
		ended := make(chan error, 1)
		go func() {
			ended <- s.Run()
		}()
		synctest.Wait()
		test(t, s, l)
		if !s.Stopping() {
			s.Stop(time.Minute)
		}
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := c.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

// timeToClose waits until the server closes the connection and returns how long that
// took.
func timeToClose(c net.Conn) time.Duration {
	began := time.Now()
	_, _ = io.Copy(io.Discard, c)
	return time.Since(began)
}

func TestSlowHeadAndIdleConnectionEnd(t *testing.T) {
	serve(t, func(http.ResponseWriter, *http.Request) {}, func(t *testing.T, _ *Server, l *pipeListener) {
		slow := l.dial()
		write(t, slow, "GET / HTTP/1.1\r\nHost: ")
		if d := timeToClose(slow); d < headLimit || d > headLimit+2*sweepInterval {
			t.Errorf("a connection with an incomplete head was closed after %v, want headLimit plus at most two sweep intervals", d)
		}
		idle := l.dial()
		write(t, idle, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		if d := timeToClose(idle); d < idleLimit || d > idleLimit+2*sweepInterval {
			t.Errorf("an idle connection was closed after %v, want idleLimit plus at most two sweep intervals", d)
		}
	})
}

// Guards against the limits for idle connections and slow heads closing a connection
// with a long request in flight.
func TestLongRequestIsNotClosed(t *testing.T) {
	serve(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(time.Minute)
		w.WriteHeader(http.StatusTeapot)
	}, func(t *testing.T, _ *Server, l *pipeListener) {
		c := l.dial()
		write(t, c, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		data, _ := io.ReadAll(c)
		if len(data) < 12 || string(data[9:12]) != "418" {
			t.Errorf("got answer %q, want status 418", data)
		}
	})
}

// Guards against a planned stop that cuts requests: a stopping server accepts requests
// until the load balancer has noticed, asks callers to close their connections, and
// waits for the requests in flight.
func TestStopWaitsForRequestsAndTellsCallers(t *testing.T) {
	serve(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(4 * time.Second)
		w.WriteHeader(http.StatusOK)
	}, func(t *testing.T, s *Server, l *pipeListener) {
		c := l.dial()
		stopped := make(chan int, 1)
		go func() {
			stopped <- s.Stop(6 * time.Second)
		}()
		time.Sleep(time.Second)
		write(t, c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		data, _ := io.ReadAll(c)
		if len(data) < 12 || string(data[9:12]) != "200" {
			t.Errorf("got answer %q, want status 200", data)
		}
		if cut := <-stopped; cut != 0 {
			t.Errorf("Stop returned %d requests still in flight, want 0", cut)
		}
	})
}

// Replays callers that send heads without end: all of them together hold no more than
// the budget, their connections are closed, and a sound caller is served.
func TestEndlessHeadsAreCutAndOthersServed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{
		Listener: l,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusNoContent)
		}),
		Limiter: &zlconnlimit.Limiter{
			Limits: testLimits,
			Heads: &zlreadbudget.Budget{
				Limit: 1 << 20,
			},
		},
	}
	ended := make(chan error, 1)
	go func() {
		ended <- s.Run()
	}()
	var group sync.WaitGroup
	for range 50 {
		group.Go(func() {
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Error(err)
				return
			}
			_, err = io.WriteString(c, "GET / HTTP/1.1\r\n")
			for err == nil {
				_, err = io.WriteString(c, strings.Repeat("X-Y: z\r\n", 100))
			}
		})
	}
	for range 20 {
		resp, err := http.Get("http://" + l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if used := s.Limiter.Heads.Used(); used > s.Limiter.Heads.Limit {
			t.Errorf("%d bytes held, limit %d", used, s.Limiter.Heads.Limit)
		}
	}
	group.Wait()
	s.stopping.Store(true)
	_ = l.Close()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// Replays callers that send a long part of a head each and then nothing: all of them
// together may not hold more than the budget, so most of the connections are closed.
func TestUnfinishedHeadsAreBoundedInSum(t *testing.T) {
	const (
		callers   = 50
		headBytes = 100 << 10
		budget    = 1 << 20
	)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{
		Listener: l,
		Handler:  http.NotFoundHandler(),
		Limiter: &zlconnlimit.Limiter{
			Limits: func() zlconnlimit.Limits {
				return zlconnlimit.Limits{
					HeadTime:  time.Minute,
					IdleTime:  time.Minute,
					HeadBytes: 2 * headBytes,
				}
			},
			Heads: &zlreadbudget.Budget{
				Limit: budget,
			},
		},
	}
	ended := make(chan error, 1)
	go func() {
		ended <- s.Run()
	}()
	closed := make(chan struct{}, callers)
	var conns []net.Conn
	for range callers {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
		go func() {
			line := "X-Y: " + strings.Repeat("z", 1000) + "\r\n"
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\n"+strings.Repeat(line, headBytes/len(line)))
			_, _ = io.Copy(io.Discard, c)
			closed <- struct{}{}
		}()
	}
	giveUp := time.After(30 * time.Second)
	for n := range callers - budget/headBytes {
		select {
		case <-closed:
		case <-giveUp:
			t.Fatalf("%d of %d connections were closed, want %d: more is held than the budget", n, callers, callers-budget/headBytes)
		}
	}
	for _, c := range conns {
		_ = c.Close()
	}
	s.stopping.Store(true)
	_ = l.Close()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

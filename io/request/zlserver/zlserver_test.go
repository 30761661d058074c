package zlserver

import (
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// pipeListener accepts connections that are made in memory, so that time is
// virtual.
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

// dial returns the caller's end of a new connection.
func (l *pipeListener) dial() net.Conn {
	ours, theirs := net.Pipe()
	l.conns <- theirs
	return ours
}

const (
	headLimit = 3 * time.Second
	idleLimit = 15 * time.Second
)

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
			Limits: func() (time.Duration, time.Duration) {
				return headLimit, idleLimit
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

// closedWithin reports after what time the server closed the connection.
func closedWithin(c net.Conn) time.Duration {
	began := time.Now()
	_, _ = io.Copy(io.Discard, c)
	return time.Since(began)
}

func TestSlowHeadAndIdleConnectionEnd(t *testing.T) {
	serve(t, func(http.ResponseWriter, *http.Request) {}, func(t *testing.T, _ *Server, l *pipeListener) {
		slow := l.dial()
		write(t, slow, "GET / HTTP/1.1\r\nHost: ")
		if d := closedWithin(slow); d < headLimit || d > headLimit+2*sweepEach {
			t.Errorf("a head that does not end is closed after %v", d)
		}
		idle := l.dial()
		write(t, idle, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		if d := closedWithin(idle); d < idleLimit || d > idleLimit+2*sweepEach {
			t.Errorf("an idle connection is closed after %v", d)
		}
	})
}

// A request that takes long is neither idle nor a slow head.
func TestLongRequestIsNotClosed(t *testing.T) {
	serve(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(time.Minute)
		w.WriteHeader(http.StatusTeapot)
	}, func(t *testing.T, _ *Server, l *pipeListener) {
		c := l.dial()
		write(t, c, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		data, _ := io.ReadAll(c)
		if len(data) < 12 || string(data[9:12]) != "418" {
			t.Errorf("answered %q", data)
		}
	})
}

// A stopping server takes requests until the balancer has noticed, tells callers
// to close, and waits for what runs.
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
			t.Errorf("answered %q", data)
		}
		if cut := <-stopped; cut != 0 {
			t.Errorf("%d requests cut", cut)
		}
	})
}

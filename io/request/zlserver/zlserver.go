// Package zlserver serves the relay's callers over HTTP/1.1 with limits on idle
// connections and slow request heads; its counterpart in zinnialock serve is
// zlfront. On a planned stop it answers the requests in flight before it closes
// their connections. It does not interpret requests.
package zlserver

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"zinnialock/core/connection/zlreadbudget"
)

const (
	// maxHeadBytes limits the size of a request head where no tighter limit is in
	// force.
	maxHeadBytes = 256 << 10
	// defaultHeadTime bounds the reading of a head if Limits returns no head time
	// limit. maxHeadTime bounds it whatever Limits returns.
	defaultHeadTime = 10 * time.Second
	maxHeadTime     = time.Minute
	// sweepInterval is how often idle connections and slow heads are closed.
	sweepInterval = time.Second
	// defaultIdleTime is how long an idle connection is kept if Limits returns no idle
	// time limit.
	defaultIdleTime = time.Minute
	// acceptTimeAfterStop is how long a stopping server keeps accepting connections:
	// the load balancer in front checks readiness once a second and stops sending
	// after the second failure.
	acceptTimeAfterStop = 2500 * time.Millisecond
	// drainPollInterval is how often a stopping server checks for requests in flight.
	drainPollInterval = 20 * time.Millisecond
)

// Server serves callers at Listener. Exported fields must be set before Run.
type Server struct {
	// Listener accepts the callers' connections; Stop closes it.
	Listener net.Listener
	// Handler serves the requests.
	Handler http.Handler
	// Limits returns how long a caller may take for a request head and how long its
	// connection may be idle; 0 selects the default. It is called periodically.
	Limits func() (headTime, idleTime time.Duration)
	// Budget limits the bytes of all requests that are being read or served; nil means
	// no limit.
	Budget *zlreadbudget.Budget

	stopping atomic.Bool
	// closed is set once the server takes no more requests.
	closed atomic.Bool
	// requests counts the requests in flight.
	requests atomic.Int64
	mu       sync.Mutex
	// conns maps each open connection to the time at which it became idle; zero if it
	// is not idle.
	conns  map[net.Conn]time.Time
	server *http.Server
}

// Stopping reports whether Stop was called.
func (s *Server) Stopping() bool {
	return s.stopping.Load()
}

// Closed reports whether the server takes no more requests: one that is read from then on
// should be refused, since its answer may come after the end of the stop.
func (s *Server) Closed() bool {
	return s.closed.Load()
}

// Run serves until Stop ends it, and returns nil then. Otherwise it returns the error
// of the listener.
func (s *Server) Run() error {
	server := &http.Server{
		Handler:           http.HandlerFunc(s.serve),
		ConnState:         s.track,
		ConnContext:       withCaller,
		MaxHeaderBytes:    maxHeadBytes,
		ReadHeaderTimeout: maxHeadTime,
		IdleTimeout:       -1,
	}
	s.mu.Lock()
	s.conns = map[net.Conn]time.Time{}
	s.server = server
	s.mu.Unlock()
	done := make(chan struct{})
	go s.sweep(done)
	err := server.Serve(callerListener{
		Listener: s.Listener,
		budget:   s.Budget,
	})
	close(done)
	if errors.Is(err, http.ErrServerClosed) || s.Stopping() {
		return nil
	}
	return err
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.requests.Add(1)
	defer s.requests.Add(-1)
	if c, ok := callerOf(r.Context()); ok {
		c.headRead()
		defer c.served()
	}
	if s.Stopping() {
		w.Header().Set("Connection", "close")
	}
	s.Handler.ServeHTTP(w, r)
}

// track is the ConnState function of the server.
func (s *Server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateIdle:
		s.conns[c] = time.Now()
	case http.StateNew, http.StateActive:
		s.conns[c] = time.Time{}
	case http.StateHijacked, http.StateClosed:
		delete(s.conns, c)
	}
}

// sweep closes connections that have been idle, or have taken for a head, longer than
// the limits allow, until done is closed.
func (s *Server) sweep(done <-chan struct{}) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case now := <-ticker.C:
			head, idle := s.Limits()
			if idle <= 0 {
				idle = defaultIdleTime
			}
			if head <= 0 {
				head = defaultHeadTime
			}
			s.closeOld(now.Add(-head), now.Add(-idle))
		}
	}
}

// closeOld closes connections with an incomplete head that began before headBefore,
// and those that have been idle since before idleBefore.
func (s *Server) closeOld(headBefore, idleBefore time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, idleSince := range s.conns {
		caller, ok := c.(*callerConn)
		isIdle := !idleSince.IsZero() && idleSince.Before(idleBefore)
		if isIdle || (ok && caller.isHeadSlow(headBefore)) {
			_ = c.Close()
			delete(s.conns, c)
		}
	}
}

// Stop ends the server. It keeps accepting for acceptTimeAfterStop, while the load
// balancer may still send callers; then it closes the listener and idle connections
// and waits for the other ones, whose requests are still served. It returns after at most
// timeout, with the number of requests that are still in flight then.
func (s *Server) Stop(timeout time.Duration) int {
	end := time.Now().Add(timeout)
	s.stopping.Store(true)
	time.Sleep(min(acceptTimeAfterStop, timeout))
	s.closed.Store(true)
	_ = s.Listener.Close()
	for s.closeIdle() > 0 && time.Now().Before(end) {
		time.Sleep(drainPollInterval)
	}
	return int(s.requests.Load())
}

// closeIdle closes idle connections and returns the number of the others. http.Server has a
// Shutdown for that, but it closes a connection whose first request comes later without an
// answer.
func (s *Server) closeIdle() int {
	s.mu.Lock()
	server := s.server
	s.mu.Unlock()
	if server == nil {
		return 0
	}
	server.SetKeepAlivesEnabled(false)
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

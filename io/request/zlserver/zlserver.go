// Package zlserver serves the relay's callers over HTTP/1.1, with connections that
// zlconnlimit bounds; its counterpart in zinnialock serve is
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

	"zinnialock/io/connection/zlconnlimit"
)

const (
	// headReadTimeout bounds the reading of a head by net/http. Heads are whole when it
	// begins, but for those that are sent before the answer to the last request.
	headReadTimeout = time.Minute
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
	// Limiter bounds the callers' connections.
	Limiter *zlconnlimit.Limiter

	stopping atomic.Bool
	// closed is set once the server takes no more requests.
	closed atomic.Bool
	// requests counts the requests in flight.
	requests atomic.Int64
	mu       sync.Mutex
	server   *http.Server
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
		ReadHeaderTimeout: headReadTimeout,
		IdleTimeout:       -1,
	}
	s.Limiter.Apply(server)
	listener := s.Limiter.Listen(s.Listener)
	s.mu.Lock()
	s.server = server
	s.mu.Unlock()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) || s.Stopping() {
		return nil
	}
	return err
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.requests.Add(1)
	defer s.requests.Add(-1)
	if s.Stopping() {
		w.Header().Set("Connection", "close")
	}
	s.Handler.ServeHTTP(w, r)
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
	s.Limiter.Close()
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
	return s.Limiter.Len()
}

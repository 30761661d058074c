// Package zlserver serves callers over HTTP/1.1 and stops without cutting a
// request short.
package zlserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// headerLimit bounds what is read of a request's head, in bytes, where no
	// tighter limit is in force.
	headerLimit = 256 << 10
	// headerTime bounds the reading of a head.
	headerTime = 10 * time.Second
	// sweepEach is how often idle connections are looked at.
	sweepEach = time.Second
	// idleDefault is how long an idle connection is kept without a limit in
	// force.
	idleDefault = time.Minute
	// noticeTime is for how long a stopping server goes on accepting: the
	// balancer asks each second and acts on the second miss.
	noticeTime = 2500 * time.Millisecond
	// lookEach is how often a stopping server looks whether it is done.
	lookEach = 20 * time.Millisecond
)

// Server serves callers at Listener. Exported fields must be set before Run.
type Server struct {
	Listener net.Listener
	Handler  http.Handler
	// IdleTime is how long a caller's connection may be idle; 0 means not
	// known.
	IdleTime func() time.Duration

	stopping atomic.Bool
	requests atomic.Int64
	mu       sync.Mutex
	idle     map[net.Conn]time.Time
	server   *http.Server
}

// Stopping reports whether a stop began.
func (s *Server) Stopping() bool {
	return s.stopping.Load()
}

// Run serves until Stop ends it. It returns nil then.
func (s *Server) Run() error {
	server := &http.Server{
		Handler:           http.HandlerFunc(s.serve),
		ConnState:         s.track,
		ConnContext:       withCount,
		MaxHeaderBytes:    headerLimit,
		ReadHeaderTimeout: headerTime,
		IdleTimeout:       -1,
	}
	s.mu.Lock()
	s.idle = map[net.Conn]time.Time{}
	s.server = server
	s.mu.Unlock()
	done := make(chan struct{})
	go s.sweep(done)
	err := server.Serve(s.Listener)
	close(done)
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

type countKey struct{}

// withCount gives each connection a count of its requests.
func withCount(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, countKey{}, new(atomic.Int64))
}

// IsFirst reports whether a request is the first of its caller's connection,
// which the caller made for it. It is to be asked once for each request.
func IsFirst(ctx context.Context) bool {
	n, ok := ctx.Value(countKey{}).(*atomic.Int64)
	return ok && n.Add(1) == 1
}

func (s *Server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateIdle {
		s.idle[c] = time.Now()
		return
	}
	delete(s.idle, c)
}

// sweep closes connections that were idle for longer than allowed.
func (s *Server) sweep(done <-chan struct{}) {
	ticker := time.NewTicker(sweepEach)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case now := <-ticker.C:
			limit := s.IdleTime()
			if limit <= 0 {
				limit = idleDefault
			}
			s.closeIdle(now.Add(-limit))
		}
	}
}

func (s *Server) closeIdle(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, since := range s.idle {
		if since.Before(before) {
			_ = c.Close()
			delete(s.idle, c)
		}
	}
}

// Stop ends the server: it goes on accepting while the balancer still sends
// callers, then closes what is idle, and waits for the requests that run until
// the given time has passed. It reports how many requests it cut.
func (s *Server) Stop(within time.Duration) int {
	end := time.Now().Add(within)
	s.stopping.Store(true)
	time.Sleep(min(noticeTime, within))
	_ = s.Listener.Close()
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	s.mu.Lock()
	server := s.server
	s.mu.Unlock()
	if server == nil {
		return 0
	}
	_ = server.Shutdown(ctx)
	for s.requests.Load() > 0 && time.Now().Before(end) {
		time.Sleep(lookEach)
	}
	return int(s.requests.Load())
}

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
	// headerTime bounds the reading of a head without a limit in force, and
	// headerMost whatever limit is in force.
	headerTime = 10 * time.Second
	headerMost = time.Minute
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
	// Limits are how long a caller may take for a head, and how long its
	// connection may be idle; 0 means not known.
	Limits func() (headTime, idleTime time.Duration)

	stopping atomic.Bool
	requests atomic.Int64
	mu       sync.Mutex
	// conns holds the open connections, with the time since when each is idle,
	// or zero.
	conns  map[net.Conn]time.Time
	server *http.Server
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
		ConnContext:       withCaller,
		MaxHeaderBytes:    headerLimit,
		ReadHeaderTimeout: headerMost,
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

// sweep closes connections that were idle, or took for a head, longer than
// allowed.
func (s *Server) sweep(done <-chan struct{}) {
	ticker := time.NewTicker(sweepEach)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case now := <-ticker.C:
			head, idle := s.Limits()
			if idle <= 0 {
				idle = idleDefault
			}
			if head <= 0 {
				head = headerTime
			}
			s.closeOld(now.Add(-head), now.Add(-idle))
		}
	}
}

// closeOld closes connections of which a head has begun before the one time, or
// that are idle since before the other.
func (s *Server) closeOld(headBefore, idleBefore time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, idleSince := range s.conns {
		own, ok := c.(*callerConn)
		isIdle := !idleSince.IsZero() && idleSince.Before(idleBefore)
		if isIdle || (ok && own.isSlow(headBefore)) {
			_ = c.Close()
			delete(s.conns, c)
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

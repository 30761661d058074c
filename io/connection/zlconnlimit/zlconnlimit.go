// Package zlconnlimit bounds what the connections of an HTTP listener hold before a
// request is served: the bytes of incomplete request heads, for each connection and in
// sum, the number of connections, and the time for a head. It passes a connection to
// net/http only once a whole head is there, since a connection takes 5 to 7 KB before that
// and 32 KB afterwards, and net/http keeps up to 40 bytes for each byte of a head that
// it is reading. It doesn't interpret requests.
//
// Load pattern: thousands of callers that hold connections or incomplete heads open, send
// without end, or don't read their answers, beside ordinary callers that send a head at once.
// When there is no room for another connection, one is closed of which nothing of an answer has
// been read for a second, then the one that has waited longest without a whole head, then
// without a whole body, then the one that has been idle longest. When there is no room for more
// bytes, the connection that asks for them is closed; zlreadbudget leaves room for short heads.
package zlconnlimit

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"zinnialock/core/connection/zlreadbudget"

	"github.com/uber-go/tally/v4"
)

const (
	// DefaultHeadBytes limits a head where Limits names no limit: the limit of the
	// configurations, 16,384 bytes, and HeadSlack.
	DefaultHeadBytes = 16<<10 + HeadSlack
	// HeadSlack is what a head takes besides what the limits of configurations count:
	// the protocol's version, and spaces around values.
	HeadSlack = 4 << 10
	// BytesPerConn is what a connection takes: 32 to 38 KB were measured for one that is idle
	// after a request, with the garbage collector's share; the rest is for bytes in its socket.
	BytesPerConn = 48 << 10
	// defaultHeadTime bounds the reading of a head if Limits returns no limit.
	defaultHeadTime = 10 * time.Second
	// defaultIdleTime is how long an idle connection is kept if Limits returns no limit.
	defaultIdleTime = time.Minute
	// bodyTime bounds the reading of a body: 262,144 bytes at 35 kbit/s.
	bodyTime = time.Minute
	// sweepInterval is how often idle connections and slow heads are closed.
	sweepInterval = time.Second
	// acceptRetryDelay is the pause after a failed accept, for example for lack of
	// descriptors. It is that of net/http at its second failure.
	acceptRetryDelay = 10 * time.Millisecond
	// maxEmptyLines is how many empty lines may precede a head; net/http skips two after
	// some requests and refuses others.
	maxEmptyLines = 4
)

// Cause is why a connection was closed before a request was served.
type Cause string

// The causes.
const (
	CauseHeadTime    Cause = "headTime"
	CauseBodyTime    Cause = "bodyTime"
	CauseIdleTime    Cause = "idleTime"
	CauseAnswerTime  Cause = "answerTime"
	CauseHeadSize    Cause = "headSize"
	CauseEmptyLines  Cause = "emptyLines"
	CauseNoRoom      Cause = "noRoom"
	CauseRequests    Cause = "requests"
	CauseConnections Cause = "connections"
)

// Count counts a connection to a listener that was closed for a limit.
func Count(scope tally.Scope, listener string, cause Cause) {
	scope.Tagged(map[string]string{
		"listener": listener,
		"cause":    string(cause),
	}).Counter("connectionsClosed").Inc(1)
}

// Limits are the limits of one connection; 0 selects the default.
type Limits struct {
	// HeadTime is the time for a head from its first byte, IdleTime the time that a
	// connection may be idle, also before its first request, or nothing of an answer be read.
	HeadTime time.Duration
	IdleTime time.Duration
	// HeadBytes is the size of a head, with the empty lines before it.
	HeadBytes zlreadbudget.Bytes
}

// Limiter bounds the connections of one listener. Exported fields must be set before
// use.
type Limiter struct {
	// Limits returns the limits in force; nil means the defaults.
	Limits func() Limits
	// MaxConns limits the number of connections; 0 means no limit.
	MaxConns int
	// Heads limits the bytes of all incomplete heads, and Requests the estimated memory
	// of all whole requests that are being read or served; nil means no limit.
	Heads    *zlreadbudget.Budget
	Requests *zlreadbudget.Budget
	// OnClose is called for each connection that is closed, or request that is refused, for a
	// limit. Internal locks may be held; may be nil.
	OnClose func(Cause)

	mu sync.Mutex
	// conns holds all open connections. heads, bodies and idle hold those without a whole
	// head, without a whole body, and between two requests, the oldest first.
	conns  map[*Conn]struct{}
	heads  list.List
	bodies list.List
	idle   list.List
	// answers holds those to which data is being written, that which waits longest first.
	answers list.List
	// first counts the connections without a first whole head.
	first  int
	closed bool
	// full is true while a new connection waits for one that may be closed for it.
	full bool
	// changed is closed and replaced when a connection ends or first becomes smaller, and,
	// if full, when one may be closed.
	changed chan struct{}
}

// Apply makes server use the limits; it must be called before Serve, which needs a
// listener of Listen. The handler, ConnState and ConnContext of server are wrapped.
func (l *Limiter) Apply(server *http.Server) {
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.serve(w, r, next)
	})
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if conn, ok := c.(*Conn); ok && state == http.StateIdle {
			conn.becameIdle()
		}
	}
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	server.MaxHeaderBytes = maxHeadBytes
	// net/http would answer OPTIONS * itself, past serve: it reads a body then that has neither
	// a time nor a place among those that may be closed.
	server.DisableGeneralOptionsHandler = true
}

// maxHeadBytes is the limit of net/http for a head: the Limiter's is always lower.
const maxHeadBytes = 1 << 20

// serve passes a request on, unless its connection was closed meanwhile: a caller whose
// connection was closed may take its request as not run.
func (l *Limiter) serve(w http.ResponseWriter, r *http.Request, next http.Handler) {
	c, ok := connOf(r.Context())
	if !ok {
		next.ServeHTTP(w, r)
		return
	}
	if !c.startRequest(r.ContentLength) {
		panic(http.ErrAbortHandler)
	}
	defer c.request.Reset()
	c.head.Reset()
	if c.phase == phasePipelined && !c.request.Grow(c.scanner.cost()) {
		l.count(CauseRequests)
		w.Header().Set("Connection", "close")
		http.Error(w, "no room for the request", http.StatusServiceUnavailable)
		return
	}
	next.ServeHTTP(w, c.newBodyRequest(r))
}

func (l *Limiter) limits() Limits {
	limits := Limits{}
	if l.Limits != nil {
		limits = l.Limits()
	}
	if limits.HeadTime <= 0 {
		limits.HeadTime = defaultHeadTime
	}
	if limits.IdleTime <= 0 {
		limits.IdleTime = defaultIdleTime
	}
	if limits.HeadBytes <= 0 {
		limits.HeadBytes = DefaultHeadBytes
	}
	return limits
}

func (l *Limiter) count(cause Cause) {
	if l.OnClose != nil {
		l.OnClose(cause)
	}
}

// Len returns the number of open connections.
func (l *Limiter) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Close closes the connections without a first whole head, and all that follow.
func (l *Limiter) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for c := range l.conns {
		if !c.passed {
			l.closeLocked(c, "")
		}
	}
	l.notify()
}

// notify wakes those that wait for a change. The caller holds mu.
func (l *Limiter) notify() {
	if l.changed != nil {
		close(l.changed)
	}
	l.changed = make(chan struct{})
}

// closeLocked closes a connection, for a limit unless cause is empty. The caller holds mu.
func (l *Limiter) closeLocked(c *Conn, cause Cause) {
	if c.gone {
		return
	}
	c.enterLocked(stateServing)
	c.endWriteLocked()
	c.gone = true
	delete(l.conns, c)
	c.head.Close()
	c.request.Close()
	if cause != "" {
		l.count(cause)
	}
	_ = c.Conn.Close()
	l.notify()
}

// listOf returns the list of a state, or nil if it has none.
func (l *Limiter) listOf(s state) *list.List {
	switch s {
	case stateNew, stateHead:
		return &l.heads
	case stateBody:
		return &l.bodies
	case stateIdle:
		return &l.idle
	case stateServing:
	}
	return nil
}

// evict closes one connection to make room for another, and reports whether it could.
// The caller holds mu.
func (l *Limiter) evict() bool {
	if c := l.stalled(time.Now(), stallTime); c != nil {
		l.closeStalled(c, CauseConnections)
		return true
	}
	for _, candidates := range []*list.List{&l.heads, &l.bodies, &l.idle} {
		if e := candidates.Front(); e != nil {
			l.closeLocked(e.Value.(*Conn), CauseConnections)
			return true
		}
	}
	return false
}

// sweep closes the connections whose time is over, and has a new connection that waits look
// again whether an answer isn't read.
func (l *Limiter) sweep(now time.Time) {
	limits := l.limits()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		limit, cause := limits.of(c.state)
		if cause != "" && now.Sub(c.since) > limit {
			l.closeLocked(c, cause)
		}
	}
	for c := l.stalled(now, limits.IdleTime); c != nil; c = l.stalled(now, limits.IdleTime) {
		l.closeStalled(c, CauseAnswerTime)
	}
	if l.full && l.stalled(now, stallTime) != nil {
		l.notify()
	}
}

// of returns the time for a state and the cause if it is over, which is empty for a state
// without limit.
func (l *Limits) of(s state) (time.Duration, Cause) {
	switch s {
	case stateHead:
		return l.HeadTime, CauseHeadTime
	case stateBody:
		return bodyTime, CauseBodyTime
	case stateNew, stateIdle:
		return l.IdleTime, CauseIdleTime
	case stateServing:
	}
	return 0, ""
}

package zlconnlimit

import (
	"container/list"
	"context"
	"net"
	"sync/atomic"
	"time"

	"zinnialock/core/connection/zlreadbudget"
)

// phase is what the next bytes of a connection are.
type phase int

const (
	// phaseHead: they belong to a head, which is gathered before any of it is passed on.
	phaseHead phase = iota
	// phaseRequest: they follow a whole head, until the connection is idle again.
	phaseRequest
	// phasePipelined: net/http may have read parts of the next head together with the
	// last body, so that the end of that head isn't known. Its bytes are passed on at once
	// and counted with pipelinedFactor. A connection stays in this phase.
	phasePipelined
)

// Conn is a connection of a Limiter's listener.
type Conn struct {
	net.Conn
	limiter *Limiter
	// head holds the bytes of an incomplete head, and request the memory of the request
	// that is being read or served.
	head    zlreadbudget.Reservation
	request zlreadbudget.Reservation
	// requests counts the calls of IsFirstRequest.
	requests atomic.Int64

	// The fields below are used by the one goroutine at a time that reads.
	phase   phase
	scanner headScanner
	// buffer holds the bytes that were read and are still to be passed on.
	buffer []byte
	// bodyBytes counts what was read after the head.
	bodyBytes int64
	// early is the byte that net/http read to notice the end of the connection during the
	// last request; it begins the next one.
	early []byte

	// The fields below are guarded by limiter.mu. since is when the connection was opened,
	// became idle, or got the first byte of a head or body.
	since time.Time
	state state
	// passed is true once the connection has a first whole head and leaves the listener.
	passed bool
	// contentLength is that of the request, or -1 if it isn't known.
	contentLength int64
	gone          bool
	// element is the connection's place in the list of its state.
	element *list.Element
	// writing is its place among those to which data is being written, since writingSince;
	// nil if none is.
	writing      *list.Element
	writingSince time.Time
}

// state is what a connection waits for.
type state int

const (
	// stateServing: an answer, or nothing; it must not be closed before the answer is written.
	stateServing state = iota
	// stateNew: the first byte of its first request.
	stateNew
	// stateHead: the end of a head.
	stateHead
	// stateBody: the end of a body that isn't passed on before it is whole.
	stateBody
	// stateIdle: the first byte of a further request.
	stateIdle
)

type connKey struct{}

func connOf(ctx context.Context) (*Conn, bool) {
	c, ok := ctx.Value(connKey{}).(*Conn)
	return c, ok
}

// IsFirstRequest reports whether a request is the first of its connection, so that the
// caller waited for the handshake too. It counts its calls, so it must be called once for
// each request. It returns false outside a request of a Limiter's server.
func IsFirstRequest(ctx context.Context) bool {
	c, ok := connOf(ctx)
	return ok && c.requests.Add(1) == 1
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.limiter.closeLocked(c, "")
	return nil
}

// enter changes the state and reports whether the connection is still open.
func (c *Conn) enter(s state) bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if !c.gone && c.state != s {
		c.enterLocked(s)
	}
	return !c.gone
}

// enterLocked changes the state. The caller holds limiter.mu.
func (c *Conn) enterLocked(s state) {
	if l := c.limiter.listOf(c.state); l != nil && c.element != nil {
		l.Remove(c.element)
		c.element = nil
	}
	c.state = s
	c.since = time.Now()
	if l := c.limiter.listOf(s); l != nil {
		c.element = l.PushBack(c)
		if c.limiter.full {
			c.limiter.notify()
		}
	}
}

// startRequest records that a request was read up to the end of its head, and reports
// whether it may be passed on: its connection is open.
func (c *Conn) startRequest(contentLength int64) bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.gone {
		return false
	}
	c.contentLength = contentLength
	c.enterLocked(stateServing)
	return true
}

// becameIdle prepares for the next head. Nothing is being read then.
func (c *Conn) becameIdle() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.gone {
		return
	}
	c.enterLocked(stateIdle)
	c.request.Reset()
	if c.phase == phasePipelined || c.contentLength != c.bodyBytes {
		c.phase = phasePipelined
		c.scanner = headScanner{}
		return
	}
	c.phase = phaseHead
	c.scanner = headScanner{}
	c.bodyBytes = 0
	if len(c.early) > 0 {
		c.scanner.scan(c.early)
		c.early = nil
		c.enterLocked(stateHead)
	}
}

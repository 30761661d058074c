// Package zlexchange sends the relay's requests to replicas over HTTP/1.1 and pools
// the connections to them; its counterpart in zinnialock serve is zlupstreamclient.
// Each call ends with a reply that says whether the request did not run, may have
// run, or got a complete answer of its own. The package does not choose replicas and
// does not retry.
package zlexchange

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"zinnialock/core/connection/zlreadbudget"
	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlrelay"
	"zinnialock/core/version/zlregistry"
)

const (
	// dialTimeout bounds the dial. It allows for the slowest handshake of the
	// platform's documentation (6 ms) several times and for one lost packet.
	dialTimeout = 500 * time.Millisecond
	// maxIdleTime is how long an idle connection is kept at most.
	maxIdleTime = 10 * time.Second
	// idleMargin is subtracted from the idle timeout that a replica announces, so
	// that the replica does not close a connection just as it is reused.
	idleMargin = time.Second
	// shortIdleTime is how long a connection is kept at most if the replica accepts
	// too few for every VM to keep one.
	shortIdleTime = time.Second
	// maxReplyBytes limits the body of an answer, and maxHeadBytes its head, with all
	// interim answers before it.
	maxReplyBytes = 8 << 20
	maxHeadBytes  = 32 << 10
	// maxFramingBytes is what the chunks of a body and its trailers may take beside it.
	maxFramingBytes = 1 << 20
	// sweepInterval is how often expired idle connections are closed.
	sweepInterval = 500 * time.Millisecond
)

// Translator translates between calls and the headers of a deployment's replicas. It
// is called concurrently.
type Translator interface {
	// Outgoing returns the headers to send besides the caller's; they replace those of
	// the same name. remaining is the time until the call's deadline.
	Outgoing(e *zlregistry.Entry, c *zlrelay.Call, remaining time.Duration) http.Header
	// Incoming converts a complete answer to a reply. It returns nil if the answer
	// belongs to another request.
	Incoming(c *zlrelay.Call, resp *http.Response, body []byte) zlrelay.Reply
}

// Exchange implements zlrelay.Sender. Exported fields must be set before use. Send and
// ConnectionsOpened may be called concurrently.
type Exchange struct {
	// Translator knows the headers of the replicas.
	Translator Translator
	// Budget limits the bytes of all answers that are being read or used; nil means no
	// limit.
	Budget *zlreadbudget.Budget
	// Sink receives an event for each answer that belongs to another request.
	Sink zldecision.Sink
	// OnConnect is called after each new connection to a replica that could be used; may be
	// nil.
	OnConnect func()
	// OnDialled is called with the time that a new connection to a replica took, which is
	// about one round trip to its data centre; may be nil.
	OnDialled func(dc zlunit.DataCentre, took time.Duration)
	// Done ends Run.
	Done <-chan struct{}

	mu    sync.Mutex
	pools map[poolKey]*pool
	// opened counts the connections opened so far.
	opened int
}

// poolKey includes the address, so that a replica that moved gets a new pool.
type poolKey struct {
	id   zlunit.Upstream
	addr string
}

// pool holds the idle connections to one replica, the most recently used last.
type pool struct {
	// users counts the calls that may return a connection; Exchange.mu guards it.
	users int

	mu   sync.Mutex
	idle []*conn
}

// conn is a connection to a replica.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// allowance is how many bytes of the current message may still be read from the
	// connection, and reservation holds those that were. tooLarge is set once a read was
	// denied.
	allowance   int
	reservation *zlreadbudget.Reservation
	tooLarge    bool
	// idleUntil is when the connection expires while it is idle.
	idleUntil time.Time
	// idleTimeout is how long the connection may be idle.
	idleTimeout time.Duration
	// used counts the requests sent.
	used int
}

// Run closes expired idle connections until Done is closed, and then all idle ones.
func (x *Exchange) Run() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-x.Done:
			x.sweep(time.Time{})
			return
		case now := <-ticker.C:
			x.sweep(now)
		}
	}
}

// ConnectionsOpened returns the number of connections opened so far.
func (x *Exchange) ConnectionsOpened() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.opened
}

// sweep closes expired idle connections, or all idle ones if now is zero.
func (x *Exchange) sweep(now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for key, p := range x.pools {
		p.mu.Lock()
		kept := p.idle[:0]
		for _, c := range p.idle {
			if now.IsZero() || now.After(c.idleUntil) {
				_ = c.Close()
				continue
			}
			kept = append(kept, c)
		}
		clear(p.idle[len(kept):])
		p.idle = kept
		if len(kept) == 0 && p.users == 0 {
			delete(x.pools, key)
		}
		p.mu.Unlock()
	}
}

// enterPool returns the pool of a replica and creates it if there is none. The pool is
// kept until leavePool.
func (x *Exchange) enterPool(e *zlregistry.Entry) *pool {
	key := poolKey{
		id:   e.ID,
		addr: e.Address,
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	p, ok := x.pools[key]
	if !ok {
		if x.pools == nil {
			x.pools = map[poolKey]*pool{}
		}
		p = &pool{}
		x.pools[key] = p
	}
	p.users++
	return p
}

func (x *Exchange) leavePool(p *pool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	p.users--
}

// acquire takes an idle connection that is neither expired nor closed out of the
// pool, or returns nil. It closes those that are.
func (p *pool) acquire(now time.Time) *conn {
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			return nil
		}
		c := p.idle[n-1]
		p.idle[n-1] = nil
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if now.Before(c.idleUntil) && c.nothingReceived() {
			return c
		}
		_ = c.Close()
	}
}

// release puts a connection into the pool. If shortIdle is set, it stays there for
// shortIdleTime at most.
func (p *pool) release(c *conn, now time.Time, shortIdle bool) {
	c.idleUntil = now.Add(c.idleTimeout)
	if shortIdle {
		c.idleUntil = now.Add(min(c.idleTimeout, shortIdleTime))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

func (x *Exchange) dial(ctx context.Context, e *zlregistry.Entry) (*conn, error) {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: false,
		},
		KeepAlive: -1,
	}
	start := time.Now()
	raw, err := dialer.DialContext(ctx, "tcp", e.Address)
	if err != nil {
		return nil, err
	}
	if x.OnDialled != nil {
		x.OnDialled(e.DataCentre, time.Since(start))
	}
	x.mu.Lock()
	x.opened++
	x.mu.Unlock()
	c := &conn{
		Conn:        raw,
		idleTimeout: maxIdleTime,
	}
	c.reader = bufio.NewReaderSize(c, 4096)
	return c, nil
}

// settleTime is how long a connection that Connect opens must last: a replica that takes no
// more, or a network that resets connections, may accept it first.
const settleTime = 5 * time.Millisecond

// Connect opens a connection to a replica and keeps it for a later call. It reports whether
// it could.
func (x *Exchange) Connect(ctx context.Context, e *zlregistry.Entry) bool {
	p := x.enterPool(e)
	defer x.leavePool(p)
	c, err := x.dial(ctx, e)
	if err != nil {
		return false
	}
	time.Sleep(settleTime)
	if !c.nothingReceived() {
		_ = c.Close()
		return false
	}
	x.noteConnected()
	p.release(c, time.Now(), true)
	return true
}

func (x *Exchange) noteConnected() {
	if x.OnConnect != nil {
		x.OnConnect()
	}
}

// errTooLarge is returned by a read beyond the allowance or the budget.
var errTooLarge = errors.New("zlexchange: the answer is larger than allowed")

// Read implements net.Conn.
func (c *conn) Read(data []byte) (int, error) {
	if c.allowance <= 0 {
		c.tooLarge = true
		return 0, errTooLarge
	}
	n, err := c.Conn.Read(data[:min(len(data), c.allowance)])
	c.allowance -= n
	if n > 0 && !c.reservation.Grow(zlreadbudget.Bytes(n)) {
		c.tooLarge = true
		return 0, errTooLarge
	}
	return n, err
}

// Send implements zlrelay.Sender.
func (x *Exchange) Send(ctx context.Context, e *zlregistry.Entry, c *zlrelay.Call) zlrelay.Reply {
	p := x.enterPool(e)
	defer x.leavePool(p)
	conn := p.acquire(time.Now())
	if conn == nil {
		dialed, err := x.dial(ctx, e)
		if err != nil {
			return &zlrelay.NotRun{
				Reason: zldecision.ReasonUnreached,
			}
		}
		conn = dialed
	}
	if !c.Start() {
		p.release(conn, time.Now(), c.ShortIdle)
		return &zlrelay.NotRun{
			Reason: zldecision.ReasonOutOfService,
		}
	}
	stop := context.AfterFunc(ctx, func() {
		_ = conn.SetDeadline(time.Unix(1, 0))
	})
	reply, reusable := x.exchange(conn, e, c)
	if _, answered := reply.(*zlrelay.Response); answered && conn.used == 1 {
		x.noteConnected()
	}
	if stop() && reusable {
		p.release(conn, time.Now(), c.ShortIdle)
	} else {
		conn.abort()
	}
	return reply
}

// abort closes the connection with a reset: what the network has held up so far must not
// reach the replica later, when nobody waits for it.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

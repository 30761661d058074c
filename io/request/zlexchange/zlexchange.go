// Package zlexchange sends requests to replicas over HTTP/1.1 and keeps
// connections to them. It tells apart what did not run, what may have, and what
// is a whole answer to the very request.
package zlexchange

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlrelay"
	"zinnialock/core/version/zlregistry"
)

const (
	// dialLimit bounds the making of a connection: several times the slowest
	// handshake of the platform's pages (6 ms) and a lost packet between.
	dialLimit = 500 * time.Millisecond
	// idleLimit is how long an unused connection is kept where the replica
	// does not say.
	idleLimit = 10 * time.Second
	// idleMargin is taken from the time that a replica names.
	idleMargin = time.Second
	// briefTime is how long a connection is kept that other VMs need as well.
	briefTime = time.Second
	// replyLimit bounds an answer, in bytes.
	replyLimit = 8 << 20
	// sweepEach is how often idle connections are looked at.
	sweepEach = 500 * time.Millisecond
)

// Translator speaks the headers of a deployment's replicas.
type Translator interface {
	// Outgoing returns the headers that a call carries besides the caller's.
	Outgoing(e *zlregistry.Entry, c *zlrelay.Call, left time.Duration) http.Header
	// Incoming says what a complete answer means. It returns nil if the
	// answer belongs to another request.
	Incoming(c *zlrelay.Call, resp *http.Response, body []byte) zlrelay.Reply
}

// Exchange implements zlrelay.Sender. Translator, Sink and Done must be set before
// use; Run sweeps idle connections until Done is closed.
type Exchange struct {
	Translator Translator
	Sink       zldecision.Sink
	Done       <-chan struct{}

	mu    sync.Mutex
	pools map[poolKey]*pool
	opens int
}

type poolKey struct {
	id   zlunit.Upstream
	addr string
}

// pool holds the idle connections to one replica, the newest last.
type pool struct {
	mu   sync.Mutex
	idle []*conn
}

// conn is one connection.
type conn struct {
	net.Conn
	reader *bufio.Reader
	until  time.Time
	keep   time.Duration
	used   int
}

// Run closes idle connections when their time is up.
func (x *Exchange) Run() {
	ticker := time.NewTicker(sweepEach)
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

// Opened is how many connections were made.
func (x *Exchange) Opened() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.opens
}

// sweep closes what is past its time, or everything if now is zero.
func (x *Exchange) sweep(now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for key, p := range x.pools {
		p.mu.Lock()
		kept := p.idle[:0]
		for _, c := range p.idle {
			if now.IsZero() || now.After(c.until) {
				_ = c.Close()
				continue
			}
			kept = append(kept, c)
		}
		clear(p.idle[len(kept):])
		p.idle = kept
		if len(kept) == 0 {
			delete(x.pools, key)
		}
		p.mu.Unlock()
	}
}

func (x *Exchange) pool(e *zlregistry.Entry) *pool {
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
	return p
}

// acquire returns an idle connection that still seems sound, or nil.
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
		if now.Before(c.until) && c.quiet() {
			return c
		}
		_ = c.Close()
	}
}

func (p *pool) release(c *conn, now time.Time, brief bool) {
	c.until = now.Add(c.keep)
	if brief {
		c.until = now.Add(min(c.keep, briefTime))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

func (x *Exchange) dial(ctx context.Context, address string) (*conn, error) {
	dialer := &net.Dialer{
		Timeout: dialLimit,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: false,
		},
		KeepAlive: -1,
	}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	x.mu.Lock()
	x.opens++
	x.mu.Unlock()
	return &conn{
		Conn:   raw,
		reader: bufio.NewReaderSize(raw, 4096),
		keep:   idleLimit,
	}, nil
}

// Send implements zlrelay.Sender.
func (x *Exchange) Send(ctx context.Context, e *zlregistry.Entry, c *zlrelay.Call) zlrelay.Reply {
	p := x.pool(e)
	conn := p.acquire(time.Now())
	if conn == nil {
		fresh, err := x.dial(ctx, e.Address)
		if err != nil {
			return &zlrelay.NotRun{
				Reason: zldecision.ReasonUnreached,
			}
		}
		conn = fresh
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
	reply, sound := x.exchange(conn, e, c)
	if stop() && sound {
		p.release(conn, time.Now(), c.ShortIdle)
	} else {
		_ = conn.Close()
	}
	return reply
}

package zlupstreamclient

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"zinnialock/core/connection/zladmission"
	"zinnialock/core/connection/zlreadbudget"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlexecutor"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlcatalog"
)

// pool keeps the connections to one upstream. The gate decides whether a new one
// may be opened; without a gate, maxConns is the only limit.
type pool struct {
	name     zlunit.Upstream
	address  string
	maxConns int
	// budget limits the bytes of all replies that are being read; nil means no limit.
	budget *zlreadbudget.Budget
	// gate is nil for calls without admission control.
	gate      *zladmission.Gate
	target    *url.URL
	header    http.Header
	transport *http.Transport

	// mu guards the fields below.
	mu sync.Mutex
	// idle is ordered by idleSince, oldest first.
	idle []*conn
	// open has every connection that counts towards maxConns, including those
	// that are being dialled or closed.
	open      map[*conn]struct{}
	waiters   []*waiter
	idleTimer *time.Timer
	closed    bool
}

// waiter waits for a free connection, or until another one may be opened.
type waiter struct {
	// ready receives a connection, or nil if the waiter has to check again.
	ready chan *conn
}

// Stop implements zlexecutor.Stopper.
func (w *waiter) Stop() {
	select {
	case w.ready <- nil:
	default:
	}
}

// connKey is the context key of the *conn that a dial belongs to.
type connKey struct{}

func newPool(u *zlcatalog.Upstream, gate *zladmission.Gate) *pool {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
	}
	return &pool{
		name:     u.Name,
		address:  u.Address,
		maxConns: int(u.Connections),
		gate:     gate,
		target: &url.URL{
			Scheme: "http",
			Host:   u.Address,
			Path:   Path,
		},
		header: http.Header{
			"Content-Type": []string{"application/json"},
		},
		transport: &http.Transport{
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeadBytes,
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				raw, err := dialer.DialContext(ctx, network, addr)
				if err != nil {
					return nil, err
				}
				return ctx.Value(connKey{}).(*conn).opened(raw)
			},
		},
		open: map[*conn]struct{}{},
	}
}

// acquire returns an idle connection, or opens one, or waits until one of the two
// is possible. Any reason but ReasonNone says why there is no connection; nothing
// has been sent in that case.
func (p *pool) acquire(ctx context.Context, f *zlexecutor.Fetch) (*conn, zlquery.Reason) {
	var w *waiter
	for {
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			return nil, zlquery.ReasonStopping
		}
		if c := p.popIdle(); c != nil {
			p.mu.Unlock()
			return c, zlquery.ReasonNone
		}
		c := p.reserve()
		if c != nil {
			p.mu.Unlock()
			return p.dial(ctx, f, c)
		}
		w = p.enqueue(w)
		p.mu.Unlock()
		if !f.SetStopper(w) {
			p.removeWaiter(w)
			return nil, zlquery.ReasonCancelled
		}
		if c := <-w.ready; c != nil {
			return c, zlquery.ReasonNone
		}
		if f.Abandoned() {
			p.removeWaiter(w)
			return nil, zlquery.ReasonCancelled
		}
	}
}

// enqueue appends a new waiter if w is nil. A waiter that was woken and found no
// connection goes back to the front. The caller holds mu.
func (p *pool) enqueue(w *waiter) *waiter {
	if w == nil {
		w = &waiter{
			ready: make(chan *conn, 1),
		}
		p.waiters = append(p.waiters, w)
		return w
	}
	p.waiters = slices.Insert(p.waiters, 0, w)
	return w
}

// removeWaiter removes w from the queue and releases a connection that was handed
// to it in the meantime.
func (p *pool) removeWaiter(w *waiter) {
	p.mu.Lock()
	if i := slices.Index(p.waiters, w); i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
	}
	p.mu.Unlock()
	select {
	case c := <-w.ready:
		if c != nil {
			p.release(c)
			return
		}
	default:
	}
	p.wakeWaiter()
}

// popIdle returns the connection that was used last, or nil if none is usable. The
// caller holds mu.
func (p *pool) popIdle() *conn {
	for len(p.idle) > 0 {
		n := len(p.idle) - 1
		c := p.idle[n]
		p.idle[n] = nil
		p.idle = p.idle[:n]
		if c.client.Err() == nil {
			return c
		}
	}
	return nil
}

// reserve returns a connection to be dialled, or nil while no further connection
// is allowed. The caller holds mu.
func (p *pool) reserve() *conn {
	c := &conn{
		reservation: zlreadbudget.Reservation{
			Budget: p.budget,
		},
		pool: p,
	}
	if p.gate == nil {
		if len(p.open) >= p.maxConns {
			return nil
		}
	} else if c.gateConn = p.gate.Dial(); c.gateConn == nil {
		return nil
	}
	p.open[c] = struct{}{}
	return c
}

// dial opens the connection c. It completes the dial even if f is abandoned in the
// meantime, since an upstream may still count a connection whose dial was
// cancelled.
func (p *pool) dial(ctx context.Context, f *zlexecutor.Fetch, c *conn) (*conn, zlquery.Reason) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	client, err := p.transport.NewClientConn(context.WithValue(ctx, connKey{}, c), "http", p.address)
	if err != nil {
		c.gateConn.DialFailed()
		p.removeConn(c)
		return nil, zlquery.ReasonDialFailed
	}
	c.client = client
	if f.Abandoned() {
		p.release(c)
		return nil, zlquery.ReasonCancelled
	}
	return c, zlquery.ReasonNone
}

// release hands a usable connection to the next waiter, or else keeps it as idle.
func (p *pool) release(c *conn) {
	c.gateConn.SetBusy(false)
	if c.client.Err() != nil {
		p.wakeWaiter()
		return
	}
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		_ = c.Close()
		return
	}
	for len(p.waiters) > 0 {
		w := p.waiters[0]
		p.waiters = p.waiters[1:]
		select {
		case w.ready <- c:
			p.mu.Unlock()
			return
		default:
			// The waiter has been stopped or woken already.
		}
	}
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
	if p.idleTimer == nil {
		p.idleTimer = time.AfterFunc(idleTimeout, p.closeExpired)
	}
	p.mu.Unlock()
}

// wakeWaiter makes the first waiter check again for a connection.
func (p *pool) wakeWaiter() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiters) == 0 {
		return
	}
	w := p.waiters[0]
	p.waiters = p.waiters[1:]
	w.Stop()
}

// removeConn removes a closed connection and wakes a waiter, since another
// connection may now be opened.
func (p *pool) removeConn(c *conn) {
	p.mu.Lock()
	delete(p.open, c)
	if i := slices.Index(p.idle, c); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
	p.mu.Unlock()
	p.wakeWaiter()
}

// closeExpired closes connections that have been idle for idleTimeout.
func (p *pool) closeExpired() {
	p.mu.Lock()
	p.idleTimer = nil
	var expired []*conn
	for len(p.idle) > 0 && time.Since(p.idle[0].idleSince) >= idleTimeout {
		expired = append(expired, p.idle[0])
		p.idle = p.idle[1:]
	}
	if len(p.idle) > 0 && !p.closed {
		p.idleTimer = time.AfterFunc(idleTimeout-time.Since(p.idle[0].idleSince), p.closeExpired)
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.closeGracefully()
	}
}

// closeGracefully closes the idle connections and accepts no new requests;
// requests in flight finish.
func (p *pool) closeGracefully() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.closeGracefully()
	}
}

// close closes all connections at once; requests in flight fail.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	if p.idleTimer != nil {
		p.idleTimer.Stop()
	}
	open := make([]*conn, 0, len(p.open))
	for c := range p.open {
		open = append(open, c)
	}
	waiters := p.waiters
	p.waiters = nil
	p.mu.Unlock()
	for _, w := range waiters {
		w.Stop()
	}
	for _, c := range open {
		c.closeNow()
	}
}

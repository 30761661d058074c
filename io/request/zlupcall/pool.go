package zlupcall

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"zinnialock/core/connection/zladmission"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlaggregator"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlcatalog"
)

// pool keeps the connections to one upstream. Whether a new one may be made is
// the gate's decision; without a gate, only the upstream's cap counts.
type pool struct {
	name      zlunit.Upstream
	address   string
	most      int
	gate      *zladmission.Gate
	target    *url.URL
	header    http.Header
	transport *http.Transport

	mu      sync.Mutex
	idle    []*conn
	open    map[*conn]struct{}
	waiters []*waiter
	sweeper *time.Timer
	closed  bool
}

// waiter waits for a connection, or for room to make one.
type waiter struct {
	ready chan *conn
}

// Stop implements zlaggregator.Stopper.
func (w *waiter) Stop() {
	select {
	case w.ready <- nil:
	default:
	}
}

type connKey struct{}

func newPool(u *zlcatalog.Upstream, gate *zladmission.Gate) *pool {
	dialer := &net.Dialer{
		Timeout: dialLimit,
	}
	return &pool{
		name:    u.Name,
		address: u.Address,
		most:    int(u.Connections),
		gate:    gate,
		target: &url.URL{
			Scheme: "http",
			Host:   u.Address,
			Path:   Path,
		},
		header: http.Header{
			"Content-Type": []string{"application/json"},
		},
		transport: &http.Transport{
			DisableCompression: true,
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

// acquire returns an idle connection, or makes one, or waits for either. The
// reason tells why there is none; nothing was sent then.
func (p *pool) acquire(ctx context.Context, f *zlaggregator.Fetch) (*conn, zlquery.Reason) {
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
			p.forget(w)
			return nil, zlquery.ReasonCancelled
		}
		if c := <-w.ready; c != nil {
			return c, zlquery.ReasonNone
		}
		if f.Abandoned() {
			p.forget(w)
			return nil, zlquery.ReasonCancelled
		}
	}
}

// enqueue puts a new waiter last, and one that was woken in vain first.
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

// forget removes a waiter; a connection handed to it meanwhile goes back.
func (p *pool) forget(w *waiter) {
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
	p.kick()
}

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

// reserve returns a connection yet to be made, or nil while there is no room.
func (p *pool) reserve() *conn {
	c := &conn{
		pool: p,
	}
	if p.gate == nil {
		if len(p.open) >= p.most {
			return nil
		}
	} else if c.mark = p.gate.Dial(); c.mark == nil {
		return nil
	}
	p.open[c] = struct{}{}
	return c
}

// dial makes a connection. It goes on when f is abandoned meanwhile: a
// connection that is given up half made may still count at the upstream.
func (p *pool) dial(ctx context.Context, f *zlaggregator.Fetch, c *conn) (*conn, zlquery.Reason) {
	ctx, cancel := context.WithTimeout(ctx, dialLimit)
	defer cancel()
	client, err := p.transport.NewClientConn(context.WithValue(ctx, connKey{}, c), "http", p.address)
	if err != nil {
		c.mark.Failed()
		p.removed(c)
		return nil, zlquery.ReasonDialFailed
	}
	c.client = client
	if f.Abandoned() {
		p.release(c)
		return nil, zlquery.ReasonCancelled
	}
	return c, zlquery.ReasonNone
}

// release hands a usable connection to the next waiter or keeps it.
func (p *pool) release(c *conn) {
	c.mark.SetBusy(false)
	if c.client.Err() != nil {
		p.kick()
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
			// It was halted and will look again.
		}
	}
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
	if p.sweeper == nil {
		p.sweeper = time.AfterFunc(idleLimit, p.sweep)
	}
	p.mu.Unlock()
}

// kick wakes the first waiter to look again.
func (p *pool) kick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiters) == 0 {
		return
	}
	w := p.waiters[0]
	p.waiters = p.waiters[1:]
	w.Stop()
}

// removed tells that a connection is gone, so that there may be room.
func (p *pool) removed(c *conn) {
	p.mu.Lock()
	delete(p.open, c)
	if i := slices.Index(p.idle, c); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
	p.mu.Unlock()
	p.kick()
}

// sweep ends what was idle for long.
func (p *pool) sweep() {
	p.mu.Lock()
	p.sweeper = nil
	var old []*conn
	for len(p.idle) > 0 && time.Since(p.idle[0].idleSince) >= idleLimit {
		old = append(old, p.idle[0])
		p.idle = p.idle[1:]
	}
	if len(p.idle) > 0 && !p.closed {
		p.sweeper = time.AfterFunc(idleLimit-time.Since(p.idle[0].idleSince), p.sweep)
	}
	p.mu.Unlock()
	for _, c := range old {
		c.retire()
	}
}

// retire ends the pool; calls in flight finish.
func (p *pool) retire() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.retire()
	}
}

// close ends the pool at once.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	if p.sweeper != nil {
		p.sweeper.Stop()
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
		c.kill()
	}
}

package zlupcall

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"zinnialock/core/connection/zladmission"
	"zinnialock/core/request/zlaggregator"
	"zinnialock/core/request/zlquery"
)

// errHeld is what a write returns that was not allowed to begin.
var errHeld = errors.New("zlupcall: not allowed to send")

// conn is one connection. It asks the permit right before the first byte of a
// request, and tells the gate when the upstream ends it.
type conn struct {
	net.Conn
	pool   *pool
	mark   *zladmission.Conn
	client *http.ClientConn
	// idleSince belongs to the pool.
	idleSince time.Time

	mu       sync.Mutex
	flight   *flight
	ending   bool
	isClosed bool
	// peerEnded tells that a read met the end or a fault.
	peerEnded bool
	draining  bool
}

// flight is one request on a connection; the connection's lock covers it.
type flight struct {
	conn     *conn
	permit   zlaggregator.Permit
	deadline time.Time
	started  bool
	wrote    bool
	halted   bool
	refusal  zlquery.Reason
}

// opened takes the raw connection over, unless the pool was closed meanwhile.
func (c *conn) opened(raw net.Conn) (net.Conn, error) {
	c.mu.Lock()
	if c.isClosed {
		c.mu.Unlock()
		_ = raw.Close()
		return nil, net.ErrClosed
	}
	c.Conn = raw
	c.mu.Unlock()
	// The gate may call back, so no lock is held.
	c.mark.Opened()
	return c, nil
}

func (c *conn) begin(f *zlaggregator.Fetch) *flight {
	c.mark.SetBusy(true)
	fl := &flight{
		conn:     c,
		permit:   f.Permit,
		deadline: f.Deadline,
	}
	c.mu.Lock()
	c.flight = fl
	c.mu.Unlock()
	return fl
}

// finish ends a flight and reports whether it was halted.
func (c *conn) finish(fl *flight) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flight = nil
	return fl.halted
}

// clean reports whether the connection had ended before anything was tried.
func (fl *flight) clean() bool {
	fl.conn.mu.Lock()
	defer fl.conn.mu.Unlock()
	return !fl.started && fl.refusal == zlquery.ReasonNone
}

func (fl *flight) result() (refusal zlquery.Reason, wrote, halted bool) {
	fl.conn.mu.Lock()
	defer fl.conn.mu.Unlock()
	return fl.refusal, fl.wrote, fl.halted
}

// Stop implements zlaggregator.Stopper. The sending side is closed, which cancels the
// request at the upstream; that the upstream closes in turn confirms its end.
func (fl *flight) Stop() {
	c := fl.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.flight != fl || fl.halted {
		return
	}
	fl.halted = true
	if fl.permit == nil {
		go c.kill()
		return
	}
	c.shut(fl.deadline)
}

// shut closes the sending side and waits for the upstream's end as long as its
// VM acknowledges what it gets, lingerLimit at most; mu is held.
func (c *conn) shut(deadline time.Time) {
	if c.isClosed {
		return
	}
	c.ending = true
	c.mark.MarkClosing()
	until := time.Now()
	if deadline.After(until) {
		until = deadline
	}
	_ = c.SetReadDeadline(until.Add(lingerLimit))
	half, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	// Both fail only on a connection that is closed already.
	_ = watchVM(half)
	_ = half.CloseWrite()
}

// retire ends an idle connection.
func (c *conn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shut(time.Time{})
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	fl, err := c.start()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(data)
	if n > 0 && fl != nil {
		c.mu.Lock()
		fl.wrote = true
		c.mu.Unlock()
	}
	return n, err
}

// start asks the permit before the first byte of a request.
func (c *conn) start() (*flight, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fl := c.flight
	if fl == nil {
		return nil, errHeld
	}
	if fl.started {
		return fl, nil
	}
	if fl.permit != nil {
		if reason := fl.permit.Start(c.mark); reason != zlquery.ReasonNone {
			fl.refusal = reason
			return nil, errHeld
		}
	}
	fl.started = true
	return fl, nil
}

// Read implements net.Conn.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if err != nil {
		c.readFailed(err)
	}
	return n, err
}

func (c *conn) readFailed(err error) {
	c.mu.Lock()
	ours := c.isClosed || (c.ending && errors.Is(err, io.EOF)) || isTimeout(err)
	c.peerEnded = true
	c.mu.Unlock()
	if !ours {
		c.mark.Broken()
	}
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// Close implements net.Conn. Unless the upstream has ended the connection, it
// counts until the upstream confirms the end.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		return nil
	}
	if c.Conn == nil || c.peerEnded {
		c.gone()
		return nil
	}
	if c.draining {
		return nil
	}
	c.draining = true
	c.shut(time.Time{})
	go c.drain()
	return nil
}

// drain waits for the upstream's end of a connection that is being closed.
func (c *conn) drain() {
	_, _ = io.Copy(io.Discard, c.Conn)
	c.kill()
}

// kill ends the connection at once.
func (c *conn) kill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isClosed {
		c.gone()
	}
}

// gone lets go of the connection; mu is held.
func (c *conn) gone() {
	c.isClosed = true
	if c.Conn != nil {
		_ = c.Conn.Close()
	}
	c.mark.Closed()
	go c.pool.removed(c)
}

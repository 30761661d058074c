package zlupstreamclient

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"zinnialock/core/connection/zladmission"
	"zinnialock/core/connection/zlreadbudget"
	"zinnialock/core/request/zlexecutor"
	"zinnialock/core/request/zlquery"
)

// errSendRefused is returned by a write for which there is no request or no
// permission to send.
var errSendRefused = errors.New("zlupstreamclient: sending the request is not permitted")

// errNoRoom ends a connection whose reply does not fit the budget.
var errNoRoom = errors.New("zlupstreamclient: no room for the reply")

// conn is one connection to an upstream. It checks the permit right before the
// first byte of a request is written, and notifies the gate when the upstream
// closes the connection.
type conn struct {
	net.Conn
	pool     *pool
	gateConn *zladmission.Conn
	client   *http.ClientConn
	// reservation holds the bytes of the current reply.
	reservation zlreadbudget.Reservation
	// idleSince is guarded by the mutex of the pool.
	idleSince time.Time

	// mu guards the fields below.
	mu sync.Mutex
	// exchange is the current request, nil while there is none.
	exchange *exchange
	// writeClosed is set once this side has begun to close the connection.
	writeClosed bool
	closed      bool
	// readEnded is set once a read has returned an error or the end of the stream.
	readEnded bool
	draining  bool
}

// exchange is one request on a connection and its reply. The mutex of the
// connection guards it.
type exchange struct {
	conn     *conn
	permit   zlexecutor.Permit
	deadline time.Time
	// started is set once the permit has allowed the first write.
	started bool
	// wrote is set once at least one byte was written.
	wrote bool
	// stopped is set by Stop.
	stopped bool
	// refusal is why the permit refused the request, ReasonNone if it did not.
	refusal zlquery.Reason
}

// opened takes over the raw connection, or closes it if c was closed during the
// dial.
func (c *conn) opened(raw net.Conn) (net.Conn, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		_ = raw.Close()
		return nil, net.ErrClosed
	}
	c.Conn = raw
	c.mu.Unlock()
	// The gate may call back, so mu must not be held.
	c.gateConn.Opened()
	return c, nil
}

// begin starts an exchange for f. The connection must be idle.
func (c *conn) begin(f *zlexecutor.Fetch) *exchange {
	c.gateConn.SetBusy(true)
	ex := &exchange{
		conn:     c,
		permit:   f.Permit,
		deadline: f.Deadline,
	}
	c.mu.Lock()
	c.exchange = ex
	c.mu.Unlock()
	return ex
}

// finish ends the exchange and reports whether it was stopped.
func (c *conn) finish(ex *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange = nil
	c.reservation.Reset()
	return ex.stopped
}

// unsent reports whether the connection failed before the request was started.
func (ex *exchange) unsent() bool {
	ex.conn.mu.Lock()
	defer ex.conn.mu.Unlock()
	return !ex.started && ex.refusal == zlquery.ReasonNone
}

// result returns the outcome of the write side.
func (ex *exchange) result() (refusal zlquery.Reason, wrote, stopped bool) {
	ex.conn.mu.Lock()
	defer ex.conn.mu.Unlock()
	return ex.refusal, ex.wrote, ex.stopped
}

// Stop implements zlexecutor.Stopper. It closes the write side of the connection,
// which cancels the request at the upstream. The upstream confirms that it stopped
// by closing its own side.
func (ex *exchange) Stop() {
	c := ex.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exchange != ex || ex.stopped {
		return
	}
	ex.stopped = true
	if ex.permit == nil {
		go c.closeNow()
		return
	}
	c.closeWrite(ex.deadline)
}

// closeWrite closes the write side. Reads then wait for the upstream to close its
// side until closeConfirmTimeout after the deadline, as long as the upstream's VM
// acknowledges data. The caller holds mu.
func (c *conn) closeWrite(deadline time.Time) {
	if c.closed {
		return
	}
	c.writeClosed = true
	c.gateConn.MarkClosing()
	until := time.Now()
	if deadline.After(until) {
		until = deadline
	}
	_ = c.SetReadDeadline(until.Add(closeConfirmTimeout))
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	// Both calls fail only on a connection that is closed already.
	_ = setUnackedTimeout(tcp)
	_ = tcp.CloseWrite()
}

// closeGracefully closes the write side of an idle connection.
func (c *conn) closeGracefully() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeWrite(time.Time{})
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	ex, err := c.startExchange()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(data)
	if n > 0 && ex != nil {
		c.mu.Lock()
		ex.wrote = true
		c.mu.Unlock()
	}
	return n, err
}

// startExchange returns the current exchange. On the first write of a request it asks
// the permit, if there is one. It returns errSendRefused if the permit refuses or if
// there is no exchange.
func (c *conn) startExchange() (*exchange, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ex := c.exchange
	if ex == nil {
		return nil, errSendRefused
	}
	if ex.started {
		return ex, nil
	}
	if ex.permit != nil {
		if reason := ex.permit.Start(c.gateConn); reason != zlquery.ReasonNone {
			ex.refusal = reason
			return nil, errSendRefused
		}
	}
	ex.started = true
	return ex, nil
}

// Read implements net.Conn.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if err != nil {
		c.readFailed(err)
	}
	if n > 0 && !c.reservation.Grow(zlreadbudget.Bytes(n)) {
		return 0, errNoRoom
	}
	return n, err
}

// readFailed notifies the gate of a failed read unless this side caused it.
func (c *conn) readFailed(err error) {
	c.mu.Lock()
	local := c.closed || (c.writeClosed && errors.Is(err, io.EOF)) || isTimeout(err)
	c.readEnded = true
	c.mu.Unlock()
	if !local {
		c.gateConn.PeerClosed()
	}
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// Close implements net.Conn. Unless the upstream has closed the connection, it
// counts towards the limits until the upstream does so.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	if c.Conn == nil || c.readEnded {
		c.closeLocked()
		return nil
	}
	if c.draining {
		return nil
	}
	c.draining = true
	c.closeWrite(time.Time{})
	go c.drain()
	return nil
}

// drain waits for the upstream to close its side, then closes the connection.
func (c *conn) drain() {
	_, _ = io.Copy(io.Discard, c.Conn)
	c.closeNow()
}

// closeNow closes the connection without waiting for the upstream.
func (c *conn) closeNow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.closeLocked()
	}
}

// closeLocked closes the connection and removes it from the gate and the pool. The
// caller holds mu.
func (c *conn) closeLocked() {
	c.closed = true
	if c.Conn != nil {
		_ = c.Conn.Close()
	}
	c.gateConn.Closed()
	go c.pool.removeConn(c)
}

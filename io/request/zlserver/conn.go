package zlserver

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"zinnialock/core/connection/zlreadbudget"
)

// errNoRoom ends a connection whose request does not fit the budget.
var errNoRoom = errors.New("zlserver: no room for the request")

// callerConn is a caller's connection. It records when a request head begins, which
// net/http does not report.
type callerConn struct {
	net.Conn
	// headBegan is when the first byte of an incomplete head was read, in Unix
	// nanoseconds, or 0.
	headBegan atomic.Int64
	// serving is true while a request is being served.
	serving atomic.Bool
	// reservation holds the bytes of the current request.
	reservation zlreadbudget.Reservation
	// requests counts the calls of IsFirstRequest.
	requests atomic.Int64
}

// Read implements net.Conn.
func (c *callerConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 && c.headBegan.Load() == 0 {
		c.headBegan.Store(time.Now().UnixNano())
	}
	if n > 0 && !c.reservation.Grow(zlreadbudget.Bytes(n)) {
		return 0, errNoRoom
	}
	return n, err
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.reservation.Close()
	return c.Conn.Close()
}

// headRead records that a head is complete and its request is being served.
func (c *callerConn) headRead() {
	c.serving.Store(true)
	c.headBegan.Store(0)
}

// served records the end of a request. If bytes of the next head were read meanwhile,
// the time for that head counts from now.
func (c *callerConn) served() {
	if c.headBegan.Load() != 0 {
		c.headBegan.Store(time.Now().UnixNano())
	}
	c.serving.Store(false)
	c.reservation.Reset()
}

// isHeadSlow reports whether a head that began before the given time is incomplete.
func (c *callerConn) isHeadSlow(before time.Time) bool {
	began := c.headBegan.Load()
	return began != 0 && !c.serving.Load() && time.Unix(0, began).Before(before)
}

// callerListener wraps each accepted connection in a callerConn.
type callerListener struct {
	net.Listener
	budget *zlreadbudget.Budget
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{
		Conn: c,
		reservation: zlreadbudget.Reservation{
			Budget: l.budget,
		},
	}, nil
}

type callerKey struct{}

// withCaller is the ConnContext function of the server.
func withCaller(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, c)
}

func callerOf(ctx context.Context) (*callerConn, bool) {
	c, ok := ctx.Value(callerKey{}).(*callerConn)
	return c, ok
}

// IsFirstRequest reports whether a request is the first of its connection, so that
// the caller waited for the handshake too. It counts its calls, so it must be called
// once for each request. It returns false outside a request of a Server.
func IsFirstRequest(ctx context.Context) bool {
	c, ok := callerOf(ctx)
	return ok && c.requests.Add(1) == 1
}

package zlserver

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// callerConn is a caller's connection. It notes when a head begins, which the
// library does not tell.
type callerConn struct {
	net.Conn
	// began is when the first byte of a head came, in Unix nanoseconds, or 0.
	began atomic.Int64
	// serving tells that a request is being served.
	serving  atomic.Bool
	requests atomic.Int64
}

// Read implements net.Conn.
func (c *callerConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 && c.began.Load() == 0 {
		c.began.Store(time.Now().UnixNano())
	}
	return n, err
}

// headRead notes that a head is whole and its request is being served.
func (c *callerConn) headRead() {
	c.serving.Store(true)
	c.began.Store(0)
}

// served notes the end of a request. What was read meanwhile begins a head now.
func (c *callerConn) served() {
	if c.began.Load() != 0 {
		c.began.Store(time.Now().UnixNano())
	}
	c.serving.Store(false)
}

// isSlow reports whether a head that has begun before is not whole yet.
func (c *callerConn) isSlow(before time.Time) bool {
	began := c.began.Load()
	return began != 0 && !c.serving.Load() && time.Unix(0, began).Before(before)
}

// callerListener wraps what it accepts.
type callerListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{
		Conn: c,
	}, nil
}

type callerKey struct{}

func withCaller(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, c)
}

func callerOf(ctx context.Context) (*callerConn, bool) {
	c, ok := ctx.Value(callerKey{}).(*callerConn)
	return c, ok
}

// IsFirst reports whether a request is the first of its caller's connection,
// which the caller made for it. It is to be asked once for each request.
func IsFirst(ctx context.Context) bool {
	c, ok := callerOf(ctx)
	return ok && c.requests.Add(1) == 1
}

package zlconnlimit

import (
	"net"
	"time"
)

const (
	// writePieceBytes is how much of an answer is written at a time: whoever takes a piece
	// reads, if slowly.
	writePieceBytes = 32 << 10
	// stallTime is how long nothing of an answer must have been read until its connection may
	// be closed for a new one: ordinary callers wait for their answer.
	stallTime = time.Second
)

// Write implements net.Conn. It notes since when the other side has taken nothing.
func (c *Conn) Write(data []byte) (int, error) {
	for n := 0; ; {
		c.startWrite()
		k, err := c.Conn.Write(data[n:min(n+writePieceBytes, len(data))])
		c.endWrite()
		if n += k; err != nil || n == len(data) {
			return n, err
		}
	}
}

func (c *Conn) startWrite() {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.writing != nil || c.gone {
		return
	}
	c.writingSince = time.Now()
	c.writing = l.answers.PushBack(c)
}

func (c *Conn) endWrite() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.endWriteLocked()
}

// endWriteLocked is endWrite for callers that hold limiter.mu.
func (c *Conn) endWriteLocked() {
	if c.writing != nil {
		c.limiter.answers.Remove(c.writing)
		c.writing = nil
	}
}

// stalled returns the connection whose answer has waited longest for its reader, or nil if none
// has for limit. The caller holds mu.
func (l *Limiter) stalled(now time.Time, limit time.Duration) *Conn {
	e := l.answers.Front()
	if e == nil {
		return nil
	}
	if c := e.Value.(*Conn); now.Sub(c.writingSince) >= limit {
		return c
	}
	return nil
}

// closeStalled closes a connection whose answer isn't read, and drops what the kernel still has
// of it. The caller holds mu.
func (l *Limiter) closeStalled(c *Conn, cause Cause) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	l.closeLocked(c, cause)
}

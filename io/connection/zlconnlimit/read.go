package zlconnlimit

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"zinnialock/core/connection/zlreadbudget"
)

const (
	// firstBufferBytes is the size of the buffer in which a head is begun: most heads fit.
	firstBufferBytes = 512
	// refusalTime bounds the writing of a refusal and the reading of what follows, which
	// keeps the refusal from being lost; maxDiscardBytes bounds the latter too.
	refusalTime     = 250 * time.Millisecond
	maxDiscardBytes = 64 << 10
)

// refusals are the answers to heads that can't be served; a connection that is closed for
// another cause gets none. None of these requests runs.
var refusals = map[Cause]string{
	CauseHeadSize:   "431 Request Header Fields Too Large",
	CauseEmptyLines: "400 Bad Request",
	CauseRequests:   "503 Service Unavailable",
}

// errNoRoom ends a connection whose request doesn't fit the limits.
var errNoRoom = errors.New("zlconnlimit: no room for the request")

// Read implements net.Conn.
func (c *Conn) Read(data []byte) (int, error) {
	if c.phase == phaseHead {
		if n, err := c.gather(data); n > 0 || err != nil {
			return n, err
		}
	}
	if len(c.buffer) > 0 {
		n := copy(data, c.buffer)
		if c.buffer = c.buffer[n:]; len(c.buffer) == 0 {
			c.buffer = nil
		}
		return n, nil
	}
	n, err := c.Conn.Read(data)
	if n > 0 && !c.account(data[:n], len(data)) {
		c.limiter.count(CauseNoRoom)
		return 0, errNoRoom
	}
	return n, err
}

// account counts bytes that are passed on as they come; size is that of the buffer.
func (c *Conn) account(data []byte, size int) bool {
	n := zlreadbudget.Bytes(len(data))
	if c.phase == phaseRequest {
		if size == 1 {
			// An error would end the request that is being served.
			c.early = append(c.early, data...)
			return true
		}
		c.bodyBytes += int64(n)
		return c.request.Grow(n)
	}
	c.limiter.mu.Lock()
	reading := c.state == stateIdle || c.state == stateHead
	c.limiter.mu.Unlock()
	if !reading {
		return c.request.Grow(n)
	}
	c.enter(stateHead)
	c.scanner.size += n
	return c.scanner.size <= c.limiter.limits().HeadBytes+HeadSlack && c.head.Grow(pipelinedFactor*n)
}

// gather reads until a head is whole. A head that comes in one piece is read into space,
// if that is large enough, and its length is returned; others are kept in c.buffer.
func (c *Conn) gather(space []byte) (int, error) {
	for c.phase == phaseHead {
		target := space
		direct := len(c.buffer) == 0 && len(space) >= firstBufferBytes
		if !direct {
			if !c.growBuffer() {
				return 0, c.closeFor(CauseNoRoom)
			}
			target = c.buffer[len(c.buffer):cap(c.buffer)]
		}
		n, err := c.Conn.Read(target)
		if n == 0 && err != nil {
			return 0, err
		}
		if cause := c.receive(target[:n]); cause != "" {
			return 0, c.closeFor(cause)
		}
		switch {
		case !direct:
			c.buffer = c.buffer[:len(c.buffer)+n]
		case c.phase != phaseHead:
			return n, nil
		default:
			c.buffer = append(make([]byte, 0, max(n, firstBufferBytes)), space[:n]...)
			if !c.head.Grow(zlreadbudget.Bytes(cap(c.buffer))) {
				return 0, c.closeFor(CauseNoRoom)
			}
		}
	}
	c.head.Reset()
	return 0, nil
}

// growBuffer makes room for more bytes of a head and reports whether the budget has it.
func (c *Conn) growBuffer() bool {
	n := len(c.buffer)
	if n < cap(c.buffer) {
		return true
	}
	larger := max(firstBufferBytes, 2*n)
	if !c.head.Grow(zlreadbudget.Bytes(larger - n)) {
		return false
	}
	c.buffer = append(make([]byte, 0, larger), c.buffer...)
	return true
}

// receive takes the next bytes of a head, and returns why the connection is to be closed.
func (c *Conn) receive(data []byte) Cause {
	n, whole := c.scanner.scan(data)
	if c.scanner.size > HeadSlack && c.scanner.size > c.limiter.limits().HeadBytes {
		return CauseHeadSize
	}
	switch {
	case c.scanner.empty > maxEmptyLines:
		return CauseEmptyLines
	case !whole:
		c.enter(stateHead)
	case !c.enter(stateServing):
		return CauseConnections
	case !c.request.Grow(c.scanner.cost()):
		return CauseRequests
	default:
		c.bodyBytes = int64(len(data) - n)
		c.phase = phaseRequest
	}
	return ""
}

// closeFor closes the connection for a limit, with an answer if there is one. It returns
// an error at which net/http adds none.
func (c *Conn) closeFor(cause Cause) error {
	if status, ok := refusals[cause]; ok {
		c.refuse(status)
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.limiter.closeLocked(c, cause)
	return io.EOF
}

func (c *Conn) refuse(status string) {
	_ = c.SetDeadline(time.Now().Add(refusalTime))
	text := "HTTP/1.1 " + status + "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n" + status
	if _, err := io.WriteString(c.Conn, text); err != nil {
		return
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	buffer := c.buffer[:cap(c.buffer)]
	if len(buffer) == 0 {
		buffer = make([]byte, firstBufferBytes)
	}
	for n, k := 0, 0; n < maxDiscardBytes; n += k {
		var err error
		if k, err = c.Conn.Read(buffer); err != nil {
			return
		}
	}
}

// body notices the end of a request's body, before which the connection may be closed.
type body struct {
	io.ReadCloser
	conn *Conn
	// left is what is missing, or negative if that isn't known.
	left int64
}

// newBodyRequest returns r with a body that is noticed, if it has one.
func (c *Conn) newBodyRequest(r *http.Request) *http.Request {
	if r.ContentLength == 0 || r.Body == nil {
		return r
	}
	c.enter(stateBody)
	noticed := r.WithContext(r.Context())
	noticed.Body = &body{
		ReadCloser: r.Body,
		conn:       c,
		left:       r.ContentLength,
	}
	return noticed
}

// Read implements io.Reader. It fails instead of returning the end of a body whose
// connection was closed: the request must not be passed on.
func (b *body) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	b.left -= int64(n)
	if (b.left == 0 || errors.Is(err, io.EOF)) && !b.conn.enter(stateServing) {
		return 0, net.ErrClosed
	}
	return n, err
}

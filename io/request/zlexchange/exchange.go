package zlexchange

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"zinnialock/core/connection/zlreadbudget"
	"zinnialock/core/process/zldecision"
	"zinnialock/core/request/zlrelay"
	"zinnialock/core/request/zlstatus"
	"zinnialock/core/version/zlregistry"
)

const (
	// maxInlineBodyBytes is the capacity of the smallest socket buffer: a write of up
	// to that size does not block. A longer body is written while the answer is read, since a
	// replica may answer before it has read the body.
	maxInlineBodyBytes = 8 << 10
	// maxForeignReplies is how many answers to other requests are skipped before the
	// connection is closed.
	maxForeignReplies = 2
)

// exchange writes the request and reads its answer. It reports whether the
// connection may be reused.
func (x *Exchange) exchange(c *conn, e *zlregistry.Entry, call *zlrelay.Call) (zlrelay.Reply, bool) {
	head, req := x.requestHead(e, call)
	c.used++
	body := call.Request.Message.Body
	var written chan error
	if len(body) <= maxInlineBodyBytes {
		n, err := c.Write(append(head, body...))
		if err != nil {
			return writeFailure(n), false
		}
	} else {
		n, err := c.Write(head)
		if err != nil {
			return writeFailure(n), false
		}
		written = make(chan error, 1)
		go func() {
			_, err := c.Write(body)
			written <- err
		}()
	}
	reply, reusable := x.receive(c, req, e, call)
	if written == nil {
		return reply, reusable
	}
	select {
	case err := <-written:
		return reply, reusable && err == nil
	default:
		// The body is not written completely. On a reused connection the replica
		// would read the next request as the rest of the body.
		return reply, false
	}
}

// writeFailure returns the reply to a call whose first write failed after n bytes.
// Without any byte written the request cannot have run.
func writeFailure(n int) zlrelay.Reply {
	if n > 0 {
		return &zlrelay.Unknown{
			Reason: zldecision.ReasonConnectionBroken,
		}
	}
	return &zlrelay.NotRun{
		Reason: zldecision.ReasonUnreached,
	}
}

// requestHead returns the request line and headers as bytes, and the request that
// http.ReadResponse needs to parse the answer.
func (x *Exchange) requestHead(e *zlregistry.Entry, call *zlrelay.Call) ([]byte, *http.Request) {
	m := call.Request.Message
	var b bytes.Buffer
	b.Grow(512)
	writeStrings(&b, m.Method, " ", m.Target, " HTTP/1.1\r\n")
	writeStrings(&b, "Host: ", m.Host, "\r\n")
	added := x.Translator.Outgoing(e, call, time.Until(call.Deadline))
	for name, values := range m.Header {
		if _, replaced := added[name]; replaced {
			continue
		}
		for _, v := range values {
			writeStrings(&b, name, ": ", v, "\r\n")
		}
	}
	for name, values := range added {
		for _, v := range values {
			writeStrings(&b, name, ": ", v, "\r\n")
		}
	}
	if len(m.Body) > 0 || expectsBody(m.Method) {
		writeStrings(&b, "Content-Length: ", strconv.Itoa(len(m.Body)), "\r\n")
	}
	writeStrings(&b, "\r\n")
	return b.Bytes(), &http.Request{
		Method: m.Method,
		URL:    &url.URL{},
	}
}

// expectsBody reports whether a request of this method has a Content-Length header
// even without a body.
func expectsBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

func writeStrings(b *bytes.Buffer, parts ...string) {
	for _, s := range parts {
		b.WriteString(s)
	}
}

// receive reads answers until one belongs to the call, and records those that do
// not. It reports whether the connection may be reused.
func (x *Exchange) receive(c *conn, req *http.Request, e *zlregistry.Entry, call *zlrelay.Call) (zlrelay.Reply, bool) {
	c.reservation = &zlreadbudget.Reservation{
		Budget: x.Budget,
	}
	call.Request.AtEnd(c.reservation.Close)
	for range maxForeignReplies + 1 {
		c.allowance = maxHeadBytes
		resp, err := http.ReadResponse(c.reader, req)
		for err == nil && zlstatus.IsInterim(resp.StatusCode) {
			resp, err = http.ReadResponse(c.reader, req)
		}
		if err != nil {
			return c.headFailure(err), false
		}
		if !zlstatus.IsFinal(resp.StatusCode) {
			return unknown(zldecision.ReasonConnectionBroken), false
		}
		c.allowance = maxReplyBytes + maxFramingBytes
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
		if len(body) > maxReplyBytes {
			c.tooLarge = true
		}
		if err != nil || c.tooLarge {
			return c.readFailure(), false
		}
		reply := x.Translator.Incoming(call, resp, body)
		if reply == nil {
			x.Sink.Record(&zldecision.Dropped{
				Request:  call.Request.ID,
				Reason:   zldecision.ReasonForeignReply,
				Upstream: e.ID,
				Status:   resp.StatusCode,
			})
			continue
		}
		c.idleTimeout = idleTimeout(resp.Header)
		reusable := !resp.Close && c.idleTimeout > 0 && c.reader.Buffered() == 0
		return reply, reusable
	}
	return unknown(zldecision.ReasonForeignReply), false
}

// readFailure returns the reply to a call whose answer could not be read. Bytes of an
// answer that is too large are not kept.
func (c *conn) readFailure() zlrelay.Reply {
	if c.tooLarge {
		c.reservation.Close()
		return unknown(zldecision.ReasonReplyTooLarge)
	}
	return unknown(zldecision.ReasonConnectionBroken)
}

// headFailure returns the reply to a call for which no head of an answer could be read.
func (c *conn) headFailure(err error) zlrelay.Reply {
	if c.allowance < maxHeadBytes || c.reader.Buffered() > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		return c.readFailure()
	}
	return &zlrelay.Unknown{
		Reason:       zldecision.ReasonConnectionBroken,
		ReplicaEnded: true,
	}
}

func unknown(reason zldecision.Reason) zlrelay.Reply {
	return &zlrelay.Unknown{
		Reason: reason,
	}
}

// idleTimeout returns how long a connection may be idle: the timeout of the
// Keep-Alive header minus idleMargin, at most maxIdleTime. The result is not
// positive if the timeout is within the margin.
func idleTimeout(h http.Header) time.Duration {
	for _, v := range h.Values("Keep-Alive") {
		for item := range strings.SplitSeq(v, ",") {
			name, value, ok := strings.Cut(strings.TrimSpace(item), "=")
			if !ok || !strings.EqualFold(name, "timeout") {
				continue
			}
			if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
				return min(time.Duration(s)*time.Second-idleMargin, maxIdleTime)
			}
		}
	}
	return maxIdleTime
}

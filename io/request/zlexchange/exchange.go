package zlexchange

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/request/zlrelay"
	"zinnialock/core/version/zlregistry"
)

const (
	// smallBody is what the smallest socket buffer takes; a longer body is
	// written while the answer is read, since a replica may answer first.
	smallBody = 8 << 10
	// strangersMost is how many answers to other requests are skipped.
	strangersMost = 2
)

// exchange writes the call and reads its answer. It reports whether the
// connection may be used again.
func (x *Exchange) exchange(c *conn, e *zlregistry.Entry, call *zlrelay.Call) (zlrelay.Reply, bool) {
	head, req := x.message(e, call)
	c.used++
	body := call.Request.Message.Body
	var written chan error
	if len(body) <= smallBody {
		n, err := c.Write(append(head, body...))
		if err != nil {
			return unsent(n), false
		}
	} else {
		n, err := c.Write(head)
		if err != nil {
			return unsent(n), false
		}
		written = make(chan error, 1)
		go func() {
			_, err := c.Write(body)
			written <- err
		}()
	}
	reply, sound := x.receive(c, req, e, call)
	if written == nil {
		return reply, sound
	}
	select {
	case err := <-written:
		return reply, sound && err == nil
	default:
		// The replica would take what is left of the body for it, and the
		// next request's bytes as well.
		return reply, false
	}
}

// unsent tells what a failed first write means: nothing was handed over, or
// part of it was.
func unsent(n int) zlrelay.Reply {
	if n > 0 {
		return &zlrelay.Unknown{
			Reason: zldecision.ReasonConnectionBroken,
		}
	}
	return &zlrelay.NotRun{
		Reason: zldecision.ReasonUnreached,
	}
}

// message returns the head as bytes, and the request as the parser of answers
// needs it.
func (x *Exchange) message(e *zlregistry.Entry, call *zlrelay.Call) ([]byte, *http.Request) {
	m := call.Request.Message
	var b bytes.Buffer
	b.Grow(512)
	line(&b, m.Method, " ", m.Target, " HTTP/1.1\r\n")
	line(&b, "Host: ", m.Host, "\r\n")
	ours := x.Translator.Outgoing(e, call, time.Until(call.Deadline))
	for name, values := range m.Header {
		if _, taken := ours[name]; taken {
			continue
		}
		for _, v := range values {
			line(&b, name, ": ", v, "\r\n")
		}
	}
	for name, values := range ours {
		for _, v := range values {
			line(&b, name, ": ", v, "\r\n")
		}
	}
	if len(m.Body) > 0 || expectsBody(m.Method) {
		line(&b, "Content-Length: ", strconv.Itoa(len(m.Body)), "\r\n")
	}
	line(&b, "\r\n")
	return b.Bytes(), &http.Request{
		Method: m.Method,
		URL:    &url.URL{},
	}
}

func expectsBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

func line(b *bytes.Buffer, pieces ...string) {
	for _, s := range pieces {
		b.WriteString(s)
	}
}

// receive reads answers until one belongs to the call.
func (x *Exchange) receive(c *conn, req *http.Request, e *zlregistry.Entry, call *zlrelay.Call) (zlrelay.Reply, bool) {
	for range strangersMost + 1 {
		resp, err := http.ReadResponse(c.reader, req)
		for err == nil && resp.StatusCode < http.StatusOK {
			resp, err = http.ReadResponse(c.reader, req)
		}
		if err != nil {
			return broken(zldecision.ReasonConnectionBroken), false
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, replyLimit+1))
		if err != nil || len(body) > replyLimit {
			return broken(zldecision.ReasonConnectionBroken), false
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
		c.keep = keepTime(resp.Header)
		sound := !resp.Close && c.keep > 0 && c.reader.Buffered() == 0
		return reply, sound
	}
	return broken(zldecision.ReasonForeignReply), false
}

func broken(why zldecision.Reason) zlrelay.Reply {
	return &zlrelay.Unknown{
		Reason: why,
	}
}

// keepTime is how long a connection may be idle, from what the replica says.
func keepTime(h http.Header) time.Duration {
	for _, v := range h.Values("Keep-Alive") {
		for item := range strings.SplitSeq(v, ",") {
			name, value, ok := strings.Cut(strings.TrimSpace(item), "=")
			if !ok || !strings.EqualFold(name, "timeout") {
				continue
			}
			if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
				return min(time.Duration(s)*time.Second-idleMargin, idleLimit)
			}
		}
	}
	return idleLimit
}

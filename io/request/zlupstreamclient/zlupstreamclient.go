// Package zlupstreamclient sends sub-requests of zinnialock serve to upstreams over
// HTTP with JSON bodies and classifies the replies as done, not run or unknown; its
// counterpart in the relay is zlexchange. It keeps a pool of connections for each
// upstream and reports their state to the upstream's admission gate. It neither
// chooses the upstream nor retries a request that may have been sent.
package zlupstreamclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"zinnialock/core/connection/zladmission"
	"zinnialock/core/connection/zlreadbudget"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlexecutor"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlcatalog"
)

// Path is the URL path at which upstreams accept queries.
const Path = "/query"

const (
	// maxReplyBytes bounds the body of an upstream's reply, and maxHeadBytes its head.
	maxReplyBytes = 8 << 20
	maxHeadBytes  = 32 << 10
	// dialTimeout bounds the establishment of a connection.
	dialTimeout = time.Second
	// closeConfirmTimeout bounds the wait, past the deadline, for the upstream to
	// close a connection after a cancelled request. It exceeds the longest pause
	// of a process in the tests (22 s, contrib/fleet.sh), since a paused upstream
	// resumes the request afterwards.
	closeConfirmTimeout = 30 * time.Second
	// unackedTimeout is how long the upstream's VM may leave data unacknowledged
	// during that wait. It covers a wide-area round trip and the first two
	// retransmissions.
	unackedTimeout = 2 * time.Second
	// idleTimeout is how long an unused connection stays open.
	idleTimeout = 20 * time.Second
	// maxConnAttempts bounds the connections tried for one sub-request.
	maxConnAttempts = 3
)

// Caller sends sub-requests to upstreams and pools the connections. The zero
// value is ready for use, and all methods may be called concurrently. Close must
// be called at the end.
type Caller struct {
	// Budget limits the bytes of all replies that are being read; nil means no limit. It
	// must be set before use.
	Budget *zlreadbudget.Budget

	mu     sync.Mutex
	pools  map[zlunit.Upstream]*pool
	closed bool
}

var _ zlexecutor.Fetcher = (*Caller)(nil)

// pool returns the connection pool of u. If the address of u has changed, it
// starts a new pool and closes the idle connections of the old one.
func (c *Caller) pool(u *zlcatalog.Upstream, gate *zladmission.Gate) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[u.Name]
	if ok && p.address == u.Address {
		return p
	}
	if ok {
		go p.closeGracefully()
	}
	if c.pools == nil {
		c.pools = map[zlunit.Upstream]*pool{}
	}
	p = newPool(u, gate)
	p.budget = c.Budget
	p.closed = c.closed
	c.pools[u.Name] = p
	return p
}

// Close closes all connections at once; requests in flight fail.
func (c *Caller) Close() {
	c.mu.Lock()
	c.closed = true
	pools := make([]*pool, 0, len(c.pools))
	for _, p := range c.pools {
		pools = append(pools, p)
	}
	c.mu.Unlock()
	for _, p := range pools {
		p.close()
	}
}

// Fetch implements zlexecutor.Fetcher. Without a permit it returns no later than
// the deadline of f or the end of ctx. With a permit it may return later, since
// the request counts until the upstream has closed the connection.
func (c *Caller) Fetch(ctx context.Context, u zlcatalog.Upstream, f *zlexecutor.Fetch) zlexecutor.Fetched {
	var gate *zladmission.Gate
	if f.Permit != nil {
		gate = f.Permit.Gate()
	} else {
		bounded, cancel := context.WithDeadline(ctx, f.Deadline)
		defer cancel()
		ctx = bounded
	}
	if ctx.Done() != nil {
		stop := context.AfterFunc(ctx, f.Abandon)
		defer stop()
	}
	p := c.pool(&u, gate)
	for range maxConnAttempts {
		conn, reason := p.acquire(ctx, f)
		if reason != zlquery.ReasonNone {
			return notRun(reason, 0, "")
		}
		if fetched, sent := p.roundTrip(conn, f); sent {
			return fetched
		}
	}
	return notRun(zlquery.ReasonConnectionReset, 0, "")
}

// roundTrip sends f on conn and returns the result. It reports false if the
// connection had ended before anything was sent, so that another connection may
// be tried.
func (p *pool) roundTrip(conn *conn, f *zlexecutor.Fetch) (zlexecutor.Fetched, bool) {
	body, err := json.Marshal(Query{
		QueryID:    f.Query,
		RequestID:  f.Request,
		Shard:      f.Shard,
		Version:    f.Version,
		Text:       f.Text,
		Idempotent: f.Idempotent,
		DeadlineMs: max(time.Until(f.Deadline).Milliseconds(), 1),
	})
	if err != nil {
		p.release(conn)
		return notRun(zlquery.ReasonBadRequest, 0, ""), true
	}
	ex := conn.begin(f)
	if !f.SetStopper(ex) {
		conn.finish(ex)
		p.release(conn)
		return notRun(zlquery.ReasonCancelled, 0, ""), true
	}
	resp, err := conn.client.RoundTrip(p.newRequest(body))
	if err != nil {
		conn.finish(ex)
		_ = conn.Close()
		if ex.unsent() && !f.Abandoned() {
			return zlexecutor.Fetched{}, false
		}
		return endedResult(ex, f), true
	}
	return p.readReply(conn, ex, resp, f), true
}

func (p *pool) newRequest(body []byte) *http.Request {
	return &http.Request{
		Method:        http.MethodPost,
		URL:           p.target,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        p.header,
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
		Host:          p.address,
	}
}

// readReply reads and decodes the reply, and returns the connection to the pool
// if it can be reused.
func (p *pool) readReply(conn *conn, ex *exchange, resp *http.Response, f *zlexecutor.Fetch) zlexecutor.Fetched {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	_ = resp.Body.Close()
	stopped := conn.finish(ex)
	if err != nil {
		_ = conn.Close()
		return endedResult(ex, f)
	}
	if len(data) > maxReplyBytes {
		_ = conn.Close()
		return unknown(zlquery.ReasonBadReply, "")
	}
	out := decodeReply(resp.StatusCode, data, p.name, f)
	if isBadReply(out.Result) {
		_ = conn.Close()
		if stopped {
			return endedResult(ex, f)
		}
		return out
	}
	conn.gateConn.MarkProven(out.Process)
	defer p.wakeWaiter()
	if stopped || resp.Close {
		_ = conn.Close()
		return out
	}
	p.release(conn)
	return out
}

// endedResult returns the result of a request that got no usable reply because
// its connection ended or it was stopped.
func endedResult(ex *exchange, f *zlexecutor.Fetch) zlexecutor.Fetched {
	refusal, wrote, stopped := ex.result()
	stopReason := zlquery.ReasonCancelled
	if !time.Now().Before(f.Deadline) {
		stopReason = zlquery.ReasonDeadline
	}
	switch {
	case refusal != zlquery.ReasonNone:
		return notRun(refusal, 0, "")
	case !wrote && stopped:
		return notRun(stopReason, 0, "")
	case !wrote:
		return notRun(zlquery.ReasonConnectionReset, 0, "")
	case stopped:
		return unknown(stopReason, "")
	default:
		return unknown(zlquery.ReasonConnectionReset, "")
	}
}

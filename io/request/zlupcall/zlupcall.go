// Package zlupcall calls upstreams over HTTP with JSON bodies. It keeps a pool
// of connections for each upstream and reports their life to the gate.
package zlupcall

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"zinnialock/core/connection/zladmission"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlaggregator"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlcatalog"
)

// Path is where upstreams take queries.
const Path = "/query"

const (
	// maxReply bounds an upstream's reply, in bytes.
	maxReply = 8 << 20
	// dialLimit bounds the making of a connection.
	dialLimit = time.Second
	// lingerLimit bounds the wait, past the deadline, for the upstream to
	// confirm that it stopped: longer than the longest pause that is tried
	// (contrib/fleet.sh, 22 s). A paused process goes on where it was.
	lingerLimit = 30 * time.Second
	// silentLimit is how long the upstream's VM may leave data unacknowledged
	// meanwhile: a wide-area round trip and the first two retransmissions.
	silentLimit = 2 * time.Second
	// idleLimit is how long an unused connection is kept.
	idleLimit = 20 * time.Second
	// maxTries bounds the connections tried for one call.
	maxTries = 3
)

// Caller calls upstreams and keeps their connections. The zero value is ready
// for use; Close ends it.
type Caller struct {
	mu     sync.Mutex
	pools  map[zlunit.Upstream]*pool
	closed bool
}

var _ zlaggregator.Fetcher = (*Caller)(nil)

func (c *Caller) pool(u *zlcatalog.Upstream, gate *zladmission.Gate) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[u.Name]
	if ok && p.address == u.Address {
		return p
	}
	if ok {
		go p.retire()
	}
	if c.pools == nil {
		c.pools = map[zlunit.Upstream]*pool{}
	}
	p = newPool(u, gate)
	p.closed = c.closed
	c.pools[u.Name] = p
	return p
}

// Close drops all connections; calls in flight fail.
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

// Fetch implements zlaggregator.Fetcher. Without a permit it returns at the latest
// at the deadline or the end of ctx.
func (c *Caller) Fetch(ctx context.Context, u zlcatalog.Upstream, f *zlaggregator.Fetch) zlaggregator.Fetched {
	var gate *zladmission.Gate
	if f.Permit != nil {
		gate = f.Permit.Gate()
	} else {
		limited, cancel := context.WithDeadline(ctx, f.Deadline)
		defer cancel()
		ctx = limited
	}
	if ctx.Done() != nil {
		stop := context.AfterFunc(ctx, f.Abandon)
		defer stop()
	}
	p := c.pool(&u, gate)
	for range maxTries {
		conn, reason := p.acquire(ctx, f)
		if reason != zlquery.ReasonNone {
			return notRun(reason, 0, "")
		}
		if fetched, sent := p.try(conn, f); sent {
			return fetched
		}
	}
	return notRun(zlquery.ReasonConnectionReset, 0, "")
}

// try runs f on conn. It reports false if the connection had ended before
// anything was sent, so that another one may be tried.
func (p *pool) try(conn *conn, f *zlaggregator.Fetch) (zlaggregator.Fetched, bool) {
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
	fl := conn.begin(f)
	if !f.SetStopper(fl) {
		conn.finish(fl)
		p.release(conn)
		return notRun(zlquery.ReasonCancelled, 0, ""), true
	}
	resp, err := conn.client.RoundTrip(p.request(body))
	if err != nil {
		conn.finish(fl)
		_ = conn.Close()
		if fl.clean() && !f.Abandoned() {
			return zlaggregator.Fetched{}, false
		}
		return failed(fl, f), true
	}
	return p.read(conn, fl, resp, f), true
}

func (p *pool) request(body []byte) *http.Request {
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

func (p *pool) read(conn *conn, fl *flight, resp *http.Response, f *zlaggregator.Fetch) zlaggregator.Fetched {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReply+1))
	_ = resp.Body.Close()
	halted := conn.finish(fl)
	if err != nil {
		_ = conn.Close()
		return failed(fl, f)
	}
	if len(data) > maxReply {
		_ = conn.Close()
		return unknown(zlquery.ReasonBadReply, "")
	}
	out := classify(resp.StatusCode, data, p.name, f)
	if isBadReply(out.Result) {
		_ = conn.Close()
		if halted {
			return failed(fl, f)
		}
		return out
	}
	conn.mark.MarkProven(out.Process)
	defer p.kick()
	if halted || resp.Close {
		_ = conn.Close()
		return out
	}
	p.release(conn)
	return out
}

// failed classifies a call whose connection ended or was given up.
func failed(fl *flight, f *zlaggregator.Fetch) zlaggregator.Fetched {
	refusal, wrote, halted := fl.result()
	given := zlquery.ReasonCancelled
	if !time.Now().Before(f.Deadline) {
		given = zlquery.ReasonDeadline
	}
	switch {
	case refusal != zlquery.ReasonNone:
		return notRun(refusal, 0, "")
	case !wrote && halted:
		return notRun(given, 0, "")
	case !wrote:
		return notRun(zlquery.ReasonConnectionReset, 0, "")
	case halted:
		return unknown(given, "")
	default:
		return unknown(zlquery.ReasonConnectionReset, "")
	}
}

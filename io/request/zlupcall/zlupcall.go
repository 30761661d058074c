// Package zlupcall calls upstreams over HTTP with JSON bodies.
package zlupcall

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlaggr"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlcatalog"
)

// Query is the body of a call to an upstream.
type Query struct {
	QueryID    zlunit.QueryID      `json:"queryId"`
	RequestID  zlunit.RequestID    `json:"requestId"`
	Shard      zlunit.Shard        `json:"shard"`
	Version    zlunit.IndexVersion `json:"version"`
	Text       string              `json:"text"`
	Idempotent bool                `json:"idempotent"`
	// DeadlineMs is the time left, in milliseconds.
	DeadlineMs int64 `json:"deadlineMs"`
}

// Rows is the body of an upstream's answer.
type Rows struct {
	QueryID  zlunit.QueryID      `json:"queryId"`
	Upstream zlunit.Upstream     `json:"upstream"`
	Process  zlunit.Process      `json:"process"`
	Shard    zlunit.Shard        `json:"shard"`
	Version  zlunit.IndexVersion `json:"version"`
	Coverage zlunit.Coverage     `json:"coverage"`
	Rows     []string            `json:"rows"`
}

// Refusal is the body of an upstream's refusal.
type Refusal struct {
	Reason  zlquery.Reason `json:"reason"`
	Process zlunit.Process `json:"process"`
	// Started tells whether the work had begun.
	Started      bool  `json:"started"`
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
}

// Path is where upstreams take queries.
const Path = "/query"

// maxReply bounds an upstream's reply, in bytes.
const maxReply = 8 << 20

// Caller calls upstreams and keeps their connections. The zero value is ready
// for use; Close ends it.
type Caller struct {
	mu      sync.Mutex
	clients map[zlunit.Upstream]*http.Client
}

func (c *Caller) client(u zlcatalog.Upstream) *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if client, ok := c.clients[u.Name]; ok {
		return client
	}
	if c.clients == nil {
		c.clients = map[zlunit.Upstream]*http.Client{}
	}
	client := &http.Client{
		Transport: &http.Transport{
			MaxConnsPerHost:     int(u.Connections),
			MaxIdleConnsPerHost: int(u.Connections),
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		},
	}
	c.clients[u.Name] = client
	return client
}

// Close drops all idle connections.
func (c *Caller) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, client := range c.clients {
		client.CloseIdleConnections()
	}
}

// Fetch implements zlaggr.Fetcher.
func (c *Caller) Fetch(ctx context.Context, u zlcatalog.Upstream, f *zlaggr.Fetch) zlaggr.Fetched {
	left := time.Until(f.Deadline)
	body, err := json.Marshal(Query{
		QueryID:    f.Query,
		RequestID:  f.Request,
		Shard:      f.Shard,
		Version:    f.Version,
		Text:       f.Text,
		Idempotent: f.Idempotent,
		DeadlineMs: left.Milliseconds(),
	})
	if err != nil {
		return notRun(zlquery.ReasonBadRequest)
	}
	var wrote atomic.Bool
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// The connection is handed over before the first byte is written.
		GotConn: func(httptrace.GotConnInfo) {
			wrote.Store(true)
		},
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.Address+Path, bytes.NewReader(body))
	if err != nil {
		return notRun(zlquery.ReasonBadRequest)
	}
	if !f.Idempotent {
		// Without it the transport cannot send the request a second time.
		req.GetBody = nil
	}
	resp, err := c.client(u).Do(req)
	if err != nil {
		return failed(err, wrote.Load())
	}
	defer func() {
		_ = resp.Body.Close()
	}()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return failed(err, true)
	}
	if resp.StatusCode != http.StatusOK {
		return refused(data)
	}
	return done(data, u.Name, f)
}

func notRun(reason zlquery.Reason) zlaggr.Fetched {
	return zlaggr.Fetched{
		Result: zlquery.NotRun{
			Reason: reason,
		},
	}
}

func unknown(reason zlquery.Reason) zlaggr.Fetched {
	return zlaggr.Fetched{
		Result: zlquery.Unknown{
			Reason: reason,
		},
	}
}

// failed classifies a transport error; wrote tells that bytes may be out.
func failed(err error, wrote bool) zlaggr.Fetched {
	reason := zlquery.ReasonConnectionReset
	broken := true
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		reason = zlquery.ReasonDeadline
		broken = false
	case errors.Is(err, context.Canceled):
		reason = zlquery.ReasonCancelled
		broken = false
	}
	out := unknown(reason)
	if !wrote {
		if broken {
			reason = zlquery.ReasonDialFailed
		}
		out = notRun(reason)
	}
	out.Broken = broken
	return out
}

func refused(data []byte) zlaggr.Fetched {
	var r Refusal
	if err := json.Unmarshal(data, &r); err != nil || r.Reason == zlquery.ReasonNone {
		return unknown(zlquery.ReasonBadReply)
	}
	if r.Started {
		return unknown(r.Reason)
	}
	return zlaggr.Fetched{
		Result: zlquery.NotRun{
			Reason:     r.Reason,
			RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond,
		},
		Process: r.Process,
	}
}

// done checks that the reply is the one to this very call.
func done(data []byte, name zlunit.Upstream, f *zlaggr.Fetch) zlaggr.Fetched {
	var rows Rows
	if err := json.Unmarshal(data, &rows); err != nil {
		return unknown(zlquery.ReasonBadReply)
	}
	if rows.QueryID != f.Query || rows.Shard != f.Shard || rows.Version != f.Version || rows.Upstream != name {
		return unknown(zlquery.ReasonBadReply)
	}
	return zlaggr.Fetched{
		Result: zlquery.Done{
			Part: zlquery.Part{
				Shard:    rows.Shard,
				Version:  rows.Version,
				Upstream: rows.Upstream,
				Coverage: rows.Coverage,
				Rows:     rows.Rows,
			},
		},
		Process: rows.Process,
	}
}

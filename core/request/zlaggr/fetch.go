package zlaggr

import (
	"context"
	"sync"
	"time"

	"zinnialock/core/connection/zlgate"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlcatalog"
)

// Fetch is one call to an upstream.
type Fetch struct {
	Query      zlunit.QueryID
	Request    zlunit.RequestID
	Shard      zlunit.Shard
	Version    zlunit.IndexVersion
	Text       string
	Idempotent bool
	Deadline   time.Time
	// Permit is nil for a call that no gate admitted.
	Permit Permit

	mu     sync.Mutex
	ended  bool
	halter Halter
}

// Permit is the right to send one sub-request.
type Permit interface {
	// Gate is where connections to the upstream are accounted for.
	Gate() *zlgate.Gate
	// Start is called right before the first byte is written to c. Unless it
	// returns ReasonNone, nothing may be written.
	Start(c *zlgate.Conn) zlquery.Reason
}

// Halter stops what a Fetch is doing.
type Halter interface {
	// Halt stops waiting, or asks the upstream to stop working. It must not
	// block.
	Halt()
}

// Abandon tells that nobody waits for the result any more.
func (f *Fetch) Abandon() {
	f.mu.Lock()
	f.ended = true
	h := f.halter
	f.halter = nil
	f.mu.Unlock()
	if h != nil {
		h.Halt()
	}
}

// HaltBy says what Abandon has to stop from now on. It reports false, with
// nothing to stop, once the Fetch was abandoned.
func (f *Fetch) HaltBy(h Halter) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		return false
	}
	f.halter = h
	return true
}

// Abandoned reports whether Abandon was called.
func (f *Fetch) Abandoned() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ended
}

// Fetched is the result of a Fetch.
type Fetched struct {
	Result zlquery.Result
	// Process is the upstream's identity, when it said so.
	Process zlunit.Process
}

// Fetcher calls upstreams.
type Fetcher interface {
	// Fetch returns once the upstream no longer works on the call or must be
	// taken to have stopped: also after Abandon or the end of ctx.
	Fetch(ctx context.Context, u zlcatalog.Upstream, f *Fetch) Fetched
}

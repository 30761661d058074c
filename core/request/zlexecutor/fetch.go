package zlexecutor

import (
	"context"
	"sync"
	"time"

	"zinnialock/core/connection/zladmission"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlcatalog"
)

// Fetch is one call to an upstream. The exported fields must be set before use;
// the methods are safe for concurrent use.
type Fetch struct {
	// Query identifies the query within the tier.
	Query zlunit.QueryID
	// Request identifies the request of the caller.
	Request zlunit.RequestID
	// Shard is the shard to search.
	Shard zlunit.Shard
	// Version is the index version of the shard.
	Version zlunit.IndexVersion
	// Text is the query itself.
	Text string
	// Idempotent is true if the call may run more than once.
	Idempotent bool
	// Deadline is the local time by which the upstream is to reply.
	Deadline time.Time
	// Permit allows the call; it is nil for a call without a gate.
	Permit Permit

	mu        sync.Mutex
	abandoned bool
	stopper   Stopper
}

// Permit is the permission to send one sub-request.
type Permit interface {
	// Gate returns the gate that accounts for the connections to the upstream.
	Gate() *zladmission.Gate
	// Start must be called right before the first byte is written to c. Unless
	// it returns ReasonNone, nothing may be written.
	Start(c *zladmission.Conn) zlquery.Reason
}

// Stopper stops the work on a Fetch.
type Stopper interface {
	// Stop stops a wait, or asks the upstream to stop working. It must not
	// block.
	Stop()
}

// Abandon stops the call, since its result is not needed any more.
func (f *Fetch) Abandon() {
	f.mu.Lock()
	f.abandoned = true
	s := f.stopper
	f.stopper = nil
	f.mu.Unlock()
	if s != nil {
		s.Stop()
	}
}

// SetStopper sets what Abandon stops from now on, in place of the former. Once the
// Fetch has been abandoned, it sets nothing and returns false.
func (f *Fetch) SetStopper(s Stopper) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.abandoned {
		return false
	}
	f.stopper = s
	return true
}

// Abandoned reports whether Abandon was called.
func (f *Fetch) Abandoned() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.abandoned
}

// Fetched is the result of a Fetch.
type Fetched struct {
	// Result is the outcome of the call.
	Result zlquery.Result
	// Process identifies the process of the upstream; it is empty if the
	// upstream did not state it.
	Process zlunit.Process
}

// Fetcher calls upstreams. Implementations must be safe for concurrent use.
type Fetcher interface {
	// Fetch calls u. It returns once the upstream has stopped working on the
	// call or must be assumed to have stopped, also after Abandon or the end of
	// ctx.
	Fetch(ctx context.Context, u zlcatalog.Upstream, f *Fetch) Fetched
}

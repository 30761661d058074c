package zlcoordinator

import (
	"sync"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
)

// runBuffers is memory that queries reuse. Only the goroutine of a query
// accesses it, except for queuedReplies, which the reply queue guards until it
// is closed.
type runBuffers struct {
	subs         []subState
	shards       []shardState
	latencies    []time.Duration
	excluded     []zlunit.Upstream
	spareReplies []zlquery.Reply
	// queuedReplies is the memory of the reply queue.
	queuedReplies []zlquery.Reply
}

var bufferPool = sync.Pool{
	New: func() any {
		return &runBuffers{}
	},
}

// attach lets r use the buffers.
func (b *runBuffers) attach(r *queryRun) {
	r.replies = newReplyQueue(b.queuedReplies)
	r.subs = b.subs
	r.shards = b.shards
	r.latencies = b.latencies
	r.excluded = b.excluded
	r.spareReplies = b.spareReplies
}

// release takes the buffers back from r and returns them to the pool. It clears
// the pointers in them, so that the pool keeps no replies alive.
func (b *runBuffers) release(r *queryRun) {
	clear(r.subs)
	clear(r.spareReplies)
	clear(b.queuedReplies)
	b.queuedReplies = b.queuedReplies[:0]
	b.subs = r.subs[:0]
	b.shards = r.shards[:0]
	b.latencies = r.latencies[:0]
	b.excluded = r.excluded[:0]
	b.spareReplies = r.spareReplies[:0]
	bufferPool.Put(b)
}

package zlexecutor

import (
	"context"
	"sync"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
)

// ServedBatch is a batch that is being served. It is safe for concurrent use.
type ServedBatch struct {
	executor *Executor
	batch    *zlquery.Batch
	sink     func(zlquery.Reply)
	deadline time.Time
	subs     []sub
	done     chan struct{}

	mu sync.Mutex
	// unreplied is the number of sub-requests without a reply.
	unreplied int
	// deadlineTimer fires at the deadline, and stopWatch ends the watch of the context.
	deadlineTimer *zltimer.Timer
	stopWatch     func() bool
	byID          map[zlunit.SubRequestID]*sub
}

func newServedBatch(e *Executor, batch *zlquery.Batch, sink func(zlquery.Reply)) *ServedBatch {
	w := &ServedBatch{
		executor:  e,
		batch:     batch,
		sink:      sink,
		deadline:  e.Timer.Now().Add(batch.TimeLeft),
		subs:      make([]sub, len(batch.SubRequests)),
		done:      make(chan struct{}),
		unreplied: len(batch.SubRequests),
	}
	for i := range batch.SubRequests {
		w.subs[i].work = w
		w.subs[i].request = &batch.SubRequests[i]
	}
	return w
}

// start admits all sub-requests.
func (b *ServedBatch) start(ctx context.Context) {
	if len(b.subs) == 0 {
		b.finish()
		return
	}
	b.mu.Lock()
	b.deadlineTimer = b.executor.Timer.AfterFunc(b.batch.TimeLeft, b.expire)
	b.stopWatch = context.AfterFunc(ctx, b.cancelAll)
	b.mu.Unlock()
	for i := range b.subs {
		b.subs[i].admit()
	}
}

// Cancel gives up one sub-request. The reply to it follows immediately, unless
// it has been sent. An unknown id is ignored.
func (b *ServedBatch) Cancel(id zlunit.SubRequestID) {
	b.mu.Lock()
	if b.byID == nil {
		b.byID = make(map[zlunit.SubRequestID]*sub, len(b.subs))
		for i := range b.subs {
			b.byID[b.subs[i].request.ID] = &b.subs[i]
		}
	}
	s := b.byID[id]
	b.mu.Unlock()
	if s != nil {
		s.giveUp(zlquery.ReasonCancelled)
	}
}

// Wait blocks until every reply has been handed over.
func (b *ServedBatch) Wait() {
	<-b.done
}

func (b *ServedBatch) expire() {
	for i := range b.subs {
		b.subs[i].giveUp(zlquery.ReasonDeadline)
	}
}

func (b *ServedBatch) cancelAll() {
	for i := range b.subs {
		b.subs[i].giveUp(zlquery.ReasonCancelled)
	}
}

// countReply counts a reply that has been handed over. The last one ends the
// work.
func (b *ServedBatch) countReply() {
	b.mu.Lock()
	b.unreplied--
	last := b.unreplied == 0
	b.mu.Unlock()
	if !last {
		return
	}
	b.deadlineTimer.Stop()
	b.stopWatch()
	b.finish()
}

func (b *ServedBatch) finish() {
	b.executor.batches.Add(-1)
	close(b.done)
}

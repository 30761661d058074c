package zlaggregator

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
	aggregator *Aggregator
	batch      *zlquery.Batch
	sink       func(zlquery.Reply)
	deadline   time.Time
	subs       []sub
	done       chan struct{}

	mu sync.Mutex
	// unreplied is the number of sub-requests without a reply.
	unreplied int
	// alarm fires at the deadline, and stopWatch ends the watch of the context.
	alarm     *zltimer.Timer
	stopWatch func() bool
	byID      map[zlunit.SubRequestID]*sub
}

func newWork(a *Aggregator, batch *zlquery.Batch, sink func(zlquery.Reply)) *ServedBatch {
	w := &ServedBatch{
		aggregator: a,
		batch:      batch,
		sink:       sink,
		deadline:   a.Timer.Now().Add(batch.TimeLeft),
		subs:       make([]sub, len(batch.SubRequests)),
		done:       make(chan struct{}),
		unreplied:  len(batch.SubRequests),
	}
	for i := range batch.SubRequests {
		w.subs[i].work = w
		w.subs[i].request = &batch.SubRequests[i]
	}
	return w
}

// start admits all sub-requests.
func (w *ServedBatch) start(ctx context.Context) {
	if len(w.subs) == 0 {
		w.finish()
		return
	}
	w.mu.Lock()
	w.alarm = w.aggregator.Timer.AfterFunc(w.batch.TimeLeft, w.expire)
	w.stopWatch = context.AfterFunc(ctx, w.cancelAll)
	w.mu.Unlock()
	for i := range w.subs {
		w.subs[i].admit()
	}
}

// Cancel gives up one sub-request. The reply to it follows immediately, unless
// it has been sent. An unknown id is ignored.
func (w *ServedBatch) Cancel(id zlunit.SubRequestID) {
	w.mu.Lock()
	if w.byID == nil {
		w.byID = make(map[zlunit.SubRequestID]*sub, len(w.subs))
		for i := range w.subs {
			w.byID[w.subs[i].request.ID] = &w.subs[i]
		}
	}
	s := w.byID[id]
	w.mu.Unlock()
	if s != nil {
		s.giveUp(zlquery.ReasonCancelled)
	}
}

// Wait blocks until every reply has been handed over.
func (w *ServedBatch) Wait() {
	<-w.done
}

func (w *ServedBatch) expire() {
	for i := range w.subs {
		w.subs[i].giveUp(zlquery.ReasonDeadline)
	}
}

func (w *ServedBatch) cancelAll() {
	for i := range w.subs {
		w.subs[i].giveUp(zlquery.ReasonCancelled)
	}
}

// countReply counts a reply that has been handed over. The last one ends the
// work.
func (w *ServedBatch) countReply() {
	w.mu.Lock()
	w.unreplied--
	last := w.unreplied == 0
	w.mu.Unlock()
	if !last {
		return
	}
	w.alarm.Stop()
	w.stopWatch()
	w.finish()
}

func (w *ServedBatch) finish() {
	w.aggregator.batches.Add(-1)
	close(w.done)
}

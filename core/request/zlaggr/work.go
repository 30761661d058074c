package zlaggr

import (
	"context"
	"sync"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
)

// Work is a batch that is being served. It is safe for concurrent use.
type Work struct {
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
	alarm     *zltimer.Alarm
	stopWatch func() bool
	byID      map[zlunit.SubID]*sub
}

func newWork(a *Aggregator, batch *zlquery.Batch, sink func(zlquery.Reply)) *Work {
	w := &Work{
		aggregator: a,
		batch:      batch,
		sink:       sink,
		deadline:   a.Timer.Now().Add(batch.Left),
		subs:       make([]sub, len(batch.Subs)),
		done:       make(chan struct{}),
		unreplied:  len(batch.Subs),
	}
	for i := range batch.Subs {
		w.subs[i].work = w
		w.subs[i].request = &batch.Subs[i]
	}
	return w
}

// start admits all sub-requests.
func (w *Work) start(ctx context.Context) {
	if len(w.subs) == 0 {
		w.finish()
		return
	}
	w.mu.Lock()
	w.alarm = w.aggregator.Timer.Call(w.batch.Left, w.expire)
	w.stopWatch = context.AfterFunc(ctx, w.cancelAll)
	w.mu.Unlock()
	for i := range w.subs {
		w.subs[i].admit()
	}
}

// Cancel gives up one sub-request. The reply to it follows immediately, unless
// it has been sent. An unknown id is ignored.
func (w *Work) Cancel(id zlunit.SubID) {
	w.mu.Lock()
	if w.byID == nil {
		w.byID = make(map[zlunit.SubID]*sub, len(w.subs))
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
func (w *Work) Wait() {
	<-w.done
}

func (w *Work) expire() {
	for i := range w.subs {
		w.subs[i].giveUp(zlquery.ReasonDeadline)
	}
}

func (w *Work) cancelAll() {
	for i := range w.subs {
		w.subs[i].giveUp(zlquery.ReasonCancelled)
	}
}

// countReply counts a reply that has been handed over. The last one ends the
// work.
func (w *Work) countReply() {
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

func (w *Work) finish() {
	w.aggregator.batches.Add(-1)
	close(w.done)
}

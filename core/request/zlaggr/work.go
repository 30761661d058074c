package zlaggr

import (
	"context"
	"sync"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
)

// Work is a batch being served.
type Work struct {
	aggregator *Aggregator
	batch      *zlquery.Batch
	sink       func(zlquery.Reply)
	deadline   time.Time
	subs       []sub
	done       chan struct{}

	mu    sync.Mutex
	left  int
	alarm *zltimer.Alarm
	stop  func() bool
	byID  map[zlunit.SubID]*sub
}

func newWork(a *Aggregator, batch *zlquery.Batch, sink func(zlquery.Reply)) *Work {
	w := &Work{
		aggregator: a,
		batch:      batch,
		sink:       sink,
		deadline:   a.Timer.Now().Add(batch.Left),
		subs:       make([]sub, len(batch.Subs)),
		done:       make(chan struct{}),
		left:       len(batch.Subs),
	}
	for i := range batch.Subs {
		w.subs[i].work = w
		w.subs[i].ask = &batch.Subs[i]
	}
	return w
}

func (w *Work) start(ctx context.Context) {
	if len(w.subs) == 0 {
		w.end()
		return
	}
	w.mu.Lock()
	w.alarm = w.aggregator.Timer.Call(w.batch.Left, w.expire)
	w.stop = context.AfterFunc(ctx, w.cancelAll)
	w.mu.Unlock()
	for i := range w.subs {
		w.subs[i].begin()
	}
}

// Cancel gives up one sub-request; its reply comes at once.
func (w *Work) Cancel(id zlunit.SubID) {
	w.mu.Lock()
	if w.byID == nil {
		w.byID = make(map[zlunit.SubID]*sub, len(w.subs))
		for i := range w.subs {
			w.byID[w.subs[i].ask.ID] = &w.subs[i]
		}
	}
	s := w.byID[id]
	w.mu.Unlock()
	if s != nil {
		s.giveUp(zlquery.ReasonCancelled)
	}
}

// Wait returns once every reply was handed over.
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

// replied counts a reply that was handed over.
func (w *Work) replied() {
	w.mu.Lock()
	w.left--
	last := w.left == 0
	w.mu.Unlock()
	if !last {
		return
	}
	w.alarm.Stop()
	w.stop()
	w.end()
}

func (w *Work) end() {
	w.aggregator.batches.Add(-1)
	close(w.done)
}

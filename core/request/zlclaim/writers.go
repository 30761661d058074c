package zlclaim

import (
	"context"
	"sync"
	"time"

	"zinnialock/core/process/zltimer"

	"github.com/rotisserie/eris"
)

// claimLife bounds how long an ask is tried.
const claimLife = time.Second

// Writers is a Claimer that writes to the store itself, with one goroutine for
// each segment in use. The fields must be set before Run.
type Writers struct {
	Store Store
	Timer *zltimer.Service

	mu      sync.Mutex
	ctx     context.Context
	cancel  context.CancelFunc
	writers [Segments]*writer
	wg      sync.WaitGroup
}

var _ Claimer = (*Writers)(nil)

// Run makes the writers ready; Close ends them.
func (w *Writers) Run() {
	w.ctx, w.cancel = context.WithCancel(context.Background())
}

// Close ends all writers; what waits fails.
func (w *Writers) Close() {
	w.mu.Lock()
	w.cancel()
	w.mu.Unlock()
	w.wg.Wait()
}

// writer returns the writer of a segment, or nil once closed.
func (w *Writers) writer(s Segment) *writer {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ctx.Err() != nil {
		return nil
	}
	if w.writers[s] == nil {
		next := &writer{
			segment: segment{
				number: s,
			},
			store: w.Store,
			timer: w.Timer,
			jobs:  make(chan *job, maxPending),
		}
		w.writers[s] = next
		w.wg.Go(func() {
			next.run(w.ctx)
		})
	}
	return w.writers[s]
}

// Claim implements Claimer.
func (w *Writers) Claim(ctx context.Context, ask Ask) (Reply, error) {
	j := &job{
		ask:     &ask,
		key:     keyOf(ask.ID),
		expires: w.Timer.Now().Add(claimLife),
		reply:   make(chan result, 1),
	}
	return w.serve(ctx, SegmentOf(ask.ID), j)
}

// Record implements Claimer; it returns once the outcome is in the log, or
// need not be.
func (w *Writers) Record(ctx context.Context, outcome Outcome) error {
	j := &job{
		outcome: &outcome,
		key:     keyOf(outcome.ID),
		expires: w.Timer.Now().Add(outcomeLife),
		reply:   make(chan result, 1),
	}
	_, err := w.serve(ctx, SegmentOf(outcome.ID), j)
	return err
}

func (w *Writers) serve(ctx context.Context, s Segment, j *job) (Reply, error) {
	writer := w.writer(s)
	if writer == nil {
		return Reply{}, stopped()
	}
	select {
	case writer.jobs <- j:
	case <-ctx.Done():
		return Reply{}, gaveUp(ctx)
	case <-w.ctx.Done():
		return Reply{}, stopped()
	}
	select {
	case r := <-j.reply:
		return r.reply, r.err
	case <-ctx.Done():
		return Reply{}, gaveUp(ctx)
	case <-w.ctx.Done():
		return Reply{}, stopped()
	}
}

func gaveUp(ctx context.Context) error {
	return &Error{
		Op:   "claim",
		Kind: KindStore,
		Err:  eris.Wrap(ctx.Err(), "the log of claims did not answer in time"),
	}
}

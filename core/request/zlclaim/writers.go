package zlclaim

import (
	"context"
	"sync"
	"time"

	"zinnialock/core/process/zltimer"

	"github.com/rotisserie/eris"
)

// claimTimeout bounds how long the write of a claim is tried.
const claimTimeout = time.Second

// Writers is a Claimer that writes to the store itself, with one goroutine for
// each segment in use. The exported fields must be set before Run.
type Writers struct {
	// Store holds the log of claims.
	Store Store
	// Timer is the clock.
	Timer *zltimer.Service

	mu      sync.Mutex
	ctx     context.Context
	cancel  context.CancelFunc
	writers [Segments]*writer
	wg      sync.WaitGroup
}

var _ Claimer = (*Writers)(nil)

// Run prepares the writers. It must be called once, before any other method;
// Close ends them.
func (w *Writers) Run() {
	w.ctx, w.cancel = context.WithCancel(context.Background())
}

// Close stops all writers and waits for them. Waiting calls fail with
// KindStopped.
func (w *Writers) Close() {
	w.mu.Lock()
	w.cancel()
	w.mu.Unlock()
	w.wg.Wait()
}

// writer returns the writer of a segment and starts it if necessary, or returns
// nil after Close.
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
func (w *Writers) Claim(ctx context.Context, claimReq ClaimRequest) (Reply, error) {
	j := &job{
		claimReq: &claimReq,
		key:      keyOf(claimReq.ID),
		expires:  w.Timer.Now().Add(claimTimeout),
		reply:    make(chan result, 1),
	}
	return w.submit(ctx, SegmentOf(claimReq.ID), j)
}

// Record implements Claimer. It returns once the outcome is in the log or turns
// out not to need a record.
func (w *Writers) Record(ctx context.Context, outcome Outcome) error {
	j := &job{
		outcome: &outcome,
		key:     keyOf(outcome.ID),
		expires: w.Timer.Now().Add(outcomeTimeout),
		reply:   make(chan result, 1),
	}
	_, err := w.submit(ctx, SegmentOf(outcome.ID), j)
	return err
}

// submit passes a job to the writer of its segment and waits for the result.
func (w *Writers) submit(ctx context.Context, s Segment, j *job) (Reply, error) {
	writer := w.writer(s)
	if writer == nil {
		return Reply{}, stoppedError()
	}
	select {
	case writer.jobs <- j:
	case <-ctx.Done():
		return Reply{}, timeoutError(ctx)
	case <-w.ctx.Done():
		return Reply{}, stoppedError()
	}
	select {
	case r := <-j.reply:
		return r.reply, r.err
	case <-ctx.Done():
		return Reply{}, timeoutError(ctx)
	case <-w.ctx.Done():
		return Reply{}, stoppedError()
	}
}

func timeoutError(ctx context.Context) error {
	return &Error{
		Op:   "claim",
		Kind: KindStore,
		Err:  eris.Wrap(ctx.Err(), "the log of claims did not answer before the request's context ended"),
	}
}

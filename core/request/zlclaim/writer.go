package zlclaim

import (
	"context"
	"errors"
	"time"

	"zinnialock/core/process/zltimer"

	"github.com/rotisserie/eris"
)

const (
	// minWriteInterval is the shortest time between two writes of one segment.
	minWriteInterval = 80 * time.Millisecond
	// outcomeDelay is how long outcomes wait for a claim to share its write.
	outcomeDelay = 500 * time.Millisecond
	// storeTimeout bounds one call of the store.
	storeTimeout = 500 * time.Millisecond
	// retryDelay is the time between a failed call of the store and the next
	// one.
	retryDelay = 50 * time.Millisecond
	// minArchiveBytes is the least size of the head's records at which they are
	// moved to an archive.
	minArchiveBytes = 32 << 10
	// archiveRefBytes is the approximate size of an archiveRef in the encoded
	// head.
	archiveRefBytes = 64
	// maxRemovals is how many archives are removed after one write. Claims wait
	// while archives are removed.
	maxRemovals = 2
	// maxPending is how many jobs can wait for one segment.
	maxPending = 4096
	// outcomeTimeout bounds how long the write of an outcome is tried.
	outcomeTimeout = 30 * time.Second
)

// job is a claim request or an outcome that waits to be written. Either claimReq or outcome
// is set.
type job struct {
	claimReq *ClaimRequest
	outcome  *Outcome
	key      key
	// expires is when the job fails if it is not written.
	expires time.Time
	// reply receives the result; it has room for one.
	reply chan result
}

// result is the reply to a job or the error with which it failed.
type result struct {
	reply Reply
	err   error
}

// finish sends the result of a job. It does not block, since reply is buffered.
func (j *job) finish(reply Reply, err error) {
	if j.reply != nil {
		j.reply <- result{
			reply: reply,
			err:   err,
		}
	}
}

// writer makes all of this daemon's writes to one segment and owns its copy of
// it. Only its goroutine accesses the copy.
type writer struct {
	segment segment
	store   Store
	timer   *zltimer.Service
	jobs    chan *job
	// failingSince is when calls of the store started to fail, or the zero time
	// if the last one succeeded.
	failingSince time.Time
	// abandoned holds the attempts that ended as not run before their request was
	// decided, with the time of that outcome.
	abandoned map[Nonce]time.Time
}

// run processes jobs until ctx ends.
func (w *writer) run(ctx context.Context) {
	var waiting []*job
	var firstAt, lastWriteAt time.Time
	for {
		if len(waiting) == 0 {
			select {
			case j := <-w.jobs:
				waiting = append(waiting, j)
				firstAt = w.timer.Now()
			case <-ctx.Done():
				return
			}
		}
		waiting = w.collect(ctx, waiting, firstAt, lastWriteAt)
		if ctx.Err() != nil {
			fail(waiting, stoppedError())
			return
		}
		lastWriteAt = w.timer.Now()
		waiting = w.flush(ctx, waiting)
		firstAt = w.timer.Now()
	}
}

// collect receives jobs until the next write is due: minWriteInterval after the
// last write if a job is urgent, otherwise when the outcomes have waited for
// outcomeDelay.
func (w *writer) collect(ctx context.Context, waiting []*job, firstAt, lastWriteAt time.Time) []*job {
	for len(waiting) < maxPending {
		due := lastWriteAt.Add(minWriteInterval)
		if !urgent(waiting) {
			due = later(due, firstAt.Add(outcomeDelay))
		}
		wait := due.Sub(w.timer.Now())
		if wait <= 0 {
			return w.drain(waiting)
		}
		timer := w.timer.After(wait)
		select {
		case j := <-w.jobs:
			waiting = append(waiting, j)
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return waiting
		}
		timer.Stop()
	}
	return waiting
}

// drain receives the jobs that are already queued.
func (w *writer) drain(waiting []*job) []*job {
	for len(waiting) < maxPending {
		select {
		case j := <-w.jobs:
			waiting = append(waiting, j)
		default:
			return waiting
		}
	}
	return waiting
}

// urgent reports whether a caller waits for one of the jobs: for the reply to
// a claim request, or until an id that did not run can be claimed again.
func urgent(jobs []*job) bool {
	for _, j := range jobs {
		if j.claimReq != nil || j.outcome.State == StateNotRun {
			return true
		}
	}
	return false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// fail answers jobs with an error.
func fail(jobs []*job, err error) {
	for _, j := range jobs {
		j.finish(Reply{}, err)
	}
}

func stoppedError() error {
	return &Error{
		Op:   "claim",
		Kind: KindStopped,
		Err:  eris.New("the daemon is stopping"),
	}
}

// flush tries once to write and answer jobs and returns those that remain.
func (w *writer) flush(ctx context.Context, jobs []*job) []*job {
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	err := w.tryFlush(ctx, &jobs)
	if err == nil {
		w.failingSince = time.Time{}
		return nil
	}
	w.segment.synced = false
	var e *Error
	if errors.As(err, &e) && e.Kind == KindConflict {
		return w.failExpired(jobs, err)
	}
	if w.failingSince.IsZero() {
		w.failingSince = w.timer.Now()
	}
	remaining := w.failExpired(jobs, err)
	w.timer.Sleep(ctx.Done(), retryDelay)
	return remaining
}

// failExpired fails the jobs that have expired and returns the others. Once the
// store has been failing for claimTimeout, each claim request is tried only once.
func (w *writer) failExpired(jobs []*job, err error) []*job {
	now := w.timer.Now()
	storeFailing := !w.failingSince.IsZero() && now.Sub(w.failingSince) >= claimTimeout
	var remaining []*job
	for _, j := range jobs {
		if now.Before(j.expires) && (!storeFailing || j.claimReq == nil) {
			remaining = append(remaining, j)
			continue
		}
		j.finish(Reply{}, err)
	}
	return remaining
}

package zlclaim

import (
	"context"
	"errors"
	"time"

	"zinnialock/core/process/zltimer"

	"github.com/rotisserie/eris"
)

const (
	// writeGap is the shortest time between two writes of one segment.
	writeGap = 80 * time.Millisecond
	// outcomeWait is how long outcomes wait for a claim to share its write.
	outcomeWait = 500 * time.Millisecond
	// storeWait bounds one call to the store.
	storeWait = 500 * time.Millisecond
	// retryPause is the pause after a failed call to the store.
	retryPause = 50 * time.Millisecond
	// archiveSize is the least size of a head's records, in bytes, from which
	// they move to an archive.
	archiveSize = 32 << 10
	// refSize is about the size of an archive's name in a head, in bytes.
	refSize = 64
	// maxRemovals bounds the archives removed after one write, since claims
	// wait for it.
	maxRemovals = 2
	// maxPending bounds what waits for one segment.
	maxPending = 4096
	// outcomeLife bounds how long an outcome is tried.
	outcomeLife = 30 * time.Second
)

// job is an ask or an outcome that waits for its write.
type job struct {
	ask     *Ask
	outcome *Outcome
	key     key
	expires time.Time
	reply   chan result
}

type result struct {
	reply Reply
	err   error
}

// settle answers a job; reply has room for it.
func (j *job) settle(reply Reply, err error) {
	if j.reply != nil {
		j.reply <- result{
			reply: reply,
			err:   err,
		}
	}
}

// writer owns this daemon's copy of one segment. Only its goroutine touches
// the copy.
type writer struct {
	segment segment
	store   Store
	timer   *zltimer.Service
	jobs    chan *job
	// failingSince is when the store began to fail, or zero.
	failingSince time.Time
	// released holds the attempts that gave up before their ask was decided,
	// and when that was.
	released map[Nonce]time.Time
}

// run serves jobs until ctx ends.
func (w *writer) run(ctx context.Context) {
	var waiting []*job
	var first, last time.Time
	for {
		if len(waiting) == 0 {
			select {
			case j := <-w.jobs:
				waiting = append(waiting, j)
				first = w.timer.Now()
			case <-ctx.Done():
				return
			}
		}
		waiting = w.gather(ctx, waiting, first, last)
		if ctx.Err() != nil {
			fail(waiting, stopped())
			return
		}
		last = w.timer.Now()
		waiting = w.flush(ctx, waiting)
		first = w.timer.Now()
	}
}

// gather takes jobs until the next write is due: at once after a quiet time
// if something is urgent, else when outcomes have waited long enough.
func (w *writer) gather(ctx context.Context, waiting []*job, first, last time.Time) []*job {
	for len(waiting) < maxPending {
		due := last.Add(writeGap)
		if !urgent(waiting) {
			due = later(due, first.Add(outcomeWait))
		}
		wait := due.Sub(w.timer.Now())
		if wait <= 0 {
			return w.drain(waiting)
		}
		alarm := w.timer.After(wait)
		select {
		case j := <-w.jobs:
			waiting = append(waiting, j)
		case <-alarm.C:
		case <-ctx.Done():
			alarm.Stop()
			return waiting
		}
		alarm.Stop()
	}
	return waiting
}

// drain takes what waits already.
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

// urgent reports whether somebody waits for a job: for an ask's reply, or to ask
// again for an id that did not run.
func urgent(jobs []*job) bool {
	for _, j := range jobs {
		if j.ask != nil || j.outcome.State == StateNotRun {
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

func fail(jobs []*job, err error) {
	for _, j := range jobs {
		j.settle(Reply{}, err)
	}
}

func stopped() error {
	return &Error{
		Op:   "claim",
		Kind: KindStopped,
		Err:  eris.New("the daemon is stopping"),
	}
}

// flush tries once to settle jobs and returns those that are left.
func (w *writer) flush(ctx context.Context, jobs []*job) []*job {
	ctx, cancel := context.WithTimeout(ctx, 2*storeWait)
	defer cancel()
	err := w.tryFlush(ctx, &jobs)
	if err == nil {
		w.failingSince = time.Time{}
		return nil
	}
	w.segment.synced = false
	var e *Error
	if errors.As(err, &e) && e.Kind == KindConflict {
		return w.expire(jobs, err)
	}
	if w.failingSince.IsZero() {
		w.failingSince = w.timer.Now()
	}
	left := w.expire(jobs, err)
	w.timer.Sleep(ctx.Done(), retryPause)
	return left
}

// expire fails the jobs whose time is over. While the store has been failing for
// as long as an ask may wait, each ask gets one try.
func (w *writer) expire(jobs []*job, err error) []*job {
	now := w.timer.Now()
	down := !w.failingSince.IsZero() && now.Sub(w.failingSince) >= claimLife
	var left []*job
	for _, j := range jobs {
		if now.Before(j.expires) && (!down || j.ask == nil) {
			left = append(left, j)
			continue
		}
		j.settle(Reply{}, err)
	}
	return left
}

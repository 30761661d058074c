package zlclaim

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"

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

// tryFlush settles what needs no record, then writes one head with the records
// of all others and settles them. What is left stands in jobs.
func (w *writer) tryFlush(ctx context.Context, jobs *[]*job) error {
	if !w.segment.synced {
		if err := w.segment.sync(ctx, w.store); err != nil {
			return err
		}
	}
	fresh, ops := w.decide(*jobs)
	*jobs = fresh
	if len(ops) == 0 {
		return nil
	}
	if err := w.write(ctx, ops); err != nil {
		return err
	}
	for _, j := range fresh {
		j.settle(Reply{
			Verdict: VerdictFresh,
		}, nil)
	}
	return nil
}

// decide settles the jobs that need no record and returns the others with
// their records. A second ask for an id in one batch finds it held.
func (w *writer) decide(jobs []*job) (fresh []*job, ops []op) {
	now := w.timer.Now()
	w.noteReleased(jobs, now)
	taken := map[key]Ask{}
	for _, j := range jobs {
		record, ok := w.decideOne(j, taken, now)
		if ok {
			fresh = append(fresh, j)
			ops = append(ops, record)
		}
	}
	return fresh, ops
}

// decideOne returns the record that a job needs, or settles the job.
func (w *writer) decideOne(j *job, taken map[key]Ask, now time.Time) (op, bool) {
	if j.outcome != nil {
		if w.segment.wants(*j.outcome, j.key) {
			return w.outcomeOp(j), true
		}
		j.settle(Reply{}, nil)
		return op{}, false
	}
	reply, isFresh := w.segment.judge(*j.ask, j.key, now)
	if !isFresh {
		j.settle(reply, nil)
		return op{}, false
	}
	other, isTaken := taken[j.key]
	_, isReleased := w.released[j.ask.Nonce]
	if isReleased || isTaken && other.Nonce != j.ask.Nonce {
		j.settle(Reply{
			Verdict: VerdictHeld,
			Holder:  other.Holder,
		}, nil)
		return op{}, false
	}
	taken[j.key] = *j.ask
	return op{
		key:    j.key,
		at:     timeOf(j.key, now),
		nonce:  j.ask.Nonce,
		holder: j.ask.Holder,
		state:  StateClaimed,
	}, true
}

// noteReleased remembers the attempts that gave up although nothing is recorded
// of them: their asks are late, and would hold the id for nobody.
func (w *writer) noteReleased(jobs []*job, now time.Time) {
	for nonce, at := range w.released {
		if now.Sub(at) > outcomeLife {
			delete(w.released, nonce)
		}
	}
	for _, j := range jobs {
		if j.outcome == nil || j.outcome.State != StateNotRun || w.segment.wants(*j.outcome, j.key) {
			continue
		}
		if w.released == nil {
			w.released = map[Nonce]time.Time{}
		}
		w.released[j.outcome.Nonce] = now
	}
}

func (w *writer) outcomeOp(j *job) op {
	return op{
		key:    j.key,
		at:     w.segment.index[j.key].at,
		nonce:  j.outcome.Nonce,
		holder: w.segment.index[j.key].holder,
		state:  j.outcome.State,
	}
}

// write appends ops to the log by one conditional update of the head. A full
// head moves its records to an archive first.
func (w *writer) write(ctx context.Context, ops []op) error {
	next, raised := w.segment.head.expired(w.timer.Now())
	if w.full() {
		ref, err := w.archive(ctx)
		if err != nil {
			return err
		}
		next.Archives = append(next.Archives, ref)
		next.Ops = nil
	}
	next.Ops = append(next.Ops[:len(next.Ops):len(next.Ops)], ops...)
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	version, err := w.put(ctx, headName, w.segment.version, value)
	if err != nil {
		return err
	}
	w.segment.version = version
	w.segment.head = next
	w.segment.headSize = len(value)
	w.segment.apply(ops)
	if raised {
		w.segment.forget(next.Floor)
	}
	w.remove(ctx, next.Floor)
	return nil
}

// full reports whether the head's records have to move to an archive. The
// names of archives weigh in each write as the records do, so the more there
// are the larger the next one gets.
func (w *writer) full() bool {
	names := refSize * len(w.segment.head.Archives)
	return w.segment.headSize-names >= max(archiveSize, names)
}

func (w *writer) put(ctx context.Context, name string, ifVersion zlunit.ObjectVersion, value []byte) (zlunit.ObjectVersion, error) {
	ctx, cancel := context.WithTimeout(ctx, storeWait)
	defer cancel()
	return w.store.Put(ctx, w.segment.number, name, ifVersion, value)
}

// archive writes the head's records to a new object. It counts only once a
// head names it; one that no head names is removed when the floor passes it.
func (w *writer) archive(ctx context.Context) (archiveRef, error) {
	ops, newest := compact(w.segment.head.Ops)
	ref := archiveRef{
		Name:   archiveName(newest),
		Newest: newest,
	}
	value, err := json.Marshal(archive{
		Ops: ops,
	})
	if err != nil {
		return ref, err
	}
	version, err := w.put(ctx, ref.Name, 0, value)
	if err != nil {
		return ref, err
	}
	w.segment.archives[ref.Name] = version
	return ref, nil
}

// remove deletes the archives that no head needs any more: those with no id
// above the floor. One that a writer left without a head that names it goes the
// same way. What fails, or is more than a few, is left for the next time.
func (w *writer) remove(ctx context.Context, floor millis) {
	left := maxRemovals
	for name, version := range w.segment.archives {
		newest, ok := newestOf(name)
		if !ok || newest > floor {
			continue
		}
		if left == 0 {
			return
		}
		left--
		if err := w.store.Delete(ctx, w.segment.number, name, version); err == nil {
			delete(w.segment.archives, name)
		}
	}
}

package zlclaim

import (
	"context"
	"time"
)

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

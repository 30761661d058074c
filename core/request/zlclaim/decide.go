package zlclaim

import (
	"context"
	"time"
)

// tryFlush answers the jobs that need no record, writes the records of all
// others with one update of the head and answers those. On an error, jobs holds
// those that are not answered yet.
func (w *writer) tryFlush(ctx context.Context, jobs *[]*job) error {
	if !w.segment.synced {
		if err := w.segment.sync(ctx, w.store); err != nil {
			return err
		}
	}
	toWrite, records := w.decide(*jobs)
	*jobs = toWrite
	if len(records) == 0 {
		return nil
	}
	if err := w.write(ctx, records); err != nil {
		return err
	}
	for _, j := range toWrite {
		j.finish(Reply{
			Verdict: VerdictGranted,
		}, nil)
	}
	return nil
}

// decide answers the jobs that need no record and returns the others with their
// records. If a batch has several asks for one id, the first one gets it and
// the others find it held.
func (w *writer) decide(jobs []*job) (toWrite []*job, records []record) {
	now := w.timer.Now()
	w.recordAbandoned(jobs, now)
	claimed := map[key]ClaimRequest{}
	for _, j := range jobs {
		rec, ok := w.decideOne(j, claimed, now)
		if ok {
			toWrite = append(toWrite, j)
			records = append(records, rec)
		}
	}
	return toWrite, records
}

// decideOne returns the record that a job needs, or answers the job.
func (w *writer) decideOne(j *job, claimed map[key]ClaimRequest, now time.Time) (record, bool) {
	if j.outcome != nil {
		if w.segment.needsOutcome(*j.outcome, j.key) {
			return w.outcomeRecord(j), true
		}
		j.finish(Reply{}, nil)
		return record{}, false
	}
	reply, needsRecord := w.segment.evaluate(*j.claimReq, j.key, now)
	if !needsRecord {
		j.finish(reply, nil)
		return record{}, false
	}
	other, isClaimed := claimed[j.key]
	_, isAbandoned := w.abandoned[j.claimReq.Nonce]
	if isAbandoned || isClaimed && other.Nonce != j.claimReq.Nonce {
		j.finish(Reply{
			Verdict: VerdictHeld,
			Holder:  other.Holder,
		}, nil)
		return record{}, false
	}
	claimed[j.key] = *j.claimReq
	return record{
		key:    j.key,
		at:     retentionTime(j.key, now),
		nonce:  j.claimReq.Nonce,
		holder: j.claimReq.Holder,
		state:  StateClaimed,
	}, true
}

// recordAbandoned remembers the attempts that ended as not run without a
// recorded claim. A claim request of such an attempt that arrives later must not be
// recorded: nothing would release the id again.
func (w *writer) recordAbandoned(jobs []*job, now time.Time) {
	for nonce, at := range w.abandoned {
		if now.Sub(at) > outcomeTimeout {
			delete(w.abandoned, nonce)
		}
	}
	for _, j := range jobs {
		if j.outcome == nil || j.outcome.State != StateNotRun || w.segment.needsOutcome(*j.outcome, j.key) {
			continue
		}
		if w.abandoned == nil {
			w.abandoned = map[Nonce]time.Time{}
		}
		w.abandoned[j.outcome.Nonce] = now
	}
}

// outcomeRecord returns the record of the outcome of a job.
func (w *writer) outcomeRecord(j *job) record {
	return record{
		key:    j.key,
		at:     w.segment.index[j.key].at,
		nonce:  j.outcome.Nonce,
		holder: w.segment.index[j.key].holder,
		state:  j.outcome.State,
	}
}

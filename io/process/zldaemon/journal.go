package zldaemon

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlevent"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/request/zltrace"
	"zinnialock/core/version/zlview"
	"zinnialock/io/process/zljournal"
	"zinnialock/io/process/zlplatform"
)

// journalFlushTimeout bounds how long the last lines may take: a reader of standard
// output that stopped reading must not delay the end of the process.
const journalFlushTimeout = 100 * time.Millisecond

// journal writes a line for each decision of the daemon. It implements zltrace.Sink.
type journal struct {
	writer *zljournal.Journal
	views  *zlview.CurrentView
	traces *zltrace.Store
	// done is closed to end the writer, finished once it has ended.
	done     chan struct{}
	finished chan struct{}
	once     sync.Once
}

// buildJournal creates the journal and starts its writer.
func (d *Daemon) buildJournal() {
	out := d.Out
	if out == nil {
		out = io.Discard
	}
	done := make(chan struct{})
	d.journal = &journal{
		writer: &zljournal.Journal{
			Writer: out,
			VM:     d.Config.Name,
			Scope:  d.metrics.Scope(),
			Done:   done,
		},
		views:    d.views,
		traces:   d.traces,
		done:     done,
		finished: make(chan struct{}),
	}
	go func() {
		defer close(d.journal.finished)
		d.journal.writer.Run()
	}()
}

// close writes the last lines and ends the journal. It waits at most
// journalFlushTimeout.
func (j *journal) close() {
	j.once.Do(func() {
		close(j.done)
	})
	timer := time.NewTimer(journalFlushTimeout)
	defer timer.Stop()
	select {
	case <-j.finished:
	case <-timer.C:
	}
}

// process records an event of the process itself.
func (j *journal) process(what, why string) {
	j.writer.Record(&zldecision.Process{
		What: what,
		Why:  why,
	})
}

// platformTurn records that the platform became unavailable or available again.
func (j *journal) platformTurn(t zlplatform.OutageChange) {
	e := &zldecision.Dependency{
		Name:  "platform",
		State: "regained",
		Out:   t.Duration,
	}
	if t.Err != nil {
		e.State, e.Why = "lost", t.Err.Error()
	}
	j.writer.Record(e)
}

// event records e as a zldecision.Belief with the serial of the settings tree.
func (j *journal) event(e zlevent.Event) {
	var version uint64
	if v := j.views.Load(); v != nil {
		version = uint64(v.Tree.Serial)
	}
	j.writer.Record(&zldecision.Belief{
		Topic:   string(e.Kind),
		Name:    e.Subject,
		What:    e.Why,
		Version: version,
	})
}

// Keep implements zltrace.Sink. It stores the trace and records its decisions.
func (j *journal) Keep(t *zltrace.Trace) {
	j.traces.Keep(t)
	subject := j.subject(t)
	for i := range t.Attempts {
		if attempt := &t.Attempts[i]; attempt.Cause != zltrace.CauseFirst {
			j.writer.Record(sentEvent(subject, t, attempt))
		}
	}
	var early zldecision.Reason
	for i := range t.Decisions {
		switch d := &t.Decisions[i]; d.Kind {
		case zltrace.KindNoHedge, zltrace.KindNoRetry:
			j.writer.Record(heldEvent(subject, t, d))
		case zltrace.KindSufficient, zltrace.KindUnreachable:
			early = zldecision.Reason(d.Kind)
		case zltrace.KindClaim:
			// The coordinator's trace of the same request has its end.
			if t.Outcome != zlquery.OutcomeNotRun {
				return
			}
		default:
		}
	}
	j.writer.Record(endEvent(subject, t, early))
}

// subject returns the fields that all lines of a request share.
func (j *journal) subject(t *zltrace.Trace) zldecision.Subject {
	return zldecision.Subject{
		Request: t.Request,
		Route:   string(t.Service) + "/" + string(t.Kind),
		Version: uint64(t.Version),
		Age:     j.views.Age(t.Start.Add(t.Took)),
		Waited:  t.Took,
		Left:    t.Budget - t.Took,
	}
}

// sentEvent returns the event of a sub-request beyond the first of its shard. From is
// the upstream of the previous sub-request of that shard.
func sentEvent(subject zldecision.Subject, t *zltrace.Trace, attempt *zltrace.Attempt) zldecision.Event {
	subject.Waited = attempt.Sent
	subject.Left = t.Budget - attempt.Sent
	e := &zldecision.Sent{
		Subject: subject,
		Reason:  zldecision.Reason(attempt.Why),
		Service: shardName(t, attempt.Shard),
		To:      attempt.Upstream,
	}
	if e.Reason == "" {
		e.Reason = zldecision.Reason(attempt.Cause)
	}
	for i := range t.Attempts {
		if previous := &t.Attempts[i]; previous.Sub < attempt.Sub && previous.Shard == attempt.Shard {
			e.From = previous.Upstream
		}
	}
	return e
}

// heldEvent returns the event of a second send that was due but not made.
func heldEvent(subject zldecision.Subject, t *zltrace.Trace, d *zltrace.Decision) zldecision.Event {
	subject.Waited = d.At
	subject.Left = t.Budget - d.At
	return &zldecision.Held{
		Subject: subject,
		Reason:  zldecision.Reason(d.Kind),
		Service: shardName(t, d.Shard),
	}
}

// endEvent returns the event of the end of a request. The argument early is the reason
// why the request ended before all replies, empty if it did not.
func endEvent(subject zldecision.Subject, t *zltrace.Trace, early zldecision.Reason) zldecision.Event {
	switch t.Outcome {
	case zlquery.OutcomeDone:
		parts := 0
		for i := range t.Decisions {
			if n := t.Decisions[i].Shards; n > 0 {
				parts = n - len(t.Missing)
			}
		}
		return &zldecision.Answered{
			Subject: subject,
			Status:  http.StatusOK,
			Parts:   parts,
			Missing: len(t.Missing),
			Sends:   len(t.Attempts),
			Absent:  absentShards(t),
			Early:   early,
		}
	case zlquery.OutcomeNotRun:
		return &zldecision.Refused{
			Subject: subject,
			Reason:  zldecision.Reason(t.Reason),
			Service: t.Service,
		}
	default:
		return &zldecision.Failed{
			Subject:       subject,
			Reason:        zldecision.Reason(t.Reason),
			Sends:         len(t.Attempts),
			NotIdempotent: !t.Idempotent,
			Absent:        absentShards(t),
		}
	}
}

// absentShards returns the names of the shards that are missing in the answer.
func absentShards(t *zltrace.Trace) []zlunit.Service {
	var out []zlunit.Service
	for _, m := range t.Missing {
		out = append(out, shardName(t, m.Shard))
	}
	return out
}

// shardName returns the name of a shard in events.
func shardName(t *zltrace.Trace, shard zlunit.Shard) zlunit.Service {
	return t.Service + zlunit.Service("/"+strconv.Itoa(int(shard)))
}

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

// journalEnd bounds how long the last lines may take: a reader of standard
// output that stopped reading must not hold the end up.
const journalEnd = 100 * time.Millisecond

// journal writes what the daemon decided as lines. It implements zltrace.Sink.
type journal struct {
	lines  *zljournal.Journal
	views  *zlview.CurrentView
	traces *zltrace.Store
	done   chan struct{}
	ended  chan struct{}
	once   sync.Once
}

func (d *Daemon) buildJournal() {
	out := d.Out
	if out == nil {
		out = io.Discard
	}
	done := make(chan struct{})
	d.journal = &journal{
		lines: &zljournal.Journal{
			Writer: out,
			VM:     d.Config.Name,
			Scope:  d.metrics.Scope(),
			Done:   done,
		},
		views:  d.views,
		traces: d.traces,
		done:   done,
		ended:  make(chan struct{}),
	}
	go func() {
		defer close(d.journal.ended)
		d.journal.lines.Run()
	}()
}

// close ends the journal after its last lines, or after journalEnd.
func (j *journal) close() {
	j.once.Do(func() {
		close(j.done)
	})
	alarm := time.NewTimer(journalEnd)
	defer alarm.Stop()
	select {
	case <-j.ended:
	case <-alarm.C:
	}
}

func (j *journal) process(what, why string) {
	j.lines.Record(&zldecision.Process{
		What: what,
		Why:  why,
	})
}

// turned writes down that the platform was lost or is back.
func (j *journal) turned(t zlplatform.Turn) {
	e := &zldecision.Dependency{
		Name:  "platform",
		State: "regained",
		Out:   t.Out,
	}
	if t.Err != nil {
		e.State, e.Why = "lost", t.Err.Error()
	}
	j.lines.Record(e)
}

// event records e as a Belief event.
func (j *journal) event(e zlevent.Event) {
	var version uint64
	if v := j.views.Load(); v != nil {
		version = uint64(v.Tree.Serial)
	}
	j.lines.Record(&zldecision.Belief{
		Topic:   string(e.Kind),
		Name:    e.Subject,
		What:    e.Why,
		Version: version,
	})
}

// Keep implements zltrace.Sink.
func (j *journal) Keep(t *zltrace.Trace) {
	j.traces.Keep(t)
	subject := j.subject(t)
	for i := range t.Attempts {
		if try := &t.Attempts[i]; try.Cause != zltrace.CauseFirst {
			j.lines.Record(sentOf(subject, t, try))
		}
	}
	var early zldecision.Reason
	for i := range t.Decisions {
		switch d := &t.Decisions[i]; d.Kind {
		case zltrace.KindNoHedge, zltrace.KindNoRetry:
			j.lines.Record(heldOf(subject, t, d))
		case zltrace.KindSufficient, zltrace.KindUnreachable:
			early = zldecision.Reason(d.Kind)
		case zltrace.KindClaim:
			// The coordinator's own trace of the request tells how it ended.
			if t.Outcome != zlquery.OutcomeNotRun {
				return
			}
		default:
		}
	}
	j.lines.Record(endOf(subject, t, early))
}

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

// sentOf is a sub-request beyond the first of its shard. From is the upstream of
// the one before it.
func sentOf(subject zldecision.Subject, t *zltrace.Trace, try *zltrace.Attempt) zldecision.Event {
	subject.Waited = try.Sent
	subject.Left = t.Budget - try.Sent
	e := &zldecision.Sent{
		Subject: subject,
		Reason:  zldecision.Reason(try.Why),
		Service: shardName(t, try.Shard),
		To:      try.Upstream,
	}
	if e.Reason == "" {
		e.Reason = zldecision.Reason(try.Cause)
	}
	for i := range t.Attempts {
		if before := &t.Attempts[i]; before.Sub < try.Sub && before.Shard == try.Shard {
			e.From = before.Upstream
		}
	}
	return e
}

func heldOf(subject zldecision.Subject, t *zltrace.Trace, d *zltrace.Decision) zldecision.Event {
	subject.Waited = d.At
	subject.Left = t.Budget - d.At
	return &zldecision.Held{
		Subject: subject,
		Reason:  zldecision.Reason(d.Kind),
		Service: shardName(t, d.Shard),
	}
}

func endOf(subject zldecision.Subject, t *zltrace.Trace, early zldecision.Reason) zldecision.Event {
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
			Absent:  absentOf(t),
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
			Absent:        absentOf(t),
		}
	}
}

func absentOf(t *zltrace.Trace) []zlunit.Service {
	var out []zlunit.Service
	for _, m := range t.Missing {
		out = append(out, shardName(t, m.Shard))
	}
	return out
}

func shardName(t *zltrace.Trace, shard zlunit.Shard) zlunit.Service {
	return t.Service + zlunit.Service("/"+strconv.Itoa(int(shard)))
}

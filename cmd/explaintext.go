package cmd

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/request/zltrace"
)

// explainText returns a trace as text. Shards that their first sub-request answered are
// only counted; all others have a line for each sub-request.
func explainText(t *zltrace.Trace) string {
	b := &strings.Builder{}
	line := func(format string, args ...any) {
		fmt.Fprintf(b, format+"\n", args...)
	}
	line("request   %s, service %s, kind %q, %s", t.Request, t.Service, t.Kind, idempotenceText(t))
	line("started   %s%s", t.Start.Format(time.RFC3339Nano), timeText(t))
	line("outcome   %s", outcomeText(t))
	if t.Version != 0 {
		line("version   %d, coverage %.4f, complete %v", t.Version, t.Coverage, t.Complete)
	}
	if n := len(t.Attempts); n > 0 {
		line("sent      %d sub-requests: %s", n, causesText(t))
	}
	for _, d := range t.Decisions {
		line("%s  %s", offsetText(d.At), decisionText(&d))
	}
	for _, shard := range detailedShards(t) {
		for _, attempt := range t.Attempts {
			if attempt.Shard == shard {
				line("%s  %s", offsetText(attempt.Sent), attemptText(&attempt))
			}
		}
	}
	if plain := countPlainShards(t); plain > 0 {
		line("          %d more shards were answered by their first sub-request", plain)
	}
	for _, m := range t.Missing {
		line("missing   shard %d: %s", m.Shard, m.Reason)
	}
	return b.String()
}

func idempotenceText(t *zltrace.Trace) string {
	if t.Idempotent {
		return "idempotent"
	}
	return "not idempotent"
}

// timeText returns the time that a request took, and its limit if it has one.
func timeText(t *zltrace.Trace) string {
	text := fmt.Sprintf(", took %s", millisecondsText(t.Took))
	if t.Budget > 0 {
		text += fmt.Sprintf(" of %s allowed", millisecondsText(t.Budget))
	}
	return text
}

func outcomeText(t *zltrace.Trace) string {
	switch {
	case t.Reason == zlquery.ReasonNone:
		return string(t.Outcome)
	case t.Outcome == zlquery.OutcomeNotRun:
		return fmt.Sprintf("refused, reason %s; did not run", t.Reason)
	case t.Outcome == zlquery.OutcomeDone:
		return fmt.Sprintf("refused, reason %s; an earlier attempt ran", t.Reason)
	default:
		return fmt.Sprintf("refused, reason %s; unknown whether it ran", t.Reason)
	}
}

// causesText counts the sub-requests by cause.
func causesText(t *zltrace.Trace) string {
	counts := map[zltrace.Cause]int{}
	for _, attempt := range t.Attempts {
		counts[attempt.Cause]++
	}
	var parts []string
	for cause, count := range counts {
		parts = append(parts, fmt.Sprintf("%d %s", count, cause))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

func decisionText(d *zltrace.Decision) string {
	switch d.Kind {
	case zltrace.KindPlan:
		text := fmt.Sprintf("planned at version %d with %d shards", d.Version, d.Shards)
		if d.Reason != zlquery.ReasonNone {
			text += fmt.Sprintf(", planned again, reason %s", d.Reason)
		}
		return text
	case zltrace.KindWait:
		return fmt.Sprintf("shard %d: waited %s after %s", d.Shard, millisecondsText(d.Wait), d.Reason)
	case zltrace.KindNoHedge:
		return fmt.Sprintf("shard %d: late, but not hedged, reason %s", d.Shard, d.Reason)
	case zltrace.KindNoRetry:
		return fmt.Sprintf("shard %d: not retried, reason %s", d.Shard, d.Reason)
	case zltrace.KindSufficient:
		return "stopped waiting: coverage is sufficient for this query kind"
	case zltrace.KindUnreachable:
		return "stopped waiting: the minimum coverage can no longer be reached"
	case zltrace.KindCallerGone:
		return "the caller disconnected"
	case zltrace.KindClaim:
		if d.Reason != zlquery.ReasonNone {
			return fmt.Sprintf("claim of the request id failed, reason %s, after %s", d.Reason, millisecondsText(d.Wait))
		}
		return fmt.Sprintf("claimed the request id in %s", millisecondsText(d.Wait))
	default:
		return fmt.Sprintf("%s %s", d.Kind, d.Reason)
	}
}

func attemptText(attempt *zltrace.Attempt) string {
	text := fmt.Sprintf("shard %d: %s to %s", attempt.Shard, attempt.Cause, attempt.Upstream)
	if attempt.VM != "" {
		text += fmt.Sprintf(" through %s", attempt.VM)
	}
	if attempt.Why != zlquery.ReasonNone {
		text += fmt.Sprintf(", reason %s", attempt.Why)
	}
	text += fmt.Sprintf(": %s", endText(attempt.End))
	if attempt.Reason != zlquery.ReasonNone {
		text += fmt.Sprintf(" (%s)", attempt.Reason)
	}
	if attempt.Ended > attempt.Sent {
		text += fmt.Sprintf(" after %s", millisecondsText(attempt.Ended-attempt.Sent))
	}
	return text
}

func endText(end zltrace.End) string {
	switch end {
	case zltrace.EndOpen:
		return "no reply before the request ended, cancelled"
	case zltrace.EndDone:
		return "answered"
	case zltrace.EndDuplicate:
		return "answered after another sub-request"
	case zltrace.EndNotRun:
		return "refused, did not run"
	case zltrace.EndUnknown:
		return "failed, may have run"
	case zltrace.EndCancelled:
		return "cancelled"
	case zltrace.EndDropped:
		return "its reply did not match and was dropped"
	default:
		return string(end)
	}
}

// needsDetail reports whether a shard's sub-requests are listed: all but a single first one
// that was answered.
func needsDetail(attempts []zltrace.Attempt) bool {
	return len(attempts) != 1 || attempts[0].Cause != zltrace.CauseFirst || attempts[0].End != zltrace.EndDone
}

func attemptsByShard(t *zltrace.Trace) map[zlunit.Shard][]zltrace.Attempt {
	out := map[zlunit.Shard][]zltrace.Attempt{}
	for _, attempt := range t.Attempts {
		out[attempt.Shard] = append(out[attempt.Shard], attempt)
	}
	return out
}

// detailedShards returns the shards whose sub-requests are listed, sorted.
func detailedShards(t *zltrace.Trace) []zlunit.Shard {
	var out []zlunit.Shard
	for shard, attempts := range attemptsByShard(t) {
		if needsDetail(attempts) {
			out = append(out, shard)
		}
	}
	slices.Sort(out)
	return out
}

// countPlainShards returns the number of shards that their first sub-request answered.
func countPlainShards(t *zltrace.Trace) int {
	return len(attemptsByShard(t)) - len(detailedShards(t))
}

// offsetText returns a time since the start of the request.
func offsetText(d time.Duration) string {
	return fmt.Sprintf("+%8s", millisecondsText(d))
}

func millisecondsText(d time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(d)/float64(time.Millisecond))
}

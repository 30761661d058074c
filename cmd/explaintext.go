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

// explainText tells a trace as a person would read it.
func explainText(t *zltrace.Trace) string {
	b := &strings.Builder{}
	line := func(format string, args ...any) {
		fmt.Fprintf(b, format+"\n", args...)
	}
	line("request   %s, service %s, kind %q, %s", t.Request, t.Service, t.Kind, idempotence(t))
	line("started   %s%s", t.Start.Format(time.RFC3339Nano), allowed(t))
	line("outcome   %s", outcomeText(t))
	if t.Version != 0 {
		line("version   %d, coverage %.4f, complete %v", t.Version, t.Coverage, t.Complete)
	}
	if n := len(t.Attempts); n > 0 {
		line("sent      %d sub-requests: %s", n, causesText(t))
	}
	for _, d := range t.Decisions {
		line("%s  %s", at(d.At), decisionText(&d))
	}
	for _, shard := range toldShards(t) {
		for _, try := range t.Attempts {
			if try.Shard == shard {
				line("%s  %s", at(try.Sent), tryText(&try))
			}
		}
	}
	if quiet := quietShards(t); quiet > 0 {
		line("          %d more shards were answered by their first sub-request", quiet)
	}
	for _, m := range t.Missing {
		line("missing   shard %d: %s", m.Shard, m.Reason)
	}
	return b.String()
}

func idempotence(t *zltrace.Trace) string {
	if t.Idempotent {
		return "idempotent"
	}
	return "not idempotent"
}

func allowed(t *zltrace.Trace) string {
	text := fmt.Sprintf(", took %s", ms(t.Took))
	if t.Budget > 0 {
		text += fmt.Sprintf(" of %s allowed", ms(t.Budget))
	}
	return text
}

func outcomeText(t *zltrace.Trace) string {
	switch {
	case t.Reason == zlquery.ReasonNone:
		return string(t.Outcome)
	case t.Outcome == zlquery.OutcomeNotRun:
		return fmt.Sprintf("refused for %s; proved not to have run", t.Reason)
	case t.Outcome == zlquery.OutcomeDone:
		return fmt.Sprintf("refused for %s; an earlier attempt ran", t.Reason)
	default:
		return fmt.Sprintf("refused for %s; not known whether it ran", t.Reason)
	}
}

// causesText counts the sub-requests by cause.
func causesText(t *zltrace.Trace) string {
	n := map[zltrace.Cause]int{}
	for _, try := range t.Attempts {
		n[try.Cause]++
	}
	var parts []string
	for cause, count := range n {
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
			text += fmt.Sprintf(", anew for %s", d.Reason)
		}
		return text
	case zltrace.KindWait:
		return fmt.Sprintf("shard %d: waited %s after %s", d.Shard, ms(d.For), d.Reason)
	case zltrace.KindNoHedge:
		return fmt.Sprintf("shard %d: late, but not hedged for %s", d.Shard, d.Reason)
	case zltrace.KindNoRetry:
		return fmt.Sprintf("shard %d: not asked again for %s", d.Shard, d.Reason)
	case zltrace.KindSufficient:
		return "stopped waiting: the coverage was enough for this query kind"
	case zltrace.KindUnreachable:
		return "stopped waiting: the coverage asked for could not be reached"
	case zltrace.KindCallerGone:
		return "the caller gave up"
	case zltrace.KindClaim:
		if d.Reason != zlquery.ReasonNone {
			return fmt.Sprintf("claim of the request id: ended for %s after %s", d.Reason, ms(d.For))
		}
		return fmt.Sprintf("claimed the request id in %s", ms(d.For))
	default:
		return fmt.Sprintf("%s %s", d.Kind, d.Reason)
	}
}

func tryText(try *zltrace.Attempt) string {
	text := fmt.Sprintf("shard %d: %s to %s", try.Shard, try.Cause, try.Upstream)
	if try.VM != "" {
		text += fmt.Sprintf(" through %s", try.VM)
	}
	if try.Why != zlquery.ReasonNone {
		text += fmt.Sprintf(", for %s", try.Why)
	}
	text += fmt.Sprintf(": %s", endText(try.End))
	if try.Reason != zlquery.ReasonNone {
		text += fmt.Sprintf(" (%s)", try.Reason)
	}
	if try.Ended > try.Sent {
		text += fmt.Sprintf(" after %s", ms(try.Ended-try.Sent))
	}
	return text
}

func endText(end zltrace.End) string {
	switch end {
	case zltrace.EndOpen:
		return "no reply before the end, cancelled"
	case zltrace.EndDone:
		return "answered"
	case zltrace.EndDuplicate:
		return "answered after another had"
	case zltrace.EndNotRun:
		return "refused, did not run"
	case zltrace.EndUnknown:
		return "failed, may have run"
	case zltrace.EndCancelled:
		return "cancelled"
	case zltrace.EndDropped:
		return "its reply did not fit and was dropped"
	default:
		return string(end)
	}
}

// told reports whether a shard's sub-requests are worth a line each.
func told(tries []zltrace.Attempt) bool {
	return len(tries) != 1 || tries[0].Cause != zltrace.CauseFirst || tries[0].End != zltrace.EndDone
}

func byShard(t *zltrace.Trace) map[zlunit.Shard][]zltrace.Attempt {
	out := map[zlunit.Shard][]zltrace.Attempt{}
	for _, try := range t.Attempts {
		out[try.Shard] = append(out[try.Shard], try)
	}
	return out
}

func toldShards(t *zltrace.Trace) []zlunit.Shard {
	var out []zlunit.Shard
	for shard, tries := range byShard(t) {
		if told(tries) {
			out = append(out, shard)
		}
	}
	slices.Sort(out)
	return out
}

// quietShards counts the shards that one sub-request answered.
func quietShards(t *zltrace.Trace) int {
	return len(byShard(t)) - len(toldShards(t))
}

func at(d time.Duration) string {
	return fmt.Sprintf("+%8s", ms(d))
}

func ms(d time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(d)/float64(time.Millisecond))
}

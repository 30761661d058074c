package zljournal

import (
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlunit"

	"github.com/phuslu/log"
)

// write writes one event as a line. docs/OPERATIONS.md lists the fields.
func write(logger *log.Logger, vm zlunit.VM, e zldecision.Event) {
	line := logger.Info().Str("vm", string(vm))
	switch e := e.(type) {
	case *zldecision.Answered:
		addSubject(line.Str("event", "answered"), &e.Subject)
		line.Int("status", e.Status).Int("sends", e.Sends).Bool("late", e.Late)
		addNonEmpty(line, "upstream", string(e.Upstream))
		if e.Parts > 0 {
			line.Int("parts", e.Parts).Int("missing", e.Missing)
		}
		addNonEmpty(line, "early", string(e.Early))
		addNonEmpty(line, "via", string(e.Via))
		addAbsent(line, e.Absent)
	case *zldecision.Refused:
		addSubject(line.Str("event", "refused"), &e.Subject)
		line.Str("reason", string(e.Reason)).Int64("retryAfterMs", e.RetryAfter.Milliseconds()).Int("waiting", e.Waiting)
		addNonEmpty(line, "service", string(e.Service))
		addNonEmpty(line, "organisation", string(e.Organisation))
	case *zldecision.Failed:
		addSubject(line.Str("event", "failed"), &e.Subject)
		line.Str("reason", string(e.Reason)).Int("status", e.Status).Int("sends", e.Sends).Int("parts", e.Parts).
			Bool("once", e.NotIdempotent)
		addNonEmpty(line, "upstream", string(e.Upstream))
		if e.Fingerprint != 0 {
			line.Str("fingerprint", e.Fingerprint.String())
		}
		addAbsent(line, e.Absent)
	case *zldecision.Sent:
		addSubject(line.Str("event", "sent"), &e.Subject)
		line.Str("reason", string(e.Reason)).Str("service", string(e.Service)).Str("from", string(e.From)).
			Str("to", string(e.To)).Int("inFlight", e.InFlight).Float64("budgetLeft", e.Budget)
	case *zldecision.Held:
		addSubject(line.Str("event", "held"), &e.Subject)
		line.Str("reason", string(e.Reason)).Str("service", string(e.Service)).Str("from", string(e.From)).
			Float64("budgetLeft", e.Budget)
	case *zldecision.Forwarded:
		addSubject(line.Str("event", "forwarded"), &e.Subject)
		line.Str("reason", string(e.Reason)).Str("to", string(e.To)).Int("parts", e.Parts)
	case *zldecision.Declined:
		addSubject(line.Str("event", "declined"), &e.Subject)
		line.Str("reason", string(e.Reason)).Str("by", string(e.VM))
	case *zldecision.Dropped:
		line.Str("event", "dropped").Str("request", string(e.Request)).Str("reason", string(e.Reason)).
			Str("upstream", string(e.Upstream)).Int("status", e.Status)
	default:
		addState(line, e)
	}
	line.Msg("")
}

// addState adds the fields of an event that is not about a request.
func addState(line *log.Entry, e zldecision.Event) {
	switch e := e.(type) {
	case *zldecision.Belief:
		line.Str("event", "belief").Str("topic", e.Topic).Str("name", e.Name).Str("what", e.What)
		addNonEmpty(line, "service", string(e.Service))
		line.Uint64("version", e.Version)
		addPositive(line, "rateLimit", e.RateLimit)
		addPositive(line, "share", e.Share)
	case *zldecision.Organisations:
		line.Str("event", "organisations").Uint64("version", e.Version).Int("organisations", e.Organisations).
			Int("keys", e.Keys).Int("added", e.Added).Int("removed", e.Removed).Int("unusable", e.Unusable).
			Int("shared", e.Shared)
	case *zldecision.Dependency:
		line.Str("event", "dependency").Str("name", e.Name).Str("state", e.State).Str("why", e.Why).
			Int64("outMs", e.Out.Milliseconds())
	case *zldecision.Process:
		line.Str("event", "process").Str("what", e.What).Str("why", e.Why)
	default:
	}
}

// addSubject adds the fields of the request that an event is about.
func addSubject(line *log.Entry, s *zldecision.Subject) {
	line.Str("request", string(s.Request)).Str("route", s.Route).Uint64("version", s.Version).
		Int64("replicasAgeMs", s.Age.Milliseconds()).Float64("waitedMs", ms(s.Waited)).Float64("leftMs", ms(s.Left))
	addNonEmpty(line, "origin", string(s.Origin))
}

// ms returns d in milliseconds, rounded to 0.1 ms.
func ms(d time.Duration) float64 {
	return float64(d.Round(100*time.Microsecond)) / float64(time.Millisecond)
}

// addNonEmpty adds a field unless its value is empty.
func addNonEmpty(line *log.Entry, key, value string) {
	if value != "" {
		line.Str(key, value)
	}
}

// addPositive adds a field if its value is above 0.
func addPositive(line *log.Entry, key string, value float64) {
	if value > 0 {
		line.Float64(key, value)
	}
}

// addAbsent adds the services whose parts are missing, if there are any.
func addAbsent(line *log.Entry, absent []zlunit.Service) {
	if len(absent) == 0 {
		return
	}
	names := make([]string, len(absent))
	for i, s := range absent {
		names[i] = string(s)
	}
	line.Strs("absent", names)
}

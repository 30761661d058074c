package zljournal

import (
	"time"

	"zinnialock/core/process/zldecision"

	"github.com/uber-go/tally/v4"
)

// waitBuckets are the bounds of the latency histograms: 1 ms to 16 s.
var waitBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.5, 25)

// count adds to the counter of an event's kind and reason.
func (j *Journal) count(e zldecision.Event) {
	if j.Scope == nil {
		return
	}
	switch e := e.(type) {
	case *zldecision.Answered:
		outcome := "inObjective"
		if e.Late {
			outcome = "late"
		}
		j.add("answered", "outcome", outcome)
		j.Scope.Tagged(map[string]string{
			"outcome": outcome,
		}).Histogram("waited", waitBuckets).RecordDuration(e.Waited)
		if e.Early != "" {
			j.add("early", "reason", string(e.Early))
		}
	case *zldecision.Refused:
		j.add("refused", "reason", string(e.Reason))
	case *zldecision.Failed:
		j.add("failed", "reason", string(e.Reason))
	case *zldecision.Sent:
		j.add("sent", "reason", string(e.Reason))
	case *zldecision.Held:
		j.add("held", "reason", string(e.Reason))
	case *zldecision.Belief:
		j.add("belief", "what", e.What)
	case *zldecision.Dependency:
		j.add("dependency", "state", e.State)
	case *zldecision.Process:
	}
}

func (j *Journal) add(name, key, value string) {
	j.Scope.Tagged(map[string]string{
		key: value,
	}).Counter(name).Inc(1)
}

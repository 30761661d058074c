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
		j.waited(&e.Subject, outcome)
		if e.Early != "" {
			j.add("early", "reason", string(e.Early))
		}
	case *zldecision.Refused:
		j.add("refused", "reason", string(e.Reason))
		j.waited(&e.Subject, "refused")
	case *zldecision.Failed:
		j.add("failed", "reason", string(e.Reason))
		j.waited(&e.Subject, "failed")
	case *zldecision.Sent:
		j.add("sent", "reason", string(e.Reason))
	case *zldecision.Held:
		j.add("held", "reason", string(e.Reason))
	case *zldecision.Dropped:
		j.add("dropped", "reason", string(e.Reason))
	case *zldecision.Belief:
		j.add("belief", "what", e.What)
	case *zldecision.Dependency:
		j.add("dependency", "state", e.State)
	case *zldecision.Process:
	}
}

// routesTold is how many routes have histograms of their own; those that come
// later share one. Each takes about 4 KB an outcome.
const routesTold = 24

// waited adds the time here to the histogram of the route and the outcome.
func (j *Journal) waited(s *zldecision.Subject, outcome string) {
	j.Scope.Tagged(map[string]string{
		"route":   j.routeTag(s.Route),
		"outcome": outcome,
	}).Histogram("waited", waitBuckets).RecordDuration(s.Waited)
}

func (j *Journal) routeTag(route string) string {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case j.routes[route]:
	case len(j.routes) >= routesTold:
		return "others"
	default:
		if j.routes == nil {
			j.routes = map[string]bool{}
		}
		j.routes[route] = true
	}
	if route == "" {
		return "none"
	}
	return route
}

func (j *Journal) add(name, key, value string) {
	j.Scope.Tagged(map[string]string{
		key: value,
	}).Counter(name).Inc(1)
}

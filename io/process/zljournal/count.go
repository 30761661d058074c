package zljournal

import (
	"time"

	"zinnialock/core/process/zldecision"

	"github.com/uber-go/tally/v4"
)

// waitBuckets are the bucket bounds of the latency histograms: 1 ms to 16 s.
var waitBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.5, 25)

// count increments the counter of an event's type and reason, and records the latency
// of a finished request.
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
		j.increment("answered", "outcome", outcome)
		j.recordWait(&e.Subject, outcome)
		if e.Early != "" {
			j.increment("early", "reason", string(e.Early))
		}
	case *zldecision.Refused:
		j.increment("refused", "reason", string(e.Reason))
		j.recordWait(&e.Subject, "refused")
	case *zldecision.Failed:
		j.increment("failed", "reason", string(e.Reason))
		j.recordWait(&e.Subject, "failed")
	case *zldecision.Sent:
		j.increment("sent", "reason", string(e.Reason))
	case *zldecision.Held:
		j.increment("held", "reason", string(e.Reason))
	case *zldecision.Forwarded:
		j.increment("forwarded", "reason", string(e.Reason))
	case *zldecision.Declined:
		j.increment("declined", "reason", string(e.Reason))
	case *zldecision.Dropped:
		j.increment("dropped", "reason", string(e.Reason))
	default:
		j.countState(e)
	}
}

// countState increments the counter of an event that is not about a request.
func (j *Journal) countState(e zldecision.Event) {
	switch e := e.(type) {
	case *zldecision.Belief:
		j.increment("belief", "what", e.What)
	case *zldecision.Organisations:
		j.increment("belief", "what", "keys")
	case *zldecision.Dependency:
		j.increment("dependency", "state", e.State)
	default:
	}
}

// maxRouteTags limits the routes with histograms of their own; routes that are seen
// later share one. A route takes about 4 KB for each outcome.
const maxRouteTags = 24

// recordWait adds the time since the request arrived to the histogram of its route and
// outcome.
func (j *Journal) recordWait(s *zldecision.Subject, outcome string) {
	j.Scope.Tagged(map[string]string{
		"route":   j.routeTag(s.Route),
		"outcome": outcome,
	}).Histogram("waited", waitBuckets).RecordDuration(s.Waited)
}

// routeTag returns the tag of a route: its name, "none" without a route, or "others"
// beyond maxRouteTags.
func (j *Journal) routeTag(route string) string {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case j.routes[route]:
	case len(j.routes) >= maxRouteTags:
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

// increment adds 1 to the counter with this tag.
func (j *Journal) increment(name, key, value string) {
	j.Scope.Tagged(map[string]string{
		key: value,
	}).Counter(name).Inc(1)
}

// Package zlgate admits sub-requests to one upstream: within its slots, within
// what a cold start bears, and in order of deadline. It infers the upstream's
// state from process identity, connections and service times.
package zlgate

import (
	"sync"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
)

// Limits is what an upstream bears from this daemon.
type Limits struct {
	Slots zlunit.Slots
	// Cold bounds what is in flight while the upstream is cold; 0 means that
	// nothing is sent then.
	Cold        zlunit.Slots
	Connections zlunit.Connections
	// ColdWork is how many successes end a cold start; 0 means the default.
	ColdWork int
	// ColdTime is how long a cold start lasts at least; 0 means the default.
	ColdTime time.Duration
}

// Counter counts refusals by reason.
type Counter interface {
	Count(what string, reason zlquery.Reason)
}

// CountRefusal names the counter of what gates refused.
const CountRefusal = "gateRefusal"

// Gate guards one upstream. Its own lock covers all its state. The exported
// fields must be set before use.
type Gate struct {
	Name  zlunit.Upstream
	Timer *zltimer.Service
	// Counter may be nil.
	Counter Counter
	// Changed, if set, is called after each change of state.
	Changed func(Change)

	mu     sync.Mutex
	limits Limits

	state State
	cause Cause
	since time.Time
	// turn counts the cold turns; a ticket of an earlier turn is checked anew.
	turn uint64
	// level is how many sub-requests the upstream has been shown to bear.
	level     int
	successes int
	normals   int
	// toll multiplies the successes that the next step up needs.
	toll int
	// held is when the level may rise again.
	held time.Time
	// retryAt is when a gone or draining upstream is tried again.
	retryAt time.Time
	backoff time.Duration

	inFlight int
	started  int
	queue    queue
	paces    map[zlunit.QueryKind]*pace
	// mean is the smoothed service time over all query kinds.
	mean     time.Duration
	evidence float64
	// stretch and usual are service times over their median, recently and in
	// the long run.
	stretch float64
	usual   float64

	process  zlunit.Process
	live     int
	reserved int
	unproven int

	changes []Change
}

// SetLimits sets what the upstream bears; a new gate starts cold.
func (g *Gate) SetLimits(l Limits) {
	if l.ColdWork == 0 {
		l.ColdWork = defaultColdWork
	}
	if l.ColdTime == 0 {
		l.ColdTime = defaultColdTime
	}
	l.Cold = min(l.Cold, l.Slots)
	g.mu.Lock()
	if g.limits == l {
		g.mu.Unlock()
		return
	}
	g.limits = l
	if g.state == "" {
		g.toll = 1
		g.chill(CauseFirstContact)
	}
	g.level = min(g.level, int(l.Slots))
	g.unlock(g.wake(nil))
}

// unlock releases the lock, then calls what became due: hooks may call back.
func (g *Gate) unlock(due *Ticket) {
	changes := g.changes
	g.changes = nil
	g.mu.Unlock()
	if g.Changed != nil {
		for _, c := range changes {
			g.Changed(c)
		}
	}
	for due != nil {
		t := due
		due = t.next
		t.next = nil
		g.tell(t)
	}
}

func (g *Gate) tell(t *Ticket) {
	if t.refusal == zlquery.ReasonNone {
		t.Entrant.Granted()
		return
	}
	if g.Counter != nil {
		g.Counter.Count(CountRefusal, t.refusal)
	}
	t.Entrant.Refused(t.refusal, t.retryAfter)
}

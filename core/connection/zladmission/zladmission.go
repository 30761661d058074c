// Package zladmission is the admission control of one upstream: it decides when a
// sub-request may be sent, within the slots of the upstream, within a lower
// limit after a cold start, and in order of deadline. It detects restarts and
// overload from process identity, connections and service times. It opens no
// connections and sends nothing itself; the caller reports what happens.
package zladmission

import (
	"sync"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
)

// Limits are what this daemon may use of an upstream.
type Limits struct {
	// Slots is the most sub-requests in flight.
	Slots zlunit.Slots
	// Cold is the most sub-requests in flight while the upstream is cold; 0
	// means that nothing is sent then.
	Cold zlunit.Slots
	// Connections is the most connections, those being dialled included.
	Connections zlunit.Connections
	// ColdSuccesses is how many successes end a cold start; 0 means
	// defaultColdSuccesses.
	ColdSuccesses int
	// MinColdTime is the least duration of a cold start; 0 means defaultMinColdTime.
	MinColdTime time.Duration
}

// Counter counts refusals by reason. Count is called without the lock of the
// gate.
type Counter interface {
	Count(name string, reason zlquery.Reason)
}

// CountRefusal is the name of the counter of refusals by gates.
const CountRefusal = "gateRefusal"

// Gate admits sub-requests to one upstream. The exported fields must be set
// before use; the methods are safe for concurrent use.
type Gate struct {
	// Name names the upstream.
	Name  zlunit.Upstream
	Timer *zltimer.Service
	// Counter may be nil.
	Counter Counter
	// OnChange, if set, is called after each change of state, without the lock.
	OnChange func(Change)

	mu     sync.Mutex
	limits Limits

	state State
	cause Cause
	since time.Time
	// generation counts the times that the upstream turned cold, draining or
	// gone. A ticket that was granted in an earlier generation is checked
	// again before it is sent.
	generation uint64
	// inFlightLimit is how many sub-requests the upstream has been shown to
	// handle at once.
	inFlightLimit int
	// successes counts the successes towards the next step of the in-flight
	// limit.
	successes int
	// normalStreak counts the latest successes in a row with a normal service
	// time.
	normalStreak int
	// rampFactor multiplies the successes that the next step of a warm-up
	// needs; each failed step doubles it.
	rampFactor int
	// holdUntil is the time until which inFlightLimit is not raised.
	holdUntil time.Time
	// retryAt is when a gone or draining upstream is tried again.
	retryAt time.Time
	// backoff is the latest wait until retryAt.
	backoff time.Duration

	// inFlight counts granted tickets; started counts those that were sent.
	inFlight  int
	started   int
	queue     queue
	estimates map[zlunit.QueryKind]*estimate
	// meanService is the moving average of the service time over all query
	// kinds.
	meanService time.Duration
	// evidence is how much speaks for a cold start that nothing announced.
	evidence float64
	// recentRatio and longTermRatio are moving averages, over a short and a
	// long run, of the service time relative to the median of its kind.
	recentRatio   float64
	longTermRatio float64

	// process is the latest identity of the upstream; empty if it gave none.
	process zlunit.Process
	// live counts open connections, reserved also those being dialled, and
	// unproven those on which nothing was answered yet.
	live     int
	reserved int
	unproven int

	// changes are those that OnChange has not been called with.
	changes []Change
}

// SetLimits sets the limits of the upstream. The first call makes a new gate
// cold.
func (g *Gate) SetLimits(l Limits) {
	if l.ColdSuccesses == 0 {
		l.ColdSuccesses = defaultColdSuccesses
	}
	if l.MinColdTime == 0 {
		l.MinColdTime = defaultMinColdTime
	}
	l.Cold = min(l.Cold, l.Slots)
	g.mu.Lock()
	if g.limits == l {
		g.mu.Unlock()
		return
	}
	g.limits = l
	if g.state == "" {
		g.rampFactor = 1
		g.enterCold(CauseFirstContact)
	}
	g.inFlightLimit = min(g.inFlightLimit, int(l.Slots))
	g.unlock(g.grantWaiting(nil))
}

// unlock releases the lock, then calls OnChange and the waiters of the decided
// tickets, a linked list; these may call the gate again.
func (g *Gate) unlock(decided *Ticket) {
	changes := g.changes
	g.changes = nil
	g.mu.Unlock()
	if g.OnChange != nil {
		for _, c := range changes {
			g.OnChange(c)
		}
	}
	for decided != nil {
		t := decided
		decided = t.next
		t.next = nil
		g.notify(t)
	}
}

func (g *Gate) notify(t *Ticket) {
	if t.refusal == zlquery.ReasonNone {
		t.Waiter.Granted()
		return
	}
	if g.Counter != nil {
		g.Counter.Count(CountRefusal, t.refusal)
	}
	t.Waiter.Refused(t.refusal, t.retryAfter)
}

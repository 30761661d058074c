package zladmission

import (
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
)

// Waiter is notified of the decision about a ticket, at most once, on any
// goroutine. It must not block.
type Waiter interface {
	// Granted: the sub-request may be sent. The waiter must call End.
	Granted()
	// Refused: nothing was sent and nothing may be sent.
	Refused(reason zlquery.Reason, retryAfter time.Duration)
}

// Ticket is one sub-request that asks for admission. The exported fields must
// be set before Enter.
type Ticket struct {
	Kind zlunit.QueryKind
	// Value decides which ticket is refused first under overload.
	Value Value
	// Deadline is when the answer is no longer of use.
	Deadline time.Time
	Waiter   Waiter

	phase phase
	// generation is that of the gate when the ticket was granted.
	generation uint64
	startedAt  time.Time
	conn       *Conn
	refusal    zlquery.Reason
	retryAfter time.Duration
	// next links the tickets whose waiters are to be notified.
	next *Ticket
}

type phase int

const (
	phaseNew phase = iota
	phaseQueued
	phaseGranted
	// phaseAbandoned: granted, then given up before anything was sent.
	phaseAbandoned
	phaseStarted
	phaseEnded
)

const (
	// minRetryAfter and maxRetryAfter bound the retry-after for refused
	// callers.
	minRetryAfter = 5 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Enter asks for admission. The waiter is notified before Enter returns or
// later, unless Leave comes before the decision.
func (g *Gate) Enter(t *Ticket) {
	g.mu.Lock()
	if t.phase != phaseNew {
		g.mu.Unlock()
		return
	}
	if reason := g.closedReason(); reason != zlquery.ReasonNone {
		g.unlock(g.refuse(t, reason, nil))
		return
	}
	if g.inFlight < g.maxInFlight() && g.queue.len() == 0 {
		g.unlock(g.grant(t, nil))
		return
	}
	t.phase = phaseQueued
	g.queue.insert(t)
	g.unlock(g.grantWaiting(g.refuseHopeless(nil)))
}

// closedReason returns why the gate admits no request, or ReasonNone if it may
// admit some. The caller holds mu.
func (g *Gate) closedReason() zlquery.Reason {
	if g.maxInFlight() > 0 {
		return zlquery.ReasonNone
	}
	switch g.state {
	case StateDraining:
		return zlquery.ReasonDraining
	case StateGone:
		return zlquery.ReasonDialFailed
	default:
		return zlquery.ReasonColdBudget
	}
}

// refuse and grant decide a ticket and put it in front of the decided ones, whose
// waiters unlock notifies.
func (g *Gate) refuse(t *Ticket, reason zlquery.Reason, decided *Ticket) *Ticket {
	t.phase = phaseEnded
	t.refusal = reason
	t.retryAfter = g.suggestRetryAfter()
	t.next = decided
	return t
}

func (g *Gate) grant(t *Ticket, decided *Ticket) *Ticket {
	t.phase = phaseGranted
	t.generation = g.generation
	g.inFlight++
	t.next = decided
	return t
}

// suggestRetryAfter returns after what time a refused caller may retry.
func (g *Gate) suggestRetryAfter() time.Duration {
	if g.state == StateDraining || g.state == StateGone {
		return max(g.retryAt.Sub(g.Timer.Now()), minRetryAfter)
	}
	wait := g.grantInterval() * time.Duration(g.queue.len()+1)
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// grantInterval is the expected time between two grants from the queue.
func (g *Gate) grantInterval() time.Duration {
	return g.meanService / time.Duration(max(g.maxInFlight(), 1))
}

// refuseHopeless refuses the waiting tickets that cannot end in time or do not
// fit. Of the tickets up to and including a late one, the least valuable is
// refused. The caller holds mu.
func (g *Gate) refuseHopeless(decided *Ticket) *Ticket {
	if reason := g.closedReason(); reason != zlquery.ReasonNone {
		for g.queue.len() > 0 {
			decided = g.refuse(g.queue.pop(), reason, decided)
		}
		return decided
	}
	maxWaiting := min(queuePerSlot*max(g.maxInFlight(), 1), maxQueued)
	for g.queue.len() > maxWaiting {
		decided = g.evict(0, zlquery.ReasonQueueFull, decided)
	}
	for g.meanService > 0 {
		i := g.queue.firstLate(g.Timer.Now(), g.grantInterval(), g.meanService)
		if i < 0 {
			break
		}
		decided = g.evict(i, zlquery.ReasonOverload, decided)
	}
	return decided
}

// evict refuses the least valuable ticket from index i of the queue on.
func (g *Gate) evict(i int, reason zlquery.Reason, decided *Ticket) *Ticket {
	t := g.queue.leastValuable(i)
	g.queue.remove(t)
	return g.refuse(t, reason, decided)
}

// grantWaiting grants waiting tickets while the in-flight limit allows. The
// caller holds mu.
func (g *Gate) grantWaiting(decided *Ticket) *Ticket {
	if g.queue.len() == 0 {
		return decided
	}
	if g.closedReason() != zlquery.ReasonNone {
		return g.refuseHopeless(decided)
	}
	now := g.Timer.Now()
	for g.queue.len() > 0 && g.inFlight < g.maxInFlight() {
		t := g.queue.pop()
		if t.Deadline.Before(now.Add(g.meanService)) {
			decided = g.refuse(t, zlquery.ReasonDeadline, decided)
			continue
		}
		decided = g.grant(t, decided)
	}
	return decided
}

// Leave gives up a ticket and reports whether nothing was sent and nothing
// will be. For a ticket that was granted, End must still be called.
func (g *Gate) Leave(t *Ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch t.phase {
	case phaseNew:
		t.phase = phaseEnded
		return true
	case phaseQueued:
		g.queue.remove(t)
		t.phase = phaseEnded
		return true
	case phaseGranted:
		t.phase = phaseAbandoned
		return true
	case phaseAbandoned:
		return true
	default:
		return false
	}
}

// Start must be called right before the first byte is written to c. Unless it
// returns ReasonNone, nothing may be written.
func (g *Gate) Start(t *Ticket, c *Conn) zlquery.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.phase == phaseStarted {
		return zlquery.ReasonNone
	}
	if t.phase != phaseGranted {
		return zlquery.ReasonCancelled
	}
	if reason := g.closedReason(); reason != zlquery.ReasonNone {
		return reason
	}
	if t.generation != g.generation && g.started >= g.maxInFlight() {
		return zlquery.ReasonColdBudget
	}
	now := g.Timer.Now()
	if !now.Before(t.Deadline) {
		return zlquery.ReasonDeadline
	}
	t.phase = phaseStarted
	t.conn = c
	t.startedAt = now
	g.started++
	return zlquery.ReasonNone
}

// Outcome is how a granted sub-request ended at the upstream.
type Outcome int

// The outcomes.
const (
	// OutcomeUnsent: nothing was written.
	OutcomeUnsent Outcome = iota
	// OutcomeDone: the upstream answered.
	OutcomeDone
	// OutcomeRefused: the upstream refused for a reason other than those
	// below.
	OutcomeRefused
	// OutcomeShed: the upstream refused because of its load.
	OutcomeShed
	// OutcomeDraining: the upstream accepts no new work.
	OutcomeDraining
	// OutcomeGivenUp: it was cancelled or reached its deadline before it
	// ended.
	OutcomeGivenUp
	// OutcomeFailed: the connection broke, or the reply was unusable.
	OutcomeFailed
)

// End ends a granted ticket. It must be called only when the upstream no
// longer works on it or must be assumed not to. Process is the identity that
// the upstream gave, or empty. End returns the time since Start, or 0 if
// nothing was sent.
func (g *Gate) End(t *Ticket, outcome Outcome, process zlunit.Process) time.Duration {
	g.mu.Lock()
	g.inFlight--
	var took time.Duration
	if t.phase == phaseStarted {
		g.started--
		took = g.Timer.Now().Sub(t.startedAt)
		g.identify(t.conn, process)
		g.observe(t, outcome, took)
	}
	t.phase = phaseEnded
	t.conn = nil
	g.unlock(g.grantWaiting(g.refuseHopeless(nil)))
	return took
}

// observe changes the state by the outcome of a sub-request that was sent. The
// caller holds mu.
func (g *Gate) observe(t *Ticket, outcome Outcome, took time.Duration) {
	switch outcome {
	case OutcomeDone:
		if t.generation == g.generation {
			g.onSuccess(t.Kind, took)
		}
	case OutcomeShed:
		g.onShed()
	case OutcomeDraining:
		g.enterDraining()
	case OutcomeGivenUp:
		if t.generation == g.generation && g.estimateFor(t.Kind).isSlow(took) {
			g.normalStreak = 0
			g.addEvidence(CauseSlow)
		}
	case OutcomeFailed:
		g.normalStreak = 0
	default:
	}
	if outcome == OutcomeDone && (g.state == StateDraining || g.state == StateGone) {
		g.endBackoff(t)
	}
}

// endBackoff makes an upstream cold again when a retry after a drain or a
// failed dial was answered.
func (g *Gate) endBackoff(t *Ticket) {
	if t.generation == g.generation {
		g.rampFactor = 1
		g.enterCold(CauseRetry)
	}
}

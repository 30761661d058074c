package zlgate

import (
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
)

// Entrant is told what became of a ticket, once, on any goroutine. It must not
// block.
type Entrant interface {
	// Granted tells that the sub-request may be sent; End must follow.
	Granted()
	// Refused tells that nothing was sent and nothing may be.
	Refused(reason zlquery.Reason, retryAfter time.Duration)
}

// Ticket is one sub-request at a gate. The exported fields must be set before
// Enter.
type Ticket struct {
	Kind     zlunit.QueryKind
	Value    Value
	Deadline time.Time
	Entrant  Entrant

	phase      phase
	turn       uint64
	startedAt  time.Time
	conn       *Conn
	refusal    zlquery.Reason
	retryAfter time.Duration
	next       *Ticket
}

type phase int

const (
	phaseNew phase = iota
	phaseQueued
	phaseGranted
	// phaseForfeited: granted, given up before anything was sent.
	phaseForfeited
	phaseStarted
	phaseEnded
)

const (
	// retryAfterLeast and retryAfterMost bound the advice to refused callers.
	retryAfterLeast = 5 * time.Millisecond
	retryAfterMost  = 5 * time.Second
)

// Enter asks for admission. The entrant is told at once or later, unless Leave
// came first.
func (g *Gate) Enter(t *Ticket) {
	g.mu.Lock()
	if t.phase != phaseNew {
		g.mu.Unlock()
		return
	}
	if reason := g.closed(); reason != zlquery.ReasonNone {
		g.unlock(g.refuse(t, reason, nil))
		return
	}
	if g.inFlight < g.capacity() && g.queue.len() == 0 {
		g.unlock(g.grant(t, nil))
		return
	}
	t.phase = phaseQueued
	g.queue.insert(t)
	g.unlock(g.wake(g.trim(nil)))
}

// closed tells why nothing is admitted at all, if so.
func (g *Gate) closed() zlquery.Reason {
	if g.capacity() > 0 {
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

func (g *Gate) refuse(t *Ticket, reason zlquery.Reason, due *Ticket) *Ticket {
	t.phase = phaseEnded
	t.refusal = reason
	t.retryAfter = g.advice()
	t.next = due
	return t
}

func (g *Gate) grant(t *Ticket, due *Ticket) *Ticket {
	t.phase = phaseGranted
	t.turn = g.turn
	g.inFlight++
	t.next = due
	return t
}

// advice is when a refused caller may come back.
func (g *Gate) advice() time.Duration {
	if g.state == StateDraining || g.state == StateGone {
		return max(g.retryAt.Sub(g.Timer.Now()), retryAfterLeast)
	}
	wait := g.step() * time.Duration(g.queue.len()+1)
	return min(max(wait, retryAfterLeast), retryAfterMost)
}

// step is the expected time between two turns of the queue.
func (g *Gate) step() time.Duration {
	return g.mean / time.Duration(max(g.capacity(), 1))
}

// trim refuses what cannot end in time or does not fit. Of the tickets that
// delay a late one, the least valuable goes.
func (g *Gate) trim(due *Ticket) *Ticket {
	if reason := g.closed(); reason != zlquery.ReasonNone {
		for g.queue.len() > 0 {
			due = g.refuse(g.queue.pop(), reason, due)
		}
		return due
	}
	room := min(queuePerSlot*max(g.capacity(), 1), queueMost)
	for g.queue.len() > room {
		due = g.evict(0, zlquery.ReasonQueueFull, due)
	}
	for g.mean > 0 {
		i := g.queue.late(g.Timer.Now(), g.step(), g.mean)
		if i < 0 {
			break
		}
		due = g.evict(i, zlquery.ReasonOverload, due)
	}
	return due
}

func (g *Gate) evict(i int, reason zlquery.Reason, due *Ticket) *Ticket {
	t := g.queue.least(i)
	g.queue.remove(t)
	return g.refuse(t, reason, due)
}

// wake grants waiting tickets while there is room.
func (g *Gate) wake(due *Ticket) *Ticket {
	if g.queue.len() == 0 {
		return due
	}
	if g.closed() != zlquery.ReasonNone {
		return g.trim(due)
	}
	now := g.Timer.Now()
	for g.queue.len() > 0 && g.inFlight < g.capacity() {
		t := g.queue.pop()
		if t.Deadline.Before(now.Add(g.mean)) {
			due = g.refuse(t, zlquery.ReasonDeadline, due)
			continue
		}
		due = g.grant(t, due)
	}
	return due
}

// Leave gives a ticket up and reports whether nothing was sent and nothing
// will be. Of a ticket that was granted, End must still follow.
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
		t.phase = phaseForfeited
		return true
	case phaseForfeited:
		return true
	default:
		return false
	}
}

// Start is called right before the first byte is written to c. Unless it
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
	if reason := g.closed(); reason != zlquery.ReasonNone {
		return reason
	}
	if t.turn != g.turn && g.started >= g.capacity() {
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
	// OutcomeRefused: the upstream refused for another reason than below.
	OutcomeRefused
	// OutcomeShed: the upstream refused for its load.
	OutcomeShed
	// OutcomeDraining: the upstream takes no new work.
	OutcomeDraining
	// OutcomeGivenUp: cancelled or due before it ended.
	OutcomeGivenUp
	// OutcomeFailed: the connection broke, or the reply was unusable.
	OutcomeFailed
)

// End ends a granted ticket. It is called only once the upstream is known, or
// must be taken, to no longer work on it. Process is the identity that the
// upstream gave, if any. It returns the time since Start.
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
	g.unlock(g.wake(g.trim(nil)))
	return took
}

func (g *Gate) observe(t *Ticket, outcome Outcome, took time.Duration) {
	switch outcome {
	case OutcomeDone:
		if t.turn == g.turn {
			g.succeeded(t.Kind, took)
		}
	case OutcomeShed:
		g.shed()
	case OutcomeDraining:
		g.drain()
	case OutcomeGivenUp:
		if t.turn == g.turn && g.paceOf(t.Kind).slow(took) {
			g.normals = 0
			g.suspect(CauseSlow)
		}
	case OutcomeFailed:
		g.normals = 0
	default:
	}
	if outcome == OutcomeDone && (g.state == StateDraining || g.state == StateGone) {
		g.revive(t)
	}
}

// revive takes up an upstream whose retry after a drain was answered.
func (g *Gate) revive(t *Ticket) {
	if t.turn == g.turn {
		g.toll = 1
		g.chill(CauseRetry)
	}
}

package zladmission

import (
	"time"

	"zinnialock/core/process/zlunit"
)

// State is what the gate takes the state of its upstream to be.
type State string

// The states of an upstream.
const (
	// StateCold: the upstream has just started, or is not known to be warm.
	StateCold State = "cold"
	// StateWarming: the in-flight limit rises step by step (slow start).
	StateWarming State = "warming"
	// StateWarm: the upstream handles all of its in-flight limit.
	StateWarm State = "warm"
	// StateShedding: the upstream is warm and refuses part of its work because
	// of load.
	StateShedding State = "shedding"
	// StateDraining: the upstream accepts no new work.
	StateDraining State = "draining"
	// StateGone: no connection to the upstream can be established.
	StateGone State = "gone"
)

// Cause is why the state last changed.
type Cause string

// The causes of a change of state.
const (
	CauseFirstContact Cause = "firstContact"
	CauseNewProcess   Cause = "newProcess"
	CauseBroken       Cause = "connectionBroken"
	CauseSlow         Cause = "slow"
	CauseShed         Cause = "shed"
	CauseDraining     Cause = "draining"
	CauseDialFailed   Cause = "dialFailed"
	CauseReconnected  Cause = "reconnected"
	CauseRetry        Cause = "retry"
	CauseProven       Cause = "proven"
)

const (
	// defaultColdSuccesses is a number of successes.
	defaultColdSuccesses = 32
	defaultMinColdTime   = 250 * time.Millisecond
	// minNormalStreak is how many successes in a row must have a normal
	// service time at the end of a cold start.
	minNormalStreak = 8
	// successesPerStep is how many successes per unit of the in-flight limit
	// raise the limit by one.
	successesPerStep = 8
	// maxRampFactor bounds how much failed steps slow down a warm-up.
	maxRampFactor = 8
	// shedHold is how long the in-flight limit is not raised after the
	// upstream shed a request.
	shedHold = time.Second
	// minGoneBackoff and maxGoneBackoff bound the wait between dials to a gone
	// upstream.
	minGoneBackoff = 50 * time.Millisecond
	maxGoneBackoff = 2 * time.Second
	// minDrainBackoff and maxDrainBackoff bound the wait before the retry of a
	// draining upstream whose process is still running.
	minDrainBackoff = time.Minute
	maxDrainBackoff = 10 * time.Minute
)

// Change is a change of an upstream's state.
type Change struct {
	Upstream zlunit.Upstream
	From     State
	To       State
	Cause    Cause
	At       time.Time
}

// Status is a snapshot of a gate, for status pages.
type Status struct {
	Upstream zlunit.Upstream `json:"upstream"`
	State    State           `json:"state"`
	// Since is when the state or its cause was last set.
	Since time.Time `json:"since"`
	Cause Cause     `json:"cause"`
	// Limit is the most sub-requests in flight now.
	Limit    int          `json:"limit"`
	Slots    zlunit.Slots `json:"slots"`
	InFlight int          `json:"inFlight"`
	Queued   int          `json:"queued"`
	// Service is the moving average of the service time.
	Service     time.Duration  `json:"serviceNs"`
	Connections int            `json:"connections"`
	Process     zlunit.Process `json:"process,omitempty"`
}

// Snapshot returns the current Status.
func (g *Gate) Snapshot() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Status{
		Upstream:    g.Name,
		State:       g.state,
		Since:       g.since,
		Cause:       g.cause,
		Limit:       g.maxInFlight(),
		Slots:       g.limits.Slots,
		InFlight:    g.inFlight,
		Queued:      g.queue.len(),
		Service:     g.meanService,
		Connections: g.reserved,
		Process:     g.process,
	}
}

// maxInFlight returns how many sub-requests may be in flight now. The caller
// holds mu.
func (g *Gate) maxInFlight() int {
	switch g.state {
	case StateDraining, StateGone:
		if g.Timer.Now().Before(g.retryAt) {
			return 0
		}
		return min(1, int(g.limits.Cold))
	case StateCold:
		return int(g.limits.Cold)
	default:
		return g.inFlightLimit
	}
}

// enter changes the state and notes the change for OnChange.
func (g *Gate) enter(s State, cause Cause) {
	now := g.Timer.Now()
	if g.state != s {
		g.changes = append(g.changes, Change{
			Upstream: g.Name,
			From:     g.state,
			To:       s,
			Cause:    cause,
			At:       now,
		})
	}
	g.state = s
	g.cause = cause
	g.since = now
}

// enterCold makes the upstream cold. Tickets that were granted but not sent
// are checked again. The caller holds mu.
func (g *Gate) enterCold(cause Cause) {
	g.enter(StateCold, cause)
	g.generation++
	g.inFlightLimit = int(g.limits.Cold)
	g.resetEvidence()
}

func (g *Gate) resetEvidence() {
	g.successes = 0
	g.normalStreak = 0
	g.evidence = 0
	g.recentRatio = g.longTermRatio
}

// enterDraining stops new work until the process of the upstream ends. The
// caller holds mu.
func (g *Gate) enterDraining() {
	g.backOff(minDrainBackoff, maxDrainBackoff)
	if g.state != StateDraining {
		g.generation++
		g.enter(StateDraining, CauseDraining)
	}
}

// enterGone notes that no connection could be established while none is open.
// The caller holds mu.
func (g *Gate) enterGone() {
	g.backOff(minGoneBackoff, maxGoneBackoff)
	if g.state != StateGone {
		g.generation++
		g.enter(StateGone, CauseDialFailed)
	}
}

// backOff doubles the wait before the next try, starting at first.
func (g *Gate) backOff(first, limit time.Duration) {
	if g.state == StateDraining || g.state == StateGone {
		g.backoff = min(2*g.backoff, limit)
	} else {
		g.backoff = first
	}
	g.retryAt = g.Timer.Now().Add(g.backoff)
}

// States returns all states.
func States() []State {
	return []State{StateCold, StateWarming, StateWarm, StateShedding, StateDraining, StateGone}
}

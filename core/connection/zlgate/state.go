package zlgate

import (
	"time"

	"zinnialock/core/process/zlunit"
)

// State is what the gate believes of its upstream.
type State string

// The states of an upstream.
const (
	// StateCold: just started, or not known to be warm.
	StateCold State = "cold"
	// StateWarming: bears more step by step.
	StateWarming State = "warming"
	// StateWarm: bears its level.
	StateWarm State = "warm"
	// StateShedding: warm, and refusing part of the work.
	StateShedding State = "shedding"
	// StateDraining: takes no new work.
	StateDraining State = "draining"
	// StateGone: no connection can be made.
	StateGone State = "gone"
)

// Cause is why the state changed last.
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
	defaultColdWork = 32
	defaultColdTime = 250 * time.Millisecond
	// normalRun is how many normal successes in a row a cold start ends with.
	normalRun = 8
	// successesPerStep is how many successes per slot in use widen the gate
	// by one slot.
	successesPerStep = 8
	// maxToll bounds how much slower a ramp gets by failed steps.
	maxToll = 8
	// shedHold is how long a shed reply keeps the level from rising.
	shedHold = time.Second
	// goneBackoff and goneBackoffMax bound the wait between dials.
	goneBackoff    = 50 * time.Millisecond
	goneBackoffMax = 2 * time.Second
	// drainBackoff and drainBackoffMax bound the wait before a draining
	// upstream that still lives is tried again.
	drainBackoff    = time.Minute
	drainBackoffMax = 10 * time.Minute
)

// Change is a change of an upstream's state.
type Change struct {
	Upstream zlunit.Upstream
	From     State
	To       State
	Cause    Cause
	At       time.Time
}

// Status is what a gate tells of its upstream.
type Status struct {
	Upstream zlunit.Upstream `json:"upstream"`
	State    State           `json:"state"`
	Since    time.Time       `json:"since"`
	Cause    Cause           `json:"cause"`
	Limit    int             `json:"limit"`
	Slots    zlunit.Slots    `json:"slots"`
	InFlight int             `json:"inFlight"`
	Queued   int             `json:"queued"`
	// Service is the smoothed service time.
	Service     time.Duration  `json:"serviceNs"`
	Connections int            `json:"connections"`
	Process     zlunit.Process `json:"process,omitempty"`
}

// Snapshot returns what the gate knows now.
func (g *Gate) Snapshot() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Status{
		Upstream:    g.Name,
		State:       g.state,
		Since:       g.since,
		Cause:       g.cause,
		Limit:       g.capacity(),
		Slots:       g.limits.Slots,
		InFlight:    g.inFlight,
		Queued:      g.queue.len(),
		Service:     g.mean,
		Connections: g.reserved,
		Process:     g.process,
	}
}

// capacity is how many sub-requests may be in flight now.
func (g *Gate) capacity() int {
	switch g.state {
	case StateDraining, StateGone:
		if g.Timer.Now().Before(g.retryAt) {
			return 0
		}
		return min(1, int(g.limits.Cold))
	case StateCold:
		return int(g.limits.Cold)
	default:
		return g.level
	}
}

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

// chill begins a cold turn: what was granted but not sent is checked anew.
func (g *Gate) chill(cause Cause) {
	g.enter(StateCold, cause)
	g.turn++
	g.level = int(g.limits.Cold)
	g.resetEvidence()
}

func (g *Gate) resetEvidence() {
	g.successes = 0
	g.normals = 0
	g.evidence = 0
	g.stretch = g.usual
}

// drain stops all new work until the upstream's process ends.
func (g *Gate) drain() {
	g.backOff(drainBackoff, drainBackoffMax)
	if g.state != StateDraining {
		g.turn++
		g.enter(StateDraining, CauseDraining)
	}
}

// vanish notes that no connection could be made while none is left.
func (g *Gate) vanish() {
	g.backOff(goneBackoff, goneBackoffMax)
	if g.state != StateGone {
		g.turn++
		g.enter(StateGone, CauseDialFailed)
	}
}

func (g *Gate) backOff(first, most time.Duration) {
	if g.state == StateDraining || g.state == StateGone {
		g.backoff = min(2*g.backoff, most)
	} else {
		g.backoff = first
	}
	g.retryAt = g.Timer.Now().Add(g.backoff)
}

// States lists all states.
func States() []State {
	return []State{StateCold, StateWarming, StateWarm, StateShedding, StateDraining, StateGone}
}

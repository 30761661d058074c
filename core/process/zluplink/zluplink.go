// Package zluplink finds out, for the relay, whether this VM has lost its uplink, the
// paths to all replicas, as opposed to replicas that fail, and when it has them again. It
// takes in which sends were answered and which were not, and asks a Prober to open
// connections while the uplink is lost; it does no I/O itself.
//
// Load pattern: the network cuts one VM, many VMs or a data centre of VMs off from all
// replicas, while callers and the other VMs still reach them; connections hang, are reset,
// or cannot be opened. Each request then fails on its own, at every replica, until its
// time is used up. Replicas that pause, are slow or end do not look like that: others
// answer between their failures.
package zluplink

import (
	"strconv"
	"sync"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
)

const (
	// minFailed is how many replicas must have failed, with no answer of any replica to
	// a send made since, for the uplink to count as lost, and minFailedShare their share
	// of the replicas that were sent to.
	minFailed      = 3
	minFailedShare = 0.5
	// confirmDelay is how long sends that are only overdue must stay without an answer:
	// the parts of a query may all be a little late.
	confirmDelay = 10 * time.Millisecond
	// fewFailed is how many replicas are enough if they are all that were sent to and
	// stay without an answer for fewFailedDelay, which is about the length of a pause: a
	// VM with few requests may not send to more.
	fewFailed      = 2
	fewFailedDelay = 100 * time.Millisecond
	// connectTries is how many replicas are tried after several could not be connected to.
	connectTries = 3
	// probeInterval is the time between probes while the uplink is lost, and
	// maxProbeInterval the longest: it doubles each time that a connection could be made
	// but no replica answered.
	probeInterval    = 50 * time.Millisecond
	maxProbeInterval = 2 * time.Second
	// idempotentWait is how long the uplink is tried by idempotent requests only.
	idempotentWait = 2 * time.Second
)

// Failure is how a send failed.
type Failure int

// The failures of a send.
const (
	// FailureOverdue: there is no answer yet.
	FailureOverdue Failure = iota
	// FailureBroken: the connection broke without an answer.
	FailureBroken
	// FailureUnconnected: no connection could be made.
	FailureUnconnected
)

// ConnectState is whether new connections to replicas can be made.
type ConnectState int

// The states of ConnectState.
const (
	// Connectable: as far as is known they can be made.
	Connectable ConnectState = iota
	// Unsure: several could not, and others are being tried.
	Unsure
	// Unconnectable: none can be made, though open ones may still work.
	Unconnectable
)

// state is what is known of the uplink.
type state int

const (
	connected state = iota
	// lost: replicas do not answer; no request is sent to them.
	lost
	// reached: a connection could be made again, but no replica has answered yet; one
	// request at a time is sent.
	reached
)

// Tracker tracks the uplink of this VM. Exported fields must be set before use; the
// methods may be called concurrently.
type Tracker struct {
	Timer *zltimer.Service
	// Replicas returns how many replicas are known.
	Replicas func() int
	// Probe tries to open a connection to some replica and reports whether it could; it
	// is called concurrently. Without it only answers end the loss.
	Probe func() bool
	// Sink receives an event when the uplink is lost or regained; may be nil.
	Sink zldecision.Sink
	// OnLost is called when the uplink is lost, or no new connection can be made; it must
	// not block and may be nil.
	OnLost func()

	mu    sync.Mutex
	state state
	// answeredAt is when the latest answer of a replica came.
	answeredAt time.Time
	// sent holds the replicas that were sent to since then; failed and broken count
	// those that failed, and those of them with FailureBroken.
	sent   map[zlunit.Upstream]sendState
	failed int
	broken int
	// confirming is set while a confirmation is due, and fewConfirming while one after
	// fewFailedDelay is. They belong to one silence, which counts the answers so far.
	confirming    bool
	fewConfirming bool
	silence       int
	// lostAt is when the uplink was lost. byBroken is set if that follows from broken
	// connections: a late answer to an earlier send does not end the loss then.
	lostAt   time.Time
	byBroken bool
	// checkingBroken is set while it is found out whether broken connections mean a loss.
	checkingBroken bool
	// connect is whether new connections can be made, and unconnected holds the replicas to
	// which none could be since one could to any.
	connect     ConnectState
	unconnected map[zlunit.Upstream]struct{}
	// reachedAt is when the state reached began, and trying is set while its one request is
	// under way.
	reachedAt time.Time
	trying    bool
	// nextProbe is when the next probe is due, and probePause the time between probes.
	nextProbe  time.Time
	probePause time.Duration
}

// sendState is what is known of the sends to one replica.
type sendState int

const (
	sendPending sendState = iota
	sendOverdue
	sendBroken
)

// Sent notes that a request is sent to a replica.
func (t *Tracker) Sent(id zlunit.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sent == nil {
		t.sent = map[zlunit.Upstream]sendState{}
	}
	if _, ok := t.sent[id]; !ok {
		t.sent[id] = sendPending
	}
}

// Failed notes that a send made at sentAt has failed.
func (t *Tracker) Failed(id zlunit.Upstream, sentAt time.Time, f Failure) {
	t.mu.Lock()
	if _, ok := t.sent[id]; !ok || !sentAt.After(t.answeredAt) {
		t.mu.Unlock()
		return
	}
	t.countFailure(id, f)
	if t.state == connected {
		t.scheduleConfirms()
	}
	t.mu.Unlock()
}

// countFailure counts a failed replica, once, by its latest failure: connections that were
// reset may be followed by ones that open and stay silent. The caller holds mu.
func (t *Tracker) countFailure(id zlunit.Upstream, f Failure) {
	known, now := t.sent[id], sendBroken
	switch f {
	case FailureOverdue:
		now = sendOverdue
	case FailureUnconnected:
		t.noteUnconnected(id)
	default:
	}
	if now == known {
		return
	}
	t.sent[id] = now
	if known == sendPending {
		t.failed++
	}
	switch {
	case now == sendBroken:
		t.broken++
	case known == sendBroken:
		t.broken--
	}
}

// scheduleConfirms decides later whether the uplink is lost, if enough sends failed. The
// caller holds mu.
func (t *Tracker) scheduleConfirms() {
	enough, few := t.isSilent(t.failed), t.areFewSilent(t.failed)
	if !t.isMostlyOverdue() {
		if (enough || few) && !t.checkingBroken && t.Probe != nil {
			t.checkingBroken = true
			go t.checkBroken()
		}
		return
	}
	silence := t.silence
	if enough && !t.confirming {
		t.confirming = true
		t.Timer.AfterFunc(confirmDelay, func() {
			t.confirm(silence, &t.confirming, t.isSilent)
		})
	}
	if few && !t.fewConfirming {
		t.fewConfirming = true
		t.Timer.AfterFunc(fewFailedDelay, func() {
			t.confirm(silence, &t.fewConfirming, t.areFewSilent)
		})
	}
}

// isMostlyOverdue reports whether most failures are overdue sends rather than broken
// connections. The caller holds mu.
func (t *Tracker) isMostlyOverdue() bool {
	return 2*t.broken < t.failed
}

// isSilent reports whether n failed replicas are enough for a loss. The caller holds mu.
func (t *Tracker) isSilent(n int) bool {
	return n >= max(min(minFailed, t.Replicas()), 1) && float64(n) >= minFailedShare*float64(len(t.sent))
}

// areFewSilent reports whether n failed replicas are all that were sent to. The caller holds
// mu.
func (t *Tracker) areFewSilent(n int) bool {
	return n >= max(min(fewFailed, t.Replicas()), 1) && n == len(t.sent)
}

// confirm decides, some time after enough sends were overdue, whether the uplink is lost.
func (t *Tracker) confirm(silence int, due *bool, enough func(failed int) bool) {
	t.mu.Lock()
	if silence != t.silence {
		t.mu.Unlock()
		return
	}
	*due = false
	isLost := t.state == connected && enough(t.failed) && t.isMostlyOverdue()
	if isLost {
		t.setLost(false)
	}
	t.mu.Unlock()
	if isLost {
		t.announceLost()
	}
}

// setLost begins a loss. The caller holds mu.
func (t *Tracker) setLost(byBroken bool) {
	t.state = lost
	t.byBroken = byBroken
	t.lostAt = t.Timer.Now()
	t.nextProbe = t.lostAt
	t.probePause = probeInterval
}

func (t *Tracker) announceLost() {
	t.mu.Lock()
	failed, sent := t.failed, len(t.sent)
	t.mu.Unlock()
	t.note(&zldecision.Dependency{
		Name:  "replicas",
		State: "lost",
		Why:   strconv.Itoa(failed) + " of " + strconv.Itoa(sent) + " replicas failed and none answered",
	})
	if t.OnLost != nil {
		t.OnLost()
	}
}

// Answered notes that a replica answered a send made at sentAt, whatever the answer.
func (t *Tracker) Answered(sentAt time.Time) {
	now := t.Timer.Now()
	t.mu.Lock()
	if t.state != connected && t.byBroken && sentAt.Before(t.lostAt) {
		t.mu.Unlock()
		return
	}
	wasLost := t.state != connected
	lostAt := t.lostAt
	t.state = connected
	t.answeredAt = now
	clear(t.sent)
	t.failed = 0
	t.broken = 0
	t.silence++
	t.confirming = false
	t.fewConfirming = false
	t.mu.Unlock()
	if wasLost {
		t.note(&zldecision.Dependency{
			Name:  "replicas",
			State: "regained",
			Why:   "answer",
			Out:   now.Sub(lostAt),
		})
	}
}

// IsLost reports whether replicas cannot be reached, or no replica has answered since
// they can be reached again.
func (t *Tracker) IsLost() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state != connected
}

// LostFor returns how long the uplink has been lost; 0 if it is not.
func (t *Tracker) LostFor() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state == connected {
		return 0
	}
	return t.Timer.Now().Sub(t.lostAt)
}

func (t *Tracker) note(e zldecision.Event) {
	if t.Sink != nil {
		t.Sink.Record(e)
	}
}

// Package zluplink finds out, for the relay, whether this VM has lost its paths to the
// replicas, as opposed to replicas that fail. It takes in which sends were answered and
// which were not, and does no I/O.
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

// minUnanswered is how many replicas must leave sends unanswered, with no answer of any
// replica to a send made since, for the uplink to count as lost.
const minUnanswered = 3

// Tracker tracks the uplink of this VM: its paths to all replicas. Exported fields must be
// set before use; the methods may be called concurrently.
type Tracker struct {
	Timer *zltimer.Service
	// Replicas returns how many replicas are known.
	Replicas func() int
	// Sink receives an event when the uplink is lost or regained; may be nil.
	Sink zldecision.Sink

	mu sync.Mutex
	// answeredAt is when the latest answer of a replica came.
	answeredAt time.Time
	// unanswered holds the replicas with an unanswered send since then.
	unanswered map[zlunit.Upstream]struct{}
	// lostAt is when the uplink was lost; zero while it is not.
	lostAt time.Time
}

// Unanswered notes that a send made at sentAt did not reach its replica, lost its
// connection or is overdue.
func (t *Tracker) Unanswered(id zlunit.Upstream, sentAt time.Time) {
	t.mu.Lock()
	if !sentAt.After(t.answeredAt) {
		t.mu.Unlock()
		return
	}
	if t.unanswered == nil {
		t.unanswered = map[zlunit.Upstream]struct{}{}
	}
	t.unanswered[id] = struct{}{}
	n := len(t.unanswered)
	lost := t.lostAt.IsZero() && n >= max(min(minUnanswered, t.Replicas()), 1)
	if lost {
		t.lostAt = t.Timer.Now()
	}
	t.mu.Unlock()
	if lost {
		t.note(&zldecision.Dependency{
			Name:  "replicas",
			State: "lost",
			Why:   "no answer from " + strconv.Itoa(n) + " replicas and none from others",
		})
	}
}

// Answered notes that a replica answered, whatever the answer.
func (t *Tracker) Answered() {
	now := t.Timer.Now()
	t.mu.Lock()
	lostAt := t.lostAt
	t.answeredAt = now
	t.lostAt = time.Time{}
	clear(t.unanswered)
	t.mu.Unlock()
	if !lostAt.IsZero() {
		t.note(&zldecision.Dependency{
			Name:  "replicas",
			State: "regained",
			Why:   "answer",
			Out:   now.Sub(lostAt),
		})
	}
}

// Lost reports whether the uplink is lost.
func (t *Tracker) Lost() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.lostAt.IsZero()
}

func (t *Tracker) note(e zldecision.Event) {
	if t.Sink != nil {
		t.Sink.Record(e)
	}
}

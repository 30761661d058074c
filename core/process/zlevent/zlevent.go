// Package zlevent keeps the latest events of a daemon of zinnialock serve in a
// bounded ring, with the reason for each: membership changes, upstreams taken and
// given, and faults such as a failed write of the roster. They concern the daemon,
// not single queries (see zltrace). Events are kept in memory only; the lines of the
// log are made from them as events of zldecision.
package zlevent

import (
	"sync"
	"time"
)

// Kind classifies an Event.
type Kind string

// The kinds of Event.
const (
	// KindJoined means that this daemon was added to the roster.
	KindJoined Kind = "joined"
	// KindRejoined means that it was added again after it had been removed.
	KindRejoined Kind = "rejoined"
	// KindLeaving means that this daemon began a planned stop.
	KindLeaving Kind = "leaving"
	// KindLeft means that this daemon removed itself from the roster, or tried to.
	KindLeft Kind = "left"
	// KindEpoch means that this daemon adopted a roster epoch.
	KindEpoch Kind = "epochAdopted"
	// KindWrittenOut means that this daemon removed a member from the roster.
	KindWrittenOut Kind = "memberWrittenOut"
	// KindDead means that a member's process was found to have ended.
	KindDead Kind = "memberDead"
	// KindUpstreamTaken means that this daemon has the whole of an upstream.
	KindUpstreamTaken Kind = "upstreamTaken"
	// KindUpstreamGiven means that this daemon no longer holds an upstream.
	KindUpstreamGiven Kind = "upstreamGiven"
	// KindUpstreamReduced means that the share of an upstream is reduced since an
	// earlier holder is silent.
	KindUpstreamReduced Kind = "upstreamReduced"
	// KindLeaseStranded means that the lease expired and this daemon keeps a reduced
	// share of an upstream.
	KindLeaseStranded Kind = "leaseStranded"
	// KindLeaseOver means that the lease expired and this daemon may not send to an
	// upstream.
	KindLeaseOver Kind = "leaseOver"
	// KindUpstream means that the admission state of an upstream changed.
	KindUpstream Kind = "upstreamState"
	// KindPlatform means that confirming the roster with the platform failed.
	KindPlatform Kind = "platform"
	// KindKeys means that replaced key files were loaded.
	KindKeys Kind = "keys"
	// KindRosterFault means that a write of the roster failed.
	KindRosterFault Kind = "rosterWriteFailed"
)

// Event is one thing that happened.
type Event struct {
	// Number counts the events of a process, from 1.
	Number uint64    `json:"number"`
	At     time.Time `json:"at"`
	Kind   Kind      `json:"kind"`
	// Subject names the VM, upstream or file that the event is about.
	Subject string `json:"subject,omitempty"`
	// Why is the reason, for people to read.
	Why string `json:"why,omitempty"`
}

// DefaultSize is how many events a Ring keeps whose Size is 0.
const DefaultSize = 1024

// Ring keeps the latest events. Size and OnEvent must be set before use; the
// methods are safe for concurrent use.
type Ring struct {
	// Size is how many events are kept; 0 means DefaultSize.
	Size int
	// OnEvent, if set, is called with each event before the event has its number.
	// It must not block.
	OnEvent func(Event)

	mu     sync.Mutex
	number uint64
	events []Event
}

// Add appends an event and sets its Number. If the ring is full, it drops the
// oldest event.
func (r *Ring) Add(e Event) {
	if r.OnEvent != nil {
		r.OnEvent(e)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	size := r.Size
	if size == 0 {
		size = DefaultSize
	}
	r.number++
	e.Number = r.number
	r.events = append(r.events, e)
	if len(r.events) > size {
		r.events = r.events[len(r.events)-size:]
	}
}

// After returns the kept events whose Number is above after, oldest first.
// Events that the ring has already dropped are missing from the result without notice.
func (r *Ring) After(after uint64) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := make([]Event, 0, len(r.events))
	for _, e := range r.events {
		if e.Number > after {
			kept = append(kept, e)
		}
	}
	return kept
}

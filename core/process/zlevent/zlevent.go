// Package zlevent keeps a bounded ring of what a daemon repaired, and why.
package zlevent

import (
	"sync"
	"time"
)

// Kind classifies an Event.
type Kind string

// The kinds of Event.
const (
	KindJoined      Kind = "joined"
	KindRejoined    Kind = "rejoined"
	KindLeaving     Kind = "leaving"
	KindLeft        Kind = "left"
	KindEpoch       Kind = "epochAdopted"
	KindWrittenOut  Kind = "memberWrittenOut"
	KindDead        Kind = "memberDead"
	KindTaken       Kind = "upstreamTaken"
	KindGiven       Kind = "upstreamGiven"
	KindReduced     Kind = "upstreamReduced"
	KindStranded    Kind = "leaseStranded"
	KindLeaseOver   Kind = "leaseOver"
	KindUpstream    Kind = "upstreamState"
	KindPlatform    Kind = "platform"
	KindKeys        Kind = "keys"
	KindRosterFault Kind = "rosterWriteFailed"
)

// Event is one thing that happened.
type Event struct {
	// Number grows by one with each event of a process, from 1.
	Number uint64    `json:"number"`
	At     time.Time `json:"at"`
	Kind   Kind      `json:"kind"`
	// Subject names the VM, upstream or file that it happened to.
	Subject string `json:"subject,omitempty"`
	Why     string `json:"why,omitempty"`
}

// DefaultSize is how many events a ring of size 0 keeps.
const DefaultSize = 1024

// Ring keeps the latest events. Size and Told must be set before use.
type Ring struct {
	Size int
	// Told, if set, is called with each event. It must not block.
	Told func(Event)

	mu     sync.Mutex
	number uint64
	events []Event
}

// Add appends an event and gives it its number.
func (r *Ring) Add(e Event) {
	if r.Told != nil {
		r.Told(e)
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

// After returns the kept events with a number above after, oldest first.
func (r *Ring) After(after uint64) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Event, 0, len(r.events))
	for _, e := range r.events {
		if e.Number > after {
			out = append(out, e)
		}
	}
	return out
}

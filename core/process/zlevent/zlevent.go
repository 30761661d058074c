// Package zlevent keeps the latest events of a daemon in a bounded ring, with
// the reason for each: membership changes, upstreams taken and given, and
// faults that it repaired. Events are kept in memory only.
package zlevent

import (
	"sync"
	"time"
)

// Kind classifies an Event.
type Kind string

// The kinds of Event.
const (
	KindJoined          Kind = "joined"
	KindRejoined        Kind = "rejoined"
	KindLeaving         Kind = "leaving"
	KindLeft            Kind = "left"
	KindEpoch           Kind = "epochAdopted"
	KindWrittenOut      Kind = "memberWrittenOut"
	KindDead            Kind = "memberDead"
	KindUpstreamTaken   Kind = "upstreamTaken"
	KindUpstreamGiven   Kind = "upstreamGiven"
	KindUpstreamReduced Kind = "upstreamReduced"
	KindLeaseStranded   Kind = "leaseStranded"
	KindLeaseOver       Kind = "leaseOver"
	KindUpstream        Kind = "upstreamState"
	KindPlatform        Kind = "platform"
	KindKeys            Kind = "keys"
	KindRosterFault     Kind = "rosterWriteFailed"
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
// Events that were dropped meanwhile are missing without notice.
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

// Package zlclaim makes a non-idempotent request run at most once, whichever
// daemons its caller tries. Before the first byte of such a request goes out,
// its id is claimed in a log that the platform's object API keeps: the id's
// hash picks one of a fixed number of segments, and each segment is a head
// object that only conditional updates change, with archives of older records.
package zlclaim

import (
	"context"
	"fmt"
	"time"

	"zinnialock/core/process/zlunit"

	"github.com/cespare/xxhash/v2"
)

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// KindConflict tells that the object has another version; nothing changed.
	KindConflict Kind = "conflict"
	// KindStore tells that the store did not answer; a write may have taken
	// effect.
	KindStore Kind = "store"
	// KindDecode tells that an object cannot be read.
	KindDecode Kind = "decode"
	// KindStopped tells that the part has ended.
	KindStopped Kind = "stopped"
)

// Error reports a claim that could not be made.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("zlclaim: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Segment numbers one part of the log of claims.
type Segment int

// Segments is how many parts the log has. Every daemon of a fleet must use the
// same number, since two claims of one id must meet at the same object.
const Segments = 16

const (
	// Window is how long after the time in a request's id a claim is accepted.
	Window = 10 * time.Minute
	// ClockSkew bounds how far the time in an id may lie ahead of a daemon's.
	ClockSkew = 30 * time.Second
)

// SegmentOf returns the segment that keeps an id.
func SegmentOf(id zlunit.RequestID) Segment {
	return Segment(xxhash.Sum64String(string(id)) % Segments)
}

// Nonce tells apart the claims of one id; each attempt draws a new one.
type Nonce uint64

// State is what the log says of a claimed id.
type State int

// The states of a claimed id. Only StateNotRun may be claimed anew.
const (
	// StateClaimed tells that the holder may have sent it, or may yet.
	StateClaimed State = iota + 1
	// StateDone tells that it ran.
	StateDone
	// StateNotRun tells that its holder has proof that it did not run.
	StateNotRun
)

// Ask claims an id for one attempt of the daemon Holder.
type Ask struct {
	ID     zlunit.RequestID `json:"id"`
	Nonce  Nonce            `json:"nonce"`
	Holder zlunit.VM        `json:"holder"`
}

// Outcome records how a claimed attempt ended.
type Outcome struct {
	ID    zlunit.RequestID `json:"id"`
	Nonce Nonce            `json:"nonce"`
	State State            `json:"state"`
}

// Verdict is the answer to an Ask.
type Verdict string

// The verdicts. Only VerdictFresh allows the attempt to run.
const (
	VerdictFresh Verdict = "fresh"
	// VerdictDone tells that an earlier attempt ran.
	VerdictDone Verdict = "done"
	// VerdictHeld tells that an earlier attempt may have run or may still run.
	VerdictHeld Verdict = "held"
	// VerdictTooOld tells that the log no longer remembers ids of that time.
	VerdictTooOld Verdict = "tooOld"
	// VerdictAhead tells that the time in the id lies in the future.
	VerdictAhead Verdict = "ahead"
)

// Reply is a Verdict and, for VerdictDone and VerdictHeld, the daemon whose
// attempt it was.
type Reply struct {
	Verdict Verdict   `json:"verdict"`
	Holder  zlunit.VM `json:"holder,omitempty"`
}

// Claimer makes claims durable. An error from Claim tells that no claim is
// known to exist, so the attempt must not run.
type Claimer interface {
	Claim(ctx context.Context, ask Ask) (Reply, error)
	Record(ctx context.Context, outcome Outcome) error
}

// Object is one object of a segment.
type Object struct {
	Name    string
	Version zlunit.ObjectVersion
	Value   []byte
	Deleted bool
}

// Store is the platform's object API as a segment needs it. Its errors are
// *Error values of KindConflict or KindStore.
type Store interface {
	// Changes lists the segment's objects that changed after a revision, and
	// the revision that the listing is of; revision 0 lists all.
	Changes(ctx context.Context, s Segment, after zlunit.ObjectVersion) ([]Object, zlunit.ObjectVersion, error)
	// Put writes an object if its version still is ifVersion, 0 for a new one.
	Put(ctx context.Context, s Segment, name string, ifVersion zlunit.ObjectVersion, value []byte) (zlunit.ObjectVersion, error)
	// Delete removes an object if its version still is ifVersion.
	Delete(ctx context.Context, s Segment, name string, ifVersion zlunit.ObjectVersion) error
}

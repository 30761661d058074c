// Package zlclaim makes a non-idempotent request run at most once, whichever daemon
// of zinnialock serve its caller tries. Guard.Answer stands before the coordinator:
// it takes a request, and returns the answer of this run, the outcome of an earlier
// run or a refusal. Before the first byte of such a request is sent, its id is
// claimed in a log that is stored as objects of the platform: the hash of the id
// selects one of a fixed number of segments, each of which is a head object, only
// changed by conditional updates, and archives of older records. The package does
// not retry requests and does not choose upstreams.
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
	// KindConflict means that the object has another version; nothing was
	// changed.
	KindConflict Kind = "conflict"
	// KindStore means that the store did not answer; a write may still have
	// taken effect.
	KindStore Kind = "store"
	// KindDecode means that an object of the log cannot be decoded or is
	// missing.
	KindDecode Kind = "decode"
	// KindStopped means that the Writers were closed.
	KindStopped Kind = "stopped"
)

// Error is the error type of this package: a claim or an outcome could not be
// written to the log.
type Error struct {
	// Op is the operation that failed.
	Op string
	// Kind classifies the error.
	Kind Kind
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("zlclaim: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Segment is the number of one segment of the log, from 0 to Segments-1.
type Segment int

// Segments is the number of segments of the log. It must be the same in every
// daemon of a fleet, since two claims of one id are only exclusive if they go
// to the same object.
const Segments = 16

const (
	// Window is how long after the time in its id a request can be claimed.
	Window = 10 * time.Minute
	// ClockSkew is how far the time in an id may be ahead of the daemon's
	// clock.
	ClockSkew = 30 * time.Second
)

// SegmentOf returns the segment that stores the claims of an id.
func SegmentOf(id zlunit.RequestID) Segment {
	return Segment(xxhash.Sum64String(string(id)) % Segments)
}

// Nonce identifies one claim among those of the same id; each attempt draws a
// new one.
type Nonce uint64

// State is the recorded state of a claimed id.
type State int

// The states of a claimed id. An id can be claimed again only in StateNotRun.
const (
	// StateClaimed means that the holder may have sent the request or may still
	// send it.
	StateClaimed State = iota + 1
	// StateDone means that the request ran.
	StateDone
	// StateNotRun means that the holder has proof that the request did not run.
	StateNotRun
)

// ClaimRequest is a request to claim an id for one attempt of the daemon Holder.
type ClaimRequest struct {
	// ID is the id of the request.
	ID zlunit.RequestID `json:"id"`
	// Nonce identifies the attempt.
	Nonce Nonce `json:"nonce"`
	// Holder is the VM of the daemon that makes the attempt.
	Holder zlunit.VM `json:"holder"`
}

// Outcome is how a claimed attempt ended.
type Outcome struct {
	// ID is the id of the request.
	ID zlunit.RequestID `json:"id"`
	// Nonce identifies the attempt.
	Nonce Nonce `json:"nonce"`
	// State is StateDone or StateNotRun.
	State State `json:"state"`
}

// Verdict is the decision on a ClaimRequest.
type Verdict string

// The verdicts. Only VerdictGranted allows the attempt to run.
const (
	// VerdictGranted means that the id is now claimed for this attempt.
	VerdictGranted Verdict = "fresh"
	// VerdictDone means that an earlier attempt is recorded as having run.
	VerdictDone Verdict = "done"
	// VerdictHeld means that an earlier attempt may have run or may still run.
	VerdictHeld Verdict = "held"
	// VerdictTooOld means that claims of ids of that time are no longer kept.
	VerdictTooOld Verdict = "tooOld"
	// VerdictAhead means that the time in the id is further in the future than
	// ClockSkew.
	VerdictAhead Verdict = "ahead"
)

// Reply is the answer to a ClaimRequest.
type Reply struct {
	// Verdict is the decision.
	Verdict Verdict `json:"verdict"`
	// Holder, for VerdictDone and VerdictHeld, is the daemon of the earlier
	// attempt, or empty if it is not known.
	Holder zlunit.VM `json:"holder,omitempty"`
}

// Claimer stores claims durably. Its methods may be called concurrently.
type Claimer interface {
	// Claim claims an id. After an error no claim is known to exist, so the
	// attempt must not run.
	Claim(ctx context.Context, claimReq ClaimRequest) (Reply, error)
	// Record stores the outcome of a claimed attempt.
	Record(ctx context.Context, outcome Outcome) error
}

// Object is one stored object of a segment.
type Object struct {
	// Name is unique within the segment.
	Name string
	// Version is the revision of the last change.
	Version zlunit.ObjectVersion
	// Value is the JSON encoding; it is empty if Deleted is set.
	Value []byte
	// Deleted is set if the object no longer exists.
	Deleted bool
}

// Store is the part of the platform's object API that a segment needs. Its
// errors are *Error values of KindConflict or KindStore.
type Store interface {
	// Changes returns the objects of a segment that changed after a revision,
	// and the revision of the listing. With revision 0 it returns all objects.
	Changes(ctx context.Context, s Segment, after zlunit.ObjectVersion) ([]Object, zlunit.ObjectVersion, error)
	// Put writes an object if its version is ifVersion, where 0 means that it
	// does not exist, and returns the new version.
	Put(ctx context.Context, s Segment, name string, ifVersion zlunit.ObjectVersion, value []byte) (zlunit.ObjectVersion, error)
	// Delete removes an object if its version is ifVersion.
	Delete(ctx context.Context, s Segment, name string, ifVersion zlunit.ObjectVersion) error
}

// Package zlquery holds the typed messages of a query: what a caller asks,
// what daemons send one another, and what comes back.
package zlquery

import (
	"time"

	"zinnialock/core/process/zlunit"
)

// MaxText bounds the text of a query, in bytes.
const MaxText = 64 << 10

// Request is one query of a caller.
type Request struct {
	ID            zlunit.RequestID
	Service       zlunit.Service
	Kind          zlunit.QueryKind
	Text          string
	Idempotent    bool
	LeastCoverage zlunit.Coverage
	// Retry tells that the caller may have sent this id before.
	Retry bool
	// Deadline is the local time by which the answer is due.
	Deadline time.Time
}

// Reason is the counted reason of a refusal, a retry or a missing part.
type Reason string

// The reasons that callers and operators see.
const (
	ReasonNone            Reason = ""
	ReasonBadRequest      Reason = "badRequest"
	ReasonUnknownService  Reason = "unknownService"
	ReasonNoVersion       Reason = "noVersion"
	ReasonNoReplica       Reason = "noReplica"
	ReasonDeadline        Reason = "deadline"
	ReasonCoverage        Reason = "coverage"
	ReasonShed            Reason = "shed"
	ReasonDraining        Reason = "draining"
	ReasonColdBudget      Reason = "coldBudget"
	ReasonNotHolder       Reason = "notHolder"
	ReasonQueueFull       Reason = "queueFull"
	ReasonVersionGone     Reason = "versionGone"
	ReasonShardGone       Reason = "shardGone"
	ReasonDialFailed      Reason = "dialFailed"
	ReasonConnectionReset Reason = "connectionReset"
	ReasonBadReply        Reason = "badReply"
	ReasonCancelled       Reason = "cancelled"
	ReasonPeerLost        Reason = "peerLost"
	ReasonMarkedOut       Reason = "markedOut"
	ReasonClaimStore      Reason = "claimStore"
	ReasonClaimed         Reason = "claimed"
	ReasonClaimTooOld     Reason = "claimTooOld"
	ReasonClaimAhead      Reason = "claimAhead"
	ReasonStopping        Reason = "stopping"
	ReasonOverload        Reason = "overload"
)

// Outcome tells whether a request ran.
type Outcome string

// The only three outcomes. NotRun is given only with proof.
const (
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "notRun"
	OutcomeUnknown Outcome = "unknown"
)

// Part is what one upstream returned for one shard.
type Part struct {
	Shard    zlunit.Shard
	Version  zlunit.IndexVersion
	Upstream zlunit.Upstream
	// Coverage is the upstream's own share of the shard, from 0 to 1.
	Coverage zlunit.Coverage
	Rows     []string
}

// Missing names a shard without a part, and why.
type Missing struct {
	Shard  zlunit.Shard `json:"shard"`
	Reason Reason       `json:"reason"`
}

// Answer is what the tier returns for a Request.
type Answer struct {
	ID       zlunit.RequestID
	Outcome  Outcome
	Reason   Reason
	Version  zlunit.IndexVersion
	Coverage zlunit.Coverage
	Complete bool
	Parts    []Part
	Missing  []Missing
	// RetryAfter tells a refused caller when to come back; 0 means no advice.
	RetryAfter time.Duration
	// Subs counts the sub-requests that were dispatched.
	Subs int
	// Hedges counts those of them that were hedges.
	Hedges int
	// Retries counts those of them that were retries.
	Retries int
}

// Sub asks one upstream for one shard at one pinned version.
type Sub struct {
	ID       zlunit.SubID        `cbor:"1,keyasint"`
	Shard    zlunit.Shard        `cbor:"2,keyasint"`
	Upstream zlunit.Upstream     `cbor:"3,keyasint"`
	Version  zlunit.IndexVersion `cbor:"4,keyasint"`
	// Hedge tells that another sub-request for the shard is already out.
	Hedge bool `cbor:"5,keyasint,omitempty"`
	// Retry tells that an earlier sub-request for the shard ended without a
	// part.
	Retry bool `cbor:"6,keyasint,omitempty"`
}

// Batch carries the sub-requests of one query to one aggregator.
type Batch struct {
	Query      zlunit.QueryID   `cbor:"1,keyasint"`
	Request    zlunit.RequestID `cbor:"2,keyasint"`
	Service    zlunit.Service   `cbor:"3,keyasint"`
	Kind       zlunit.QueryKind `cbor:"4,keyasint"`
	Text       string           `cbor:"5,keyasint"`
	Idempotent bool             `cbor:"6,keyasint"`
	// Left is the time to the deadline when the batch was sent.
	Left time.Duration `cbor:"7,keyasint"`
	Subs []Sub         `cbor:"8,keyasint"`
	// Priority ranks the query under overload, from 0 to 9.
	Priority int `cbor:"9,keyasint,omitempty"`
}

// Reply is the result of one Sub.
type Reply struct {
	Query  zlunit.QueryID
	Sub    zlunit.SubID
	Result Result
}

// Result is Done, NotRun or Unknown.
type Result interface {
	isResult()
}

// Done carries the part that an upstream returned.
type Done struct {
	Part Part
	// Service is the time the upstream took.
	Service time.Duration
}

// NotRun is proof that the upstream did not start the sub-request.
type NotRun struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Unknown tells that the sub-request may or may not have run.
type Unknown struct {
	Reason Reason
}

func (Done) isResult()    {}
func (NotRun) isResult()  {}
func (Unknown) isResult() {}

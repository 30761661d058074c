// Package zlquery defines the messages of a query: the request of a caller and its
// answer, and the sub-requests and replies that daemons exchange. It holds types
// only; their encoding and transport are in other packages, except for the CBOR
// field keys.
package zlquery

import (
	"time"

	"zinnialock/core/process/zlunit"
)

// MaxText is the maximum length of the text of a query, in bytes.
const MaxText = 64 << 10

// Request is one query of a caller.
type Request struct {
	// ID identifies the request; the caller's retries share it.
	ID zlunit.RequestID
	// Service is the service to query.
	Service zlunit.Service
	// Kind is the query kind, which selects the policy.
	Kind zlunit.QueryKind
	// Text is the query text, at most MaxText bytes long.
	Text string
	// Idempotent is set if the request may run more than once.
	Idempotent bool
	// LeastCoverage is the least coverage that the caller accepts, from 0 to 1.
	LeastCoverage zlunit.Coverage
	// Retry is set if the caller may have sent this id before.
	Retry bool
	// Deadline is the local time by which the answer is due; zero means the
	// deadline of the policy.
	Deadline time.Time
}

// Reason is the reason of a refusal, a retry or a missing part. Each value is the
// label of a counter.
type Reason string

// The reasons that callers and operators see.
const (
	// ReasonNone: there is no reason to give.
	ReasonNone Reason = ""
	// ReasonBadRequest: the request is malformed.
	ReasonBadRequest Reason = "badRequest"
	// ReasonUnknownService: the service is not in the catalogue.
	ReasonUnknownService Reason = "unknownService"
	// ReasonNoVersion: the service has no index version left.
	ReasonNoVersion Reason = "noVersion"
	// ReasonNoReplica: the shard has no replica.
	ReasonNoReplica Reason = "noReplica"
	// ReasonDeadline: the deadline was reached, or a sub-request was late.
	ReasonDeadline Reason = "deadline"
	// ReasonCoverage: the requested coverage was not reached.
	ReasonCoverage Reason = "coverage"
	// ReasonShed: the upstream sheds load.
	ReasonShed Reason = "shed"
	// ReasonDraining: the upstream is about to leave and takes no more work.
	ReasonDraining Reason = "draining"
	// ReasonColdBudget: the upstream is cold or warming up and takes no more work for now.
	ReasonColdBudget Reason = "coldBudget"
	// ReasonNotHolder: the daemon does not hold the lease of the upstream for long enough.
	ReasonNotHolder Reason = "notHolder"
	// ReasonQueueFull: the queue for the upstream is full.
	ReasonQueueFull Reason = "queueFull"
	// ReasonVersionGone: the upstream no longer has the index version.
	ReasonVersionGone Reason = "versionGone"
	// ReasonShardGone: the upstream no longer has the shard.
	ReasonShardGone Reason = "shardGone"
	// ReasonDialFailed: the upstream could not be reached.
	ReasonDialFailed Reason = "dialFailed"
	// ReasonConnectionReset: the connection was lost before the reply.
	ReasonConnectionReset Reason = "connectionReset"
	// ReasonBadReply: the reply does not match the sub-request.
	ReasonBadReply Reason = "badReply"
	// ReasonCancelled: the sender no longer waits for the reply.
	ReasonCancelled Reason = "cancelled"
	// ReasonPeerLost: the daemon that holds the upstream is unresponsive.
	ReasonPeerLost Reason = "peerLost"
	// ReasonMarkedOut: the upstream, VM or data centre is marked as out of service.
	ReasonMarkedOut Reason = "markedOut"
	// ReasonClaimStore: the claim store did not confirm the operation.
	ReasonClaimStore Reason = "claimStore"
	// ReasonClaimed: an earlier attempt ran or may still run.
	ReasonClaimed Reason = "claimed"
	// ReasonClaimTooOld: the request id is older than what the claim store remembers.
	ReasonClaimTooOld Reason = "claimTooOld"
	// ReasonClaimAhead: the time in the request id is in the future.
	ReasonClaimAhead Reason = "claimAhead"
	// ReasonStopping: the process is stopping.
	ReasonStopping Reason = "stopping"
	// ReasonOverload: the work cannot be done in time, or the retry budget is used up.
	ReasonOverload Reason = "overload"
	// ReasonQuarantined: the query crashed upstreams and is not sent any more.
	ReasonQuarantined Reason = "quarantined"
)

// Outcome says whether a request ran.
type Outcome string

// The outcomes. OutcomeNotRun means that the request provably did not run;
// OutcomeUnknown means that it may have run.
const (
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "notRun"
	OutcomeUnknown Outcome = "unknown"
)

// Part is the result of one upstream for one shard.
type Part struct {
	// Shard is the shard that was queried.
	Shard zlunit.Shard
	// Version is the index version that was queried.
	Version zlunit.IndexVersion
	// Upstream is the upstream that returned the part.
	Upstream zlunit.Upstream
	// Coverage is the share of the shard that the upstream queried, from 0 to 1.
	Coverage zlunit.Coverage
	// Rows holds the rows of the result.
	Rows []string
}

// Missing is a shard without a part.
type Missing struct {
	// Shard is the shard that is missing.
	Shard zlunit.Shard `json:"shard"`
	// Reason is why it is missing.
	Reason Reason `json:"reason"`
}

// Answer is the answer to a Request.
type Answer struct {
	// ID is the id of the request.
	ID zlunit.RequestID
	// Outcome says whether the request ran.
	Outcome Outcome
	// Reason is why the request was refused or failed.
	Reason Reason
	// Version is the index version of all parts.
	Version zlunit.IndexVersion
	// Coverage is the share of the index version that was merged, from 0 to 1.
	Coverage zlunit.Coverage
	// Complete is set if every shard was merged in full.
	Complete bool
	// Parts holds the merged parts in shard order.
	Parts []Part
	// Missing holds the shards without a part.
	Missing []Missing
	// RetryAfter is how long a refused caller should wait before it retries; 0
	// means no advice.
	RetryAfter time.Duration
	// SubRequests counts the sub-requests that were sent.
	// Its name in messages between daemons is Subs.
	SubRequests int `json:"Subs"`
	// Hedges counts those of them that were hedges.
	Hedges int
	// Retries counts those of them that were retries.
	Retries int
}

// SubRequest is a sub-request: it queries one shard at one index version on one
// upstream.
type SubRequest struct {
	// ID identifies the sub-request within its query.
	ID zlunit.SubRequestID `cbor:"1,keyasint"`
	// Shard is the shard to query.
	Shard zlunit.Shard `cbor:"2,keyasint"`
	// Upstream is the upstream to query.
	Upstream zlunit.Upstream `cbor:"3,keyasint"`
	// Version is the index version that the part must have.
	Version zlunit.IndexVersion `cbor:"4,keyasint"`
	// Hedge is set if another sub-request of the shard is under way.
	Hedge bool `cbor:"5,keyasint,omitempty"`
	// Retry is set if an earlier sub-request of the shard ended without a part.
	Retry bool `cbor:"6,keyasint,omitempty"`
}

// Batch holds the sub-requests of one query that go to the same daemon.
type Batch struct {
	// Query identifies the query.
	Query zlunit.QueryID `cbor:"1,keyasint"`
	// Request is the id of the caller's request.
	Request zlunit.RequestID `cbor:"2,keyasint"`
	// Service is the service to query.
	Service zlunit.Service `cbor:"3,keyasint"`
	// Kind is the query kind, which selects the policy.
	Kind zlunit.QueryKind `cbor:"4,keyasint"`
	// Text is the query text.
	Text string `cbor:"5,keyasint"`
	// Idempotent is set if the sub-requests may run more than once.
	Idempotent bool `cbor:"6,keyasint"`
	// TimeLeft is the time from the send of the batch to the deadline.
	TimeLeft time.Duration `cbor:"7,keyasint"`
	// SubRequests holds the sub-requests.
	SubRequests []SubRequest `cbor:"8,keyasint"`
	// Priority ranks the query under overload, from 0 to 9; work of higher
	// priority is kept longer.
	Priority int `cbor:"9,keyasint,omitempty"`
}

// Reply is the reply to one SubRequest.
type Reply struct {
	// Query identifies the query.
	Query zlunit.QueryID
	// Sub identifies the sub-request within the query.
	Sub zlunit.SubRequestID
	// Result is the result of the sub-request.
	Result Result
}

// Result is the result of a sub-request: Done, NotRun or Unknown.
type Result interface {
	isResult()
}

// Done is the result of a sub-request that succeeded.
type Done struct {
	// Part is the part that the upstream returned.
	Part Part
	// Service is the time that the upstream took.
	Service time.Duration
}

// NotRun is the result of a sub-request that provably did not run.
type NotRun struct {
	// Reason is why it did not run.
	Reason Reason
	// RetryAfter is how long the upstream asked not to be sent more; 0 means
	// that it did not ask.
	RetryAfter time.Duration
}

// Unknown is the result of a sub-request that may have run.
type Unknown struct {
	// Reason is why there is no part.
	Reason Reason
}

func (Done) isResult()    {}
func (NotRun) isResult()  {}
func (Unknown) isResult() {}

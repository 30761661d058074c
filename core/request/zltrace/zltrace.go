// Package zltrace defines the trace of one query in zinnialock serve: its
// sub-requests, the decisions made for it and their reasons. A Store keeps the
// traces of recent queries in bounded memory; what concerns the daemon as a whole is
// in zlevent, and the lines in the log are zldecision's. The package does no I/O and
// is not a distributed tracing library.
package zltrace

import (
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
)

// Cause is why a sub-request was sent.
type Cause string

// The causes of a sub-request.
const (
	// CauseFirst is the first sub-request of a shard.
	CauseFirst Cause = "first"
	// CauseHedge is a hedge: an earlier sub-request of the shard was late.
	CauseHedge Cause = "hedge"
	// CauseBypass is a sub-request that bypasses an unresponsive daemon, which
	// holds an earlier one of the shard.
	CauseBypass Cause = "around"
	// CauseRetry is a retry after an earlier sub-request of the shard failed.
	CauseRetry Cause = "retry"
	// CauseReplan is the first sub-request of a shard under a new plan.
	CauseReplan Cause = "replan"
)

// End is how a sub-request ended.
type End string

// The ends of a sub-request.
const (
	// EndOpen means that there was no reply before the query was answered; the
	// sub-request was then cancelled.
	EndOpen End = "open"
	// EndDone means that the part was merged.
	EndDone End = "done"
	// EndDuplicate means that the part was a duplicate: the shard already had one.
	EndDuplicate End = "spare"
	// EndNotRun means that the sub-request provably did not run.
	EndNotRun End = "notRun"
	// EndUnknown means that the sub-request may have run.
	EndUnknown End = "unknown"
	// EndCancelled means that the sub-request was cancelled, since another one of
	// the shard was answered or the plan changed.
	EndCancelled End = "cancelled"
	// EndDropped means that the reply did not match the sub-request and was
	// dropped.
	EndDropped End = "dropped"
)

// Attempt is one sub-request of a query.
type Attempt struct {
	// Sub identifies the sub-request within the query.
	Sub zlunit.SubRequestID `json:"sub"`
	// Shard is the shard that was queried.
	Shard zlunit.Shard `json:"shard"`
	// Upstream is the replica that was queried.
	Upstream zlunit.Upstream `json:"upstream"`
	// VM is the VM whose daemon passed the sub-request to the upstream.
	VM zlunit.VM `json:"vm"`
	// Version is the index version that was queried.
	Version zlunit.IndexVersion `json:"version"`
	// Cause is why the sub-request was sent.
	Cause Cause `json:"cause"`
	// Why is the reason of a hedge or retry; it is empty for a first sub-request.
	Why zlquery.Reason `json:"why,omitempty"`
	// Sent is the time from the start of the query to the send.
	Sent time.Duration `json:"sentNs"`
	// Ended is the time from the start of the query to the end.
	Ended time.Duration `json:"endedNs"`
	// End is how the sub-request ended.
	End End `json:"end"`
	// Reason is why the sub-request did not succeed.
	Reason zlquery.Reason `json:"reason,omitempty"`
}

// DecisionKind is the kind of a Decision.
type DecisionKind string

// The kinds of decisions.
const (
	// KindPlan is a new plan. Version and Shards are set, and from the second
	// plan on also Reason.
	KindPlan DecisionKind = "plan"
	// KindWait is a wait of length For before a shard is queried again.
	KindWait DecisionKind = "wait"
	// KindNoHedge means that a late shard was not hedged, for Reason.
	KindNoHedge DecisionKind = "noHedge"
	// KindNoRetry means that a failed shard was not retried, for Reason.
	KindNoRetry DecisionKind = "noRetry"
	// KindSufficient means that the answer was sent at the coverage that is sufficient
	// for the query kind.
	KindSufficient DecisionKind = "enough"
	// KindUnreachable means that the query ended early because the requested
	// coverage could no longer be reached.
	KindUnreachable DecisionKind = "hopeless"
	// KindClaim is a step of the claim of a non-idempotent request.
	KindClaim DecisionKind = "claim"
	// KindCallerGone means that the caller disconnected.
	KindCallerGone DecisionKind = "callerGone"
)

// Decision is one decision of a query other than to send a sub-request.
type Decision struct {
	// At is the time from the start of the query to the decision.
	At time.Duration `json:"atNs"`
	// Kind is the kind of the decision (JSON: what).
	Kind DecisionKind `json:"what"`
	// Shard is the shard concerned, if any.
	Shard zlunit.Shard `json:"shard,omitempty"`
	// Version is the index version of a plan.
	Version zlunit.IndexVersion `json:"version,omitempty"`
	// Shards is the number of shards of a plan.
	Shards int `json:"shards,omitempty"`
	// Reason is why the decision was made.
	Reason zlquery.Reason `json:"reason,omitempty"`
	// Wait is the length of a wait, or how long a claim took.
	Wait time.Duration `json:"forNs,omitempty"`
}

// Trace is the record of one query. It must not be changed once it was passed to
// a Sink.
type Trace struct {
	// Request is the id of the caller's request; retries of the caller share it.
	Request zlunit.RequestID `json:"request"`
	// Query identifies this run of the request.
	Query zlunit.QueryID `json:"query"`
	// Service is the service that was queried.
	Service zlunit.Service `json:"service"`
	// Kind is the query kind, which selects the policy.
	Kind zlunit.QueryKind `json:"kind"`
	// Idempotent is set if the request may run more than once.
	Idempotent bool `json:"idempotent"`
	// Start is when the query started.
	Start time.Time `json:"start"`
	// Budget is the time from the start to the deadline (JSON: allowedNs).
	Budget time.Duration `json:"allowedNs"`
	// Took is the time from the start to the answer.
	Took time.Duration `json:"tookNs"`
	// Decisions holds the decisions in order of time.
	Decisions []Decision `json:"decisions"`
	// Attempts holds the sub-requests in the order in which they were sent (JSON:
	// tries).
	Attempts []Attempt `json:"tries"`
	// Outcome says whether the request ran.
	Outcome zlquery.Outcome `json:"outcome"`
	// Reason is why the query was refused or failed.
	Reason zlquery.Reason `json:"reason,omitempty"`
	// Version is the index version of the answer.
	Version zlunit.IndexVersion `json:"version"`
	// Coverage is the share of the index version in the answer, from 0 to 1.
	Coverage zlunit.Coverage `json:"coverage"`
	// Complete is set if every shard was merged in full.
	Complete bool `json:"complete"`
	// Missing holds the shards without a part.
	Missing []zlquery.Missing `json:"missing,omitempty"`
}

// Notable reports whether the query was refused, failed or was answered
// incompletely.
func (t *Trace) Notable() bool {
	return t.Outcome != zlquery.OutcomeDone || !t.Complete
}

// Sink receives the traces of queries that ended.
type Sink interface {
	// Keep takes over t. It must not block and may be called concurrently.
	Keep(t *Trace)
}

// Package zltrace records what was decided for a query and why, and keeps the
// records of recent queries in bounded memory.
package zltrace

import (
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
)

// Cause tells why a sub-request was sent.
type Cause string

// The causes of a sub-request.
const (
	// CauseFirst marks the first sub-request of a shard.
	CauseFirst Cause = "first"
	// CauseHedge marks one sent while another for the shard was late.
	CauseHedge Cause = "hedge"
	// CauseAround marks one sent while the daemon that holds the other gave
	// no sign of life.
	CauseAround Cause = "around"
	// CauseRetry marks one sent after another for the shard had failed.
	CauseRetry Cause = "retry"
	// CauseReplan marks one sent at a new plan's version.
	CauseReplan Cause = "replan"
)

// End tells how a sub-request ended.
type End string

// The ends of a sub-request.
const (
	// EndOpen marks one without a reply when the query was answered; it was
	// then cancelled.
	EndOpen End = "open"
	// EndDone marks one whose part was merged.
	EndDone End = "done"
	// EndSpare marks one whose part came after another for its shard.
	EndSpare End = "spare"
	// EndNotRun marks one that was proved not to have run.
	EndNotRun End = "notRun"
	// EndUnknown marks one that may have run.
	EndUnknown End = "unknown"
	// EndCancelled marks one given up since another won or the plan changed.
	EndCancelled End = "cancelled"
	// EndDropped marks one whose reply did not fit and was dropped.
	EndDropped End = "dropped"
)

// Try is one sub-request. Times are relative to the start of the query.
type Try struct {
	Sub      zlunit.SubID        `json:"sub"`
	Shard    zlunit.Shard        `json:"shard"`
	Upstream zlunit.Upstream     `json:"upstream"`
	VM       zlunit.VM           `json:"vm"`
	Version  zlunit.IndexVersion `json:"version"`
	Cause    Cause               `json:"cause"`
	// Why is the reason of the retry or hedge; it is empty for a first try.
	Why    zlquery.Reason `json:"why,omitempty"`
	Sent   time.Duration  `json:"sentNs"`
	Ended  time.Duration  `json:"endedNs"`
	End    End            `json:"end"`
	Reason zlquery.Reason `json:"reason,omitempty"`
}

// What names a decision that is not a sub-request.
type What string

// The decisions.
const (
	// WhatPlan is a plan; Version, Shards and, from the second on, Reason
	// are set.
	WhatPlan What = "plan"
	// WhatWait is a wait of For before a shard is asked again.
	WhatWait What = "wait"
	// WhatNoHedge tells why a late shard was not hedged.
	WhatNoHedge What = "noHedge"
	// WhatNoRetry tells why a failed shard was not asked again.
	WhatNoRetry What = "noRetry"
	// WhatEnough tells that the wait ended at the coverage that the query
	// kind holds for enough.
	WhatEnough What = "enough"
	// WhatHopeless tells that the wait ended since the coverage asked for
	// could not be reached any more.
	WhatHopeless What = "hopeless"
	// WhatClaim is a step of the claim of a non-idempotent request.
	WhatClaim What = "claim"
	// WhatCallerGone tells that the caller gave up.
	WhatCallerGone What = "callerGone"
)

// Decision is one decision that is not a sub-request.
type Decision struct {
	At      time.Duration       `json:"atNs"`
	What    What                `json:"what"`
	Shard   zlunit.Shard        `json:"shard,omitempty"`
	Version zlunit.IndexVersion `json:"version,omitempty"`
	// Shards is the number of shards of a plan.
	Shards int            `json:"shards,omitempty"`
	Reason zlquery.Reason `json:"reason,omitempty"`
	For    time.Duration  `json:"forNs,omitempty"`
}

// Trace is the record of one query. It does not change once it was handed to
// a sink.
type Trace struct {
	Request    zlunit.RequestID `json:"request"`
	Query      zlunit.QueryID   `json:"query"`
	Service    zlunit.Service   `json:"service"`
	Kind       zlunit.QueryKind `json:"kind"`
	Idempotent bool             `json:"idempotent"`
	Start      time.Time        `json:"start"`
	// Allowed is the time from the start to the deadline.
	Allowed   time.Duration       `json:"allowedNs"`
	Took      time.Duration       `json:"tookNs"`
	Decisions []Decision          `json:"decisions"`
	Tries     []Try               `json:"tries"`
	Outcome   zlquery.Outcome     `json:"outcome"`
	Reason    zlquery.Reason      `json:"reason,omitempty"`
	Version   zlunit.IndexVersion `json:"version"`
	Coverage  zlunit.Coverage     `json:"coverage"`
	Complete  bool                `json:"complete"`
	Missing   []zlquery.Missing   `json:"missing,omitempty"`
}

// Notable reports whether the query was refused or its answer is not whole.
func (t *Trace) Notable() bool {
	return t.Outcome != zlquery.OutcomeDone || !t.Complete
}

// Sink takes the traces of ended queries. Keep must not block.
type Sink interface {
	Keep(t *Trace)
}

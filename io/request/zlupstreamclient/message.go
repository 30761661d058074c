package zlupstreamclient

import (
	"encoding/json"
	"math"
	"net/http"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlexecutor"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/request/zlstatus"
)

// Query is the body of a request to an upstream.
type Query struct {
	// QueryID identifies the query within the tier.
	QueryID zlunit.QueryID `json:"queryId"`
	// RequestID identifies the request of the caller.
	RequestID zlunit.RequestID `json:"requestId"`
	// Shard is the shard to search, in the index version Version.
	Shard   zlunit.Shard        `json:"shard"`
	Version zlunit.IndexVersion `json:"version"`
	// Text is the query itself.
	Text string `json:"text"`
	// Idempotent is true if the query may run more than once.
	Idempotent bool `json:"idempotent"`
	// DeadlineMs is the time left for the reply, in milliseconds, at least 1.
	DeadlineMs int64 `json:"deadlineMs"`
}

// Reply is the body of a successful reply. QueryID, Upstream, Shard and Version must
// match the request.
type Reply struct {
	QueryID  zlunit.QueryID  `json:"queryId"`
	Upstream zlunit.Upstream `json:"upstream"`
	// Process identifies the upstream's process; empty if it gives none.
	Process zlunit.Process      `json:"process"`
	Shard   zlunit.Shard        `json:"shard"`
	Version zlunit.IndexVersion `json:"version"`
	// Coverage is the share of the shard that was searched, from 0 to 1.
	Coverage zlunit.Coverage `json:"coverage"`
	Rows     []string        `json:"rows"`
}

// Refusal is the body of a reply with a status other than 200.
type Refusal struct {
	// Reason says why the query was refused, in at most 64 bytes.
	Reason zlquery.Reason `json:"reason"`
	// Process identifies the upstream's process; empty if it gives none.
	Process zlunit.Process `json:"process"`
	// Started is true if work on the query had begun. A refusal without this field
	// leaves the outcome unknown.
	Started bool `json:"started"`
	// RetryAfterMs is the time after which to try again, in milliseconds; 0 if
	// the upstream gives none.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
}

const (
	// maxRetryAfterMs bounds the RetryAfterMs of a refusal: ten minutes.
	maxRetryAfterMs = 10 * 60 * 1000
	// maxReasonBytes bounds the Reason of a refusal.
	maxReasonBytes = 64
)

// notRun returns the result of a request that the upstream did not start.
func notRun(reason zlquery.Reason, after time.Duration, process zlunit.Process) zlexecutor.Fetched {
	return zlexecutor.Fetched{
		Result: zlquery.NotRun{
			Reason:     reason,
			RetryAfter: after,
		},
		Process: process,
	}
}

// unknown returns the result of a request that may have run.
func unknown(reason zlquery.Reason, process zlunit.Process) zlexecutor.Fetched {
	return zlexecutor.Fetched{
		Result: zlquery.Unknown{
			Reason: reason,
		},
		Process: process,
	}
}

// isBadReply reports whether r is the result of an unusable reply.
func isBadReply(r zlquery.Result) bool {
	u, ok := r.(zlquery.Unknown)
	return ok && u.Reason == zlquery.ReasonBadReply
}

// decodeReply decodes a reply and checks that it belongs to f and to the upstream
// called name.
func decodeReply(status int, data []byte, name zlunit.Upstream, f *zlexecutor.Fetch) zlexecutor.Fetched {
	if !zlstatus.IsFinal(status) {
		return unknown(zlquery.ReasonBadReply, "")
	}
	if status != http.StatusOK {
		return decodeRefusal(data)
	}
	var rows Reply
	if err := json.Unmarshal(data, &rows); err != nil {
		return unknown(zlquery.ReasonBadReply, "")
	}
	if rows.QueryID != f.Query || rows.Shard != f.Shard || rows.Version != f.Version || rows.Upstream != name {
		return unknown(zlquery.ReasonBadReply, "")
	}
	if c := float64(rows.Coverage); math.IsNaN(c) || c < 0 || c > 1 {
		return unknown(zlquery.ReasonBadReply, "")
	}
	return zlexecutor.Fetched{
		Result: zlquery.Done{
			Part: zlquery.Part{
				Shard:    rows.Shard,
				Version:  rows.Version,
				Upstream: rows.Upstream,
				Coverage: rows.Coverage,
				Rows:     rows.Rows,
			},
		},
		Process: rows.Process,
	}
}

// decodeRefusal decodes a refusal. The result is NotRun only if the refusal states
// explicitly that the work had not started; otherwise it is Unknown.
func decodeRefusal(data []byte) zlexecutor.Fetched {
	var r struct {
		Refusal
		Started *bool `json:"started"`
	}
	if err := json.Unmarshal(data, &r); err != nil || r.Reason == zlquery.ReasonNone || len(r.Reason) > maxReasonBytes {
		return unknown(zlquery.ReasonBadReply, "")
	}
	if r.Started == nil || *r.Started {
		return unknown(r.Reason, r.Process)
	}
	after := min(max(r.RetryAfterMs, 0), maxRetryAfterMs)
	return notRun(r.Reason, time.Duration(after)*time.Millisecond, r.Process)
}

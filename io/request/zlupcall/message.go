package zlupcall

import (
	"encoding/json"
	"math"
	"net/http"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlaggregator"
	"zinnialock/core/request/zlquery"
)

// Query is the body of a call to an upstream.
type Query struct {
	QueryID    zlunit.QueryID      `json:"queryId"`
	RequestID  zlunit.RequestID    `json:"requestId"`
	Shard      zlunit.Shard        `json:"shard"`
	Version    zlunit.IndexVersion `json:"version"`
	Text       string              `json:"text"`
	Idempotent bool                `json:"idempotent"`
	// DeadlineMs is the time left, in milliseconds.
	DeadlineMs int64 `json:"deadlineMs"`
}

// Rows is the body of an upstream's answer.
type Rows struct {
	QueryID  zlunit.QueryID      `json:"queryId"`
	Upstream zlunit.Upstream     `json:"upstream"`
	Process  zlunit.Process      `json:"process"`
	Shard    zlunit.Shard        `json:"shard"`
	Version  zlunit.IndexVersion `json:"version"`
	Coverage zlunit.Coverage     `json:"coverage"`
	Rows     []string            `json:"rows"`
}

// Refusal is the body of an upstream's refusal.
type Refusal struct {
	Reason  zlquery.Reason `json:"reason"`
	Process zlunit.Process `json:"process"`
	// Started tells whether the work had begun.
	Started      bool  `json:"started"`
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
}

const (
	// maxRetryAfterMs bounds an upstream's advice.
	maxRetryAfterMs = 10 * 60 * 1000
	// maxReason bounds an upstream's reason, in bytes.
	maxReason = 64
)

func notRun(reason zlquery.Reason, after time.Duration, process zlunit.Process) zlaggregator.Fetched {
	return zlaggregator.Fetched{
		Result: zlquery.NotRun{
			Reason:     reason,
			RetryAfter: after,
		},
		Process: process,
	}
}

func unknown(reason zlquery.Reason, process zlunit.Process) zlaggregator.Fetched {
	return zlaggregator.Fetched{
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

// classify decodes a reply and checks that it is the one to this very call.
func classify(status int, data []byte, name zlunit.Upstream, f *zlaggregator.Fetch) zlaggregator.Fetched {
	if status != http.StatusOK {
		return refused(data)
	}
	var rows Rows
	if err := json.Unmarshal(data, &rows); err != nil {
		return unknown(zlquery.ReasonBadReply, "")
	}
	if rows.QueryID != f.Query || rows.Shard != f.Shard || rows.Version != f.Version || rows.Upstream != name {
		return unknown(zlquery.ReasonBadReply, "")
	}
	if c := float64(rows.Coverage); math.IsNaN(c) || c < 0 || c > 1 {
		return unknown(zlquery.ReasonBadReply, "")
	}
	return zlaggregator.Fetched{
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

// refused decodes a refusal. Only one that says so in full proves that the
// work had not begun.
func refused(data []byte) zlaggregator.Fetched {
	var r struct {
		Refusal
		Started *bool `json:"started"`
	}
	if err := json.Unmarshal(data, &r); err != nil || r.Reason == zlquery.ReasonNone || len(r.Reason) > maxReason {
		return unknown(zlquery.ReasonBadReply, "")
	}
	if r.Started == nil || *r.Started {
		return unknown(r.Reason, r.Process)
	}
	after := min(max(r.RetryAfterMs, 0), maxRetryAfterMs)
	return notRun(r.Reason, time.Duration(after)*time.Millisecond, r.Process)
}

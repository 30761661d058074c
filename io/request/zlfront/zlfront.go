// Package zlfront is the HTTP interface for callers of zinnialock serve; its
// counterpart in the relay is zlserver. It decodes and checks a JSON query, passes
// it to the coordinator, and encodes the answer with an HTTP status. It does not
// route queries, and applies no default deadline.
package zlfront

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"

	"github.com/google/uuid"
)

// Path is the URL path to which callers post queries.
const Path = "/v1/query"

const (
	// maxBodyBytes limits the body of a request.
	maxBodyBytes = 256 << 10
	// maxDeadline is the longest deadline that a caller may set.
	maxDeadline = 5 * time.Minute
	// maxIDBytes limits the length of a request id.
	maxIDBytes = 128
)

// Request is the body of a caller's request.
type Request struct {
	// RequestID identifies the request; the caller's retries share it. If it is empty,
	// Decode sets a random one, unless the request is a retry or not idempotent.
	RequestID zlunit.RequestID `json:"requestId,omitempty"`
	// Service is the service to query.
	Service zlunit.Service `json:"service"`
	// Kind is the query kind, which selects the policy.
	Kind zlunit.QueryKind `json:"kind"`
	// Text is the query text, at most zlquery.MaxText bytes long.
	Text string `json:"text"`
	// DeadlineMs is the time in which the answer is due, in milliseconds from the
	// arrival of the request; 0 means the deadline of the policy.
	DeadlineMs int64 `json:"deadlineMs,omitempty"`
	// Idempotent says whether the request may run more than once; nil means true.
	Idempotent *bool `json:"idempotent,omitempty"`
	// LeastCoverage is the minimum coverage that the caller accepts, from 0 to 1.
	LeastCoverage zlunit.Coverage `json:"leastCoverage,omitempty"`
	// Retry is true if the caller may have sent this id before. The request is then
	// reported as not run only if none of the attempts ran.
	Retry bool `json:"retry,omitempty"`
}

// Part is the part of an answer that one shard contributed.
type Part struct {
	// Shard is the shard that was queried.
	Shard zlunit.Shard `json:"shard"`
	// Upstream is the upstream that served the part.
	Upstream zlunit.Upstream `json:"upstream"`
	// Coverage is the share of the shard that was searched, from 0 to 1.
	Coverage zlunit.Coverage `json:"coverage"`
	// Rows are the rows found.
	Rows []string `json:"rows"`
}

// Refusal says why there is no answer, and whether the request ran.
type Refusal struct {
	// Reason is why the request was refused or failed.
	Reason zlquery.Reason `json:"reason"`
	// Detail says what is wrong with a bad request; empty for other reasons.
	Detail string `json:"detail,omitempty"`
	// Ran says whether the request ran.
	Ran Ran `json:"ran"`
	// RetryAfterMs is how long the caller should wait before it retries, in
	// milliseconds; 0 means no advice.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
}

// Ran says whether a refused request ran.
type Ran string

// The values of Ran.
const (
	// RanNo: the request provably did not run.
	RanNo Ran = "no"
	// RanYes: an earlier attempt ran, and its answer is no longer stored.
	RanYes Ran = "yes"
	// RanUnknown: the request may have run.
	RanUnknown Ran = "unknown"
)

// Answer is the body of the response to a caller.
type Answer struct {
	// RequestID is the id of the request; empty if the request had none and was
	// malformed.
	RequestID zlunit.RequestID `json:"requestId"`
	// Outcome says whether the request ran.
	Outcome zlquery.Outcome `json:"outcome"`
	// Version is the index version of all parts.
	Version zlunit.IndexVersion `json:"version,omitempty"`
	// Coverage is the share of the index version that was merged, from 0 to 1.
	Coverage zlunit.Coverage `json:"coverage"`
	// Complete is true if every shard was merged in full.
	Complete bool `json:"complete"`
	// Parts holds the merged parts in shard order.
	Parts []Part `json:"parts,omitempty"`
	// Missing holds the shards without a part.
	Missing []zlquery.Missing `json:"missing,omitempty"`
	// Refusal is nil unless the request was refused or failed.
	Refusal *Refusal `json:"refusal,omitempty"`
	// ElapsedMs is the time from the arrival of the request until the answer was
	// encoded, in milliseconds.
	ElapsedMs float64 `json:"elapsedMs"`
	// SubRequests counts the sub-requests that were sent.
	SubRequests int `json:"subs"`
	// Hedges counts those of them that were hedges.
	Hedges int `json:"hedges"`
	// Retries counts those of them that were retries.
	Retries int `json:"retries"`
}

// Answerer answers queries.
type Answerer interface {
	// Answer returns the answer to a request, also if that was refused or failed. It
	// is called concurrently.
	Answer(ctx context.Context, req *zlquery.Request) *zlquery.Answer
}

// Handler is the HTTP handler for queries. All fields must be set before use.
type Handler struct {
	// Answerer answers the decoded queries.
	Answerer Answerer
	// Timer is the clock for deadlines and elapsed times.
	Timer *zltimer.Service
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := h.Timer.Now()
	in, fault := Decode(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if fault != "" {
		write(w, http.StatusBadRequest, &Answer{
			RequestID: in.RequestID,
			Outcome:   zlquery.OutcomeNotRun,
			Refusal: &Refusal{
				Reason: zlquery.ReasonBadRequest,
				Detail: fault,
				Ran:    RanNo,
			},
		})
		return
	}
	req := &zlquery.Request{
		ID:            in.RequestID,
		Service:       in.Service,
		Kind:          in.Kind,
		Text:          in.Text,
		Idempotent:    in.Idempotent == nil || *in.Idempotent,
		LeastCoverage: in.LeastCoverage,
		Retry:         in.Retry,
	}
	if in.DeadlineMs > 0 {
		req.Deadline = start.Add(time.Duration(in.DeadlineMs) * time.Millisecond)
	}
	a := h.Answerer.Answer(r.Context(), req)
	out := encode(a)
	out.ElapsedMs = float64(h.Timer.Now().Sub(start)) / float64(time.Millisecond)
	write(w, statusOf(a), out)
}

// Decode reads and checks a caller's request, and sets a random id if it has none.
// fault says which key is invalid and what is allowed; it is empty if the request is
// valid.
func Decode(r io.Reader) (in Request, fault string) {
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	if err := d.Decode(&in); err != nil {
		return in, err.Error()
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return in, "found more after the JSON object, allowed is one object"
	}
	if fault := in.check(); fault != "" {
		return in, fault
	}
	if in.RequestID == "" {
		in.RequestID = zlunit.RequestID(uuid.NewString())
	}
	return in, ""
}

// check returns which key is invalid and what is allowed, for the first such key, or
// an empty string.
func (in *Request) check() string {
	maxMs := maxDeadline.Milliseconds()
	notIdempotent := in.Idempotent != nil && !*in.Idempotent
	switch {
	case in.Service == "":
		return "key \"service\": found nothing, allowed is the name of a service"
	case in.DeadlineMs < 0 || in.DeadlineMs > maxMs:
		return fmt.Sprintf("key \"deadlineMs\": found %d, allowed is 1 to %d", in.DeadlineMs, maxMs)
	case !(in.LeastCoverage >= 0 && in.LeastCoverage <= 1):
		return fmt.Sprintf("key \"leastCoverage\": found %v, allowed is 0 to 1", in.LeastCoverage)
	case len(in.Text) > zlquery.MaxText:
		return fmt.Sprintf("key \"text\": found %d bytes, allowed are %d", len(in.Text), zlquery.MaxText)
	case len(in.RequestID) > maxIDBytes:
		return fmt.Sprintf("key \"requestId\": found %d bytes, allowed are %d", len(in.RequestID), maxIDBytes)
	case in.RequestID == "" && notIdempotent:
		return "key \"requestId\": found nothing, a request that is not idempotent needs one"
	case in.RequestID == "" && in.Retry:
		return "key \"requestId\": found nothing, a retry needs the id of the first attempt"
	}
	return ""
}

// encode converts an answer to the response body, without ElapsedMs.
func encode(a *zlquery.Answer) *Answer {
	out := &Answer{
		RequestID:   a.ID,
		Outcome:     a.Outcome,
		Version:     a.Version,
		Coverage:    a.Coverage,
		Complete:    a.Complete,
		Missing:     a.Missing,
		SubRequests: a.SubRequests,
		Hedges:      a.Hedges,
		Retries:     a.Retries,
		Parts:       make([]Part, 0, len(a.Parts)),
	}
	for _, p := range a.Parts {
		out.Parts = append(out.Parts, Part{
			Shard:    p.Shard,
			Upstream: p.Upstream,
			Coverage: p.Coverage,
			Rows:     p.Rows,
		})
	}
	if a.Reason != zlquery.ReasonNone || a.Outcome != zlquery.OutcomeDone {
		out.Refusal = refusalOf(a)
	}
	return out
}

func refusalOf(a *zlquery.Answer) *Refusal {
	r := &Refusal{
		Reason:       a.Reason,
		Ran:          RanUnknown,
		RetryAfterMs: a.RetryAfter.Milliseconds(),
	}
	switch a.Outcome {
	case zlquery.OutcomeNotRun:
		r.Ran = RanNo
	case zlquery.OutcomeDone:
		r.Ran = RanYes
	case zlquery.OutcomeUnknown:
	}
	return r
}

// statusOf returns the HTTP status of an answer.
func statusOf(a *zlquery.Answer) int {
	switch {
	case a.Reason == zlquery.ReasonClaimed && a.Outcome == zlquery.OutcomeDone:
		return http.StatusConflict
	case a.Outcome == zlquery.OutcomeDone:
		return http.StatusOK
	case a.Reason == zlquery.ReasonClaimTooOld || a.Reason == zlquery.ReasonClaimAhead:
		return http.StatusBadRequest
	case a.Reason == zlquery.ReasonUnknownService:
		return http.StatusNotFound
	case a.Outcome == zlquery.OutcomeNotRun:
		return http.StatusServiceUnavailable
	default:
		return http.StatusGatewayTimeout
	}
}

func write(w http.ResponseWriter, status int, a *Answer) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a)
}

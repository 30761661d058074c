// Package zlfront serves callers over HTTP: it decodes a query, hands it to the
// coordinator and encodes the answer.
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

// Path is where callers post queries.
const Path = "/v1/query"

const (
	// maxBody bounds a caller's request, in bytes.
	maxBody = 256 << 10
	// maxDeadline bounds the time a caller may ask for.
	maxDeadline = 5 * time.Minute
	// maxID bounds a request id, in bytes.
	maxID = 128
)

// Request is a caller's request.
type Request struct {
	RequestID  zlunit.RequestID `json:"requestId,omitempty"`
	Service    zlunit.Service   `json:"service"`
	Kind       zlunit.QueryKind `json:"kind"`
	Text       string           `json:"text"`
	DeadlineMs int64            `json:"deadlineMs,omitempty"`
	// Idempotent is true when absent.
	Idempotent    *bool           `json:"idempotent,omitempty"`
	LeastCoverage zlunit.Coverage `json:"leastCoverage,omitempty"`
	// Retry tells that the caller may have sent this id before, so that a
	// refusal can only be "not run" if that is true of all attempts.
	Retry bool `json:"retry,omitempty"`
}

// Part is one shard of an answer.
type Part struct {
	Shard    zlunit.Shard    `json:"shard"`
	Upstream zlunit.Upstream `json:"upstream"`
	Coverage zlunit.Coverage `json:"coverage"`
	Rows     []string        `json:"rows"`
}

// Refusal tells why there is no answer, and whether the request ran.
type Refusal struct {
	Reason       zlquery.Reason `json:"reason"`
	Detail       string         `json:"detail,omitempty"`
	Ran          Ran            `json:"ran"`
	RetryAfterMs int64          `json:"retryAfterMs,omitempty"`
}

// Ran tells whether a refused request ran.
type Ran string

// The values of Ran. RanNo is given only with proof; RanYes tells that an
// earlier attempt ran whose answer is not at hand any more.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Answer is what a caller gets.
type Answer struct {
	RequestID zlunit.RequestID    `json:"requestId"`
	Outcome   zlquery.Outcome     `json:"outcome"`
	Version   zlunit.IndexVersion `json:"version,omitempty"`
	Coverage  zlunit.Coverage     `json:"coverage"`
	Complete  bool                `json:"complete"`
	Parts     []Part              `json:"parts,omitempty"`
	Missing   []zlquery.Missing   `json:"missing,omitempty"`
	Refusal   *Refusal            `json:"refusal,omitempty"`
	ElapsedMs float64             `json:"elapsedMs"`
	Subs      int                 `json:"subs"`
	Hedges    int                 `json:"hedges"`
	Retries   int                 `json:"retries"`
}

// Answerer is the service layer.
type Answerer interface {
	Answer(ctx context.Context, req *zlquery.Request) *zlquery.Answer
}

// Front is the HTTP side. All fields must be set before use.
type Front struct {
	Answerer Answerer
	Timer    *zltimer.Service
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := f.Timer.Now()
	in, fault := Decode(http.MaxBytesReader(w, r.Body, maxBody))
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
	a := f.Answerer.Answer(r.Context(), req)
	out := encode(a)
	out.ElapsedMs = float64(f.Timer.Now().Sub(start)) / float64(time.Millisecond)
	write(w, statusOf(a), out)
}

// Decode reads and checks a caller's request; fault names the key that is
// wrong, or is empty.
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

// check names the first key that is wrong.
func (in *Request) check() string {
	maxMs := maxDeadline.Milliseconds()
	once := in.Idempotent != nil && !*in.Idempotent
	switch {
	case in.Service == "":
		return "key \"service\": found nothing, allowed is the name of a service"
	case in.DeadlineMs < 0 || in.DeadlineMs > maxMs:
		return fmt.Sprintf("key \"deadlineMs\": found %d, allowed is 1 to %d", in.DeadlineMs, maxMs)
	case !(in.LeastCoverage >= 0 && in.LeastCoverage <= 1):
		return fmt.Sprintf("key \"leastCoverage\": found %v, allowed is 0 to 1", in.LeastCoverage)
	case len(in.Text) > zlquery.MaxText:
		return fmt.Sprintf("key \"text\": found %d bytes, allowed are %d", len(in.Text), zlquery.MaxText)
	case len(in.RequestID) > maxID:
		return fmt.Sprintf("key \"requestId\": found %d bytes, allowed are %d", len(in.RequestID), maxID)
	case in.RequestID == "" && once:
		return "key \"requestId\": found nothing, a request that is not idempotent needs one"
	case in.RequestID == "" && in.Retry:
		return "key \"requestId\": found nothing, a retry needs the id of the first attempt"
	}
	return ""
}

func encode(a *zlquery.Answer) *Answer {
	out := &Answer{
		RequestID: a.ID,
		Outcome:   a.Outcome,
		Version:   a.Version,
		Coverage:  a.Coverage,
		Complete:  a.Complete,
		Missing:   a.Missing,
		Subs:      a.SubRequests,
		Hedges:    a.Hedges,
		Retries:   a.Retries,
		Parts:     make([]Part, 0, len(a.Parts)),
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

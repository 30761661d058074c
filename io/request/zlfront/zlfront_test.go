package zlfront

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/request/zlquery"
)

const testRequestID = "018f3c5e-7d10-7abc-8def-0123456789ab"

// FuzzDecode checks that Decode either returns a fault or a request within all limits.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{"service":"s"}`,
		`{"service":"s","requestId":"` + testRequestID + `","idempotent":false,"retry":true}`,
		`{"service":"s","idempotent":false}`,
		`{"service":"s","deadlineMs":-1}`,
		`{"service":"s","leastCoverage":1e999}`,
		`{"service":"s"} {"service":"t"}`,
		`{"servce":"s"}`,
		`[1,2`, ``, `null`, "\x00\xff",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, body string) {
		in, fault := Decode(strings.NewReader(body))
		if fault != "" {
			return
		}
		notIdempotent := in.Idempotent != nil && !*in.Idempotent
		switch {
		case in.Service == "", in.RequestID == "", len(in.RequestID) > maxIDBytes:
			t.Errorf("accepted %q without a service or with an invalid id", body)
		case in.DeadlineMs < 0 || in.DeadlineMs > maxDeadline.Milliseconds():
			t.Errorf("accepted %q with deadline %d ms", body, in.DeadlineMs)
		case !(in.LeastCoverage >= 0 && in.LeastCoverage <= 1):
			t.Errorf("accepted %q with minimum coverage %v", body, in.LeastCoverage)
		case notIdempotent && !strings.Contains(body, "requestId"):
			t.Errorf("accepted %q and set an id for a request that is not idempotent", body)
		}
	})
}

func TestDecodeNamesTheInvalidKey(t *testing.T) {
	convey.Convey("Given requests with one invalid key each, Decode names the key", t, func() {
		for body, want := range map[string]string{
			`{}`:                                 `"service"`,
			`{"service":"s","deadlineMs":-1}`:    `"deadlineMs": found -1, allowed is 1 to 300000`,
			`{"service":"s","leastCoverage":2}`:  `"leastCoverage": found 2, allowed is 0 to 1`,
			`{"service":"s","idempotent":false}`: `"requestId"`,
			`{"service":"s","retry":true}`:       `"requestId"`,
			`{"service":"s","text":"` + strings.Repeat("x", zlquery.MaxText+1) + `"}`: `"text": found 65537 bytes`,
			`{"servce":"s"}`:       `"servce"`,
			`{"service":"s"} {}`:   `one object`,
			`{"service":"s"} oops`: `one object`,
		} {
			_, fault := Decode(strings.NewReader(body))
			convey.So(fault, convey.ShouldContainSubstring, want)
		}
	})
}

// fixedAnswerer answers each request with the same answer.
type fixedAnswerer zlquery.Answer

func (f *fixedAnswerer) Answer(_ context.Context, req *zlquery.Request) *zlquery.Answer {
	a := zlquery.Answer(*f)
	a.ID = req.ID
	return &a
}

// outcomeCase is an answer and the HTTP status and value of Ran that a caller must get;
// ran is empty if there must be no refusal.
type outcomeCase struct {
	answer fixedAnswerer
	status int
	ran    Ran
}

func refusalCase(outcome zlquery.Outcome, reason zlquery.Reason, status int, ran Ran) outcomeCase {
	return outcomeCase{
		answer: fixedAnswerer{
			Outcome:    outcome,
			Reason:     reason,
			RetryAfter: time.Second,
		},
		status: status,
		ran:    ran,
	}
}

func outcomeCases() []outcomeCase {
	return []outcomeCase{
		{
			answer: fixedAnswerer{
				Outcome: zlquery.OutcomeDone,
			},
			status: http.StatusOK,
		},
		refusalCase(zlquery.OutcomeDone, zlquery.ReasonClaimed, http.StatusConflict, RanYes),
		refusalCase(zlquery.OutcomeNotRun, zlquery.ReasonShed, http.StatusServiceUnavailable, RanNo),
		refusalCase(zlquery.OutcomeUnknown, zlquery.ReasonClaimed, http.StatusGatewayTimeout, RanUnknown),
		refusalCase(zlquery.OutcomeUnknown, zlquery.ReasonClaimTooOld, http.StatusBadRequest, RanUnknown),
		refusalCase(zlquery.OutcomeNotRun, zlquery.ReasonUnknownService, http.StatusNotFound, RanNo),
	}
}

func TestStatusAndRanOfEachOutcome(t *testing.T) {
	convey.Convey("Given an answer of each outcome, the caller gets the matching status and value of ran", t, func() {
		for _, c := range outcomeCases() {
			f := &Handler{
				Answerer: &c.answer,
				Timer:    &zltimer.Service{},
			}
			w := httptest.NewRecorder()
			f.ServeHTTP(w, httptest.NewRequest(http.MethodPost, Path, strings.NewReader(`{"service":"s","requestId":"r"}`)))
			var a Answer
			convey.So(json.Unmarshal(w.Body.Bytes(), &a), convey.ShouldBeNil)
			convey.So(w.Code, convey.ShouldEqual, c.status)
			if c.ran == "" {
				convey.So(a.Refusal, convey.ShouldBeNil)
				continue
			}
			convey.So(a.Refusal.Ran, convey.ShouldEqual, c.ran)
			convey.So(a.Refusal.RetryAfterMs, convey.ShouldEqual, c.answer.RetryAfter.Milliseconds())
		}
	})
}

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

const onceID = "018f3c5e-7d10-7abc-8def-0123456789ab"

// FuzzDecode makes sure that whatever comes in is either refused with a fault
// that can be read, or lies within every bound.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{"service":"s"}`,
		`{"service":"s","requestId":"` + onceID + `","idempotent":false,"retry":true}`,
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
		once := in.Idempotent != nil && !*in.Idempotent
		switch {
		case in.Service == "", in.RequestID == "", len(in.RequestID) > maxID:
			t.Errorf("took %q without a service or id", body)
		case in.DeadlineMs < 0 || in.DeadlineMs > maxDeadline.Milliseconds():
			t.Errorf("took %q with deadline %d", body, in.DeadlineMs)
		case !(in.LeastCoverage >= 0 && in.LeastCoverage <= 1):
			t.Errorf("took %q with coverage %v", body, in.LeastCoverage)
		case once && !strings.Contains(body, "requestId"):
			t.Errorf("took %q and made up an id for what must run at most once", body)
		}
	})
}

func TestDecodeNamesTheKey(t *testing.T) {
	convey.Convey("Given requests with one fault each", t, func() {
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

type fixed zlquery.Answer

func (f *fixed) Answer(_ context.Context, req *zlquery.Request) *zlquery.Answer {
	a := zlquery.Answer(*f)
	a.ID = req.ID
	return &a
}

// wireCase is an outcome and how a caller must see it.
type wireCase struct {
	answer fixed
	status int
	ran    Ran
}

func refusal(outcome zlquery.Outcome, reason zlquery.Reason, status int, ran Ran) wireCase {
	return wireCase{
		answer: fixed{
			Outcome:    outcome,
			Reason:     reason,
			RetryAfter: time.Second,
		},
		status: status,
		ran:    ran,
	}
}

func wireCases() []wireCase {
	return []wireCase{
		{
			answer: fixed{
				Outcome: zlquery.OutcomeDone,
			},
			status: http.StatusOK,
		},
		refusal(zlquery.OutcomeDone, zlquery.ReasonClaimed, http.StatusConflict, RanYes),
		refusal(zlquery.OutcomeNotRun, zlquery.ReasonShed, http.StatusServiceUnavailable, RanNo),
		refusal(zlquery.OutcomeUnknown, zlquery.ReasonClaimed, http.StatusGatewayTimeout, RanUnknown),
		refusal(zlquery.OutcomeUnknown, zlquery.ReasonClaimTooOld, http.StatusBadRequest, RanUnknown),
		refusal(zlquery.OutcomeNotRun, zlquery.ReasonUnknownService, http.StatusNotFound, RanNo),
	}
}

func TestOutcomesOnTheWire(t *testing.T) {
	convey.Convey("Given each outcome, the status and what is said of the run fit", t, func() {
		for _, c := range wireCases() {
			f := &Front{
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

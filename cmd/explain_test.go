package cmd

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/request/zltrace"
)

// testAttempt returns a sub-request of 3 ms.
func testAttempt(shard zlunit.Shard, cause zltrace.Cause, end zltrace.End) zltrace.Attempt {
	return zltrace.Attempt{
		Shard:    shard,
		Upstream: "u",
		VM:       "nashua-1",
		Cause:    cause,
		Sent:     time.Millisecond,
		Ended:    4 * time.Millisecond,
		End:      end,
	}
}

// testTrace returns the trace of a request with a hedge and a failed shard.
func testTrace() *zltrace.Trace {
	hedge := testAttempt(1, zltrace.CauseHedge, zltrace.EndDone)
	hedge.Why = zlquery.ReasonDeadline
	failed := testAttempt(2, zltrace.CauseFirst, zltrace.EndUnknown)
	failed.Reason = zlquery.ReasonConnectionReset
	return &zltrace.Trace{
		Request:  "r",
		Service:  "s",
		Took:     20 * time.Millisecond,
		Budget:   time.Second,
		Outcome:  zlquery.OutcomeDone,
		Version:  4,
		Coverage: 0.75,
		Decisions: []zltrace.Decision{
			{
				Kind:    zltrace.KindPlan,
				Version: 4,
				Shards:  4,
			},
			{
				Kind:   zltrace.KindNoRetry,
				Shard:  2,
				Reason: zlquery.ReasonConnectionReset,
			},
		},
		Attempts: []zltrace.Attempt{
			testAttempt(0, zltrace.CauseFirst, zltrace.EndDone),
			testAttempt(1, zltrace.CauseFirst, zltrace.EndCancelled),
			hedge,
			failed,
			testAttempt(3, zltrace.CauseFirst, zltrace.EndDone),
		},
		Missing: []zlquery.Missing{
			{
				Shard:  2,
				Reason: zlquery.ReasonConnectionReset,
			},
		},
	}
}

func TestExplainTextShowsDecisionsAndReasons(t *testing.T) {
	text := explainText(testTrace())
	for _, want := range []string{
		"not idempotent",
		"took 20.0 ms of 1000.0 ms allowed",
		"version   4, coverage 0.7500, complete false",
		"5 sub-requests: 1 hedge, 4 first",
		"planned at version 4 with 4 shards",
		"shard 2: not retried, reason connectionReset",
		"shard 1: first to u through nashua-1: cancelled after 3.0 ms",
		"shard 1: hedge to u through nashua-1, reason deadline: answered",
		"shard 2: first to u through nashua-1: failed, may have run (connectionReset)",
		"2 more shards were answered by their first sub-request",
		"missing   shard 2: connectionReset",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("explanation: want %q in\n%s", want, text)
		}
	}
	if strings.Contains(text, "shard 0:") {
		t.Errorf("shard 0, answered by its first sub-request, must have no line of its own:\n%s", text)
	}
}

func TestExplainReadsTracesFromDaemon(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("request") != "r" {
			http.Error(w, "unknown request", http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode([]*zltrace.Trace{testTrace()})
	}))
	defer server.Close()
	admin := strings.TrimPrefix(server.URL, "http://")
	if code, stdout, _ := run("explain", "r", "-admin", admin); code != exitOK || !strings.Contains(stdout, "coverage 0.7500") {
		t.Errorf("text: code %d, want 0; stdout %q, want the coverage in it", code, stdout)
	}
	code, stdout, _ := run("explain", "r", "-admin", admin, "-format", "json")
	var traces []*zltrace.Trace
	if err := json.Unmarshal([]byte(stdout), &traces); code != exitOK || err != nil || len(traces[0].Attempts) != 5 {
		t.Errorf("json: code %d, want 0; decoding: %v; stdout %q, want 5 attempts", code, err, stdout)
	}
	if code, _, stderr := run("explain", "other", "-admin", admin); code != exitFailed || !strings.Contains(stderr, "unknown request") {
		t.Errorf("unknown id: code %d, want 1; stderr %q, want the daemon's error in it", code, stderr)
	}
}

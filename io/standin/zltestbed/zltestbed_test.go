package zltestbed

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/phuslu/log"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlclaim"
	"zinnialock/core/request/zlquery"
	"zinnialock/io/process/zlload"
	"zinnialock/io/request/zlfront"
)

// newTestbed starts three daemons, each in its own data centre, and one service of two
// shards.
func newTestbed(t *testing.T) *Testbed {
	t.Helper()
	testbed := &Testbed{
		Seed: 1,
		Log: &log.Logger{
			Level: log.PanicLevel,
		},
		Plan: Plan{
			Deployment:  "d",
			DataCentres: []zlunit.DataCentre{"x", "y", "z"},
			Daemons:     1,
			Services:    []ServicePlan{shardedService("finder", 2, 3, 30)},
		},
	}
	t.Cleanup(testbed.Close)
	if err := testbed.Run(context.Background()); err != nil {
		t.Fatal(err)
	}
	return testbed
}

// waitCompleteAnswers sends queries until every daemon gives a complete answer;
// daemons that have just started may not hold any upstreams yet.
func waitCompleteAnswers(t *testing.T, testbed *Testbed) {
	t.Helper()
	for daemon := range testbed.Targets() {
		complete := false
		for attempt := 0; attempt < maxAttempts && !complete; attempt++ {
			complete = post(t, testbed, daemon, &zlfront.Request{
				Service: "finder",
				Text:    "t",
			}).Complete
			time.Sleep(20 * time.Millisecond)
		}
		if !complete {
			t.Fatalf("daemon %d: got no complete answer in %d attempts", daemon, maxAttempts)
		}
	}
}

// postNonIdempotent sends a request that is not idempotent to one daemon.
func postNonIdempotent(t *testing.T, testbed *Testbed, daemon int, id zlunit.RequestID, retry bool) *zlfront.Answer {
	t.Helper()
	idempotent := false
	return post(t, testbed, daemon, &zlfront.Request{
		RequestID:     id,
		Service:       "finder",
		Text:          "t",
		DeadlineMs:    20_000,
		Idempotent:    &idempotent,
		Retry:         retry,
		LeastCoverage: 1,
	})
}

// post sends a request to one daemon and returns its answer, which may be a refusal.
func post(t *testing.T, testbed *Testbed, daemon int, req *zlfront.Request) *zlfront.Answer {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	a, err := zlload.Post(ctx, http.DefaultClient, testbed.Targets()[daemon], req)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// maxAttempts bounds the number of times that a request is sent.
const maxAttempts = 200

// totalRuns returns the number of runs of all shards of a request at all upstreams.
func totalRuns(testbed *Testbed, id zlunit.RequestID) int {
	n := 0
	for _, u := range testbed.Upstreams {
		for _, runs := range u.Runs(id) {
			n += runs
		}
	}
	return n
}

// TestRepeatedRequestRunsOnce guards against a request that runs again when a caller
// repeats it through another daemon: while the daemon that ran it still runs, and
// after that daemon was killed, so that no daemon knows the answer.
func TestRepeatedRequestRunsOnce(t *testing.T) {
	testbed := newTestbed(t)
	waitCompleteAnswers(t, testbed)
	id := zlclaim.NewID(time.Now())
	first := postNonIdempotent(t, testbed, 0, id, false)
	for range maxAttempts {
		if first.Outcome != zlquery.OutcomeNotRun {
			break
		}
		time.Sleep(time.Duration(first.Refusal.RetryAfterMs) * time.Millisecond)
		first = postNonIdempotent(t, testbed, 0, id, true)
	}
	if first.Outcome != zlquery.OutcomeDone || first.Refusal != nil {
		t.Fatalf("first attempt: got %+v, refusal %+v; want outcome done", first, first.Refusal)
	}
	second := postNonIdempotent(t, testbed, 1, id, true)
	if second.Refusal != nil || len(second.Parts) != 2 || second.Parts[0].Upstream != first.Parts[0].Upstream {
		t.Fatalf("through a second daemon: got %+v, refusal %+v; want the first answer", second, second.Refusal)
	}
	testbed.Kill(0)
	third := postNonIdempotent(t, testbed, 2, id, true)
	if third.Refusal == nil || third.Refusal.Ran == zlfront.RanNo {
		t.Fatalf("after the first daemon was killed: got %+v, refusal %+v; want a refusal that does not say that it never ran", third, third.Refusal)
	}
	if n := totalRuns(testbed, id); n != 2 {
		t.Fatalf("got %d runs of the two shards in all, want 2", n)
	}
}

// TestNoClaimNoRun guards against running a non-idempotent request without a claim:
// while the platform is down the claim cannot be stored, so the request is refused.
func TestNoClaimNoRun(t *testing.T) {
	testbed := newTestbed(t)
	faults := testbed.Platform.Faults()
	faults.Down = true
	testbed.Platform.SetFaults(faults)
	id := zlclaim.NewID(time.Now())
	a := postNonIdempotent(t, testbed, 0, id, false)
	if a.Outcome != zlquery.OutcomeNotRun || a.Refusal.Reason != zlquery.ReasonClaimStore || totalRuns(testbed, id) != 0 {
		t.Fatalf("got %+v, refusal %+v and %d runs; want a refusal for the claim store and no runs", a, a.Refusal, totalRuns(testbed, id))
	}
}

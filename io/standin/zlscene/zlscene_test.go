package zlscene

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

// newScene starts three daemons before one service of two shards.
func newScene(t *testing.T) *Scene {
	t.Helper()
	s := &Scene{
		Seed: 1,
		Log: &log.Logger{
			Level: log.PanicLevel,
		},
		Plan: UserPlan{
			Deployment:  "d",
			DataCentres: []zlunit.DataCentre{"x", "y", "z"},
			Daemons:     1,
			Services:    []ServicePlan{sharded("finder", 2, 3, 30)},
		},
	}
	t.Cleanup(s.Close)
	if err := s.Run(context.Background()); err != nil {
		t.Fatal(err)
	}
	return s
}

// warm asks until every daemon gives a whole answer; daemons that have just
// started may hold nothing yet.
func warm(t *testing.T, s *Scene) {
	t.Helper()
	for daemon := range s.Targets() {
		whole := false
		for try := 0; try < maxTries && !whole; try++ {
			whole = post(t, s, daemon, &zlfront.Request{
				Service: "finder",
				Text:    "t",
			}).Complete
			time.Sleep(20 * time.Millisecond)
		}
		if !whole {
			t.Fatalf("daemon %d gave no whole answer", daemon)
		}
	}
}

// ask sends a request that is not idempotent through one daemon.
func ask(t *testing.T, s *Scene, daemon int, id zlunit.RequestID, retry bool) *zlfront.Answer {
	t.Helper()
	idempotent := false
	return post(t, s, daemon, &zlfront.Request{
		RequestID:     id,
		Service:       "finder",
		Text:          "t",
		DeadlineMs:    20_000,
		Idempotent:    &idempotent,
		Retry:         retry,
		LeastCoverage: 1,
	})
}

func post(t *testing.T, s *Scene, daemon int, req *zlfront.Request) *zlfront.Answer {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	a, err := zlload.Post(ctx, http.DefaultClient, s.Targets()[daemon], req)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// maxTries bounds how often a request is sent.
const maxTries = 200

func runsOf(s *Scene, id zlunit.RequestID) int {
	n := 0
	for _, u := range s.Upstreams {
		for _, runs := range u.Runs(id) {
			n += runs
		}
	}
	return n
}

// TestRepeatedRequestRunsOnce repeats a request through a second daemon while
// the first lives, and again after it was killed, over real sockets.
func TestRepeatedRequestRunsOnce(t *testing.T) {
	s := newScene(t)
	warm(t, s)
	id := zlclaim.NewID(time.Now())
	first := ask(t, s, 0, id, false)
	for range maxTries {
		if first.Outcome != zlquery.OutcomeNotRun {
			break
		}
		time.Sleep(time.Duration(first.Refusal.RetryAfterMs) * time.Millisecond)
		first = ask(t, s, 0, id, true)
	}
	if first.Outcome != zlquery.OutcomeDone || first.Refusal != nil {
		t.Fatalf("first attempt: %+v, %+v", first, first.Refusal)
	}
	second := ask(t, s, 1, id, true)
	if second.Refusal != nil || len(second.Parts) != 2 || second.Parts[0].Upstream != first.Parts[0].Upstream {
		t.Fatalf("through a second daemon: %+v, %+v; want the first answer", second, second.Refusal)
	}
	s.Kill(0)
	third := ask(t, s, 2, id, true)
	if third.Refusal == nil || third.Refusal.Ran == zlfront.RanNo {
		t.Fatalf("after the first daemon was killed: %+v, %+v", third, third.Refusal)
	}
	if n := runsOf(s, id); n != 2 {
		t.Fatalf("the two shards ran %d times in all", n)
	}
}

// TestNoClaimNoRun refuses what cannot be claimed.
func TestNoClaimNoRun(t *testing.T) {
	s := newScene(t)
	faults := s.Platform.Faults()
	faults.Down = true
	s.Platform.SetFaults(faults)
	id := zlclaim.NewID(time.Now())
	a := ask(t, s, 0, id, false)
	if a.Outcome != zlquery.OutcomeNotRun || a.Refusal.Reason != zlquery.ReasonClaimStore || runsOf(s, id) != 0 {
		t.Fatalf("got %+v, %+v and %d runs", a, a.Refusal, runsOf(s, id))
	}
}

package zlload

import (
	"strings"
	"testing"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/io/request/zlfront"
	"zinnialock/io/standin/zlcorpus"
	"zinnialock/io/standin/zlfakeupstream"
)

const testShards = 3

func testChecker() *Checker {
	return &Checker{
		Shards: func(_ zlunit.Service, v zlunit.IndexVersion) int {
			if v == 1 || v == 2 {
				return testShards
			}
			return 0
		},
	}
}

func testRequest() *zlfront.Request {
	return &zlfront.Request{
		RequestID: "r",
		Service:   "s",
		Text:      "t",
	}
}

// correctAnswer returns a correct and complete answer to testRequest.
func correctAnswer() *zlfront.Answer {
	a := &zlfront.Answer{
		RequestID: "r",
		Outcome:   zlquery.OutcomeDone,
		Version:   1,
		Coverage:  1,
		Complete:  true,
	}
	for s := range zlunit.Shard(testShards) {
		a.Parts = append(a.Parts, zlfront.Part{
			Shard:    s,
			Coverage: 1,
			Rows:     zlcorpus.Rows("s", 1, s, "t"),
		})
	}
	return a
}

// refuse returns an edit that turns an answer into a refusal.
func refuse(outcome zlquery.Outcome, reason zlquery.Reason, ran zlfront.Ran) func(*zlfront.Answer) {
	return func(a *zlfront.Answer) {
		*a = zlfront.Answer{
			RequestID: "r",
			Outcome:   outcome,
			Refusal: &zlfront.Refusal{
				Reason: reason,
				Ran:    ran,
			},
		}
	}
}

func TestCheckAcceptsCorrectAnswers(t *testing.T) {
	correct := map[string]func(*zlfront.Answer){
		"complete": func(*zlfront.Answer) {},
		"partial": func(a *zlfront.Answer) {
			a.Parts[1].Coverage = 0.5
			a.Coverage = 0.5
			a.Complete = false
			a.Parts = a.Parts[:2]
			a.Missing = []zlquery.Missing{
				{
					Shard:  2,
					Reason: zlquery.ReasonDeadline,
				},
			}
		},
		"refused":              refuse(zlquery.OutcomeNotRun, zlquery.ReasonShed, zlfront.RanNo),
		"refused after it ran": refuse(zlquery.OutcomeDone, zlquery.ReasonClaimed, zlfront.RanYes),
	}
	for name, edit := range correct {
		a := correctAnswer()
		edit(a)
		if faults := testChecker().Check(testRequest(), a); len(faults) > 0 {
			t.Errorf("%s answer: got faults %v, want none", name, faults)
		}
	}
}

func TestCheckReportsEachFault(t *testing.T) {
	faulty := map[string]func(*zlfront.Answer){
		"answer is for request": func(a *zlfront.Answer) { a.RequestID = "other" },
		"unknown version":       func(a *zlfront.Answer) { a.Version = 9 },
		"appears twice":         func(a *zlfront.Answer) { a.Parts[1] = a.Parts[0] },
		"does not exist":        func(a *zlfront.Answer) { a.Parts[1].Shard = 40 },
		"rows that differ":      func(a *zlfront.Answer) { a.Parts[1].Rows = zlcorpus.Rows("s", 1, 1, "other") },
		"rows that differ from the index at version 1": func(a *zlfront.Answer) { a.Parts[2].Rows = zlcorpus.Rows("s", 2, 2, "t") },
		"reports coverage":  func(a *zlfront.Answer) { a.Coverage = 0.9 },
		"neither present":   func(a *zlfront.Answer) { a.Parts = a.Parts[:2] },
		"complete is false": func(a *zlfront.Answer) { a.Complete = false },
		"is reported missing, but": func(a *zlfront.Answer) {
			a.Missing = []zlquery.Missing{
				{
					Shard: 1,
				},
			}
		},
		"without a reason":        refuse(zlquery.OutcomeNotRun, "", zlfront.RanNo),
		`outcome "notRun" with`:   refuse(zlquery.OutcomeNotRun, zlquery.ReasonShed, zlfront.RanUnknown),
		`outcome "unknown" with`:  refuse(zlquery.OutcomeUnknown, zlquery.ReasonShed, zlfront.RanNo),
		`outcome "whatever" with`: refuse("whatever", zlquery.ReasonShed, ""),
		"with parts of an answer": func(a *zlfront.Answer) {
			parts := a.Parts
			refuse(zlquery.OutcomeDone, zlquery.ReasonClaimed, zlfront.RanYes)(a)
			a.Parts = parts
		},
		"answered with coverage 1": func(*zlfront.Answer) {},
	}
	for want, edit := range faulty {
		req := testRequest()
		if strings.HasPrefix(want, "answered with") {
			req.LeastCoverage = 1.5
		}
		a := correctAnswer()
		edit(a)
		if faults := strings.Join(testChecker().Check(req, a), "\n"); !strings.Contains(faults, want) {
			t.Errorf("got faults %q, want one that contains %q", faults, want)
		}
	}
}

// attemptWithRan returns an attempt whose reply is a refusal with the given ran
// value, or an answer if ran is empty.
func attemptWithRan(ran zlfront.Ran) Attempt {
	a := Attempt{
		Answer: &zlfront.Answer{},
	}
	if ran != "" {
		a.Answer.Refusal = &zlfront.Refusal{
			Ran: ran,
		}
	}
	return a
}

// runCheckCase holds a caller's attempts, the upstreams' run counts and the
// fault that CheckRuns must report; an empty want means no fault.
type runCheckCase struct {
	name     string
	want     string
	runs     RunCount
	attempts []Attempt
}

func newRunCheckCase(name, want string, runs RunCount, attempts ...Attempt) runCheckCase {
	return runCheckCase{
		name:     name,
		want:     want,
		runs:     runs,
		attempts: attempts,
	}
}

func TestCheckRunsComparesRepliesWithRuns(t *testing.T) {
	noReply := Attempt{}
	for _, c := range []runCheckCase{
		newRunCheckCase("ran once", "", RunCount{0: 1, 1: 1}, attemptWithRan("")),
		newRunCheckCase("ran twice", "shard 1 ran 2 times", RunCount{0: 1, 1: 2}, attemptWithRan("")),
		newRunCheckCase("refused, then ran", "", RunCount{0: 1}, attemptWithRan(zlfront.RanNo), attemptWithRan("")),
		newRunCheckCase("refused and ran", "refused as not run", RunCount{0: 1}, attemptWithRan(zlfront.RanNo)),
		newRunCheckCase("no reply, then refused, and ran", "refused as not run", RunCount{0: 1}, noReply, attemptWithRan(zlfront.RanNo)),
		newRunCheckCase("unknown and ran", "", RunCount{0: 1}, noReply, attemptWithRan(zlfront.RanUnknown)),
		newRunCheckCase("unknown and not run", "", nil, attemptWithRan(zlfront.RanUnknown)),
		newRunCheckCase("reported as run, but not run", "reported as run", nil, noReply, attemptWithRan(zlfront.RanYes)),
	} {
		e := &Entry{
			Request:       testRequest(),
			NonIdempotent: true,
			Attempts:      c.attempts,
		}
		got := strings.Join(e.CheckRuns(c.runs), "\n")
		if (c.want == "") != (got == "") || !strings.Contains(got, c.want) {
			t.Errorf("%s: got faults %q, want %q", c.name, got, c.want)
		}
	}
}

func TestCountFaultsReportsEachFault(t *testing.T) {
	left := time.Unix(1000, 0)
	known := func(v zlunit.IndexVersion) bool { return v == 1 }
	correct := zlfakeupstream.Counts{
		ColdPeak:     1,
		ColdLimit:    1,
		LeftAt:       left,
		LastReceived: left.Add(LeavingGrace),
		Versions: map[zlunit.IndexVersion]int64{
			1: 5,
		},
	}
	if got := countFaults(zlfakeupstream.Counts{}, correct, known); len(got) > 0 {
		t.Errorf("got faults %v in correct counts, want none", got)
	}
	for want, edit := range map[string]func(*zlfakeupstream.Counts){
		"2 sub-requests in flight while cold, limit 1":      func(c *zlfakeupstream.Counts) { c.ColdPeak = 2 },
		"3 connections opened beyond its connection limit":  func(c *zlfakeupstream.Counts) { c.RefusedConns = 3 },
		"request r ran twice":                               func(c *zlfakeupstream.Counts) { c.RepeatedRuns = []zlunit.RequestID{"r"} },
		"received sub-requests until 3.001s after it began": func(c *zlfakeupstream.Counts) { c.LastReceived = left.Add(LeavingGrace + time.Millisecond) },
		"served version 2, which the catalogu":              func(c *zlfakeupstream.Counts) { c.Versions = map[zlunit.IndexVersion]int64{2: 1} },
	} {
		now := correct
		edit(&now)
		if got := strings.Join(countFaults(zlfakeupstream.Counts{}, now, known), "\n"); !strings.Contains(got, want) {
			t.Errorf("got faults %q, want one that contains %q", got, want)
		}
	}
}

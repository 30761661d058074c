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

// rightAnswer is a correct whole answer to testRequest.
func rightAnswer() *zlfront.Answer {
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

func TestCheckerTakesRightAnswers(t *testing.T) {
	right := map[string]func(*zlfront.Answer){
		"whole": func(*zlfront.Answer) {},
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
		"refused": refuse(zlquery.OutcomeNotRun, zlquery.ReasonShed, zlfront.RanNo),
		"ran":     refuse(zlquery.OutcomeDone, zlquery.ReasonClaimed, zlfront.RanYes),
	}
	for name, edit := range right {
		a := rightAnswer()
		edit(a)
		if faults := testChecker().Check(testRequest(), a); len(faults) > 0 {
			t.Errorf("%s: %v", name, faults)
		}
	}
}

func TestCheckerFindsEachFault(t *testing.T) {
	wrong := map[string]func(*zlfront.Answer){
		"answer is for request":    func(a *zlfront.Answer) { a.RequestID = "other" },
		"unknown version":          func(a *zlfront.Answer) { a.Version = 9 },
		"stands twice":             func(a *zlfront.Answer) { a.Parts[1] = a.Parts[0] },
		"does not exist":           func(a *zlfront.Answer) { a.Parts[1].Shard = 40 },
		"not its own":              func(a *zlfront.Answer) { a.Parts[1].Rows = zlcorpus.Rows("s", 1, 1, "other") },
		"not its own at version 1": func(a *zlfront.Answer) { a.Parts[2].Rows = zlcorpus.Rows("s", 2, 2, "t") },
		"reports coverage":         func(a *zlfront.Answer) { a.Coverage = 0.9 },
		"neither stands there":     func(a *zlfront.Answer) { a.Parts = a.Parts[:2] },
		"complete is false":        func(a *zlfront.Answer) { a.Complete = false },
		"said to be missing": func(a *zlfront.Answer) {
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
	for want, edit := range wrong {
		req := testRequest()
		if strings.HasPrefix(want, "answered with") {
			req.LeastCoverage = 1.5
		}
		a := rightAnswer()
		edit(a)
		if faults := strings.Join(testChecker().Check(req, a), "\n"); !strings.Contains(faults, want) {
			t.Errorf("want a fault with %q, got %q", want, faults)
		}
	}
}

// told is an attempt that was told ran.
func told(ran zlfront.Ran) Attempt {
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

// judgeCase is what a caller was told, what ran, and the fault to find.
type judgeCase struct {
	name     string
	want     string
	runs     RunCount
	attempts []Attempt
}

func entry(name, want string, runs RunCount, attempts ...Attempt) judgeCase {
	return judgeCase{
		name:     name,
		want:     want,
		runs:     runs,
		attempts: attempts,
	}
}

func TestJudgeComparesWordsAndRuns(t *testing.T) {
	cut := Attempt{}
	for _, c := range []judgeCase{
		entry("ran once", "", RunCount{0: 1, 1: 1}, told("")),
		entry("ran twice", "shard 1 ran 2 times", RunCount{0: 1, 1: 2}, told("")),
		entry("refused, then ran", "", RunCount{0: 1}, told(zlfront.RanNo), told("")),
		entry("refused and ran", "refused as not run", RunCount{0: 1}, told(zlfront.RanNo)),
		entry("cut, then refused, and ran", "refused as not run", RunCount{0: 1}, cut, told(zlfront.RanNo)),
		entry("unknown and ran", "", RunCount{0: 1}, cut, told(zlfront.RanUnknown)),
		entry("unknown and not run", "", nil, told(zlfront.RanUnknown)),
		entry("said to have run", "said to have run", nil, cut, told(zlfront.RanYes)),
	} {
		e := &Entry{
			Request:  testRequest(),
			Once:     true,
			Attempts: c.attempts,
		}
		got := strings.Join(e.Judge(c.runs), "\n")
		if (c.want == "") != (got == "") || !strings.Contains(got, c.want) {
			t.Errorf("%s: want %q, got %q", c.name, c.want, got)
		}
	}
}

func TestCountsShowEachFault(t *testing.T) {
	left := time.Unix(1000, 0)
	known := func(v zlunit.IndexVersion) bool { return v == 1 }
	right := zlfakeupstream.Counts{
		ColdPeak:     1,
		ColdLimit:    1,
		LeftAt:       left,
		LastReceived: left.Add(LeavingGrace),
		Versions: map[zlunit.IndexVersion]int64{
			1: 5,
		},
	}
	if got := countFaults(zlfakeupstream.Counts{}, right, known); len(got) > 0 {
		t.Errorf("faults in right counts: %v", got)
	}
	for want, edit := range map[string]func(*zlfakeupstream.Counts){
		"2 in flight while cold, limit 1":      func(c *zlfakeupstream.Counts) { c.ColdPeak = 2 },
		"3 connections beyond its cap":         func(c *zlfakeupstream.Counts) { c.RefusedConns = 3 },
		"request r ran twice":                  func(c *zlfakeupstream.Counts) { c.Doubled = []zlunit.RequestID{"r"} },
		"received work 3.001s after it began":  func(c *zlfakeupstream.Counts) { c.LastReceived = left.Add(LeavingGrace + time.Millisecond) },
		"served version 2, which the catalogu": func(c *zlfakeupstream.Counts) { c.Versions = map[zlunit.IndexVersion]int64{2: 1} },
	} {
		now := right
		edit(&now)
		if got := strings.Join(countFaults(zlfakeupstream.Counts{}, now, known), "\n"); !strings.Contains(got, want) {
			t.Errorf("want %q, got %q", want, got)
		}
	}
}

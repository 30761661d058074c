package zlload

import (
	"fmt"
	"math"
	"slices"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/io/request/zlfront"
	"zinnialock/io/standin/zlcorpus"
)

// coverageError is how far a reported coverage may be off by rounding.
const coverageError = 1e-9

// Checker checks answers against the made-up index of the stand-ins.
type Checker struct {
	// Shards returns how many shards a version of a service has, or 0.
	Shards func(zlunit.Service, zlunit.IndexVersion) int
}

// Check lists what is wrong with an answer.
func (c *Checker) Check(req *zlfront.Request, a *zlfront.Answer) []string {
	s := &findings{
		prefix: fmt.Sprintf("request %s: ", req.RequestID),
	}
	if a.RequestID != req.RequestID {
		s.say("answer is for request %s", a.RequestID)
	}
	if a.Refusal != nil {
		s.checkRefusal(a)
		return s.faults
	}
	n := c.Shards(req.Service, a.Version)
	if n == 0 {
		s.say("unknown version %d", a.Version)
		return s.faults
	}
	s.checkCoverage(req, a, s.checkShards(req, a, n)/float64(n))
	return s.faults
}

// findings collects what is wrong with one answer.
type findings struct {
	prefix string
	faults []string
}

func (s *findings) say(format string, args ...any) {
	s.faults = append(s.faults, s.prefix+fmt.Sprintf(format, args...))
}

// checkShards checks that each of n shards stands once, with its own rows, or
// is said to be missing, and returns the sum of the parts' coverage.
func (s *findings) checkShards(req *zlfront.Request, a *zlfront.Answer, n int) float64 {
	seen := make([]bool, n)
	sum := 0.0
	for _, p := range a.Parts {
		if int(p.Shard) >= n || seen[p.Shard] {
			s.say("shard %d stands twice or does not exist", p.Shard)
			continue
		}
		seen[p.Shard] = true
		sum += float64(p.Coverage)
		if !slices.Equal(p.Rows, zlcorpus.Rows(req.Service, a.Version, p.Shard, req.Text)) {
			s.say("shard %d holds rows that are not its own at version %d", p.Shard, a.Version)
		}
	}
	for _, m := range a.Missing {
		if int(m.Shard) >= n || seen[m.Shard] {
			s.say("shard %d is said to be missing, but stands there or does not exist", m.Shard)
			continue
		}
		seen[m.Shard] = true
	}
	if slices.Contains(seen, false) {
		s.say("a shard neither stands there nor is said to be missing")
	}
	return sum
}

// checkCoverage compares what an answer reports with what it has.
func (s *findings) checkCoverage(req *zlfront.Request, a *zlfront.Answer, has float64) {
	if math.Abs(has-float64(a.Coverage)) > coverageError {
		s.say("reports coverage %v, has %v", a.Coverage, has)
	}
	if a.Complete != (has > 1-coverageError) {
		s.say("complete is %v at coverage %v", a.Complete, has)
	}
	if float64(a.Coverage) < float64(req.LeastCoverage)-coverageError {
		s.say("answered with coverage %v, wanted is %v", a.Coverage, req.LeastCoverage)
	}
}

// checkRefusal checks that the reason, the outcome and what is said of the run
// fit.
func (s *findings) checkRefusal(a *zlfront.Answer) {
	want := map[zlquery.Outcome]zlfront.Ran{
		zlquery.OutcomeDone:    zlfront.RanYes,
		zlquery.OutcomeNotRun:  zlfront.RanNo,
		zlquery.OutcomeUnknown: zlfront.RanUnknown,
	}[a.Outcome]
	switch {
	case a.Refusal.Reason == zlquery.ReasonNone:
		s.say("refused without a reason")
	case want == "" || a.Refusal.Ran != want:
		s.say("outcome %q with ran %q", a.Outcome, a.Refusal.Ran)
	case len(a.Parts) > 0:
		s.say("refused with parts of an answer")
	}
}

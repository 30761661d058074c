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
	var faults []string
	say := func(format string, args ...any) {
		faults = append(faults, fmt.Sprintf("request %s: ", req.RequestID)+fmt.Sprintf(format, args...))
	}
	if a.RequestID != req.RequestID {
		say("answer is for request %s", a.RequestID)
	}
	if a.Refusal != nil {
		if fault := checkRefusal(a); fault != "" {
			say("%s", fault)
		}
		return faults
	}
	n := c.Shards(req.Service, a.Version)
	if n == 0 {
		say("unknown version %d", a.Version)
		return faults
	}
	seen := make([]bool, n)
	sum := 0.0
	for _, p := range a.Parts {
		if int(p.Shard) >= n || seen[p.Shard] {
			say("shard %d stands twice or does not exist", p.Shard)
			continue
		}
		seen[p.Shard] = true
		sum += float64(p.Coverage)
		if !slices.Equal(p.Rows, zlcorpus.Rows(req.Service, a.Version, p.Shard, req.Text)) {
			say("shard %d holds rows that are not its own at version %d", p.Shard, a.Version)
		}
	}
	for _, m := range a.Missing {
		if int(m.Shard) >= n || seen[m.Shard] {
			say("shard %d is said to be missing, but stands there or does not exist", m.Shard)
			continue
		}
		seen[m.Shard] = true
	}
	if slices.Contains(seen, false) {
		say("a shard neither stands there nor is said to be missing")
	}
	if math.Abs(sum/float64(n)-float64(a.Coverage)) > coverageError {
		say("reports coverage %v, has %v", a.Coverage, sum/float64(n))
	}
	if a.Complete != (sum/float64(n) > 1-coverageError) {
		say("complete is %v at coverage %v", a.Complete, sum/float64(n))
	}
	if float64(a.Coverage) < float64(req.LeastCoverage)-coverageError {
		say("answered with coverage %v, wanted is %v", a.Coverage, req.LeastCoverage)
	}
	return faults
}

// checkRefusal returns what is wrong with a refusal, or nothing.
func checkRefusal(a *zlfront.Answer) string {
	want := map[zlquery.Outcome]zlfront.Ran{
		zlquery.OutcomeDone:    zlfront.RanYes,
		zlquery.OutcomeNotRun:  zlfront.RanNo,
		zlquery.OutcomeUnknown: zlfront.RanUnknown,
	}[a.Outcome]
	switch {
	case a.Refusal.Reason == zlquery.ReasonNone:
		return "refused without a reason"
	case want == "" || a.Refusal.Ran != want:
		return fmt.Sprintf("outcome %q with ran %q", a.Outcome, a.Refusal.Ran)
	case len(a.Parts) > 0:
		return "refused with parts of an answer"
	}
	return ""
}

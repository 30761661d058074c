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

// coverageTolerance is the rounding error allowed in a reported coverage.
const coverageTolerance = 1e-9

// Checker checks answers against the synthetic index of the stand-ins.
type Checker struct {
	// Shards returns how many shards a version of a service has, or 0.
	Shards func(zlunit.Service, zlunit.IndexVersion) int
}

// Check returns a description of each fault in an answer, nil if there is none.
func (c *Checker) Check(req *zlfront.Request, a *zlfront.Answer) []string {
	f := &findings{
		prefix: fmt.Sprintf("request %s: ", req.RequestID),
	}
	if a.RequestID != req.RequestID {
		f.addf("answer is for request %s", a.RequestID)
	}
	if a.Refusal != nil {
		f.checkRefusal(a)
		return f.faults
	}
	n := c.Shards(req.Service, a.Version)
	if n == 0 {
		f.addf("unknown version %d", a.Version)
		return f.faults
	}
	f.checkCoverage(req, a, f.checkShards(req, a, n)/float64(n))
	return f.faults
}

// findings collects the faults of one answer.
type findings struct {
	prefix string
	faults []string
}

func (f *findings) addf(format string, args ...any) {
	f.faults = append(f.faults, f.prefix+fmt.Sprintf(format, args...))
}

// checkShards checks that each of n shards is either present once with the right
// rows or reported missing. It returns the sum of the parts' coverage.
func (f *findings) checkShards(req *zlfront.Request, a *zlfront.Answer, n int) float64 {
	seen := make([]bool, n)
	sum := 0.0
	for _, p := range a.Parts {
		if int(p.Shard) >= n || seen[p.Shard] {
			f.addf("shard %d appears twice or does not exist", p.Shard)
			continue
		}
		seen[p.Shard] = true
		sum += float64(p.Coverage)
		if !slices.Equal(p.Rows, zlcorpus.Rows(req.Service, a.Version, p.Shard, req.Text)) {
			f.addf("shard %d has rows that differ from the index at version %d", p.Shard, a.Version)
		}
	}
	for _, m := range a.Missing {
		if int(m.Shard) >= n || seen[m.Shard] {
			f.addf("shard %d is reported missing, but is present or does not exist", m.Shard)
			continue
		}
		seen[m.Shard] = true
	}
	if slices.Contains(seen, false) {
		f.addf("a shard is neither present nor reported missing")
	}
	return sum
}

// checkCoverage compares the coverage that an answer reports with the actual one.
func (f *findings) checkCoverage(req *zlfront.Request, a *zlfront.Answer, actual float64) {
	if math.Abs(actual-float64(a.Coverage)) > coverageTolerance {
		f.addf("reports coverage %v, but has %v", a.Coverage, actual)
	}
	if a.Complete != (actual > 1-coverageTolerance) {
		f.addf("complete is %v at coverage %v", a.Complete, actual)
	}
	if float64(a.Coverage) < float64(req.LeastCoverage)-coverageTolerance {
		f.addf("answered with coverage %v, below the requested minimum %v", a.Coverage, req.LeastCoverage)
	}
}

// checkRefusal checks that a refusal has a reason and no parts, and that its
// outcome agrees with whether it reports the request as run.
func (f *findings) checkRefusal(a *zlfront.Answer) {
	want := map[zlquery.Outcome]zlfront.Ran{
		zlquery.OutcomeDone:    zlfront.RanYes,
		zlquery.OutcomeNotRun:  zlfront.RanNo,
		zlquery.OutcomeUnknown: zlfront.RanUnknown,
	}[a.Outcome]
	switch {
	case a.Refusal.Reason == zlquery.ReasonNone:
		f.addf("refused without a reason")
	case want == "" || a.Refusal.Ran != want:
		f.addf("outcome %q with ran %q", a.Outcome, a.Refusal.Ran)
	case len(a.Parts) > 0:
		f.addf("refused with parts of an answer")
	}
}

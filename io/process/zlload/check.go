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
	if a.Outcome != zlquery.OutcomeDone {
		if a.Refusal == nil || a.Refusal.Reason == zlquery.ReasonNone {
			say("refused without a reason")
		}
		return faults
	}
	n := c.Shards(req.Service, a.Version)
	if n == 0 {
		say("unknown version %d", a.Version)
		return faults
	}
	seen := map[zlunit.Shard]bool{}
	sum := 0.0
	for _, p := range a.Parts {
		if seen[p.Shard] || int(p.Shard) >= n {
			say("shard %d stands twice or does not exist", p.Shard)
		}
		seen[p.Shard] = true
		sum += float64(p.Coverage)
		if !slices.Equal(p.Rows, zlcorpus.Rows(req.Service, a.Version, p.Shard, req.Text)) {
			say("shard %d holds rows that are not its own", p.Shard)
		}
	}
	if math.Abs(sum/float64(n)-float64(a.Coverage)) > coverageError {
		say("reports coverage %v, has %v", a.Coverage, sum/float64(n))
	}
	if a.Complete != (sum/float64(n) > 1-coverageError) {
		say("complete is %v at coverage %v", a.Complete, sum/float64(n))
	}
	return faults
}

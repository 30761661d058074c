package zlload

import (
	"fmt"

	"zinnialock/core/process/zlunit"
	"zinnialock/io/request/zlfront"
)

// Entry is one request with all its attempts, as the caller observed them.
type Entry struct {
	Request       *zlfront.Request
	NonIdempotent bool
	Attempts      []Attempt
}

// RunCount is how often a request ran on each shard, summed over all upstreams.
type RunCount map[zlunit.Shard]int

// needsRunCheck reports whether the upstreams' run counts must be compared with
// the replies to this request.
func (e *Entry) needsRunCheck() bool {
	last := &e.Attempts[len(e.Attempts)-1]
	return e.NonIdempotent || last.ran() == zlfront.RanNo
}

// CheckRuns returns the contradictions between the upstreams' run counts and the
// replies that the caller got.
func (e *Entry) CheckRuns(runs RunCount) []string {
	var contradictions []string
	id := e.Request.RequestID
	if e.NonIdempotent {
		for shard, n := range runs {
			if n > 1 {
				contradictions = append(contradictions, fmt.Sprintf("request %s: shard %d ran %d times", id, shard, n))
			}
		}
	}
	last := &e.Attempts[len(e.Attempts)-1]
	if last.ran() == zlfront.RanNo && len(runs) > 0 {
		contradictions = append(contradictions, fmt.Sprintf("request %s: refused as not run, but ran on %d shards", id, len(runs)))
	}
	for i := range e.Attempts {
		a := &e.Attempts[i]
		if a.ran() == zlfront.RanYes && len(runs) == 0 {
			contradictions = append(contradictions, fmt.Sprintf("request %s: reported as run, but did not run", id))
			break
		}
	}
	return contradictions
}

// entriesToCheck returns the requests whose run counts must be checked.
func (t *tally) entriesToCheck() []*Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries
}

// checkRuns returns a description of each contradiction between the upstreams' run
// counts and the replies, for all requests to check.
func (t *tally) checkRuns(runs map[zlunit.RequestID]RunCount) []string {
	var contradictions []string
	for _, e := range t.entriesToCheck() {
		contradictions = append(contradictions, e.CheckRuns(runs[e.Request.RequestID])...)
	}
	return contradictions
}

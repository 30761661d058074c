package zlload

import (
	"fmt"

	"zinnialock/core/process/zlunit"
	"zinnialock/io/request/zlfront"
)

// Entry is all that a caller saw of one request.
type Entry struct {
	Request  *zlfront.Request
	Once     bool
	Attempts []Attempt
}

// RunCount is how often each shard of a request ran, over all upstreams.
type RunCount map[zlunit.Shard]int

// suspect tells that the upstreams must be asked whether the request ran.
func (e *Entry) suspect() bool {
	last := &e.Attempts[len(e.Attempts)-1]
	return e.Once || last.ran() == zlfront.RanNo
}

// Judge lists what the runs show against what the caller was told.
func (e *Entry) Judge(runs RunCount) []string {
	var faults []string
	id := e.Request.RequestID
	if e.Once {
		for shard, n := range runs {
			if n > 1 {
				faults = append(faults, fmt.Sprintf("request %s: shard %d ran %d times", id, shard, n))
			}
		}
	}
	last := &e.Attempts[len(e.Attempts)-1]
	if last.ran() == zlfront.RanNo && len(runs) > 0 {
		faults = append(faults, fmt.Sprintf("request %s: refused as not run, but ran on %d shards", id, len(runs)))
	}
	for i := range e.Attempts {
		a := &e.Attempts[i]
		if a.ran() == zlfront.RanYes && len(runs) == 0 {
			faults = append(faults, fmt.Sprintf("request %s: said to have run, but did not", id))
			break
		}
	}
	return faults
}

// suspects lists the requests to ask the upstreams about.
func (t *tally) suspects() []*Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger
}

// judge lists the faults of all suspects.
func (t *tally) judge(runs map[zlunit.RequestID]RunCount) []string {
	var faults []string
	for _, e := range t.suspects() {
		faults = append(faults, e.Judge(runs[e.Request.RequestID])...)
	}
	return faults
}

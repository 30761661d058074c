package zlrelay

import (
	"context"
	"time"
)

const (
	// startTime is how long the first table and replicas take from the start of a
	// process whose store answers: 20 to 95 ms (docs/PLATFORM.md).
	startTime = 100 * time.Millisecond
	// startShare is the part of a caller's time for which they are waited for.
	// Objectives are a sixth of it or more, so that half of the objective is left.
	startShare = 0.1
)

// awaitTable waits for the first table and replicas while this process starts. It
// answers the pattern of all VMs that start again at once: callers who are told to
// come back instead are served past their objective. It reports false if the caller left.
func (r *Relay) awaitTable(ctx context.Context, req *Request) bool {
	until := r.Start.Add(startTime)
	if !req.Deadline.IsZero() {
		share := time.Duration(startShare * float64(req.Deadline.Sub(req.Received)))
		if by := req.Received.Add(share); by.Before(until) {
			until = by
		}
	}
	wait := until.Sub(r.Timer.Now())
	if wait <= 0 {
		return true
	}
	alarm := r.Timer.After(wait)
	defer alarm.Stop()
	select {
	case <-r.Book.Readied():
	case <-alarm.C:
	case <-ctx.Done():
		return false
	}
	return true
}

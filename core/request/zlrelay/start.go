package zlrelay

import (
	"context"
	"time"
)

const (
	// startupTime limits how long after the start of the process a request waits
	// for the first table and replicas. If the store answers, they are there
	// after 20 to 95 ms (docs/PLATFORM.md).
	startupTime = 100 * time.Millisecond
	// maxStartupWaitShare limits that wait to a share of the caller's time.
	// Objectives are a sixth of that time or more, so at least 40 % of the
	// objective is left.
	maxStartupWaitShare = 0.1
)

// awaitTable waits for the first table and replicas while this process starts, and
// reports false if the caller disconnected. If all VMs restart at the same time, a
// caller that is refused instead is served only after its objective.
func (r *Relay) awaitTable(ctx context.Context, req *Request) bool {
	until := r.Start.Add(startupTime)
	if !req.Deadline.IsZero() {
		maxWait := time.Duration(maxStartupWaitShare * float64(req.Deadline.Sub(req.Received)))
		if by := req.Received.Add(maxWait); by.Before(until) {
			until = by
		}
	}
	wait := until.Sub(r.Timer.Now())
	if wait <= 0 {
		return true
	}
	startupTimer := r.Timer.After(wait)
	defer startupTimer.Stop()
	select {
	case <-r.Registry.ReadyChan():
	case <-startupTimer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

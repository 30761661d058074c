package zlrelay

import (
	"context"
	"time"

	"zinnialock/core/version/zlregistry"
)

const (
	// startupTime limits how long after the start of the process a request waits
	// for what it has to know. If the store answers, the table and replicas are there
	// after 20 to 95 ms (docs/PLATFORM.md).
	startupTime = 100 * time.Millisecond
	// maxStartupWaitShare limits that wait to a share of the caller's time.
	// Objectives are a sixth of that time or more, so at least 40 % of the
	// objective is left.
	maxStartupWaitShare = 0.1
)

// awaitStart waits, while this process starts, for the first table and replicas, for what
// the other VMs have in quarantine and for the orders of roll-outs, and reports false if the caller disconnected. If all VMs
// restart at the same time, a caller that is refused instead is served only after its
// objective.
func (r *Relay) awaitStart(ctx context.Context, req *Request) bool {
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
	awaited := []<-chan struct{}{r.Registry.ReadyChan()}
	if r.Quarantine != nil {
		awaited = append(awaited, r.Quarantine.Known())
	}
	if r.OrdersKnown != nil {
		awaited = append(awaited, r.OrdersKnown)
	}
	for _, known := range awaited {
		select {
		case <-known:
		case <-startupTimer.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// isStarting reports whether what awaitStart waits for is not known yet.
func (r *Relay) isStarting(view *zlregistry.View) bool {
	return !view.Ready() || r.Quarantine != nil && !r.Quarantine.IsKnown() || !r.areOrdersKnown()
}

func (r *Relay) areOrdersKnown() bool {
	if r.OrdersKnown == nil {
		return true
	}
	select {
	case <-r.OrdersKnown:
		return true
	default:
		return false
	}
}

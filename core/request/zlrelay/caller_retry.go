package zlrelay

import (
	"time"

	"zinnialock/core/version/zltable"
)

const (
	// usualWaitDecay is the share of the difference by which the usual wait
	// moves towards a shorter one, so that a single long wait is forgotten.
	usualWaitDecay = 0.002
	// retryWaitShare is the share of the usual wait below which a request counts
	// as a retry: the first attempt has used a part of the caller's time.
	retryWaitShare = 0.96
)

// isLikelyRetry reports whether a request is probably a caller's second attempt:
// it has less time left than callers of such routes usually have. It also updates
// the usual wait.
func (r *Relay) isLikelyRetry(route *zltable.Route, req *Request) bool {
	if req.Deadline.IsZero() {
		return false
	}
	wait := req.Deadline.Sub(req.Received)
	key := keyOf(route)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.usualWaits == nil {
		r.usualWaits = map[profileKey]time.Duration{}
	}
	usual := r.usualWaits[key]
	if wait >= usual {
		r.usualWaits[key] = wait
		return false
	}
	r.usualWaits[key] -= time.Duration(usualWaitDecay * float64(usual-wait))
	return float64(wait) < retryWaitShare*float64(usual)
}

package zlrelay

import (
	"time"

	"zinnialock/core/version/zltable"
)

const (
	// usualStep is by what share of itself the usual wait follows a shorter
	// one, so that it forgets a caller with an unusual one.
	usualStep = 0.002
	// returningShare is the part of the usual wait below which a caller was
	// here before: it has used a part of its time.
	returningShare = 0.96
)

// isReturning reports whether a request is likely a caller's second attempt,
// since less of the time is left that callers of the route usually have.
func (r *Relay) isReturning(route *zltable.Route, req *Request) bool {
	if req.Deadline.IsZero() {
		return false
	}
	wait := req.Deadline.Sub(req.Received)
	key := keyOf(route)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.usual == nil {
		r.usual = map[profileKey]time.Duration{}
	}
	usual := r.usual[key]
	if wait >= usual {
		r.usual[key] = wait
		return false
	}
	r.usual[key] -= time.Duration(usualStep * float64(usual-wait))
	return float64(wait) < returningShare*float64(usual)
}

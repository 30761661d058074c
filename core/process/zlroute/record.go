package zlroute

import (
	"sync"
	"time"

	"zinnialock/core/request/zlquery"
)

const (
	// smoothing is the weight of a new service time in the running mean.
	smoothing = 0.1
	// idle is the time without news after which the mean halves, and halves
	// again each time it passes; so a replica that was slow is tried again.
	idle = time.Second
	// leastCost keeps replicas without a history comparable.
	leastCost = float64(500 * time.Microsecond)
	// ejectAfter is how many failures in a row eject a replica.
	ejectAfter = 3
	// ejectFirst and ejectMost bound the time of an ejection, which doubles
	// with each failed probe.
	ejectFirst = 250 * time.Millisecond
	ejectMost  = 8 * time.Second
	// avoidShed, avoidCold and avoidDraining are how long a replica that
	// refused without a hint is avoided.
	avoidShed     = 50 * time.Millisecond
	avoidCold     = 250 * time.Millisecond
	avoidDraining = 2 * time.Second
	// avoidMost bounds what a hint may ask for.
	avoidMost = 10 * time.Second
)

// Record is what is known of one upstream. Its own lock covers all its state.
type Record struct {
	mu       sync.Mutex
	inFlight int
	// mean is the running mean of the service time, in nanoseconds.
	mean float64
	last time.Time
	// failures counts failures in a row.
	failures int
	// avoid is the time until which the upstream gets no ordinary work.
	avoid time.Time
	// probing tells that a probe after an ejection is out.
	probing bool
}

// standing is what a record or a peer allows at one moment.
type standing int

const (
	standingGood standing = iota
	// standingProbe allows one sub-request, to see whether it recovered.
	standingProbe
	standingAvoid
)

func (r *Record) standing(now time.Time) standing {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case now.Before(r.avoid):
		return standingAvoid
	case r.failures < ejectAfter:
		return standingGood
	case r.probing:
		return standingAvoid
	default:
		return standingProbe
	}
}

// cost is what one more sub-request is expected to take.
func (r *Record) cost(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	mean := r.mean
	for age := now.Sub(r.last); age >= idle && mean > leastCost; age -= idle {
		mean /= 2
	}
	return (float64(r.inFlight) + 1) * (mean + leastCost)
}

// until is the time to which the upstream is avoided.
func (r *Record) until() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.avoid
}

// claimProbe reports whether the caller may send the probe.
func (r *Record) claimProbe() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.probing {
		return false
	}
	r.probing = true
	return true
}

// Sent notes a sub-request.
func (r *Record) Sent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight++
}

// Done notes that a sub-request succeeded after d.
func (r *Record) Done(now time.Time, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.end()
	r.failures = 0
	r.observe(now, d)
}

// Cancelled notes that a sub-request was given up after d; late tells that it
// was since the upstream took too long.
func (r *Record) Cancelled(now time.Time, d time.Duration, late bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.end()
	if float64(d) > r.mean {
		r.observe(now, d)
	}
	if late {
		r.fail(now)
	}
}

// Failed notes that a sub-request ended without a usable reply.
func (r *Record) Failed(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.end()
	r.fail(now)
}

// Refused notes a refusal; hint is when to come back, or 0.
func (r *Record) Refused(now time.Time, reason zlquery.Reason, hint time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.end()
	wait := time.Duration(0)
	switch reason {
	case zlquery.ReasonShed, zlquery.ReasonQueueFull, zlquery.ReasonOverload:
		wait = avoidShed
	case zlquery.ReasonColdBudget:
		wait = avoidCold
	case zlquery.ReasonDraining, zlquery.ReasonMarkedOut, zlquery.ReasonStopping:
		wait = avoidDraining
	case zlquery.ReasonDialFailed:
		r.fail(now)
		return
	default:
	}
	if hint > 0 {
		wait = min(hint, avoidMost)
	}
	r.avoidFor(now, wait)
}

func (r *Record) end() {
	r.inFlight--
	r.probing = false
}

func (r *Record) observe(now time.Time, d time.Duration) {
	r.mean += smoothing * (float64(d) - r.mean)
	r.last = now
}

func (r *Record) fail(now time.Time) {
	r.failures++
	if r.failures < ejectAfter {
		return
	}
	doublings := min(r.failures-ejectAfter, 5)
	r.avoidFor(now, min(ejectFirst<<doublings, ejectMost))
}

func (r *Record) avoidFor(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(r.avoid) {
		r.avoid = until
	}
}

package zlroute

import (
	"math"
	"sync"
	"sync/atomic"
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
	// spareFor is how long a replica that refused a hedge gets none.
	spareFor = 500 * time.Millisecond
	// avoidMost bounds what a hint may ask for.
	avoidMost = 10 * time.Second
)

// Record is what is known of one upstream. What the ordinary path reads is
// atomic; its own lock covers the rest.
type Record struct {
	inFlight atomic.Int64
	// mean holds the running mean of the service time in nanoseconds, as the
	// bits of a float64.
	mean atomic.Uint64
	// last is about when it was last observed, in ticks.
	last atomic.Int64
	// spared is the time in ticks until which it gets no hedges.
	spared atomic.Int64
	// troubled tells that failures or avoid below are set.
	troubled atomic.Bool

	mu sync.Mutex
	// failures counts failures in a row.
	failures int
	// ejected is when the latest ejection began. What was sent before it and
	// ends badly after it is of the same trouble and tells nothing new.
	ejected time.Time
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
	if !r.troubled.Load() {
		return standingGood
	}
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

// cost is what one more sub-request is expected to take, at a time in ticks.
func (r *Record) cost(at int64) float64 {
	mean := math.Float64frombits(r.mean.Load())
	for age := at - r.last.Load(); age >= int64(idle) && mean > leastCost; age -= int64(idle) {
		mean /= 2
	}
	return (float64(r.inFlight.Load()) + 1) * (mean + leastCost)
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
	r.inFlight.Add(1)
}

// Done notes that a sub-request succeeded after d.
func (r *Record) Done(now time.Time, d time.Duration) {
	r.inFlight.Add(-1)
	r.observe(now, d)
	if !r.troubled.Load() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.probing = false
	r.failures = 0
	r.troubled.Store(now.Before(r.avoid))
}

// Cancelled notes that a sub-request was given up after d; late tells that it
// was since the upstream took too long.
func (r *Record) Cancelled(now time.Time, d time.Duration, late bool) {
	r.inFlight.Add(-1)
	if float64(d) > math.Float64frombits(r.mean.Load()) {
		r.observe(now, d)
	}
	if !late && !r.troubled.Load() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stale(now, d) {
		return
	}
	r.probing = false
	if late {
		r.fail(now)
	}
}

// Failed notes that a sub-request ended after d without a usable reply.
func (r *Record) Failed(now time.Time, d time.Duration) {
	r.inFlight.Add(-1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stale(now, d) {
		return
	}
	r.probing = false
	r.fail(now)
}

// Refused notes a refusal after d; hint is when to come back, or 0.
func (r *Record) Refused(now time.Time, d time.Duration, reason zlquery.Reason, hint time.Duration) {
	r.inFlight.Add(-1)
	r.mu.Lock()
	defer r.mu.Unlock()
	stale := r.stale(now, d)
	r.probing = r.probing && stale
	wait := time.Duration(0)
	switch reason {
	case zlquery.ReasonShed, zlquery.ReasonQueueFull, zlquery.ReasonOverload:
		wait = avoidShed
	case zlquery.ReasonColdBudget:
		wait = avoidCold
	case zlquery.ReasonDraining, zlquery.ReasonMarkedOut, zlquery.ReasonStopping:
		wait = avoidDraining
	case zlquery.ReasonDialFailed:
		if !stale {
			r.fail(now)
		}
		return
	default:
	}
	if hint > 0 {
		wait = min(hint, avoidMost)
	}
	r.avoidFor(now, wait)
}

// RefusedHedge notes that a hedge was refused: the upstream has nothing to spare
// for work that is not needed, which tells nothing against other work.
func (r *Record) RefusedHedge(now time.Time) {
	r.inFlight.Add(-1)
	r.spared.Store(ticks(now.Add(spareFor)))
}

func (r *Record) observe(now time.Time, d time.Duration) {
	if at := ticks(now); at-r.last.Load() > int64(idle)/100 {
		r.last.Store(at)
	}
	for {
		old := r.mean.Load()
		mean := math.Float64frombits(old)
		if old == 0 {
			mean = float64(d)
		}
		mean += smoothing * (float64(d) - mean)
		if r.mean.CompareAndSwap(old, math.Float64bits(mean)) {
			return
		}
	}
}

// stale reports whether what took d until now was sent before the latest
// ejection, if the replica has not answered since.
func (r *Record) stale(now time.Time, d time.Duration) bool {
	return r.failures >= ejectAfter && now.Add(-d).Before(r.ejected)
}

func (r *Record) fail(now time.Time) {
	r.failures++
	r.troubled.Store(true)
	if r.failures < ejectAfter {
		return
	}
	r.ejected = now
	doublings := min(r.failures-ejectAfter, 5)
	r.avoidFor(now, min(ejectFirst<<doublings, ejectMost))
}

func (r *Record) avoidFor(now time.Time, d time.Duration) {
	if until := now.Add(d); d > 0 && until.After(r.avoid) {
		r.avoid = until
		r.troubled.Store(true)
	}
}

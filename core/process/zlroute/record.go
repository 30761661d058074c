package zlroute

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"zinnialock/core/request/zlquery"
)

const (
	// sampleWeight is the weight of a new service time in the moving average.
	sampleWeight = 0.1
	// decayHalfLife is the time without a sample after which the moving
	// average halves, again and again, so that a replica that was slow is
	// tried again.
	decayHalfLife = time.Second
	// baseCost is added to each service time, so that replicas without samples
	// are compared by their requests in flight.
	baseCost = float64(500 * time.Microsecond)
	// ejectAfter is how many failures in a row eject a replica.
	ejectAfter = 3
	// minEjection and maxEjection bound the time of an ejection, which doubles
	// with each failed probe.
	minEjection = 250 * time.Millisecond
	maxEjection = 8 * time.Second
	// avoidShed, avoidCold and avoidDraining are how long a replica is avoided
	// that refused without a retry-after.
	avoidShed     = 50 * time.Millisecond
	avoidCold     = 250 * time.Millisecond
	avoidDraining = 2 * time.Second
	// noHedgesDuration is how long a replica that refused a hedge gets no
	// other.
	noHedgesDuration = 500 * time.Millisecond
	// maxAvoid bounds the retry-after of a refusal.
	maxAvoid = 10 * time.Second
)

// Record is what the router knows of one upstream. It is safe for concurrent
// use: the fields that every sub-request needs are atomic, and mu guards the
// rest.
type Record struct {
	// inFlight counts the sub-requests sent from this process.
	inFlight atomic.Int64
	// meanService is the moving average of the service time in nanoseconds, as
	// the bits of a float64.
	meanService atomic.Uint64
	// lastSample is the time of the latest sample in ticks, to about 10 ms.
	lastSample atomic.Int64
	// noHedgesUntil is the time in ticks until which the upstream gets no
	// hedges.
	noHedgesUntil atomic.Int64
	// restricted: consecutiveFailures or avoidUntil is set, so that mu must be
	// taken to see whether the upstream is eligible.
	restricted atomic.Bool

	mu sync.Mutex
	// consecutiveFailures counts the failures since the last success.
	consecutiveFailures int
	// ejectedAt is when the latest ejection began. A sub-request that was sent
	// before it and fails after it has the same cause, so it does not lengthen
	// the ejection.
	ejectedAt time.Time
	// avoidUntil is the time until which the upstream gets no work while
	// others are eligible.
	avoidUntil time.Time
	// probing: a probe after an ejection is under way.
	probing bool
}

// eligibility is what an upstream or a daemon may be sent at one moment.
// Larger values are stricter.
type eligibility int

const (
	eligible eligibility = iota
	// probeOnly allows one sub-request, which shows whether it has recovered.
	probeOnly
	avoided
)

func (r *Record) eligibility(now time.Time) eligibility {
	if !r.restricted.Load() {
		return eligible
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case now.Before(r.avoidUntil):
		return avoided
	case r.consecutiveFailures < ejectAfter:
		return eligible
	case r.probing:
		return avoided
	default:
		return probeOnly
	}
}

// cost is the service time that one more sub-request is expected to cost, in
// nanoseconds, at a time in ticks.
func (r *Record) cost(at int64) float64 {
	mean := math.Float64frombits(r.meanService.Load())
	for age := at - r.lastSample.Load(); age >= int64(decayHalfLife) && mean > baseCost; age -= int64(decayHalfLife) {
		mean /= 2
	}
	return (float64(r.inFlight.Load()) + 1) * (mean + baseCost)
}

// avoidedUntil is the time until which the upstream is avoided.
func (r *Record) avoidedUntil() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.avoidUntil
}

// claimProbe reports whether the caller may send the probe; there is one at a
// time.
func (r *Record) claimProbe() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.probing {
		return false
	}
	r.probing = true
	return true
}

// Sent notes that a sub-request is sent. One of the methods below must be
// called at its end.
func (r *Record) Sent() {
	r.inFlight.Add(1)
}

// Done notes that a sub-request succeeded after d.
func (r *Record) Done(now time.Time, d time.Duration) {
	r.inFlight.Add(-1)
	r.observe(now, d)
	if !r.restricted.Load() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.probing = false
	r.consecutiveFailures = 0
	r.restricted.Store(now.Before(r.avoidUntil))
}

// Cancelled notes that a sub-request was given up after d. Late means that the
// upstream took too long, which counts as a failure.
func (r *Record) Cancelled(now time.Time, d time.Duration, late bool) {
	r.inFlight.Add(-1)
	if float64(d) > math.Float64frombits(r.meanService.Load()) {
		r.observe(now, d)
	}
	if !late && !r.restricted.Load() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sentBeforeEjection(now, d) {
		return
	}
	r.probing = false
	if late {
		r.countFailure(now)
	}
}

// Failed notes that a sub-request ended after d without a usable reply.
func (r *Record) Failed(now time.Time, d time.Duration) {
	r.inFlight.Add(-1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sentBeforeEjection(now, d) {
		return
	}
	r.probing = false
	r.countFailure(now)
}

// Refused notes that the upstream refused a sub-request after d. retryAfter is after
// what time it may be sent something again, or 0 if it gave none.
func (r *Record) Refused(now time.Time, d time.Duration, reason zlquery.Reason, retryAfter time.Duration) {
	r.inFlight.Add(-1)
	r.mu.Lock()
	defer r.mu.Unlock()
	outdated := r.sentBeforeEjection(now, d)
	r.probing = r.probing && outdated
	wait := time.Duration(0)
	switch reason {
	case zlquery.ReasonShed, zlquery.ReasonQueueFull, zlquery.ReasonOverload:
		wait = avoidShed
	case zlquery.ReasonColdBudget:
		wait = avoidCold
	case zlquery.ReasonDraining, zlquery.ReasonMarkedOut, zlquery.ReasonStopping:
		wait = avoidDraining
	case zlquery.ReasonDialFailed:
		if !outdated {
			r.countFailure(now)
		}
		return
	default:
	}
	if retryAfter > 0 {
		wait = min(retryAfter, maxAvoid)
	}
	r.avoidFor(now, wait)
}

// RefusedHedge notes that a hedge was refused: the upstream has no capacity
// for optional work. This does not count against it for other work.
func (r *Record) RefusedHedge(now time.Time) {
	r.inFlight.Add(-1)
	r.noHedgesUntil.Store(ticks(now.Add(noHedgesDuration)))
}

// observe takes in a service time.
func (r *Record) observe(now time.Time, d time.Duration) {
	if at := ticks(now); at-r.lastSample.Load() > int64(decayHalfLife)/100 {
		r.lastSample.Store(at)
	}
	for {
		old := r.meanService.Load()
		mean := math.Float64frombits(old)
		if old == 0 {
			mean = float64(d)
		}
		mean += sampleWeight * (float64(d) - mean)
		if r.meanService.CompareAndSwap(old, math.Float64bits(mean)) {
			return
		}
	}
}

// sentBeforeEjection reports whether a sub-request that took d until now was
// sent before the latest ejection, while the upstream has not succeeded since.
// The caller holds mu.
func (r *Record) sentBeforeEjection(now time.Time, d time.Duration) bool {
	return r.consecutiveFailures >= ejectAfter && now.Add(-d).Before(r.ejectedAt)
}

// countFailure counts a failure and ejects the upstream when there are enough. The
// caller holds mu.
func (r *Record) countFailure(now time.Time) {
	r.consecutiveFailures++
	r.restricted.Store(true)
	if r.consecutiveFailures < ejectAfter {
		return
	}
	r.ejectedAt = now
	doublings := min(r.consecutiveFailures-ejectAfter, 5)
	r.avoidFor(now, min(minEjection<<doublings, maxEjection))
}

// avoidFor makes the upstream avoided for d, or longer if it already is. The
// caller holds mu.
func (r *Record) avoidFor(now time.Time, d time.Duration) {
	if until := now.Add(d); d > 0 && until.After(r.avoidUntil) {
		r.avoidUntil = until
		r.restricted.Store(true)
	}
}

package zlbalancer

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlrollout"
)

const (
	// sampleWeight is the weight of a new sample in the moving averages for
	// each sampleInterval since the last sample: the rarer the samples, the
	// more each one weighs.
	sampleWeight   = 0.2
	sampleInterval = 100 * time.Millisecond
	// decayHalfLife is the time without a sample after which the excess of the
	// averages over their neutral values halves, so that a replica that was
	// avoided is tried again.
	decayHalfLife = 2 * time.Second
	// maxLatencyRatio caps the latency ratio of one sample, so that a pause
	// does not make the replica look slow for long.
	maxLatencyRatio = 6
	// limitDecreaseFactor and limitIncrease adapt the in-flight limit of a
	// replica: it is multiplied by the factor after a refusal or a late
	// answer, and grows by about limitIncrease in each round of answers in
	// time.
	limitDecreaseFactor = 0.7
	limitIncrease       = 1.0
	// refusalWeight is what a refusal counts, relative to a failure: it costs
	// a second send but is known at once.
	refusalWeight = 0.5
	// movedDuration is how long a replica is skipped after its address
	// answered for another replica. A replica that restarts under the same
	// name is a new incarnation with a new record, so this only bounds the
	// effect of a wrong answer.
	movedDuration = 30 * time.Second
	// recentFailureWindow is how long a failure counts in full: the time
	// within which a restarting replica is recognised as gone.
	recentFailureWindow = 300 * time.Millisecond
)

// Record holds what this process observed of one incarnation of a replica. It
// is safe for concurrent use.
type Record struct {
	// restriction is shared by all records of the incarnation.
	restriction *restriction

	mu       sync.Mutex
	inFlight map[*Flight]struct{}
	// latencyRatio is the moving average of the time taken over the time
	// expected; 1 is usual.
	latencyRatio float64
	// failureRate is the moving average of the share of failed requests.
	failureRate float64
	// lastSample is when the averages were last updated.
	lastSample time.Time
	// lastFailure is when a request last failed.
	lastFailure time.Time
	// avoidUntil is the end of the time for which the replica asked not to be
	// sent requests.
	avoidUntil time.Time
	// movedUntil is the end of the time for which the address is taken to
	// belong to another replica.
	movedUntil time.Time
	// firstOverdue is the first overdue request. The replica counts as paused
	// until that request ends or any other is answered.
	firstOverdue *Flight
	// inFlightLimit is how many requests of this process the replica handles
	// without refusing any or answering late; 0 means that there is no limit
	// yet.
	inFlightLimit float64
	// reports are the health reports of other VMs, at most one of each VM.
	reports []report
	// limitLoweredAt is when inFlightLimit was last lowered.
	limitLoweredAt time.Time
	cold           coldLimiter
}

// Flight is one request on its way to a replica; Place makes it, and Done must
// be called once at its end. Its methods are safe for concurrent use.
type Flight struct {
	// Notify, if set, is called when another request to the same replica is
	// overdue. It must not block.
	Notify func()

	record  *Record
	waiters *waitQueue
	site    *siteHealth
	// target is the time within which the answer is useful; 0 means any time.
	target time.Duration
	// isFair is set in a deployment with organisations.
	isFair bool
	// places is how many the replica had for this process when the request was placed.
	places int
	// leavingGrace is that of Settings; random and restricted are those of Placer.
	leavingGrace time.Duration
	random       func() float64
	restricted   *atomic.Bool
	// sentAt is when the first byte went out; zero before that.
	sentAt time.Time
	// draw is that of PlacementRequest, and vms the VM count.
	draw float64
	vms  int
	// rateCounted is set if the request is counted in the replica's rate limit.
	rateCounted bool
	// split counts the request by the replica's build until it ends; nil if the service is
	// not split.
	split *zlrollout.Split
	build zlunit.Build
	// dataCentre is that of the replica; remote is set if it is not the one of this VM.
	dataCentre zlunit.DataCentre
	remote     *Placer
	// spillover is nil while traffic between data centres has a fixed cost.
	spillover     *spillover
	responseBytes int
}

// Outcome is how a request to a replica ended.
type Outcome int

// The outcomes of a flight.
const (
	// OutcomeServed: a complete answer.
	OutcomeServed Outcome = iota
	// OutcomeFailed: a failure or a broken connection.
	OutcomeFailed
	// OutcomeRefused: the replica refused the request, which provably did not
	// run.
	OutcomeRefused
	// OutcomeMoved: another replica answered at the address.
	OutcomeMoved
	// OutcomeUnreached: no connection could be made.
	OutcomeUnreached
	// OutcomeGivenUp: the sender stopped waiting.
	OutcomeGivenUp
)

// decay halves the distance of v from neutral once for each decayHalfLife since
// the last sample.
func (r *Record) decay(v float64, now time.Time, neutral float64) float64 {
	if r.lastSample.IsZero() {
		return neutral
	}
	for age := now.Sub(r.lastSample); age >= decayHalfLife && v-neutral > 0.01; age -= decayHalfLife {
		v = neutral + (v-neutral)/2
	}
	return v
}

// replicaState is a snapshot of a Record from which Place computes the cost of
// one more request.
type replicaState struct {
	inFlight int
	// inFlightLimit is the most requests in flight from this process; 0 means
	// no limit.
	inFlightLimit float64
	latencyRatio  float64
	failureRate   float64
	// failed: a request failed within recentFailureWindow.
	failed   bool
	overdue  bool
	away     bool
	moved    bool
	reported bool
	leaving  bool
}

func (r *Record) snapshot(now time.Time) replicaState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return replicaState{
		inFlight:      len(r.inFlight),
		inFlightLimit: r.inFlightLimit,
		latencyRatio:  r.decay(r.latencyRatio, now, 1),
		failureRate:   r.decay(r.failureRate, now, 0),
		failed:        r.restriction.isEnded(now) || !r.lastFailure.IsZero() && now.Sub(r.lastFailure) < recentFailureWindow,
		overdue:       r.firstOverdue != nil,
		away:          now.Before(r.avoidUntil),
		moved:         now.Before(r.movedUntil),
		reported:      r.isReported(now),
		leaving:       r.restriction.isLeaving(),
	}
}

// MarkSent notes when the first byte of the request goes out.
func (f *Flight) MarkSent(now time.Time) {
	f.record.mu.Lock()
	defer f.record.mu.Unlock()
	f.sentAt = now
	if f.remote != nil {
		f.remote.remoteRequests.Add(1)
	}
}

// SentAt returns when the first byte of the request went out; zero if it did not.
func (f *Flight) SentAt() time.Time {
	f.record.mu.Lock()
	defer f.record.mu.Unlock()
	return f.sentAt
}

// MarkOverdue notes that the request waits longer than it should. The first
// overdue request at a replica marks the replica as paused and calls Notify of
// the other requests there; further ones do nothing.
func (f *Flight) MarkOverdue(now time.Time) {
	r := f.record
	r.mu.Lock()
	if _, inFlight := r.inFlight[f]; r.firstOverdue != nil || !inFlight {
		r.mu.Unlock()
		return
	}
	r.firstOverdue = f
	f.site.recordFailure(now)
	callbacks := make([]func(), 0, len(r.inFlight))
	for other := range r.inFlight {
		if other != f && other.Notify != nil {
			callbacks = append(callbacks, other.Notify)
		}
	}
	r.mu.Unlock()
	for _, notify := range callbacks {
		notify()
	}
}

// ReplicaOverdue reports whether the replica counts as paused since some
// request there is overdue.
func (f *Flight) ReplicaOverdue() bool {
	f.record.mu.Lock()
	defer f.record.mu.Unlock()
	return f.record.firstOverdue != nil
}

// Done ends the request. Expected is what such a request usually takes, or 0
// if that is not known; retryAfter is how long the replica asked not to be sent
// requests.
func (f *Flight) Done(now time.Time, outcome Outcome, expected, retryAfter time.Duration) {
	r := f.record
	r.mu.Lock()
	inFlight := len(r.inFlight)
	delete(r.inFlight, f)
	if r.firstOverdue == f {
		r.firstOverdue = nil
		if outcome != OutcomeServed {
			r.lastFailure = now
		}
	}
	f.observe(now, outcome, inFlight, expected, retryAfter)
	r.mu.Unlock()
	f.spillover.observe(now, f, outcome)
	if f.rateCounted && f.sentAt.IsZero() {
		r.restriction.returnRate()
	}
	if f.split != nil {
		f.split.Ended(f.build)
	}
	if f.isFair && outcome == OutcomeRefused {
		f.waiters.markShort(now)
	}
	state := r.snapshot(now)
	f.waiters.placeFreed(now, state.highestLevel(f.places))
}

// observe takes in how the request ended, with inFlight requests at the replica. The caller
// holds the lock of the record.
func (f *Flight) observe(now time.Time, outcome Outcome, inFlight int, expected, retryAfter time.Duration) {
	r := f.record
	switch outcome {
	case OutcomeServed:
		f.site.recordAnswer()
		r.firstOverdue = nil
		r.adaptLimit(now, f, inFlight)
		r.observe(now, 0, f.ratio(now, expected))
	case OutcomeFailed, OutcomeUnreached:
		if outcome == OutcomeUnreached {
			f.site.recordFailure(now)
		}
		r.lastFailure = now
		r.observe(now, 1, 0)
	case OutcomeMoved:
		r.movedUntil = now.Add(movedDuration)
	case OutcomeRefused:
		r.observe(now, refusalWeight, 0)
		r.lowerLimit(now, f, inFlight)
		if until := now.Add(max(retryAfter, recentFailureWindow/3)); until.After(r.avoidUntil) {
			r.avoidUntil = until
		}
	case OutcomeGivenUp:
		r.adaptLimit(now, f, inFlight)
		if ratio := f.ratio(now, expected); ratio > 2 {
			r.observe(now, 0, ratio)
		}
	}
}

// ratio is the time taken over the time expected, or 0 if either is not known.
func (f *Flight) ratio(now time.Time, expected time.Duration) float64 {
	if expected <= 0 || f.sentAt.IsZero() {
		return 0
	}
	return float64(now.Sub(f.sentAt)) / float64(expected)
}

// adaptLimit raises the in-flight limit after an answer in time and lowers it
// after a late one. Requests that were in flight together lower it once. The
// caller holds mu.
func (r *Record) adaptLimit(now time.Time, f *Flight, inFlight int) {
	if f.sentAt.IsZero() || f.target <= 0 {
		return
	}
	if now.Sub(f.sentAt) > f.target {
		r.lowerLimit(now, f, inFlight)
		return
	}
	if r.inFlightLimit > 0 {
		r.inFlightLimit += limitIncrease / r.inFlightLimit
	}
}

// lowerLimit lowers the in-flight limit, unless it was lowered after f was
// sent. The caller holds mu.
func (r *Record) lowerLimit(now time.Time, f *Flight, inFlight int) {
	if f.sentAt.Before(r.limitLoweredAt) {
		return
	}
	r.limitLoweredAt = now
	limit := float64(inFlight)
	if r.inFlightLimit > 0 {
		limit = min(limit, r.inFlightLimit)
	}
	r.inFlightLimit = max(limit*limitDecreaseFactor, 1)
}

// observe adds a sample to the failure rate, and to the latency ratio unless
// ratio is 0. The caller holds mu.
func (r *Record) observe(now time.Time, fault, ratio float64) {
	weight := r.weightAt(now)
	r.failureRate = r.decay(r.failureRate, now, 0)
	r.failureRate += weight * (fault - r.failureRate)
	r.latencyRatio = r.decay(r.latencyRatio, now, 1)
	if ratio > 0 {
		r.latencyRatio += weight * (min(ratio, maxLatencyRatio) - r.latencyRatio)
	}
	r.lastSample = now
}

// weightAt is the weight of a sample taken at now.
func (r *Record) weightAt(now time.Time) float64 {
	if r.lastSample.IsZero() {
		return sampleWeight
	}
	gaps := max(float64(now.Sub(r.lastSample))/float64(sampleInterval), 1)
	return 1 - math.Pow(1-sampleWeight, gaps)
}

// coldLimiter spaces the requests to a cold replica evenly.
type coldLimiter struct {
	// next is when the next request may go out.
	next time.Time
}

// allow reports whether one more request may go to a cold replica; rate is in
// requests a second.
func (c *coldLimiter) allow(now time.Time, rate float64) bool {
	if rate <= 0 || now.Before(c.next) {
		return false
	}
	c.next = now.Add(time.Duration(float64(time.Second) / rate))
	return true
}

// recordKey names one incarnation of a replica.
type recordKey struct {
	id          zlunit.Upstream
	incarnation int64
	addr        string
}

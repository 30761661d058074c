package zlplace

import (
	"math"
	"sync"
	"time"

	"zinnialock/core/process/zlunit"
)

const (
	// smoothing is the weight of a new sample in the running means, for each
	// sampleEach since the last: where samples are rare, one tells more.
	smoothing  = 0.2
	sampleEach = 100 * time.Millisecond
	// fade is the time without news after which what speaks against a replica
	// halves, so that it is tried again.
	fade = 2 * time.Second
	// slowest bounds how many times slower than usual one answer counts, so that
	// a pause does not look like a slow replica for long.
	slowest = 6
	// levelCut and levelGrowth lower the level of what a replica bears after a
	// refusal, and raise it by about one for each round of answers.
	levelCut    = 0.7
	levelGrowth = 1.0
	// refusedFault is what a refusal counts against a failure: it costs a second
	// send, and tells at once.
	refusedFault = 0.5
	// movedTime is how long a replica is left alone whose address answered for
	// another. What comes back under the old name is a new life with a record
	// of its own, so this only bounds the memory of a wrong answer.
	movedTime = 30 * time.Second
	// failMemory is how long one failure counts in full: the time in which a
	// replica that is restarted is seen to be gone.
	failMemory = 300 * time.Millisecond
)

// Record is what this process saw of one life of a replica.
type Record struct {
	mu      sync.Mutex
	flights map[*Flight]struct{}
	// pace is the running mean of the time taken over the time expected.
	pace float64
	// faults is the running share of requests that failed.
	faults float64
	heard  time.Time
	failed time.Time
	// away is until when the replica asked to be left alone.
	away time.Time
	// moved is until when the address is known to belong to another replica.
	moved time.Time
	// probe is the first request that waits past its time; until it ends or
	// another is answered, the replica counts as paused.
	probe *Flight
	// level is how many requests from here the replica bears without refusing
	// any or taking too long; 0 means that it always did.
	level float64
	// reports are what other VMs said against the replica.
	reports []report
	// lowered is when the level was last lowered.
	lowered time.Time
	cold    coldBudget
}

// Flight is one request on its way to a replica. Nudge must not block.
type Flight struct {
	// Nudge tells the sender that another request to the same replica is
	// overdue.
	Nudge func()

	record *Record
	group  *group
	site   *site
	// target is the time within which the answer is of use.
	target time.Duration
	sent   time.Time
}

// Outcome is how a flight ended, as the record counts it.
type Outcome int

// The outcomes of a flight.
const (
	// OutcomeServed is a whole answer.
	OutcomeServed Outcome = iota
	// OutcomeFailed is a failure or a broken connection.
	OutcomeFailed
	// OutcomeRefused is a proven not run.
	OutcomeRefused
	// OutcomeMoved tells that another replica has the address.
	OutcomeMoved
	// OutcomeUnreached tells that no connection was to be had.
	OutcomeUnreached
	// OutcomeGivenUp tells that the sender stopped waiting.
	OutcomeGivenUp
)

func (r *Record) halve(v float64, now time.Time, neutral float64) float64 {
	if r.heard.IsZero() {
		return neutral
	}
	for age := now.Sub(r.heard); age >= fade && v-neutral > 0.01; age -= fade {
		v = neutral + (v-neutral)/2
	}
	return v
}

// standing is what speaks against one more request.
type standing struct {
	inFlight int
	// level is the most in flight from here, or 0 for no bound.
	level   float64
	pace    float64
	faults  float64
	failed  bool
	overdue bool
	away    bool
	moved   bool
	shunned bool
}

func (r *Record) standing(now time.Time) standing {
	r.mu.Lock()
	defer r.mu.Unlock()
	return standing{
		inFlight: len(r.flights),
		level:    r.level,
		pace:     r.halve(r.pace, now, 1),
		faults:   r.halve(r.faults, now, 0),
		failed:   !r.failed.IsZero() && now.Sub(r.failed) < failMemory,
		overdue:  r.probe != nil,
		away:     now.Before(r.away),
		moved:    now.Before(r.moved),
		shunned:  r.shunned(now),
	}
}

// Sent marks the moment at which the flight's first byte goes out.
func (f *Flight) Sent(now time.Time) {
	f.record.mu.Lock()
	defer f.record.mu.Unlock()
	f.sent = now
}

// Overdue tells that the flight waits longer than it should. The first at a
// replica becomes its probe, and the others there are nudged.
func (f *Flight) Overdue(now time.Time) {
	r := f.record
	r.mu.Lock()
	if _, under := r.flights[f]; r.probe != nil || !under {
		r.mu.Unlock()
		return
	}
	r.probe = f
	f.site.strike(now)
	nudges := make([]func(), 0, len(r.flights))
	for other := range r.flights {
		if other != f && other.Nudge != nil {
			nudges = append(nudges, other.Nudge)
		}
	}
	r.mu.Unlock()
	for _, nudge := range nudges {
		nudge()
	}
}

// ReplicaOverdue reports whether some request at the replica is overdue.
func (f *Flight) ReplicaOverdue() bool {
	f.record.mu.Lock()
	defer f.record.mu.Unlock()
	return f.record.probe != nil
}

// Done ends a flight. Expected is what such a request usually takes, or 0;
// hint is how long the replica asked to be left alone.
func (f *Flight) Done(now time.Time, outcome Outcome, expected, hint time.Duration) {
	r := f.record
	r.mu.Lock()
	inFlight := len(r.flights)
	delete(r.flights, f)
	if r.probe == f {
		r.probe = nil
		if outcome != OutcomeServed {
			r.failed = now
		}
	}
	switch outcome {
	case OutcomeServed:
		f.site.answered()
		r.probe = nil
		r.adapt(now, f, inFlight)
		r.observe(now, 0, f.ratio(now, expected))
	case OutcomeFailed, OutcomeUnreached:
		if outcome == OutcomeUnreached {
			f.site.strike(now)
		}
		r.failed = now
		r.observe(now, 1, 0)
	case OutcomeMoved:
		r.moved = now.Add(movedTime)
	case OutcomeRefused:
		r.observe(now, refusedFault, 0)
		r.lower(now, f, inFlight)
		if until := now.Add(max(hint, failMemory/3)); until.After(r.away) {
			r.away = until
		}
	case OutcomeGivenUp:
		r.adapt(now, f, inFlight)
		if ratio := f.ratio(now, expected); ratio > 2 {
			r.observe(now, 0, ratio)
		}
	}
	r.mu.Unlock()
	f.group.freed()
}

// ratio is the time taken over the time expected, or 0 if that is not known.
func (f *Flight) ratio(now time.Time, expected time.Duration) float64 {
	if expected <= 0 || f.sent.IsZero() {
		return 0
	}
	return float64(now.Sub(f.sent)) / float64(expected)
}

// adapt raises the level after an answer in time and lowers it after one that
// took too long, once for all that were under way together.
func (r *Record) adapt(now time.Time, f *Flight, inFlight int) {
	if f.sent.IsZero() || f.target <= 0 {
		return
	}
	if now.Sub(f.sent) > f.target {
		r.lower(now, f, inFlight)
		return
	}
	if r.level > 0 {
		r.level += levelGrowth / r.level
	}
}

func (r *Record) lower(now time.Time, f *Flight, inFlight int) {
	if f.sent.Before(r.lowered) {
		return
	}
	r.lowered = now
	level := float64(inFlight)
	if r.level > 0 {
		level = min(level, r.level)
	}
	r.level = max(level*levelCut, 1)
}

// observe takes a sample of the faults, and of the pace unless ratio is 0; mu is
// held.
func (r *Record) observe(now time.Time, fault, ratio float64) {
	weight := r.weight(now)
	r.faults = r.halve(r.faults, now, 0)
	r.faults += weight * (fault - r.faults)
	r.pace = r.halve(r.pace, now, 1)
	if ratio > 0 {
		r.pace += weight * (min(ratio, slowest) - r.pace)
	}
	r.heard = now
}

// weight is that of a new sample.
func (r *Record) weight(now time.Time) float64 {
	if r.heard.IsZero() {
		return smoothing
	}
	gaps := max(float64(now.Sub(r.heard))/float64(sampleEach), 1)
	return 1 - math.Pow(1-smoothing, gaps)
}

// coldBudget spaces the requests to a cold replica.
type coldBudget struct {
	next time.Time
}

// take reports whether one more request may go to a cold replica; rate is in
// requests a second.
func (c *coldBudget) take(now time.Time, rate float64) bool {
	if rate <= 0 || now.Before(c.next) {
		return false
	}
	c.next = now.Add(time.Duration(float64(time.Second) / rate))
	return true
}

type recordKey struct {
	id   zlunit.Upstream
	born int64
	addr string
}

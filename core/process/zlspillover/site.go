package zlspillover

import (
	"math"
	"time"
)

// Times are in seconds.
const (
	// averageTime is the time constant of the recent latency and refusals: a tenth of a
	// load wave of 11 s, and some requests of a VM that sends a few a second.
	averageTime = 1.0
	// maxWeight bounds the weight of one sample, so that rare samples average over
	// about 3 requests. With few servers at 120 ms of work, 0.25 served 0.003 less in
	// time than a fixed cost, and with 0.5 more left than at a fixed cost.
	maxWeight = 0.35
	// usualFall and usualRise are the weights of samples below and above the usual
	// latency, which so follows a low quantile, about the time without a queue. A rise of
	// 0.01 at 10 requests/s would take a shortage as usual after about 10 s.
	usualFall = 0.2
	usualRise = 0.002
	// estimateHalfLife is the time without a sample after which the excess of an
	// estimate halves, so that a data centre that was short is tried again. With 4 s
	// 0.257 of the sends left instead of 0.221, with 0.95 served in time by either
	// (waves at 120 ms of work, 6 seeds).
	estimateHalfLife = 2.0
	// refusalCost is what a refusal costs the caller, in times of work: another send,
	// which finds a queue.
	refusalCost = 2.0
)

// site is what this VM knows of a service at one data centre.
type site struct {
	// usual is the time to a reply without a queue, 0 while it is not known.
	usual float64
	// latency is the recent time to a reply, and refusals the recent share of requests
	// that were refused; both as of lastSample.
	latency    float64
	refusals   float64
	lastSample time.Time
	// gain is what a request gains by going there, in times of work; short is set if it
	// is short of capacity itself. Both are as of the last step.
	gain  float64
	short bool
	// settled is the part of the share that changes slowly, see change.
	settled float64
	// available is set if a replica there can serve.
	available bool
}

// weightAt is the weight of a sample taken at now.
func (x *site) weightAt(now time.Time) float64 {
	if x.lastSample.IsZero() {
		return maxWeight
	}
	return min(1-math.Exp(-now.Sub(x.lastSample).Seconds()/averageTime), maxWeight)
}

// decay lets the estimates approach usual and no refusals while there is no sample.
func (x *site) decay(now time.Time, usual float64) {
	if x.lastSample.IsZero() {
		x.latency = usual
		return
	}
	x.latency, x.refusals = x.at(now, usual)
}

// at returns the latency and the share of refusals, decayed until now.
func (x *site) at(now time.Time, usual float64) (latency, refusals float64) {
	if x.lastSample.IsZero() {
		return usual, 0
	}
	idle := now.Sub(x.lastSample).Seconds() - averageTime
	if idle <= 0 {
		return x.latency, x.refusals
	}
	left := math.Exp2(-idle / estimateHalfLife)
	return usual + (x.latency-usual)*left, x.refusals * left
}

func (x *site) addServed(now time.Time, took, usual float64) {
	weight := x.weightAt(now)
	x.decay(now, usual)
	switch {
	case x.usual == 0:
		x.usual = took
		x.latency = took
	case took < x.usual:
		x.usual += usualFall * (took - x.usual)
	default:
		x.usual += usualRise * (took - x.usual)
	}
	x.latency += weight * (took - x.latency)
	x.refusals -= weight * x.refusals
	x.lastSample = now
}

func (x *site) addRefused(now time.Time, usual float64) {
	weight := x.weightAt(now)
	x.decay(now, usual)
	x.refusals += weight * (1 - x.refusals)
	x.lastSample = now
}

// expected is the expected time of one more request, where work is the time of one
// without a queue.
func (x *site) expected(now time.Time, usual, work float64) float64 {
	latency, refusals := x.at(now, usual)
	return latency + refusals*refusalCost*work
}

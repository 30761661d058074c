package zladmission

import "time"

const (
	// slowFactor times the 90th percentile is the bound above which a service
	// time is slow.
	slowFactor = 1.5
	// estimateStep is the relative step of the quantile estimates.
	estimateStep = 1.0 / 256
	// coldStepFactor makes the steps smaller while the upstream is not warm,
	// so that a cold start is not learned as normal but a lasting change is.
	coldStepFactor = 1.0 / 8
	// initialSamples is how many first samples move the estimates by steps
	// that are initialStepFactor times larger.
	initialSamples    = 64
	initialStepFactor = 8
)

// estimate estimates the median and the 90th percentile of the service time of
// one query kind, in nanoseconds. Each sample moves them by a step of fixed
// relative size.
type estimate struct {
	samples int
	median  float64
	p90     float64
}

// isSlow reports whether d is longer than normal.
func (e *estimate) isSlow(d time.Duration) bool {
	return e.samples > 0 && float64(d) > slowFactor*e.p90
}

// ratio returns d over the median, at most 4; 1 if there is no median yet.
func (e *estimate) ratio(d time.Duration) float64 {
	if e.samples == 0 || e.median <= 0 {
		return 1
	}
	return min(float64(d)/e.median, 4)
}

// update takes in a sample.
func (e *estimate) update(d time.Duration, warm bool) {
	x := max(float64(d), 1)
	if e.samples == 0 {
		e.median = x
		e.p90 = x
		e.samples = 1
		return
	}
	// A step up is nine times as large as a step down, so that the estimate
	// settles where one sample in ten lies above it.
	up, down := estimateStep, estimateStep
	if e.samples < initialSamples {
		e.samples++
		up *= initialStepFactor
		down *= initialStepFactor
	} else if !warm {
		up *= coldStepFactor
		down *= coldStepFactor
	}
	e.median = stepTowards(e.median, x, up, down)
	e.p90 = stepTowards(e.p90, x, 9*up, down)
	e.p90 = max(e.p90, e.median)
}

// stepTowards moves v towards x by a relative step, but not beyond x.
func stepTowards(v, x, up, down float64) float64 {
	switch {
	case x > v:
		return min(v*(1+up), x)
	case x < v:
		return max(v*(1-down), x)
	default:
		return v
	}
}

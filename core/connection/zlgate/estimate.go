package zlgate

import "time"

const (
	// slowTimes the ninetieth percentile is slow.
	slowTimes = 1.5
	// paceStep is the relative step of the quantile estimates.
	paceStep = 1.0 / 256
	// unsettledShare slows learning while the upstream is not warm, so that a
	// cold start is not learned as normal, yet a lasting change is.
	unsettledShare = 1.0 / 8
	// openingSamples use a larger step.
	openingSamples = 64
	openingFactor  = 8
)

// pace estimates the median and the ninetieth percentile of the service time
// of one query kind, by steps of fixed relative size.
type pace struct {
	samples int
	median  float64
	high    float64
}

// slow reports whether d is longer than normal.
func (p *pace) slow(d time.Duration) bool {
	return p.samples > 0 && float64(d) > slowTimes*p.high
}

// ratio returns d over the median, at most 4.
func (p *pace) ratio(d time.Duration) float64 {
	if p.samples == 0 || p.median <= 0 {
		return 1
	}
	return min(float64(d)/p.median, 4)
}

func (p *pace) learn(d time.Duration, settled bool) {
	x := max(float64(d), 1)
	if p.samples == 0 {
		p.median = x
		p.high = x
		p.samples = 1
		return
	}
	up, down := paceStep, paceStep
	if p.samples < openingSamples {
		p.samples++
		up *= openingFactor
		down *= openingFactor
	} else if !settled {
		up *= unsettledShare
		down *= unsettledShare
	}
	p.median = moved(p.median, x, up, down)
	p.high = moved(p.high, x, 9*up, down)
	p.high = max(p.high, p.median)
}

func moved(estimate, x, up, down float64) float64 {
	switch {
	case x > estimate:
		return min(estimate*(1+up), x)
	case x < estimate:
		return max(estimate*(1-down), x)
	default:
		return estimate
	}
}

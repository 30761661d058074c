package zladmission

import (
	"time"

	"zinnialock/core/process/zlunit"
)

const (
	// evidenceLimit is how many slow or shed replies, less evidenceDecay for
	// each normal one, are taken for a cold start that nothing announced.
	evidenceLimit = 4.0
	// evidenceDecay is what a normal reply takes off the evidence.
	evidenceDecay = 0.5
	// overloadFactor is how far the recent service-time ratio must rise above
	// the long-term one before the in-flight limit is lowered.
	overloadFactor = 1.6
	// recentRatioWeight and longTermRatioWeight are the weights of a new
	// sample in the two moving averages.
	recentRatioWeight   = 1.0 / 32
	longTermRatioWeight = 1.0 / 512
	// meanWeight is the weight of a new service time in the moving average.
	meanWeight = 1.0 / 16
	// meanSampleCap bounds one service time, as a multiple of the moving
	// average: a single delayed reply says little about the next one.
	meanSampleCap = 8
	// maxKinds bounds the query kinds that are estimated apart; further ones
	// share one estimate.
	maxKinds = 32
)

// estimateFor returns the service-time estimate of a query kind. The caller
// holds mu.
func (g *Gate) estimateFor(kind zlunit.QueryKind) *estimate {
	e, ok := g.estimates[kind]
	if ok {
		return e
	}
	if g.estimates == nil {
		g.estimates = map[zlunit.QueryKind]*estimate{}
	}
	if len(g.estimates) >= maxKinds {
		kind = ""
		if e, ok = g.estimates[kind]; ok {
			return e
		}
	}
	e = &estimate{}
	g.estimates[kind] = e
	return e
}

// onSuccess notes a success of a kind that took d. The caller holds mu.
func (g *Gate) onSuccess(kind zlunit.QueryKind, d time.Duration) {
	e := g.estimateFor(kind)
	slow := e.isSlow(d)
	g.observeMean(d)
	ratio := e.ratio(d)
	g.recentRatio += recentRatioWeight * (ratio - g.recentRatio)
	g.longTermRatio += longTermRatioWeight * (ratio - g.longTermRatio)
	e.update(d, g.isWarm())
	if slow {
		g.normalStreak = 0
		g.addEvidence(CauseSlow)
		return
	}
	g.evidence = max(g.evidence-evidenceDecay, 0)
	g.normalStreak++
	g.successes++
	g.raise()
}

// isWarm reports whether current service times are those of a warm upstream.
func (g *Gate) isWarm() bool {
	return g.state == StateWarm || g.state == StateShedding
}

func (g *Gate) observeMean(d time.Duration) {
	if g.meanService == 0 {
		g.meanService = d
		return
	}
	d = min(d, meanSampleCap*g.meanService)
	g.meanService += time.Duration(meanWeight * float64(d-g.meanService))
}

// addEvidence adds evidence that the upstream turned cold without a new
// identity or a broken connection.
func (g *Gate) addEvidence(cause Cause) {
	g.evidence++
	if g.evidence < evidenceLimit {
		return
	}
	switch g.state {
	case StateWarm, StateShedding:
		g.rampFactor = 1
		g.enterCold(cause)
	case StateWarming:
		g.stepBack(cause)
	default:
		g.evidence = 0
	}
}

// stepBack undoes the last step of a warm-up and doubles the successes that
// the next one needs.
func (g *Gate) stepBack(cause Cause) {
	g.rampFactor = min(2*g.rampFactor, maxRampFactor)
	g.inFlightLimit--
	g.resetEvidence()
	if g.inFlightLimit <= int(g.limits.Cold) {
		g.enterCold(cause)
	}
}

// raise takes the next step up if enough successes were counted.
func (g *Gate) raise() {
	switch g.state {
	case StateCold:
		g.endCold()
	case StateWarming, StateWarm, StateShedding:
		g.adjustLimit()
	default:
	}
}

// endCold ends a cold start once it lasted long enough and had enough successes.
func (g *Gate) endCold() {
	if g.successes < g.limits.ColdSuccesses*g.rampFactor || g.normalStreak < minNormalStreak {
		return
	}
	if g.Timer.Now().Sub(g.since) < g.limits.MinColdTime {
		return
	}
	g.successes = 0
	g.inFlightLimit = max(int(g.limits.Cold), 1)
	g.continueWarmUp()
}

// continueWarmUp enters the state that follows from the in-flight limit.
func (g *Gate) continueWarmUp() {
	if g.inFlightLimit < int(g.limits.Slots) {
		if g.state != StateWarming {
			g.enter(StateWarming, CauseProven)
		}
		return
	}
	g.rampFactor = 1
	g.enter(StateWarm, CauseProven)
}

// adjustLimit moves the in-flight limit by one step after a round of
// successes: down while service times are raised, else up.
func (g *Gate) adjustLimit() {
	factor := 1
	if g.state == StateWarming {
		factor = g.rampFactor
	}
	if g.successes < successesPerStep*g.inFlightLimit*factor {
		return
	}
	g.successes = 0
	if g.recentRatio > overloadFactor*max(g.longTermRatio, 1) {
		g.lowerLimit()
		return
	}
	now := g.Timer.Now()
	if now.Before(g.holdUntil) {
		return
	}
	if g.state == StateShedding {
		g.enter(StateWarm, CauseProven)
	}
	if g.inFlightLimit < int(g.limits.Slots) {
		g.inFlightLimit++
		if g.state == StateWarming {
			g.continueWarmUp()
		}
	}
}

// lowerLimit lowers the in-flight limit by a quarter, at least by one.
func (g *Gate) lowerLimit() {
	floor := max(int(g.limits.Cold), 1)
	g.inFlightLimit = max(min(g.inFlightLimit-1, g.inFlightLimit*3/4), min(floor, g.inFlightLimit))
	g.recentRatio = g.longTermRatio
	g.successes = 0
}

// onShed notes that the upstream refused because of its load.
func (g *Gate) onShed() {
	now := g.Timer.Now()
	switch g.state {
	case StateWarm, StateShedding:
		if !now.Before(g.holdUntil) {
			g.lowerLimit()
		}
		if g.state == StateWarm {
			g.enter(StateShedding, CauseShed)
		}
	default:
	}
	g.holdUntil = now.Add(shedHold)
	g.normalStreak = 0
	g.addEvidence(CauseShed)
}

package zlgate

import (
	"time"

	"zinnialock/core/process/zlunit"
)

const (
	// evidenceLimit of slow or shed replies, less the normal ones, is taken
	// for a cold turn.
	evidenceLimit = 4.0
	// evidenceDecay is what a normal reply takes off.
	evidenceDecay = 0.5
	// stretchLimit is how far service times over their median must rise above
	// what is usual before the level goes down.
	stretchLimit = 1.6
	// stretchWeight and usualWeight are the weights of a new ratio in the
	// recent and in the usual mean.
	stretchWeight = 1.0 / 32
	usualWeight   = 1.0 / 512
	// meanWeight is the weight of a new service time in the running mean.
	meanWeight = 1.0 / 16
	// meanCap bounds what one service time counts for, as a multiple of the
	// mean: one that was held up says little of the next.
	meanCap  = 8
	maxKinds = 32
)

func (g *Gate) paceOf(kind zlunit.QueryKind) *pace {
	p, ok := g.paces[kind]
	if ok {
		return p
	}
	if g.paces == nil {
		g.paces = map[zlunit.QueryKind]*pace{}
	}
	if len(g.paces) >= maxKinds {
		kind = ""
		if p, ok = g.paces[kind]; ok {
			return p
		}
	}
	p = &pace{}
	g.paces[kind] = p
	return p
}

// succeeded notes a success of a kind that took d.
func (g *Gate) succeeded(kind zlunit.QueryKind, d time.Duration) {
	p := g.paceOf(kind)
	slow := p.slow(d)
	g.observeMean(d)
	ratio := p.ratio(d)
	g.stretch += stretchWeight * (ratio - g.stretch)
	g.usual += usualWeight * (ratio - g.usual)
	p.learn(d, g.settled())
	if slow {
		g.normals = 0
		g.suspect(CauseSlow)
		return
	}
	g.evidence = max(g.evidence-evidenceDecay, 0)
	g.normals++
	g.successes++
	g.climb()
}

// settled reports whether service times now are those of a warm upstream.
func (g *Gate) settled() bool {
	return g.state == StateWarm || g.state == StateShedding
}

func (g *Gate) observeMean(d time.Duration) {
	if g.mean == 0 {
		g.mean = d
		return
	}
	d = min(d, meanCap*g.mean)
	g.mean += time.Duration(meanWeight * float64(d-g.mean))
}

// suspect adds evidence that the upstream turned cold without a word.
func (g *Gate) suspect(cause Cause) {
	g.evidence++
	if g.evidence < evidenceLimit {
		return
	}
	switch g.state {
	case StateWarm, StateShedding:
		g.toll = 1
		g.chill(cause)
	case StateWarming:
		g.stepBack(cause)
	default:
		g.evidence = 0
	}
}

// stepBack undoes the last step of a ramp and makes the next one dearer.
func (g *Gate) stepBack(cause Cause) {
	g.toll = min(2*g.toll, maxToll)
	g.level--
	g.resetEvidence()
	if g.level <= int(g.limits.Cold) {
		g.chill(cause)
	}
}

// climb takes the next step up once it has been earned.
func (g *Gate) climb() {
	switch g.state {
	case StateCold:
		g.endCold()
	case StateWarming, StateWarm, StateShedding:
		g.adjust()
	default:
	}
}

func (g *Gate) endCold() {
	if g.successes < g.limits.ColdWork*g.toll || g.normals < normalRun {
		return
	}
	if g.Timer.Now().Sub(g.since) < g.limits.ColdTime {
		return
	}
	g.successes = 0
	g.level = max(int(g.limits.Cold), 1)
	g.warmUp()
}

func (g *Gate) warmUp() {
	if g.level < int(g.limits.Slots) {
		if g.state != StateWarming {
			g.enter(StateWarming, CauseProven)
		}
		return
	}
	g.toll = 1
	g.enter(StateWarm, CauseProven)
}

// adjust moves the level by one step after a window of successes: down while
// service times are stretched, else up.
func (g *Gate) adjust() {
	toll := 1
	if g.state == StateWarming {
		toll = g.toll
	}
	if g.successes < successesPerStep*g.level*toll {
		return
	}
	g.successes = 0
	if g.stretch > stretchLimit*max(g.usual, 1) {
		g.lower()
		return
	}
	now := g.Timer.Now()
	if now.Before(g.held) {
		return
	}
	if g.state == StateShedding {
		g.enter(StateWarm, CauseProven)
	}
	if g.level < int(g.limits.Slots) {
		g.level++
		if g.state == StateWarming {
			g.warmUp()
		}
	}
}

// lower cuts the level by a quarter, at least by one.
func (g *Gate) lower() {
	floor := max(int(g.limits.Cold), 1)
	g.level = max(min(g.level-1, g.level*3/4), min(floor, g.level))
	g.stretch = g.usual
	g.successes = 0
}

// shed notes that the upstream refused for its load.
func (g *Gate) shed() {
	now := g.Timer.Now()
	switch g.state {
	case StateWarm, StateShedding:
		if !now.Before(g.held) {
			g.lower()
		}
		if g.state == StateWarm {
			g.enter(StateShedding, CauseShed)
		}
	default:
	}
	g.held = now.Add(shedHold)
	g.normals = 0
	g.suspect(CauseShed)
}

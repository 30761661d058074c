package zlrelay

import "time"

const (
	// overdueQuantile is the quantile of recent response times beyond which a
	// send is overdue. The sends beyond it and those that meet a pause of a
	// replica must together fit the budget of second sends.
	overdueQuantile = 0.95
	// maxOverdueShare limits the time until a send is overdue to a share of the
	// objective, so that a hedge can still be answered in time.
	maxOverdueShare = 0.4
	// replyTargetShare is the share of the objective within which the reply of
	// a replica is of use: about a third, so that queueing at the replica does
	// not use up the time for a second send.
	replyTargetShare = 0.35
	// minOverdueDelay is the least time until a send is overdue: a few round
	// trips between data centres.
	minOverdueDelay = 6 * time.Millisecond
	// fewOpenParts is the number of open parts up to which a hedge must leave
	// only fewPartsReserve of the budget; with more open parts, it must leave
	// manyPartsReserve. The reserve is for parts that have nothing under way.
	fewOpenParts     = 2
	fewPartsReserve  = 0.15
	manyPartsReserve = 0.5
	// maxBlindHedges is how many parts of a query are hedged before any is answered.
	maxBlindHedges = 2
)

// setLatencies sets the expected latency and the time until a send is overdue
// from the recent response times, or from the objective if there are too few.
func (x *run) setLatencies(now time.Time) {
	objective := x.route.Objective
	x.replyTarget = time.Duration(replyTargetShare * float64(objective))
	x.expectedLatency = objective / 8
	if d, ok := x.profile.Quantile(now, 0.5); ok {
		x.expectedLatency = d
	}
	x.overdueAfter = time.Duration(maxOverdueShare * float64(objective))
	if d, ok := x.profile.Quantile(now, overdueQuantile); ok {
		x.overdueAfter = max(min(x.overdueAfter, d), minOverdueDelay)
	}
}

// budgetReserve returns the share of the budget that a second send must leave. It
// is 0 unless the send is a hedge.
func (x *run) budgetReserve(hedge bool) float64 {
	if !hedge {
		return 0
	}
	open := 0
	for i := range x.parts {
		if x.parts[i].isOpen() {
			open++
		}
	}
	if open <= fewOpenParts {
		return fewPartsReserve
	}
	return manyPartsReserve
}

// mayHedgeBlindly reports whether a part may be hedged although no replica has answered
// any part yet. Hedges are for stragglers. If all parts are late at once, the cause is
// common to them: a lost path, replicas that are all slow, or the request itself, which
// would crash two replicas of each shard instead of one.
func (x *run) mayHedgeBlindly() bool {
	if !x.route.IsSharded() {
		return true
	}
	hedges := 0
	for i := range x.parts {
		p := &x.parts[i]
		if p.heard {
			return true
		}
		hedges += max(len(p.inFlight)-1, 0)
	}
	return hedges < maxBlindHedges
}

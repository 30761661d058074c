package zlrelay

import (
	"context"
	"net/http"
	"time"

	"zinnialock/core/version/zlrollout"
)

const (
	// slowFactor times the expected latency is the time after which a send is slow for
	// certain: a version counts as slow from 3 times the median of the old one on.
	slowFactor = 3.5
	// maxEvidenceTime bounds how long a send whose response is not needed any more is left
	// under way. It is slowFactor times 140 ms, above the usual latency of any route of the
	// users' sites.
	maxEvidenceTime = 500 * time.Millisecond
)

// cancelSuperseded cancels a send whose response is not needed any more. If its service is
// divided between two versions, it is cancelled once it is slow for certain.
//
// Load pattern: a new version whose responses are several times slower. Second sends go to
// the old version and are answered first, so that cancelling at once would hide each slow
// response of the new one.
func (a *attempt) cancelSuperseded(now time.Time) {
	r := a.part.run.relay
	if !a.placement.Split || r.OnOutcome == nil || a.state.Load() != attemptStarted {
		a.cancel()
		return
	}
	wait := a.slowAfter() - now.Sub(a.placement.Flight.SentAt())
	if wait <= 0 {
		a.cancel()
		return
	}
	r.Timer.AfterFunc(min(wait, maxEvidenceTime), a.cancel)
}

// slowAfter returns the time from which on a send is slow for certain.
func (a *attempt) slowAfter() time.Duration {
	return time.Duration(slowFactor * float64(a.part.run.expectedLatency))
}

// evidence returns a function that passes on the outcome of a send to a service that is
// divided between two versions. A request that did not run has none, and the function does
// nothing; neither has a send that was cancelled before it was slow.
func (a *attempt) evidence(ctx context.Context, reply Reply) (report func()) {
	none := func() {}
	r := a.part.run.relay
	if !a.placement.Split || r.OnOutcome == nil {
		return none
	}
	sentAt := a.placement.Flight.SentAt()
	if sentAt.IsZero() {
		return none
	}
	took := r.Timer.Now().Sub(sentAt)
	// A cold replica is slow whatever its version.
	isCold := a.placement.Entry.Cold(a.placedAt)
	outcome := zlrollout.OutcomeGood
	switch rep := reply.(type) {
	case *Response:
		if rep.Status >= http.StatusInternalServerError {
			outcome = zlrollout.OutcomeFailed
		}
	case *NotRun:
		return none
	case *Unknown:
		switch {
		case ctx.Err() == nil:
			outcome = zlrollout.OutcomeFailed
		case isCold || a.part.run.expectedLatency <= 0 || took < a.slowAfter():
			return none
		}
	}
	if isCold {
		took = 0
	}
	service, route, build := a.part.service, a.part.run.route.Name, a.placement.Entry.Build
	return func() {
		r.OnOutcome(service, route, build, outcome, took)
	}
}

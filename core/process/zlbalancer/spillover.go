package zlbalancer

import (
	"time"

	"zinnialock/core/process/zlspillover"
	"zinnialock/core/process/zlunit"
)

// elsewhereCost ranks every replica outside the chosen data centre after all of those
// in it: it exceeds the sum of the other costs, of which requests in flight are the
// greatest part (a replica has at most some hundred connections, maxLatencyRatio is 6).
const elsewhereCost = 10000

// spillover is what a Flight needs to tell the controller of its outcome; nil while
// traffic between data centres has a fixed cost.
type spillover struct {
	controller *zlspillover.Controller
	service    zlunit.Service
}

// preferDataCentre applies the share of requests that leave the data centre: replicas
// outside the chosen data centre are only used if none in it can serve. If none can in
// the own data centre either, the fixed costs decide.
func (p *Placer) preferDataCentre(candidates []candidate, now time.Time, w *PlacementRequest) {
	if p.Settings.Spillover == nil {
		return
	}
	dc := p.Settings.Home
	// Hedges and retries leave out the replicas tried before, so they say nothing of
	// which data centres can serve.
	if len(w.Skip) == 0 && !w.HealthyOnly {
		dc = p.chooseDataCentre(candidates, now, w)
	}
	if !p.canServe(candidates, dc, now) {
		return
	}
	for i := range candidates {
		if candidates[i].entry.DataCentre != dc {
			candidates[i].cost += elsewhereCost
		}
	}
}

func (p *Placer) chooseDataCentre(candidates []candidate, now time.Time, w *PlacementRequest) zlunit.DataCentre {
	var list [8]zlunit.DataCentre
	remotes := list[:0]
	inFlight := -1
	for i := range candidates {
		dc := candidates[i].entry.DataCentre
		if !p.isAble(&candidates[i], now) {
			continue
		}
		if dc == p.Settings.Home {
			if n := candidates[i].state.inFlight; inFlight < 0 || n < inFlight {
				inFlight = n
			}
			continue
		}
		known := false
		for _, other := range remotes {
			known = known || other == dc
		}
		if !known {
			remotes = append(remotes, dc)
		}
	}
	return p.Settings.Spillover.Choose(now, &zlspillover.Query{
		Service:  w.Service,
		Remotes:  remotes,
		Waiting:  p.Waiting(w.Service),
		InFlight: max(inFlight, 0),
		Draw:     p.random(),
	})
}

func (p *Placer) canServe(candidates []candidate, dc zlunit.DataCentre, now time.Time) bool {
	for i := range candidates {
		if candidates[i].entry.DataCentre == dc && p.isAble(&candidates[i], now) {
			return true
		}
	}
	return false
}

// isAble reports whether a replica can serve: it is healthy by what this VM and the
// others saw of it, and its data centre is reachable.
func (p *Placer) isAble(c *candidate, now time.Time) bool {
	if !c.isHealthy() || c.state.reported || c.state.failureRate >= reportFailureRate {
		return false
	}
	return c.entry.DataCentre == p.Settings.Home || !p.siteFor(c.entry.DataCentre).isUnreachable(now)
}

// observe tells the controller how a request ended that took the given time.
func (s *spillover) observe(now time.Time, f *Flight, outcome Outcome) {
	if s == nil || f.sentAt.IsZero() {
		return
	}
	took := now.Sub(f.sentAt)
	switch outcome {
	case OutcomeServed:
		s.controller.ObserveServed(now, s.service, f.dataCentre, took, f.responseBytes)
	case OutcomeRefused:
		s.controller.ObserveRefused(now, s.service, f.dataCentre)
	case OutcomeGivenUp:
		s.controller.ObserveGivenUp(now, s.service, f.dataCentre, took)
	case OutcomeFailed, OutcomeMoved, OutcomeUnreached:
		// Failures are judged by replica, see Record.
	}
}

// RemoteTraffic returns how many requests were sent to replicas in other data centres
// since the start, and how many bytes of response bodies came from there.
func (p *Placer) RemoteTraffic() (requests, bytes int64) {
	return p.remoteRequests.Load(), p.remoteBytes.Load()
}

// SetResponseBytes notes the size of the response body. It must be called before Done.
func (f *Flight) SetResponseBytes(n int) {
	f.responseBytes = n
	if f.remote != nil {
		f.remote.remoteBytes.Add(int64(n))
	}
}

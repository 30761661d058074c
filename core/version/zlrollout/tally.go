package zlrollout

import (
	"slices"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zltable"
)

const (
	// slowFactor is the multiple of the baseline's median from which a response is slow.
	slowFactor = 3
	// medianSamples and minMedianSamples are how many latencies a median is taken from.
	// Errors of the median affect both groups alike, so few are enough.
	medianSamples    = 31
	minMedianSamples = 5
	// medianInterval is after how many further latencies the median is computed again.
	medianInterval = 8
	// maxRoutes limits the routes of a service that are counted apart; further ones are
	// counted together under the empty name.
	maxRoutes = 16
)

// median holds recent latencies and their median.
type median struct {
	samples [medianSamples]time.Duration
	n       int
	next    int
	value   time.Duration
}

// add takes one latency.
func (m *median) add(d time.Duration) {
	m.samples[m.next] = d
	m.next = (m.next + 1) % medianSamples
	if m.n == medianSamples && m.next%medianInterval != 0 {
		return
	}
	m.n = min(m.n+1, medianSamples)
	sorted := m.samples
	slices.Sort(sorted[:m.n])
	m.value = sorted[m.n/2]
}

// known reports whether there are enough latencies for a median.
func (m *median) known() bool {
	return m.n >= minMedianSamples
}

// median returns the median of a route; that of the empty name is of all routes.
func (s *service) median(route zltable.RouteName) *median {
	m := s.medians[route]
	if m == nil {
		m = &median{}
		s.medians[route] = m
	}
	return m
}

// isSlow reports whether a latency is slow for the route, or for all routes while too
// few requests of the route are known.
func (s *service) isSlow(route zltable.RouteName, took time.Duration) bool {
	m := s.median(route)
	if !m.known() {
		m = s.median("")
	}
	return m.known() && took > slowFactor*m.value
}

// record counts the outcome of a send to a replica of build b.
func (s *service) record(route zltable.RouteName, b zlunit.Build, out Outcome, took time.Duration) {
	if s.medians[route] == nil && len(s.medians) >= maxRoutes {
		route = ""
	}
	timed := out == OutcomeGood && took > 0
	slow := timed && s.isSlow(route, took)
	if timed && b == s.baseline {
		s.median("").add(took)
		if route != "" {
			s.median(route).add(took)
		}
	}
	if s.running() {
		s.order.count(route, b, out, slow)
	}
}

// count counts the outcome of a send during the order.
func (o *order) count(route zltable.RouteName, b zlunit.Build, out Outcome, slow bool) {
	t := o.tallies[route]
	if t == nil {
		t = &Tally{
			Route: route,
		}
		o.tallies[route] = t
	}
	counts := &t.Baseline
	if b == o.id.Target {
		counts = &t.Target
	}
	switch {
	case out == OutcomeFailed:
		counts.Failed++
	case slow:
		counts.Slow++
	default:
		counts.Good++
	}
	o.changes++
}

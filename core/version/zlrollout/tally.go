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
	m.n = min(m.n+1, medianSamples)
	sorted := m.samples
	slices.Sort(sorted[:m.n])
	m.value = sorted[m.n/2]
}

// slow reports whether d is slow.
func (m *median) slow(d time.Duration) bool {
	return m.n >= minMedianSamples && d > slowFactor*m.value
}

// median returns the median of a route.
func (s *service) median(route zltable.RouteName) *median {
	m := s.medians[route]
	if m == nil {
		m = &median{}
		s.medians[route] = m
	}
	return m
}

// record counts the outcome of a send to a replica of build b.
func (s *service) record(route zltable.RouteName, b zlunit.Build, out Outcome, took time.Duration) {
	if s.medians[route] == nil && len(s.medians) >= maxRoutes {
		route = ""
	}
	m := s.median(route)
	timed := out == OutcomeGood && took > 0
	slow := timed && m.slow(took)
	if timed && b == s.baseline {
		m.add(took)
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
		if slow || out == OutcomeFailed {
			o.badTarget++
		}
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

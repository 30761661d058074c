package zlrelay

import (
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zltable"
)

// weightedPicker implements smooth weighted round robin over the targets of a
// route: each gets its share after few requests, and not only on average.
type weightedPicker struct {
	version zltable.Version
	credit  []float64
}

// nextTarget returns the service of a route that serves the next request; it is empty
// if the route names none.
func (r *Relay) nextTarget(t *zltable.Table, route *zltable.Route) zlunit.Service {
	switch len(route.Targets) {
	case 0:
		return ""
	case 1:
		return route.Targets[0].Service
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	picker, ok := r.targetPickers[route.Name]
	if !ok || picker.version != t.Version || len(picker.credit) != len(route.Targets) {
		if r.targetPickers == nil {
			r.targetPickers = map[zltable.RouteName]*weightedPicker{}
		}
		picker = &weightedPicker{
			version: t.Version,
			credit:  make([]float64, len(route.Targets)),
		}
		for i := range picker.credit {
			// A random start keeps the VMs from picking targets in step.
			picker.credit[i] = r.randomFloat() * route.Targets[i].Weight
		}
		r.targetPickers[route.Name] = picker
	}
	best, total := 0, 0.0
	for i := range route.Targets {
		picker.credit[i] += route.Targets[i].Weight
		total += route.Targets[i].Weight
		if picker.credit[i] > picker.credit[best] {
			best = i
		}
	}
	picker.credit[best] -= total
	return route.Targets[best].Service
}

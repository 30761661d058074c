package zlrelay

import (
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zltable"
)

// split deals the requests of a route to its services in turn, so that each has
// its share after few requests and not only in the mean.
type split struct {
	version zltable.Version
	credit  []float64
}

// target chooses the service of a route that serves the next request.
func (r *Relay) target(t *zltable.Table, route *zltable.Route) zlunit.Service {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.splits[route.Name]
	if !ok || s.version != t.Version || len(s.credit) != len(route.Targets) {
		if r.splits == nil {
			r.splits = map[zltable.RouteName]*split{}
		}
		s = &split{
			version: t.Version,
			credit:  make([]float64, len(route.Targets)),
		}
		for i := range s.credit {
			// VMs begin at different points of the turn.
			s.credit[i] = r.draw() * route.Targets[i].Weight
		}
		r.splits[route.Name] = s
	}
	best, total := 0, 0.0
	for i := range route.Targets {
		s.credit[i] += route.Targets[i].Weight
		total += route.Targets[i].Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= total
	return route.Targets[best].Service
}

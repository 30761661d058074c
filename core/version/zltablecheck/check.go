package zltablecheck

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zltable"
)

// Checker checks one table.
type Checker struct {
	Table *zltable.Table
	// InForce is the table to compare with, or nil.
	InForce *zltable.Table
	// MaxPriority is the greatest priority of a route.
	MaxPriority int
}

// Run adds its findings and changes to the report. Organisations without a name are left out:
// they stand for entries that could not be decoded, which the decoder reports. So does it with
// times out of range, since one that is too large has no value as a time.Duration.
func (c *Checker) Run(r *Report) {
	r.Version = c.Table.Version
	if c.Table.Version == 0 {
		r.Errorf(KindVersion, "table", "the version is missing")
	}
	c.checkMatches(r)
	for i := range c.Table.Routes {
		c.checkRoute(r, &c.Table.Routes[i])
	}
	for _, name := range slices.Sorted(maps.Keys(c.Table.Services)) {
		s := c.Table.Services[name]
		at := fmt.Sprintf("service %q", name)
		r.checkFigure(at, "number of connections", float64(s.Connections))
		r.checkFigure(at, "cold rate", s.ColdRate)
	}
	c.checkLimits(r)
	c.checkOrganisations(r)
	if c.InForce == nil {
		return
	}
	r.InForce = c.InForce.Version
	if c.Table.Version != 0 && c.Table.Version <= c.InForce.Version {
		r.Errorf(KindVersion, "table", "version %d is not greater than %d, which is in force", c.Table.Version, c.InForce.Version)
	}
	if c.InForce.NeedsKeys() && !c.Table.NeedsKeys() {
		r.Warnf(KindKeys, "table", "callers need no key any more")
	}
	r.Changes = append(r.Changes, compare(c.InForce, c.Table)...)
}

// place returns how findings name a route.
func place(route *zltable.Route) string {
	return fmt.Sprintf("route %q", cmp.Or(string(route.Name), route.Host+route.Prefix))
}

// checkMatches reports routes that zltable.Table.Match never returns.
func (c *Checker) checkMatches(r *Report) {
	first := map[string]*zltable.Route{}
	for i := range c.Table.Routes {
		route := &c.Table.Routes[i]
		if route.Host == "" {
			r.Errorf(KindMatch, place(route), "the host is empty, so that no request matches")
		}
		switch {
		case route.Prefix == "":
			r.Warnf(KindMatch, place(route), "the prefix is empty and matches all paths of the host")
		case !strings.HasPrefix(route.Prefix, "/"):
			r.Errorf(KindMatch, place(route), "prefix %q does not begin with a slash, so that no request matches", route.Prefix)
		case !strings.HasSuffix(route.Prefix, "/"):
			r.Warnf(KindMatch, place(route), "prefix %q does not end with a slash and also matches %q", route.Prefix, route.Prefix+"x")
		}
		k := fmt.Sprintf("%q %q", strings.ToLower(route.Host), route.Prefix)
		if earlier, ok := first[k]; ok {
			r.Errorf(KindMatch, place(route), "%s has the same host and prefix and comes first", place(earlier))
			continue
		}
		first[k] = route
	}
}

func (c *Checker) checkRoute(r *Report, route *zltable.Route) {
	at := place(route)
	if len(route.Targets) == 0 && len(route.Shards) == 0 {
		r.Errorf(KindService, at, "no service serves it")
	}
	for _, s := range route.Shards {
		c.checkService(r, at, s)
	}
	c.checkTargets(r, at, route.Targets)
	if !(route.MinCoverage >= 0 && route.MinCoverage <= 1) {
		r.Errorf(KindRange, at, "the least share of successful shards is %v, allowed is 0 to 1", route.MinCoverage)
	}
	if route.Priority < 0 || route.Priority > c.MaxPriority {
		r.Errorf(KindRange, at, "the priority is %d, allowed is 0 to %d", route.Priority, c.MaxPriority)
	}
	r.checkFigure(at, "number of records", float64(route.MaxRecords))
	if route.Timeout > 0 && route.Objective > route.Timeout {
		r.Warnf(KindLimit, at, "the target latency %v exceeds the time-out %v", route.Objective, route.Timeout)
	}
}

func (c *Checker) checkTargets(r *Report, at string, targets []zltable.Target) {
	sum := 0.0
	for _, t := range targets {
		c.checkService(r, at, t.Service)
		r.checkFigure(at, fmt.Sprintf("weight of %q", t.Service), t.Weight)
		sum += max(t.Weight, 0)
	}
	if len(targets) > 0 && sum == 0 {
		r.Errorf(KindRange, at, "no weight is above 0")
	}
}

func (c *Checker) checkService(r *Report, at string, name zlunit.Service) {
	if _, ok := c.Table.Services[name]; !ok {
		r.Errorf(KindService, at, "service %q is not defined", name)
	}
}

func (c *Checker) checkLimits(r *Report) {
	const at = "limits"
	l := &c.Table.Limits
	r.checkFigure(at, "size of a header", float64(l.HeaderBytes))
	r.checkFigure(at, "size of a body", float64(l.BodyBytes))
	if l.HeaderBytes == 0 {
		r.Warnf(KindLimit, at, "no limit for the size of a header: the default of the VMs holds")
	}
	if l.BodyBytes == 0 {
		r.Warnf(KindLimit, at, "no limit for the size of a body: the default of the VMs holds")
	}
	if l.IdleTime > 0 && l.IdleTime < l.HeaderTime {
		r.Warnf(KindLimit, at, "the idle time-out %v is below the header time-out %v", l.IdleTime, l.HeaderTime)
	}
}

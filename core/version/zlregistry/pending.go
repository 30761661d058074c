package zlregistry

import (
	"strings"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zltable"
)

// pending is a table that is known and not yet in force.
type pending struct {
	table *zltable.Table
	// at is when the store confirmed the table.
	at time.Time
	// deadline is the time by which it must be in force.
	deadline time.Time
	moved    []movedRoute
	// nextCheck runs the next check.
	nextCheck *zltimer.Timer
}

// movedRoute is a route that the new table moves to other services.
type movedRoute struct {
	from *zltable.Route
	to   *zltable.Route
}

// deferTable reports whether a table must wait, and makes it the pending one if so. A table
// waits when an index is resharded: the new replicas are still cold and can take only
// a few requests a second, while the old ones still serve. The caller holds mu.
func (r *Registry) deferTable(t *zltable.Table, at, deadline time.Time) bool {
	view := r.View()
	now := r.Timer.Now()
	if view.Table == nil || !now.Before(deadline) {
		return false
	}
	p := &pending{
		table:    t,
		at:       at,
		deadline: deadline,
		moved:    movedRoutes(view.Table, t),
	}
	if r.pending != nil && r.pending.deadline.Before(deadline) {
		p.deadline = r.pending.deadline
	}
	if !p.mustWait(view, now) {
		return false
	}
	r.addNotice("table", "coming", "")
	r.pending = p
	if t.NeedsKeys() {
		next := r.copyView()
		next.PendingKeys = t
		r.view.Store(next)
		r.addKeyNotice(view.KeyTable(), t)
	}
	r.pendingDeadline.Store(&p.deadline)
	r.settlePending()
	return true
}

// checkPending checks the pending table.
func (r *Registry) checkPending() {
	r.mu.Lock()
	defer r.unlockAndNotify()
	r.settlePending()
}

// settlePending brings the pending table into force once its replicas are warm or its
// deadline has passed, and schedules the next check otherwise. The caller holds mu.
func (r *Registry) settlePending() {
	p := r.pending
	if p == nil {
		return
	}
	now := r.Timer.Now()
	view := r.View()
	if !now.Before(p.deadline) || !p.mustWait(view, now) {
		r.activate(p.table, p.at)
		return
	}
	if p.nextCheck != nil {
		p.nextCheck.Stop()
	}
	p.nextCheck = r.Timer.AfterFunc(p.warmAt(view).Sub(now), r.checkPending)
}

// warmAt returns when all new services of the moved routes will have a warm replica,
// as far as is known, or the deadline of the table if that is earlier.
func (p *pending) warmAt(v *View) time.Time {
	var latest time.Time
	for _, m := range p.moved {
		for _, s := range servicesOf(m.to) {
			at, ok := v.warmAt(s)
			if !ok || at.After(p.deadline) {
				return p.deadline
			}
			if at.After(latest) {
				latest = at
			}
		}
	}
	return latest
}

// mustWait reports whether the table in force serves some moved route better: its new
// services are not all warm, and its old ones still answer.
func (p *pending) mustWait(v *View, now time.Time) bool {
	for _, m := range p.moved {
		if !v.isWarm(m.to, now) && v.serves(m.from) {
			return true
		}
	}
	return false
}

// warmAt returns the earliest time at which a replica of the service is warm, which may
// be past; ok is false if it has no replica in service.
func (v *View) warmAt(s zlunit.Service) (at time.Time, ok bool) {
	for _, e := range v.Replicas[s] {
		if !v.OutOfService[e.DataCentre] && (!ok || e.ColdUntil.Before(at)) {
			at, ok = e.ColdUntil, true
		}
	}
	return at, ok
}

// isWarm reports whether each service of a route has a warm replica.
func (v *View) isWarm(route *zltable.Route, now time.Time) bool {
	for _, s := range servicesOf(route) {
		if at, ok := v.warmAt(s); !ok || now.Before(at) {
			return false
		}
	}
	return true
}

// serves reports whether as many services of a route have a replica as an answer needs.
func (v *View) serves(route *zltable.Route) bool {
	n := 0
	for _, s := range servicesOf(route) {
		if _, ok := v.warmAt(s); ok {
			n++
		}
	}
	return n >= max(route.MinParts(), 1)
}

// movedRoutes lists the routes that are in both tables and have services in the second
// that they did not have in the first.
func movedRoutes(from, to *zltable.Table) []movedRoute {
	type routeKey struct {
		host   string
		prefix string
	}
	oldRoutes := make(map[routeKey]*zltable.Route, len(from.Routes))
	for i := range from.Routes {
		r := &from.Routes[i]
		oldRoutes[routeKey{
			host:   strings.ToLower(r.Host),
			prefix: r.Prefix,
		}] = r
	}
	var list []movedRoute
	for i := range to.Routes {
		r := &to.Routes[i]
		old := oldRoutes[routeKey{
			host:   strings.ToLower(r.Host),
			prefix: r.Prefix,
		}]
		if old != nil && addsService(old, r) {
			list = append(list, movedRoute{
				from: old,
				to:   r,
			})
		}
	}
	return list
}

// addsService reports whether the route to has services that the route from lacks.
func addsService(from, to *zltable.Route) bool {
	have := map[zlunit.Service]bool{}
	for _, s := range servicesOf(from) {
		have[s] = true
	}
	for _, s := range servicesOf(to) {
		if !have[s] {
			return true
		}
	}
	return false
}

// servicesOf lists the shards or targets of a route.
func servicesOf(r *zltable.Route) []zlunit.Service {
	if r.IsSharded() {
		return r.Shards
	}
	list := make([]zlunit.Service, len(r.Targets))
	for i, t := range r.Targets {
		list[i] = t.Service
	}
	return list
}

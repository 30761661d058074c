package zlregistry

import (
	"strings"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zltable"
)

// coming is a table that is known and not yet in force.
type coming struct {
	table *zltable.Table
	at    time.Time
	// by is when it must be in force.
	by    time.Time
	moves []move
	// alarm is for the next look.
	alarm *zltimer.Alarm
}

// move is a route that goes over to other services.
type move struct {
	from *zltable.Route
	to   *zltable.Route
}

// waits decides whether a table is to wait, and keeps it if so; mu is held. It
// answers the pattern of an index that is cut into another set of shards: the new
// replicas are still cold, bear a few requests a second, and the old ones serve.
func (b *Book) waits(t *zltable.Table, at, by time.Time) bool {
	view := b.View()
	now := b.Timer.Now()
	if view.Table == nil || !now.Before(by) {
		return false
	}
	c := &coming{
		table: t,
		at:    at,
		by:    by,
		moves: movesOf(view.Table, t),
	}
	if b.coming != nil && b.coming.by.Before(by) {
		c.by = b.coming.by
	}
	if !c.isEarly(view, now) {
		return false
	}
	b.note("table", "coming", "")
	b.coming = c
	b.comingBy.Store(&c.by)
	b.settle()
	return true
}

// look settles a coming table when it may be time.
func (b *Book) look() {
	b.mu.Lock()
	defer b.release()
	b.settle()
}

// settle brings a coming table into force once its replicas are warm, or when it is
// due, and plans the next look else; mu is held.
func (b *Book) settle() {
	c := b.coming
	if c == nil {
		return
	}
	now := b.Timer.Now()
	view := b.View()
	if !now.Before(c.by) || !c.isEarly(view, now) {
		b.enforce(c.table, c.at)
		return
	}
	if c.alarm != nil {
		c.alarm.Stop()
	}
	c.alarm = b.Timer.Call(c.warmAt(view).Sub(now), b.look)
}

// warmAt is when all that the moves go over to is warm, as far as is known now, and at
// the latest when the table is due.
func (c *coming) warmAt(v *View) time.Time {
	var all time.Time
	for _, m := range c.moves {
		for _, s := range servicesOf(m.to) {
			at, ok := v.warmAt(s)
			if !ok || at.After(c.by) {
				return c.by
			}
			if at.After(all) {
				all = at
			}
		}
	}
	return all
}

// isEarly reports whether some route is served better by the table in force.
func (c *coming) isEarly(v *View, now time.Time) bool {
	for _, m := range c.moves {
		if !v.isWarm(m.to, now) && v.serves(m.from) {
			return true
		}
	}
	return false
}

// warmAt is when a service has a warm replica, long ago where it has one; it reports
// false where it has none.
func (v *View) warmAt(s zlunit.Service) (at time.Time, ok bool) {
	for _, e := range v.Replicas[s] {
		if !v.Out[e.DataCentre] && (!ok || e.ColdUntil.Before(at)) {
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

// serves reports whether enough services of a route for an answer have a replica.
func (v *View) serves(route *zltable.Route) bool {
	n := 0
	for _, s := range servicesOf(route) {
		if _, ok := v.warmAt(s); ok {
			n++
		}
	}
	return n >= max(route.LeastParts(), 1)
}

// movesOf lists the routes of both tables that go over to services which they did
// not have.
func movesOf(from, to *zltable.Table) []move {
	type place struct {
		host   string
		prefix string
	}
	known := make(map[place]*zltable.Route, len(from.Routes))
	for i := range from.Routes {
		r := &from.Routes[i]
		known[place{
			host:   strings.ToLower(r.Host),
			prefix: r.Prefix,
		}] = r
	}
	var list []move
	for i := range to.Routes {
		r := &to.Routes[i]
		old := known[place{
			host:   strings.ToLower(r.Host),
			prefix: r.Prefix,
		}]
		if old != nil && hasOthers(old, r) {
			list = append(list, move{
				from: old,
				to:   r,
			})
		}
	}
	return list
}

func hasOthers(from, to *zltable.Route) bool {
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

func servicesOf(r *zltable.Route) []zlunit.Service {
	if r.Scattered() {
		return r.Shards
	}
	list := make([]zlunit.Service, len(r.Targets))
	for i, t := range r.Targets {
		list[i] = t.Service
	}
	return list
}

package zlregistry

import (
	"strings"
	"time"

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
	// next is when it is looked at again.
	next time.Time
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
	at := c.warmAt(view)
	if at.IsZero() || at.After(c.by) {
		at = c.by
	}
	if c.next.Before(now) || at.Before(c.next) {
		c.next = at
		b.Timer.Call(at.Sub(now), b.look)
	}
}

// warmAt is when each service of the moves has a warm replica, as far as is known
// now; zero if one has none.
func (c *coming) warmAt(v *View) time.Time {
	var all time.Time
	for _, m := range c.moves {
		for _, s := range servicesOf(m.to) {
			var first time.Time
			known := false
			for _, e := range v.Replicas[s] {
				if !v.Out[e.DataCentre] && (!known || e.ColdUntil.Before(first)) {
					first = e.ColdUntil
					known = true
				}
			}
			if !known {
				return time.Time{}
			}
			if first.After(all) {
				all = first
			}
		}
	}
	return all
}

// isEarly reports whether some route is served better by the table in force.
func (c *coming) isEarly(v *View, now time.Time) bool {
	for _, m := range c.moves {
		if !v.serves(m.to, now, true) && v.serves(m.from, now, false) {
			return true
		}
	}
	return false
}

// serves reports whether a route's services have replicas: with warm each has a
// warm one, without enough for an answer have any.
func (v *View) serves(route *zltable.Route, now time.Time, warm bool) bool {
	services := servicesOf(route)
	least := 1
	switch {
	case warm:
		least = len(services)
	case route.Scattered():
		least = route.LeastParts()
	}
	n := 0
	for _, s := range services {
		if v.hasReplica(s, now, warm) {
			n++
		}
	}
	return n >= least
}

func (v *View) hasReplica(s zlunit.Service, now time.Time, warm bool) bool {
	for _, e := range v.Replicas[s] {
		if !v.Out[e.DataCentre] && (!warm || !e.Cold(now)) {
			return true
		}
	}
	return false
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

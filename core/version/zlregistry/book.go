package zlregistry

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zltable"
)

const (
	// returnGrace is how long entries that vanished during an outage of the
	// platform may take to come back after it; the platform's pages say about
	// two seconds.
	returnGrace = 2 * time.Second
	// outageLeast is the shortest outage in which entries can lapse: a replica
	// writes about each second, and lapses after three writes.
	outageLeast = time.Second
	// tombstoneTime is how long a removed entry is remembered, so that a late
	// write of the same life does not bring it back: twice the longest drain
	// and stretch of the platform's pages.
	tombstoneTime = time.Minute
)

// Change is one piece of news about a replica: an entry, or its end.
type Change struct {
	ID zlunit.Upstream
	// Replica is nil when the entry is gone or names no usable replica.
	Replica *Replica
}

// Notice tells of a belief that changed.
type Notice struct {
	// Subject is the replica, data centre or version concerned.
	Subject string
	// What is one word or two: added, draining, gone, cold, out, in, table, coming.
	What string
	// Service is set for replicas.
	Service zlunit.Service
}

// Book takes news and publishes views. Timer must be set before use.
type Book struct {
	Timer *zltimer.Service
	// Heard is called for each changed belief, without locks held; nil is
	// allowed.
	Heard func(Notice)

	view atomic.Pointer[View]
	// comingBy is when the coming table is due, or nil.
	comingBy atomic.Pointer[time.Time]

	mu       sync.Mutex
	known    map[zlunit.Upstream]*Entry
	dead     map[zlunit.Upstream]tombstone
	missing  map[zlunit.Upstream]bool
	badSince time.Time
	goodAt   time.Time
	notices  []Notice
	// ready is closed once the view is.
	ready   chan struct{}
	isReady bool
	// coming is a table that waits for its replicas, or nil.
	coming *coming
}

type tombstone struct {
	last Replica
	at   time.Time
}

// Current returns the newest view; it is never nil. A table that is due comes into
// force before, also where this process was paused past that.
func (b *Book) Current() *View {
	if by := b.comingBy.Load(); by != nil && !b.Timer.Now().Before(*by) {
		b.look()
	}
	return b.View()
}

// View returns the newest view as it was published; it is never nil.
func (b *Book) View() *View {
	if v := b.view.Load(); v != nil {
		return v
	}
	return &View{}
}

// Readied returns what is closed once requests can be served from the view.
func (b *Book) Readied() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ready == nil {
		b.ready = make(chan struct{})
		b.tellReady()
	}
	return b.ready
}

// tellReady closes ready where it is due; mu is held.
func (b *Book) tellReady() {
	if b.ready != nil && !b.isReady && b.View().Ready() {
		b.isReady = true
		close(b.ready)
	}
}

// SetTable takes a table, unless one as new or newer is known, and reports
// whether it is now in force. Where that serves callers better it waits for its
// replicas, but not past by; zero means that it must not.
func (b *Book) SetTable(t *zltable.Table, at, by time.Time) bool {
	b.mu.Lock()
	defer b.release()
	known := b.View().Table
	if b.coming != nil {
		known = b.coming.table
	}
	switch {
	case known != nil && t.Version < known.Version:
		return false
	case b.coming != nil && t.Version == known.Version:
		b.settle()
		return b.coming == nil
	case known != nil && t.Version > known.Version && b.waits(t, at, by):
		return false
	}
	b.enforce(t, at)
	return true
}

// enforce brings a table into force; mu is held.
func (b *Book) enforce(t *zltable.Table, at time.Time) {
	next := b.copyView()
	isNew := next.Table == nil || t.Version > next.Table.Version
	next.Table = t
	next.TableAt = at
	b.view.Store(next)
	// After the view, since Current looks at it first.
	b.comingBy.Store(nil)
	b.coming = nil
	if isNew {
		b.note("table", "table", "")
	}
}

// SetOut takes the whole set of data centres that may get no work.
func (b *Book) SetOut(out map[zlunit.DataCentre]bool, at time.Time) {
	b.mu.Lock()
	defer b.release()
	next := b.copyView()
	for dc := range out {
		if !next.Out[dc] {
			b.note(string(dc), "out", "")
		}
	}
	for dc := range next.Out {
		if !out[dc] {
			b.note(string(dc), "in", "")
		}
	}
	next.Out = out
	next.OutAt = at
	b.view.Store(next)
	b.settle()
}

// Confirm tells that what is known was true at the given time.
func (b *Book) Confirm(replicas, table, out time.Time) {
	b.mu.Lock()
	defer b.release()
	next := b.copyView()
	if replicas.After(next.ReplicasAt) {
		next.ReplicasAt = replicas
	}
	if table.After(next.TableAt) {
		next.TableAt = table
	}
	if out.After(next.OutAt) {
		next.OutAt = out
	}
	b.view.Store(next)
}

// Trouble tells that the platform did not serve a call; Well that it did. What
// vanishes in between is held for returnGrace after the return.
func (b *Book) Trouble() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.badSince.IsZero() {
		b.badSince = b.Timer.Now()
	}
}

// Well tells that the platform serves calls.
func (b *Book) Well() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inOutage() {
		b.goodAt = b.Timer.Now()
	}
	b.badSince = time.Time{}
}

func (b *Book) inOutage() bool {
	return !b.badSince.IsZero() && b.Timer.Now().Sub(b.badSince) >= outageLeast
}

// Apply takes changes in the order in which they happened.
func (b *Book) Apply(changes []Change, at time.Time) {
	b.mu.Lock()
	defer b.release()
	for i := range changes {
		b.apply(&changes[i])
	}
	b.publish(at)
}

// Replace takes the complete list of replicas.
func (b *Book) Replace(all []Replica, at time.Time) {
	b.mu.Lock()
	defer b.release()
	present := make(map[zlunit.Upstream]bool, len(all))
	for i := range all {
		present[all[i].ID] = true
		b.put(&all[i])
	}
	for id := range b.known {
		if !present[id] {
			b.remove(id)
		}
	}
	b.publish(at)
}

// Expire drops what was missing for too long. It is called now and then.
func (b *Book) Expire() {
	b.mu.Lock()
	defer b.release()
	now := b.Timer.Now()
	changed := false
	for id := range b.missing {
		if b.holds(now) {
			break
		}
		b.drop(id)
		changed = true
	}
	for id, t := range b.dead {
		if now.Sub(t.at) > tombstoneTime {
			delete(b.dead, id)
		}
	}
	if changed {
		b.publish(b.View().ReplicasAt)
	}
}

func (b *Book) apply(c *Change) {
	if c.Replica == nil {
		b.remove(c.ID)
		return
	}
	b.put(c.Replica)
}

func (b *Book) put(r *Replica) {
	b.init()
	if t, ok := b.dead[r.ID]; ok {
		if !t.last.older(r) {
			return
		}
		delete(b.dead, r.ID)
	}
	now := b.Timer.Now()
	old := b.known[r.ID]
	if old != nil && r.older(&old.Replica) {
		return
	}
	delete(b.missing, r.ID)
	e := &Entry{
		Replica: *r,
		Since:   now,
	}
	if r.ColdFor > 0 {
		e.ColdUntil = now.Add(r.ColdFor)
	}
	switch {
	case old == nil || old.Born != r.Born || old.Address != r.Address:
		b.note(string(r.ID), "added", r.Service)
	default:
		e.Since = old.Since
		if e.ColdUntil.IsZero() || (r.Seq == old.Seq && r.ColdFor == old.ColdFor) {
			e.ColdUntil = old.ColdUntil
		}
	}
	if r.Draining && (old == nil || !old.Draining) {
		b.note(string(r.ID), "draining", r.Service)
	}
	b.known[r.ID] = e
}

// remove drops an entry, or holds it while the platform's outage may be why it
// is missing.
func (b *Book) remove(id zlunit.Upstream) {
	b.init()
	e, ok := b.known[id]
	if !ok {
		return
	}
	if !e.Draining && b.holds(b.Timer.Now()) {
		if !b.missing[id] {
			b.note(string(id), "held", e.Service)
			b.missing[id] = true
		}
		return
	}
	b.drop(id)
}

// holds reports whether an entry may be missing only since the platform is or
// was out.
func (b *Book) holds(now time.Time) bool {
	return b.inOutage() || (!b.goodAt.IsZero() && now.Before(b.goodAt.Add(returnGrace)))
}

func (b *Book) drop(id zlunit.Upstream) {
	delete(b.missing, id)
	if e, ok := b.known[id]; ok {
		b.note(string(id), "gone", e.Service)
		b.dead[id] = tombstone{
			last: e.Replica,
			at:   b.Timer.Now(),
		}
		delete(b.known, id)
	}
}

func (b *Book) init() {
	if b.known == nil {
		b.known = map[zlunit.Upstream]*Entry{}
		b.dead = map[zlunit.Upstream]tombstone{}
		b.missing = map[zlunit.Upstream]bool{}
	}
}

func (b *Book) copyView() *View {
	next := *b.View()
	return &next
}

// publish makes the next view of the replicas; mu is held.
func (b *Book) publish(at time.Time) {
	next := b.copyView()
	next.ReplicasAt = at
	next.Replicas = make(map[zlunit.Service][]*Entry, len(next.Replicas))
	for _, e := range b.known {
		if !e.Draining {
			next.Replicas[e.Service] = append(next.Replicas[e.Service], e)
		}
	}
	for _, list := range next.Replicas {
		slices.SortFunc(list, func(a, c *Entry) int {
			if a.ID < c.ID {
				return -1
			}
			return 1
		})
	}
	b.view.Store(next)
	b.settle()
}

func (b *Book) note(subject, what string, service zlunit.Service) {
	if b.Heard != nil {
		b.notices = append(b.notices, Notice{
			Subject: subject,
			What:    what,
			Service: service,
		})
	}
}

// release unlocks mu and passes the notices on.
func (b *Book) release() {
	notices := b.notices
	b.notices = nil
	b.tellReady()
	b.mu.Unlock()
	for _, n := range notices {
		b.Heard(n)
	}
}

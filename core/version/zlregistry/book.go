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
	// outageGrace is how long after an outage of the platform entries that expired
	// during it may still be written again: about two seconds by the platform's
	// documentation.
	outageGrace = 2 * time.Second
	// minOutage is the shortest outage in which entries can expire: a replica
	// writes its entry about once a second, and the entry expires after three
	// missed writes.
	minOutage = time.Second
	// tombstoneTTL is how long a removed entry is remembered, so that a late write
	// of the same incarnation does not restore it. It is twice the longest drain
	// and slowdown in the platform's documentation.
	tombstoneTTL = time.Minute
)

// Change is a replica's new entry or the removal of it.
type Change struct {
	ID zlunit.Upstream
	// Replica is nil if the entry was removed or is not usable.
	Replica *Replica
}

// ChangeNotice describes one change of what the book holds.
type ChangeNotice struct {
	// Subject is the replica, data centre or version concerned.
	Subject string
	// What is the change: added, draining, held or gone of a replica, out or in of a
	// data centre, table or coming of a version.
	What string
	// Service is set for replicas only.
	Service zlunit.Service
}

// Registry takes updates and publishes views. Timer must be set before use. Its methods
// may be called concurrently.
type Registry struct {
	Timer *zltimer.Service
	// OnChange is called for each notice, without locks held; may be nil.
	OnChange func(ChangeNotice)

	view atomic.Pointer[View]
	// pendingDeadline is the deadline of the pending table, or nil.
	pendingDeadline atomic.Pointer[time.Time]

	mu         sync.Mutex
	entries    map[zlunit.Upstream]*Entry
	tombstones map[zlunit.Upstream]tombstone
	// missing names the known entries that are gone from the platform and are kept
	// since an outage may be the reason.
	missing map[zlunit.Upstream]bool
	// failingSince is the time of the first failed call to the platform since the last
	// successful one; zero if none failed.
	failingSince time.Time
	// recoveredAt is the end of the last outage.
	recoveredAt time.Time
	// notices are passed to Heard once mu is released.
	notices []ChangeNotice
	// ready is closed once the view is ready; nil until Readied is called.
	ready   chan struct{}
	isReady bool
	// pending is a table that waits for its replicas to be warm, or nil.
	pending *pending
}

// tombstone is what is remembered of a removed entry.
type tombstone struct {
	replica Replica
	// at is when the entry was removed.
	at time.Time
}

// Current returns the newest view, never nil. It first brings a pending table into
// force if its deadline has passed, which its timer misses while this process is
// paused.
func (b *Registry) Current() *View {
	if deadline := b.pendingDeadline.Load(); deadline != nil && !b.Timer.Now().Before(*deadline) {
		b.checkPending()
	}
	return b.View()
}

// View returns the newest published view, never nil.
func (b *Registry) View() *View {
	if v := b.view.Load(); v != nil {
		return v
	}
	return &View{}
}

// ReadyChan returns a channel that is closed once the view is ready (see View.Ready).
func (b *Registry) ReadyChan() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ready == nil {
		b.ready = make(chan struct{})
		b.closeIfReady()
	}
	return b.ready
}

// closeIfReady closes ready if the view is ready. The caller holds mu.
func (b *Registry) closeIfReady() {
	if b.ready != nil && !b.isReady && b.View().Ready() {
		b.isReady = true
		close(b.ready)
	}
}

// SetTable takes a table, which the store confirmed at the given time, unless a newer
// one is known, and reports whether it is now in force. The table stays pending while
// its replicas are cold and the table in force serves callers better, but not past
// the deadline. A zero deadline means that it must not wait.
func (b *Registry) SetTable(t *zltable.Table, at, deadline time.Time) bool {
	b.mu.Lock()
	defer b.unlockAndNotify()
	newest := b.View().Table
	if b.pending != nil {
		newest = b.pending.table
	}
	switch {
	case newest != nil && t.Version < newest.Version:
		return false
	case b.pending != nil && t.Version == newest.Version:
		b.settlePending()
		return b.pending == nil
	case newest != nil && t.Version > newest.Version && b.deferTable(t, at, deadline):
		return false
	}
	b.activate(t, at)
	return true
}

// activate brings a table into force. The caller holds mu.
func (b *Registry) activate(t *zltable.Table, at time.Time) {
	next := b.copyView()
	isNew := next.Table == nil || t.Version > next.Table.Version
	next.Table = t
	next.TableAt = at
	b.view.Store(next)
	// Cleared after the view is stored: Current reads it first, and must not find it
	// cleared while the view still has the old table.
	b.pendingDeadline.Store(nil)
	b.pending = nil
	if isNew {
		b.addNotice("table", "table", "")
	}
}

// SetOutOfService replaces the set of data centres that may get no work, as confirmed at the
// given time. The book keeps the map.
func (b *Registry) SetOutOfService(out map[zlunit.DataCentre]bool, at time.Time) {
	b.mu.Lock()
	defer b.unlockAndNotify()
	next := b.copyView()
	for dc := range out {
		if !next.OutOfService[dc] {
			b.addNotice(string(dc), "out", "")
		}
	}
	for dc := range next.OutOfService {
		if !out[dc] {
			b.addNotice(string(dc), "in", "")
		}
	}
	next.OutOfService = out
	next.OutOfServiceAt = at
	b.view.Store(next)
	b.settlePending()
}

// Confirm notes that the store confirmed the replicas, the table and the data centres
// out of service at the given times. A zero time is ignored.
func (b *Registry) Confirm(replicas, table, out time.Time) {
	b.mu.Lock()
	defer b.unlockAndNotify()
	next := b.copyView()
	if replicas.After(next.ReplicasAt) {
		next.ReplicasAt = replicas
	}
	if table.After(next.TableAt) {
		next.TableAt = table
	}
	if out.After(next.OutOfServiceAt) {
		next.OutOfServiceAt = out
	}
	b.view.Store(next)
}

// MarkFailing notes that the platform does not answer. An entry that is removed once
// this has lasted for minOutage, or within outageGrace after it, is kept until that
// grace ends.
func (b *Registry) MarkFailing() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failingSince.IsZero() {
		b.failingSince = b.Timer.Now()
	}
}

// MarkAnswering notes that the platform answers.
func (b *Registry) MarkAnswering() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inOutage() {
		b.recoveredAt = b.Timer.Now()
	}
	b.failingSince = time.Time{}
}

// inOutage reports whether the platform has been out for at least minOutage. The caller
// holds mu.
func (b *Registry) inOutage() bool {
	return !b.failingSince.IsZero() && b.Timer.Now().Sub(b.failingSince) >= minOutage
}

// Apply applies changes in the order in which they happened, as confirmed at the given
// time.
func (b *Registry) Apply(changes []Change, at time.Time) {
	b.mu.Lock()
	defer b.unlockAndNotify()
	for i := range changes {
		b.apply(&changes[i])
	}
	b.publish(at)
}

// Replace replaces the entries by the complete list of replicas, as confirmed at the
// given time.
func (b *Registry) Replace(all []Replica, at time.Time) {
	b.mu.Lock()
	defer b.unlockAndNotify()
	present := make(map[zlunit.Upstream]bool, len(all))
	for i := range all {
		present[all[i].ID] = true
		b.put(&all[i])
	}
	for id := range b.entries {
		if !present[id] {
			b.remove(id)
		}
	}
	b.publish(at)
}

// Expire drops entries that are still missing after the grace, and old tombstones. It
// is to be called periodically.
func (b *Registry) Expire() {
	b.mu.Lock()
	defer b.unlockAndNotify()
	now := b.Timer.Now()
	changed := false
	for id := range b.missing {
		if b.maybeOutage(now) {
			break
		}
		b.drop(id)
		changed = true
	}
	for id, t := range b.tombstones {
		if now.Sub(t.at) > tombstoneTTL {
			delete(b.tombstones, id)
		}
	}
	if changed {
		b.publish(b.View().ReplicasAt)
	}
}

func (b *Registry) apply(c *Change) {
	if c.Replica == nil {
		b.remove(c.ID)
		return
	}
	b.put(c.Replica)
}

// put adds an entry unless it is older than what is known. The caller holds mu.
func (b *Registry) put(r *Replica) {
	b.init()
	if t, ok := b.tombstones[r.ID]; ok {
		if !t.replica.older(r) {
			return
		}
		delete(b.tombstones, r.ID)
	}
	now := b.Timer.Now()
	old := b.entries[r.ID]
	if old != nil && r.older(&old.Replica) {
		return
	}
	delete(b.missing, r.ID)
	e := &Entry{
		Replica:   *r,
		FirstSeen: now,
	}
	if r.ColdFor > 0 {
		e.ColdUntil = now.Add(r.ColdFor)
	}
	switch {
	case old == nil || old.Incarnation != r.Incarnation || old.Address != r.Address:
		b.addNotice(string(r.ID), "added", r.Service)
	default:
		e.FirstSeen = old.FirstSeen
		if e.ColdUntil.IsZero() || (r.Seq == old.Seq && r.ColdFor == old.ColdFor) {
			e.ColdUntil = old.ColdUntil
		}
	}
	if r.Draining && (old == nil || !old.Draining) {
		b.addNotice(string(r.ID), "draining", r.Service)
	}
	b.entries[r.ID] = e
}

// remove drops an entry, or keeps it while an outage of the platform may be the reason
// for its removal. The caller holds mu.
func (b *Registry) remove(id zlunit.Upstream) {
	b.init()
	e, ok := b.entries[id]
	if !ok {
		return
	}
	if !e.Draining && b.maybeOutage(b.Timer.Now()) {
		if !b.missing[id] {
			b.addNotice(string(id), "held", e.Service)
			b.missing[id] = true
		}
		return
	}
	b.drop(id)
}

// maybeOutage reports whether the platform is out or was so recently that entries may be
// missing for that reason. The caller holds mu.
func (b *Registry) maybeOutage(now time.Time) bool {
	return b.inOutage() || (!b.recoveredAt.IsZero() && now.Before(b.recoveredAt.Add(outageGrace)))
}

// drop removes an entry and leaves a tombstone. The caller holds mu.
func (b *Registry) drop(id zlunit.Upstream) {
	delete(b.missing, id)
	if e, ok := b.entries[id]; ok {
		b.addNotice(string(id), "gone", e.Service)
		b.tombstones[id] = tombstone{
			replica: e.Replica,
			at:      b.Timer.Now(),
		}
		delete(b.entries, id)
	}
}

func (b *Registry) init() {
	if b.entries == nil {
		b.entries = map[zlunit.Upstream]*Entry{}
		b.tombstones = map[zlunit.Upstream]tombstone{}
		b.missing = map[zlunit.Upstream]bool{}
	}
}

func (b *Registry) copyView() *View {
	next := *b.View()
	return &next
}

// publish stores a view with the present replicas. The caller holds mu.
func (b *Registry) publish(at time.Time) {
	next := b.copyView()
	next.ReplicasAt = at
	next.Replicas = make(map[zlunit.Service][]*Entry, len(next.Replicas))
	for _, e := range b.entries {
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
	b.settlePending()
}

// addNotice queues a notice for Heard. The caller holds mu.
func (b *Registry) addNotice(subject, what string, service zlunit.Service) {
	if b.OnChange != nil {
		b.notices = append(b.notices, ChangeNotice{
			Subject: subject,
			What:    what,
			Service: service,
		})
	}
}

// unlockAndNotify unlocks mu and passes the queued notices to Heard.
func (b *Registry) unlockAndNotify() {
	notices := b.notices
	b.notices = nil
	b.closeIfReady()
	b.mu.Unlock()
	for _, n := range notices {
		b.OnChange(n)
	}
}

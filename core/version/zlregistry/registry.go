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
	// notices are passed to OnChange once mu is released.
	notices []ChangeNotice
	// ready is closed once the view is ready; nil until ReadyChan is called.
	ready   chan struct{}
	isReady bool
	// pending is a table that waits for its replicas to be warm, or nil.
	pending *pending
}

// tombstone records a removed entry.
type tombstone struct {
	replica Replica
	// at is when the entry was removed.
	at time.Time
}

// Current returns the newest view, never nil. It first brings a pending table into
// force if its deadline has passed, which its timer misses while this process is
// paused.
func (r *Registry) Current() *View {
	if deadline := r.pendingDeadline.Load(); deadline != nil && !r.Timer.Now().Before(*deadline) {
		r.checkPending()
	}
	return r.View()
}

// View returns the newest published view, never nil.
func (r *Registry) View() *View {
	if v := r.view.Load(); v != nil {
		return v
	}
	return &View{}
}

// ReadyChan returns a channel that is closed once the view is ready (see View.Ready).
func (r *Registry) ReadyChan() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ready == nil {
		r.ready = make(chan struct{})
		r.closeIfReady()
	}
	return r.ready
}

// closeIfReady closes ready if the view is ready. The caller holds mu.
func (r *Registry) closeIfReady() {
	if r.ready != nil && !r.isReady && r.View().Ready() {
		r.isReady = true
		close(r.ready)
	}
}

// SetTable takes a table, which the store confirmed at the given time, unless a newer
// one is known, and reports whether it is now in force. The table stays pending while
// its replicas are cold and the table in force serves callers better, but not past
// the deadline. A zero deadline means that it must not wait.
func (r *Registry) SetTable(t *zltable.Table, at, deadline time.Time) bool {
	r.mu.Lock()
	defer r.unlockAndNotify()
	newest := r.View().Table
	if r.pending != nil {
		newest = r.pending.table
	}
	switch {
	case newest != nil && t.Version < newest.Version:
		return false
	case r.pending != nil && t.Version == newest.Version:
		r.settlePending()
		return r.pending == nil
	case newest != nil && t.Version > newest.Version && r.deferTable(t, at, deadline):
		return false
	}
	r.activate(t, at)
	return true
}

// activate brings a table into force. The caller holds mu.
func (r *Registry) activate(t *zltable.Table, at time.Time) {
	next := r.copyView()
	isNew := next.Table == nil || t.Version > next.Table.Version
	keysBefore := next.KeyTable()
	next.Table = t
	next.PendingKeys = nil
	next.TableAt = at
	r.view.Store(next)
	// Cleared after the view is stored: Current reads it first, and must not find it
	// cleared while the view still has the old table.
	r.pendingDeadline.Store(nil)
	r.pending = nil
	if isNew {
		r.addNotice("table", "table", "")
	}
	r.addKeyNotice(keysBefore, next.KeyTable())
}

// SetOutOfService replaces the set of data centres that may get no work, as confirmed at the
// given time. The registry keeps the map.
func (r *Registry) SetOutOfService(out map[zlunit.DataCentre]bool, at time.Time) {
	r.mu.Lock()
	defer r.unlockAndNotify()
	next := r.copyView()
	for dc := range out {
		if !next.OutOfService[dc] {
			r.addNotice(string(dc), "out", "")
		}
	}
	for dc := range next.OutOfService {
		if !out[dc] {
			r.addNotice(string(dc), "in", "")
		}
	}
	next.OutOfService = out
	next.OutOfServiceAt = at
	r.view.Store(next)
	r.settlePending()
}

// Confirm notes that the store confirmed the replicas, the table and the data centres
// out of service at the given times. A zero time is ignored.
func (r *Registry) Confirm(replicas, table, out time.Time) {
	r.mu.Lock()
	defer r.unlockAndNotify()
	next := r.copyView()
	if replicas.After(next.ReplicasAt) {
		next.ReplicasAt = replicas
	}
	if table.After(next.TableAt) {
		next.TableAt = table
	}
	if out.After(next.OutOfServiceAt) {
		next.OutOfServiceAt = out
	}
	r.view.Store(next)
}

// MarkFailing notes that the platform does not answer. An entry that is removed once
// this has lasted for minOutage, or within outageGrace after it, is kept until that
// grace ends.
func (r *Registry) MarkFailing() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failingSince.IsZero() {
		r.failingSince = r.Timer.Now()
	}
}

// MarkAnswering notes that the platform answers.
func (r *Registry) MarkAnswering() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inOutage() {
		r.recoveredAt = r.Timer.Now()
	}
	r.failingSince = time.Time{}
}

// MarkRestored notes that the platform answers from a copy of an earlier state. Entries
// that this lost are kept for outageGrace, within which replicas write them again.
func (r *Registry) MarkRestored() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recoveredAt = r.Timer.Now()
}

// inOutage reports whether the platform has been out for at least minOutage. The caller
// holds mu.
func (r *Registry) inOutage() bool {
	return !r.failingSince.IsZero() && r.Timer.Now().Sub(r.failingSince) >= minOutage
}

// Apply applies changes in the order in which they happened, as confirmed at the given
// time.
func (r *Registry) Apply(changes []Change, at time.Time) {
	r.mu.Lock()
	defer r.unlockAndNotify()
	for i := range changes {
		r.apply(&changes[i])
	}
	r.publish(at)
}

// Replace replaces the entries by the complete list of replicas, as confirmed at the
// given time.
func (r *Registry) Replace(all []Replica, at time.Time) {
	r.mu.Lock()
	defer r.unlockAndNotify()
	present := make(map[zlunit.Upstream]bool, len(all))
	for i := range all {
		present[all[i].ID] = true
		r.put(&all[i])
	}
	for id := range r.entries {
		if !present[id] {
			r.remove(id)
		}
	}
	r.publish(at)
}

// Expire drops entries that are still missing after the grace, and old tombstones. It
// is to be called periodically.
func (r *Registry) Expire() {
	r.mu.Lock()
	defer r.unlockAndNotify()
	now := r.Timer.Now()
	changed := false
	for id := range r.missing {
		if r.maybeOutage(now) {
			break
		}
		r.drop(id)
		changed = true
	}
	for id, t := range r.tombstones {
		if now.Sub(t.at) > tombstoneTTL {
			delete(r.tombstones, id)
		}
	}
	if changed {
		r.publish(r.View().ReplicasAt)
	}
}

func (r *Registry) apply(c *Change) {
	if c.Replica == nil {
		r.remove(c.ID)
		return
	}
	r.put(c.Replica)
}

// put adds an entry unless it is older than what is known. The caller holds mu.
func (r *Registry) put(replica *Replica) {
	r.init()
	if t, ok := r.tombstones[replica.ID]; ok {
		if !t.replica.older(replica) {
			return
		}
		delete(r.tombstones, replica.ID)
	}
	now := r.Timer.Now()
	old := r.entries[replica.ID]
	if old != nil && replica.older(&old.Replica) {
		return
	}
	delete(r.missing, replica.ID)
	e := &Entry{
		Replica:   *replica,
		FirstSeen: now,
	}
	if replica.ColdFor > 0 {
		e.ColdUntil = now.Add(replica.ColdFor)
	}
	switch {
	case old == nil || old.Incarnation != replica.Incarnation || old.Address != replica.Address:
		r.addNotice(string(replica.ID), "added", replica.Service)
	default:
		e.FirstSeen = old.FirstSeen
		if e.ColdUntil.IsZero() || (replica.Seq == old.Seq && replica.ColdFor == old.ColdFor) {
			e.ColdUntil = old.ColdUntil
		}
	}
	if replica.Draining && (old == nil || !old.Draining) {
		r.addNotice(string(replica.ID), "draining", replica.Service)
	}
	r.entries[replica.ID] = e
}

// remove drops an entry, or keeps it while an outage of the platform may be the reason
// for its removal. The caller holds mu.
func (r *Registry) remove(id zlunit.Upstream) {
	r.init()
	e, ok := r.entries[id]
	if !ok {
		return
	}
	if !e.Draining && r.maybeOutage(r.Timer.Now()) {
		if !r.missing[id] {
			r.addNotice(string(id), "held", e.Service)
			r.missing[id] = true
		}
		return
	}
	r.drop(id)
}

// maybeOutage reports whether the platform is out or was so recently that entries may be
// missing for that reason. The caller holds mu.
func (r *Registry) maybeOutage(now time.Time) bool {
	return r.inOutage() || (!r.recoveredAt.IsZero() && now.Before(r.recoveredAt.Add(outageGrace)))
}

// drop removes an entry and leaves a tombstone. The caller holds mu.
func (r *Registry) drop(id zlunit.Upstream) {
	delete(r.missing, id)
	if e, ok := r.entries[id]; ok {
		r.addNotice(string(id), "gone", e.Service)
		r.tombstones[id] = tombstone{
			replica: e.Replica,
			at:      r.Timer.Now(),
		}
		delete(r.entries, id)
	}
}

func (r *Registry) init() {
	if r.entries == nil {
		r.entries = map[zlunit.Upstream]*Entry{}
		r.tombstones = map[zlunit.Upstream]tombstone{}
		r.missing = map[zlunit.Upstream]bool{}
	}
}

func (r *Registry) copyView() *View {
	next := *r.View()
	return &next
}

// publish stores a view with the present replicas. The caller holds mu.
func (r *Registry) publish(at time.Time) {
	next := r.copyView()
	next.ReplicasAt = at
	next.Replicas = make(map[zlunit.Service][]*Entry, len(next.Replicas))
	for _, e := range r.entries {
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
	r.view.Store(next)
	r.settlePending()
}

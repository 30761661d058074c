package zlwatcher

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"zinnialock/core/version/zlrevision"
)

// maxDeltas is how many deltas of a topic are kept for peers that missed some. A peer
// that is further behind gets the full state.
const maxDeltas = 64

// Delta holds the changes of a topic between two revisions of the store.
type Delta struct {
	// FromRevision and ToRevision are revisions of the store; FromRevision is exclusive,
	// ToRevision inclusive.
	FromRevision zlrevision.Revision
	ToRevision   zlrevision.Revision
	Items        []Item
	// Full is true if the items are the whole topic at ToRevision; FromRevision is
	// ignored then.
	Full bool
}

// topicState is what this VM holds of a topic, besides what is in the registry.
type topicState struct {
	mu       sync.Mutex
	revision zlrevision.Revision
	// cancelCall ends the call to the store that is under way, if there is one.
	cancelCall context.CancelFunc
	// listed is true if everything up to revision is known.
	listed bool
	// watched is true while this VM watches the topic, also between two watches.
	watched bool
	// shortUntil is the time up to which watches are kept short, since they may miss
	// changes.
	shortUntil time.Time
	// items holds the items as of revision by key, or nil if nothing is known. deltas holds
	// the latest deltas, oldest first, each of which continues the one before it.
	items  map[string]Item
	deltas []*Delta
	// changedAt is when items last changed.
	changedAt time.Time
	// answeredAt is as of when the store last answered a watch or a list of this topic. A
	// watch that is under way proves nothing.
	answeredAt time.Time
	// refusedRevision is that of the last delta that dropsOrganisations refused.
	refusedRevision zlrevision.Revision
}

func (s *topicState) isListed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listed
}

// isKnown reports whether anything of the topic is known.
func (s *topicState) isKnown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items != nil
}

func (s *topicState) isWatched() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listed && s.watched
}

// requireList makes the watcher list the topic again.
func (s *topicState) requireList() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed = false
	s.watched = false
}

// startWatch notes that this VM watches the topic. It returns the revision to watch from,
// and whether the watch must be kept short.
func (s *topicState) startWatch(now time.Time) (fromRevision zlrevision.Revision, keepShort bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.watched {
		s.watched = true
		s.shortUntil = now.Add(shortWatchTime)
	}
	return s.revision, now.Before(s.shortUntil)
}

// stopWatch notes that this VM does not watch the topic any more.
func (s *topicState) stopWatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watched = false
}

// noteAnswer notes that the store answered a watch or a list as of the given time.
func (s *topicState) noteAnswer(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.answeredAt) {
		s.answeredAt = at
	}
}

// lastAnswer returns as of when the store last answered a watch or a list of this topic.
func (s *topicState) lastAnswer() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answeredAt
}

// beginCall sets what ends the call that begins.
func (s *topicState) beginCall(cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelCall = cancel
}

// requireEra makes the watcher list the topic again if it was listed in an earlier era.
func (s *topicState) requireEra(era zlrevision.Era) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.items == nil || s.revision.Era >= era {
		return
	}
	s.listed = false
	s.watched = false
	if s.cancelCall != nil {
		s.cancelCall()
	}
}

// key returns the name of an item within its topic; gone reports that the item is
// removed.
func key(i Item) (name string, gone bool) {
	switch i := i.(type) {
	case *TableItem:
		return tableKey, i.Table == nil
	case *ReplicaItem:
		return string(i.ID), i.Replica == nil
	case *OutOfServiceItem:
		return string(i.DataCentre), i.Removed
	case *RolloutItem:
		return i.Name, i.Order == nil
	default:
		return "", true
	}
}

// applyDelta applies a delta to the registry and keeps it for peers, unless what this VM
// holds is newer. fromStore reports that the delta came from the store itself and not from
// a peer; at is when a list was sent, or anything else received. It returns false for a
// delta that doesn't join what this VM holds, which is always the whole topic as of its
// revision.
func (w *Watcher) applyDelta(t Topic, d *Delta, at time.Time, fromStore bool) bool {
	s := &w.topics[t]
	deadline := w.tableDeadline(d, fromStore)
	era := w.noteEra(d.ToRevision.Era)
	s.mu.Lock()
	if d.ToRevision.Era < s.revision.Era {
		// A reply or message that was sent before the store went back.
		s.mu.Unlock()
		return true
	}
	d = w.withoutHeld(t, s, d, at, fromStore)
	if d == nil {
		s.mu.Unlock()
		if fromStore {
			w.confirm(t, at)
		}
		return true
	}
	if !s.joins(d) || !fromStore && w.refuses(s, d) {
		s.mu.Unlock()
		return false
	}
	s.put(t, d, w.Timer.Now())
	w.publish(t, s.items, d, at, deadline)
	// A list of an earlier era must be repeated.
	s.listed = s.revision.Era >= era
	if fromStore && s.listed {
		w.noteConfirmed(t, at)
	}
	s.mu.Unlock()
	if fromStore && w.OnUpdate != nil {
		w.OnUpdate(t, d)
	}
	return true
}

// withoutHeld returns the delta as far as what this VM holds is not newer: nil if all of it is,
// and a list that a peer has overtaken with the later changes. The caller holds the lock of s.
func (w *Watcher) withoutHeld(t Topic, s *topicState, d *Delta, at time.Time, fromStore bool) *Delta {
	isList := fromStore && d.Full
	switch {
	case isList && s.hasOvertaken(d, at):
		w.noteDependency("list", "overtaken", fmt.Sprintf("%s: revision %d, held %d", t, d.ToRevision.Number, s.revision.Number), 0)
		return s.withLaterDeltas(d)
	case !isList && s.items != nil && !s.revision.Before(d.ToRevision):
		return nil
	default:
		return d
	}
}

// hasOvertaken reports whether a peer sent a later state of the topic while the answer to a
// list, which was sent at the given time, was on its way. The caller holds mu.
func (s *topicState) hasOvertaken(list *Delta, at time.Time) bool {
	return s.items != nil && list.ToRevision.Before(s.revision) && !s.changedAt.Before(at)
}

// withLaterDeltas returns the list with the later changes of the kept deltas, or nil if
// those don't reach back that far. The caller holds mu.
func (s *topicState) withLaterDeltas(list *Delta) *Delta {
	if len(s.deltas) == 0 || list.ToRevision.Before(s.deltas[0].FromRevision) {
		return nil
	}
	d := &Delta{
		ToRevision: s.revision,
		Full:       true,
		Items:      slices.Clone(list.Items),
	}
	for _, kept := range s.deltas {
		if list.ToRevision.Before(kept.ToRevision) {
			d.Items = append(d.Items, kept.Items...)
		}
	}
	return d
}

// joins reports whether a delta continues what is held or replaces it. The caller holds mu.
func (s *topicState) joins(d *Delta) bool {
	return d.Full || s.items != nil && d.FromRevision.Era == s.revision.Era && !s.revision.Before(d.FromRevision)
}

// put changes what is held by a delta that joins it. The caller holds mu.
func (s *topicState) put(t Topic, d *Delta, now time.Time) {
	if t == TopicTable && d.Full {
		d.Items = s.withNewestTable(d.Items)
	}
	if d.Full {
		s.items = map[string]Item{}
		s.deltas = nil
	} else {
		if t == TopicTable {
			s.dropOlderTables(d)
		}
		s.deltas = append(s.deltas, d)
		if len(s.deltas) > maxDeltas {
			s.deltas = s.deltas[len(s.deltas)-maxDeltas:]
		}
	}
	for _, i := range d.Items {
		name, gone := key(i)
		if gone {
			delete(s.items, name)
		} else {
			s.items[name] = i
		}
	}
	s.revision = d.ToRevision
	s.changedAt = now
}

// withNewestTable returns the items of a whole topic, with the newest table that is
// known: a store that went back may list an older one until operators write the newer
// one again, and a VM that starts meanwhile gets it from its peers. The caller holds mu.
func (s *topicState) withNewestTable(items []Item) []Item {
	held, ok := s.items[tableKey].(*TableItem)
	if !ok {
		return items
	}
	for _, i := range items {
		if listed, ok := i.(*TableItem); ok && listed.Table != nil && listed.Table.Version >= held.Table.Version {
			return items
		}
	}
	return []Item{held}
}

// Revisions returns the revision up to which each topic is known; 0 means that
// nothing is known.
func (w *Watcher) Revisions() [NumTopics]zlrevision.Revision {
	var revisions [NumTopics]zlrevision.Revision
	for i := range w.topics {
		s := &w.topics[i]
		s.mu.Lock()
		if s.items != nil {
			revisions[i] = s.revision
		}
		s.mu.Unlock()
	}
	return revisions
}

// ApplyPeerDelta applies a delta from a peer if it joins what this VM holds, and reports
// whether this VM now has everything up to the delta's end. Topics that this VM doesn't
// follow are ignored.
//
// A table without organisations is not taken from a peer while this VM's table has some: a
// peer of a build that knows no organisations drops the field, and all callers would be let
// in. This VM then lacks the peer's revision, so that its PollPolicy lets it ask the store
// itself, which shows whether operators removed the organisations.
func (w *Watcher) ApplyPeerDelta(t Topic, d *Delta) bool {
	if !w.Follows(t) {
		return true
	}
	return w.applyDelta(t, d, w.Timer.Now(), false)
}

// DeltaSince returns the changes of a topic after a revision, in full if the kept deltas
// don't reach back that far. It returns nil if nothing is known or nothing changed.
func (w *Watcher) DeltaSince(t Topic, after zlrevision.Revision) *Delta {
	s := &w.topics[t]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.items == nil || !after.Before(s.revision) {
		return nil
	}
	d := &Delta{
		FromRevision: after,
		ToRevision:   s.revision,
	}
	if len(s.deltas) > 0 && !after.Before(s.deltas[0].FromRevision) && after.Number > 0 {
		for _, kept := range s.deltas {
			if after.Before(kept.ToRevision) {
				d.Items = append(d.Items, kept.Items...)
			}
		}
		return d
	}
	d.Full = true
	for _, i := range s.items {
		d.Items = append(d.Items, i)
	}
	return d
}

package zlwatcher

import (
	"fmt"
	"slices"

	"zinnialock/core/version/zlrevision"
	"zinnialock/core/version/zltable"
)

// tableKey is the name of the only item of TopicTable.
const tableKey = "table"

// heldTable returns the table that this VM holds, or nil. The caller holds mu.
func (s *topicState) heldTable() *zltable.Table {
	if item, ok := s.items[tableKey].(*TableItem); ok {
		return item.Table
	}
	return nil
}

// HeldTable returns the table that this VM holds, or nil. It may be newer than the one in
// force.
func (w *Watcher) HeldTable() *zltable.Table {
	s := &w.topics[TopicTable]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heldTable()
}

// NeedsKeys reports whether the table that this VM holds has organisations.
func (w *Watcher) NeedsKeys() bool {
	t := w.HeldTable()
	return t != nil && t.NeedsKeys()
}

// DropTableWithoutKeys forgets the revision of a table without organisations if a peer has
// the same revision with some: this VM started with a table from a peer of a build that knows
// no organisations. The table stays in force until the next list or fetch brings the whole.
func (w *Watcher) DropTableWithoutKeys(revision zlrevision.Revision) {
	s := &w.topics[TopicTable]
	s.mu.Lock()
	t := s.heldTable()
	if t == nil || t.NeedsKeys() || s.revision != revision {
		s.mu.Unlock()
		return
	}
	s.revision = zlrevision.Revision{}
	s.items = nil
	s.deltas = nil
	s.listed = false
	s.watched = false
	s.mu.Unlock()
	w.noteDependency("peer", "refused", fmt.Sprintf("%s: revision %d held without organisations", TopicTable, revision.Number), 0)
}

// refuses reports whether a delta of a peer must not be applied, and notes each such revision
// once. The caller holds the lock of s.
func (w *Watcher) refuses(s *topicState, d *Delta) bool {
	if !s.dropsOrganisations(d) {
		return false
	}
	if s.refusedRevision != d.ToRevision {
		s.refusedRevision = d.ToRevision
		w.noteDependency("peer", "refused", fmt.Sprintf("%s: revision %d without organisations", TopicTable, d.ToRevision.Number), 0)
	}
	return true
}

// dropsOrganisations reports whether a delta of a peer has a table without organisations
// while the table that this VM holds has some. The caller holds mu.
func (s *topicState) dropsOrganisations(d *Delta) bool {
	held := s.heldTable()
	return held != nil && held.NeedsKeys() && slices.ContainsFunc(d.Items, func(i Item) bool {
		item, ok := i.(*TableItem)
		return ok && item.Table != nil && !item.Table.NeedsKeys()
	})
}

// dropOlderTables removes the tables that the one of d replaces from the kept deltas: a
// table may have 1 MB of organisations, and a peer needs the newest one only. The caller
// holds mu.
func (s *topicState) dropOlderTables(d *Delta) {
	newest := zltable.Version(0)
	for _, i := range d.Items {
		if item, ok := i.(*TableItem); ok && item.Table != nil {
			newest = max(newest, item.Table.Version)
		}
	}
	isOlder := func(i Item) bool {
		item, ok := i.(*TableItem)
		return ok && item.Table != nil && item.Table.Version <= newest
	}
	for i, kept := range s.deltas {
		if slices.ContainsFunc(kept.Items, isOlder) {
			s.deltas[i] = &Delta{
				FromRevision: kept.FromRevision,
				ToRevision:   kept.ToRevision,
				Items:        slices.DeleteFunc(slices.Clone(kept.Items), isOlder),
			}
		}
	}
}

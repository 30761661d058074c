// Package zlhistory keeps the history of a record inside the record. Each accepted edit
// is one entry with a nonce, so that the edit and who made it are written atomically, and
// a write whose reply was lost can be recognised. It commits, rebases, reverts and merges
// edits in memory; reading and writing records is up to the caller.
package zlhistory

import (
	"cmp"
	"encoding/json"
	"reflect"
	"slices"
	"time"

	"zinnialock/core/process/zlunit"
)

// Nonce identifies one entry. It is a new random value for each.
type Nonce string

// Change sets or removes one value.
type Change struct {
	Path string `json:"path"`
	Key  string `json:"key"`
	// Old is the value before the change; nil for none.
	Old any `json:"old,omitempty"`
	// New is the value after the change; nil for none.
	New any `json:"new,omitempty"`
}

// FieldPath identifies a value of a record. Two changes of the same value may conflict.
type FieldPath struct {
	Path string
	Key  string
}

// Place returns the path of the value that c changes.
func (c Change) Place() FieldPath {
	return FieldPath{
		Path: c.Path,
		Key:  c.Key,
	}
}

// Entry is one accepted edit of a record, with any number of changes.
type Entry struct {
	// Serial is the serial number of the record once this edit has been applied.
	Serial zlunit.Serial `json:"serial"`
	Nonce  Nonce         `json:"nonce"`
	// By is who made the edit.
	By      string    `json:"by"`
	Reason  string    `json:"reason,omitempty"`
	At      time.Time `json:"at"`
	Changes []Change  `json:"changes"`
	// Omitted is the number of changes left out to limit the size of the entry.
	Omitted int `json:"omitted,omitempty"`
}

// Log is a list of entries, oldest first.
type Log []Entry

// Has reports whether the log contains the entry with the nonce.
func (l Log) Has(nonce Nonce) bool {
	for _, e := range l {
		if e.Nonce == nonce {
			return true
		}
	}
	return false
}

// Meta is the part of a record that this package maintains.
type Meta struct {
	// Serial increases with each entry; 0 for a record without any.
	Serial zlunit.Serial `json:"serial,omitempty"`
	// History holds the newest entries; older ones are in an archive.
	History Log `json:"history,omitempty"`
}

// Head implements Record.Head for types that embed Meta.
func (m *Meta) Head() *Meta {
	return m
}

// Since returns the entries after serial, and true if they contain all changes since
// then.
func (m *Meta) Since(serial zlunit.Serial) (Log, bool) {
	if m.Serial <= serial {
		return nil, m.Serial == serial
	}
	for i, e := range m.History {
		if e.Serial > serial {
			return m.History[i:], e.Serial == serial+1 && m.History[i:].complete()
		}
	}
	return nil, false
}

// complete reports whether the serials have no gap and no entry omits changes.
func (l Log) complete() bool {
	for i, e := range l {
		if e.Omitted > 0 || i > 0 && e.Serial != l[i-1].Serial+1 {
			return false
		}
	}
	return true
}

// Record is a set of values with its history.
type Record interface {
	// Head returns the serial and history, which the caller may change.
	Head() *Meta
	// Places lists the places that have a value, in any order.
	Places() []FieldPath
	// Value returns the value at a place; nil for none.
	Value(p FieldPath) any
	// Set sets the value of a place to c.New, or removes it if that is nil. e is the
	// entry that the change belongs to.
	Set(c Change, e *Entry)
}

const (
	// maxEntryBytes is the greatest size of an entry's changes, in bytes of JSON.
	maxEntryBytes = 64 << 10
	// maxHistoryBytes is the size of the history in a record, in bytes of JSON, above which
	// its oldest entries are moved to the archive.
	maxHistoryBytes = 8 << 10
	// keptHistoryBytes is the size, in bytes of JSON, down to which they are moved.
	keptHistoryBytes = 4 << 10
)

// Commit applies e to r: it sets the serial and the old values, drops changes that have no
// effect, and appends the entry to the history. If no change is left, it returns false and
// leaves r as it is.
func Commit(r Record, e Entry) bool {
	var changes []Change
	for _, c := range e.Changes {
		c.Old = r.Value(c.Place())
		if !reflect.DeepEqual(c.Old, c.New) {
			changes = append(changes, c)
		}
	}
	if len(changes) == 0 {
		return false
	}
	head := r.Head()
	head.Serial++
	e.Serial = head.Serial
	for _, c := range changes {
		r.Set(c, &e)
	}
	e.Changes, e.Omitted = fitEntry(changes)
	head.History = append(head.History[:len(head.History):len(head.History)], e)
	return true
}

// Diff returns the changes that turn the values of r into those of next, sorted by place.
func Diff(r, next Record) []Change {
	var changes []Change
	seen := map[FieldPath]bool{}
	for _, p := range append(r.Places(), next.Places()...) {
		old, value := r.Value(p), next.Value(p)
		if seen[p] || reflect.DeepEqual(old, value) {
			continue
		}
		seen[p] = true
		changes = append(changes, Change{
			Path: p.Path,
			Key:  p.Key,
			Old:  old,
			New:  value,
		})
	}
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Path, b.Path), cmp.Compare(a.Key, b.Key))
	})
	return changes
}

// fitEntry returns the first changes that fit into an entry, and the number of the others.
func fitEntry(changes []Change) ([]Change, int) {
	total := 0
	for i, c := range changes {
		total += jsonSize(c)
		if total > maxEntryBytes {
			return changes[:i], len(changes) - i
		}
	}
	return changes, 0
}

// jsonSize returns the size of value in bytes of JSON, or maxEntryBytes if it cannot be
// encoded.
func jsonSize(value any) int {
	data, err := json.Marshal(value)
	if err != nil {
		return maxEntryBytes
	}
	return len(data)
}

// Overflow returns the oldest entries, which are to be moved to the archive; nil if the
// history is small enough. The newest entry always stays.
func (m *Meta) Overflow() Log {
	sizes := make([]int, len(m.History))
	total := 0
	for i, e := range m.History {
		sizes[i] = jsonSize(e)
		total += sizes[i]
	}
	if total <= maxHistoryBytes {
		return nil
	}
	n := 0
	for n < len(sizes)-1 && total > keptHistoryBytes {
		total -= sizes[n]
		n++
	}
	return m.History[:n]
}

// Drop removes the entries returned by Overflow from the history once they are archived.
func (m *Meta) Drop(archived Log) {
	m.History = m.History[len(archived):]
}

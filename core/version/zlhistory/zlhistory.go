// Package zlhistory keeps the history of a record inside the record: each
// accepted change is one entry with a nonce, so that the change and the note
// of who made it take effect in one write, and a write whose reply was lost
// can be recognised.
package zlhistory

import (
	"cmp"
	"encoding/json"
	"reflect"
	"slices"
	"time"

	"zinnialock/core/process/zlunit"
)

// Nonce identifies one change; it is drawn anew for each.
type Nonce string

// Change is one value set or removed.
type Change struct {
	Path string `json:"path"`
	Key  string `json:"key"`
	// Old is the value before, nil for none.
	Old any `json:"old,omitempty"`
	// New is the value after, nil for none.
	New any `json:"new,omitempty"`
}

// Place is what a change is about; two changes of one place conflict.
type Place struct {
	Path string
	Key  string
}

// Place returns what c is about.
func (c Change) Place() Place {
	return Place{
		Path: c.Path,
		Key:  c.Key,
	}
}

// Entry is one accepted change of a record, of any number of values.
type Entry struct {
	Serial  zlunit.Serial `json:"serial"`
	Nonce   Nonce         `json:"nonce"`
	By      string        `json:"by"`
	Reason  string        `json:"reason,omitempty"`
	At      time.Time     `json:"at"`
	Changes []Change      `json:"changes"`
	// Omitted counts the changes left out to keep the entry small.
	Omitted int `json:"omitted,omitempty"`
}

// Log lists entries, oldest first.
type Log []Entry

// Has reports whether the log holds the entry with nonce.
func (l Log) Has(nonce Nonce) bool {
	for _, e := range l {
		if e.Nonce == nonce {
			return true
		}
	}
	return false
}

// Meta is the part of a record that zlhistory looks after.
type Meta struct {
	Serial  zlunit.Serial `json:"serial,omitempty"`
	History Log           `json:"history,omitempty"`
}

// Head returns m itself; embedding Meta gives a type this method.
func (m *Meta) Head() *Meta {
	return m
}

// Since returns the entries after serial, and false if the history does not
// hold all that was changed since then.
func (m *Meta) Since(serial zlunit.Serial) (Log, bool) {
	if m.Serial <= serial {
		return nil, m.Serial == serial
	}
	for i, e := range m.History {
		if e.Serial > serial {
			return m.History[i:], e.Serial == serial+1 && m.History[i:].whole()
		}
	}
	return nil, false
}

// whole reports whether the entries lack none among them and no change.
func (l Log) whole() bool {
	for i, e := range l {
		if e.Omitted > 0 || i > 0 && e.Serial != l[i-1].Serial+1 {
			return false
		}
	}
	return true
}

// Record is a set of values that knows its history.
type Record interface {
	// Head returns the serial and history.
	Head() *Meta
	// Places lists the places that have a value, in any order.
	Places() []Place
	// Value returns the value at a place, nil for none.
	Value(p Place) any
	// Set changes one value on behalf of e.
	Set(c Change, e *Entry)
}

const (
	// maxEntry bounds one entry, in bytes of JSON.
	maxEntry = 64 << 10
	// tailHigh is the size of a record's own history, in bytes of JSON, past
	// which its oldest entries are moved to the archive.
	tailHigh = 8 << 10
	// tailLow is the size that then stays.
	tailLow = 4 << 10
)

// Commit applies e to r: it fills in the serial and the old values, drops
// changes that change nothing and adds the entry to the history. It reports
// false, and leaves r alone, if nothing is left.
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
	e.Changes, e.Omitted = bound(changes)
	head.History = append(head.History[:len(head.History):len(head.History)], e)
	return true
}

// Diff lists the changes that turn the values of r into those of next, in the
// order of their places.
func Diff(r, next Record) []Change {
	var changes []Change
	seen := map[Place]bool{}
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

// bound keeps as many changes as an entry may hold and counts the rest.
func bound(changes []Change) ([]Change, int) {
	total := 0
	for i, c := range changes {
		total += size(c)
		if total > maxEntry {
			return changes[:i], len(changes) - i
		}
	}
	return changes, 0
}

func size(value any) int {
	data, err := json.Marshal(value)
	if err != nil {
		return maxEntry
	}
	return len(data)
}

// Overflow returns the oldest entries that are due for the archive; the newest
// entry always stays.
func (m *Meta) Overflow() Log {
	sizes := make([]int, len(m.History))
	total := 0
	for i, e := range m.History {
		sizes[i] = size(e)
		total += sizes[i]
	}
	if total <= tailHigh {
		return nil
	}
	n := 0
	for n < len(sizes)-1 && total > tailLow {
		total -= sizes[n]
		n++
	}
	return m.History[:n]
}

// Drop removes entries that are in the archive from the history.
func (m *Meta) Drop(archived Log) {
	m.History = m.History[len(archived):]
}

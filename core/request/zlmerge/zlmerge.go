// Package zlmerge collects the parts of a query of zinnialock serve, at most one for
// each shard, and computes from them the coverage of the answer: the share of the
// index version that was merged. Rows stay in the part of their shard, and no
// package orders or combines them: the answer holds the parts, and the caller
// combines their rows.
package zlmerge

import (
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
)

// Merge collects at most one part for each shard of one index version. It is not
// safe for concurrent use.
type Merge struct {
	version zlunit.IndexVersion
	parts   []zlquery.Part
	// present marks the shards that have a part, and merged counts them.
	present []bool
	merged  int
	// fullParts counts the parts with a coverage of 1.
	fullParts   int
	coverageSum zlunit.Coverage
}

// New returns an empty Merge for an index version with n shards.
func New(version zlunit.IndexVersion, n int) *Merge {
	return &Merge{
		version: version,
		parts:   make([]zlquery.Part, n),
		present: make([]bool, n),
	}
}

// Add adds a part and reports whether it did. A part of another version, of an
// unknown shard, with a coverage outside 0 to 1, or of a shard that already has a
// part is ignored.
func (m *Merge) Add(p zlquery.Part) bool {
	if p.Version != m.version || int(p.Shard) >= len(m.parts) || m.present[p.Shard] {
		return false
	}
	if !(p.Coverage >= 0 && p.Coverage <= 1) {
		return false
	}
	m.parts[p.Shard] = p
	m.present[p.Shard] = true
	m.merged++
	if p.Coverage == 1 {
		m.fullParts++
	}
	m.coverageSum += p.Coverage
	return true
}

// Has reports whether shard has a part. It panics if there is no such shard.
func (m *Merge) Has(shard zlunit.Shard) bool {
	return m.present[shard]
}

// Coverage returns the share of the index version that was merged, from 0 to 1. It
// is exactly 1 if every shard was merged in full.
func (m *Merge) Coverage() zlunit.Coverage {
	if m.Complete() {
		return 1
	}
	return m.coverageSum / zlunit.Coverage(len(m.parts))
}

// Complete reports whether every shard was merged in full.
func (m *Merge) Complete() bool {
	return m.fullParts == len(m.parts)
}

// Reachable returns the coverage that results if n more shards are merged in full.
func (m *Merge) Reachable(n int) zlunit.Coverage {
	if m.fullParts+n == len(m.parts) {
		return 1
	}
	return (m.coverageSum + zlunit.Coverage(n)) / zlunit.Coverage(len(m.parts))
}

// Parts returns the merged parts in shard order. Add must not be called afterwards,
// since the result may share memory with m.
func (m *Merge) Parts() []zlquery.Part {
	if m.merged == len(m.parts) {
		return m.parts
	}
	out := make([]zlquery.Part, 0, m.merged)
	for i, present := range m.present {
		if present {
			out = append(out, m.parts[i])
		}
	}
	return out
}

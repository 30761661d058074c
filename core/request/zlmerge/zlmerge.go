// Package zlmerge joins the parts of a query and counts coverage from what was
// merged.
package zlmerge

import (
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
)

// Merge collects at most one part for each shard of one index version.
type Merge struct {
	version zlunit.IndexVersion
	parts   []zlquery.Part
	has     []bool
	n       int
	// full counts the shards merged in full.
	full int
	sum  zlunit.Coverage
}

// New returns an empty merge for a version with n shards.
func New(version zlunit.IndexVersion, n int) *Merge {
	return &Merge{
		version: version,
		parts:   make([]zlquery.Part, n),
		has:     make([]bool, n),
	}
}

// Add takes a part and reports whether it was merged. A part of another
// version, of an unknown shard, with an impossible coverage, or for a shard
// that has one already, is left out.
func (m *Merge) Add(p zlquery.Part) bool {
	if p.Version != m.version || int(p.Shard) >= len(m.parts) || m.has[p.Shard] {
		return false
	}
	if !(p.Coverage >= 0 && p.Coverage <= 1) {
		return false
	}
	m.parts[p.Shard] = p
	m.has[p.Shard] = true
	m.n++
	if p.Coverage == 1 {
		m.full++
	}
	m.sum += p.Coverage
	return true
}

// Has reports whether shard has a part.
func (m *Merge) Has(shard zlunit.Shard) bool {
	return m.has[shard]
}

// Coverage returns the share of the version that was merged.
func (m *Merge) Coverage() zlunit.Coverage {
	if m.Complete() {
		return 1
	}
	return m.sum / zlunit.Coverage(len(m.parts))
}

// Complete reports whether every shard was merged in full.
func (m *Merge) Complete() bool {
	return m.full == len(m.parts)
}

// Reachable returns the coverage there is if n more shards are merged in full.
func (m *Merge) Reachable(n int) zlunit.Coverage {
	if m.full+n == len(m.parts) {
		return 1
	}
	return (m.sum + zlunit.Coverage(n)) / zlunit.Coverage(len(m.parts))
}

// Parts returns the merged parts in shard order. Add must not be called after.
func (m *Merge) Parts() []zlquery.Part {
	if m.n == len(m.parts) {
		return m.parts
	}
	out := make([]zlquery.Part, 0, m.n)
	for i, has := range m.has {
		if has {
			out = append(out, m.parts[i])
		}
	}
	return out
}

package zlhistory

// Forked reports whether held has accepted changes that next, which came from
// the platform, lacks: then the platform was restored from an older state.
// Where the history of next does not reach back to held, it is taken as a
// descendant.
func Forked(held, next Record) bool {
	return len(missing(held.Head(), next.Head())) > 0
}

// missing lists the entries of a that b lacks and that are not just beyond the
// reach of its history.
func missing(a, b *Meta) Log {
	var out Log
	for _, e := range a.History {
		if !b.History.Has(e.Nonce) && (e.Serial > b.Serial || b.reaches(e)) {
			out = append(out, e)
		}
	}
	return out
}

// reaches reports whether the history goes back to the serial of e.
func (m *Meta) reaches(e Entry) bool {
	return len(m.History) > 0 && m.History[0].Serial <= e.Serial
}

// Merge joins held, a daemon's record, and next, the one that a platform
// restored from an older state holds, and returns the join, which reuses one
// of the two. No accepted change of either is lost; where both changed a value,
// that of next stays, which is newer.
func Merge(held, next Record) Record {
	newer := missing(next.Head(), held.Head())
	if len(newer) == 0 && held.Head().Serial >= next.Head().Serial {
		return held
	}
	if next.Head().shares(held.Head()) {
		return replay(held, next, newer, nil)
	}
	// What was changed at the platform is only known as a whole.
	return replay(next, held, missing(held.Head(), next.Head()), newer)
}

// shares reports whether m has an entry in common with other, or all entries
// from the first on: then what m lists as newer is all there is.
func (m *Meta) shares(other *Meta) bool {
	if len(m.History) == 0 {
		return false
	}
	for _, e := range m.History {
		if e.Omitted > 0 {
			return false
		}
	}
	return m.History[0].Serial == 1 || other.History.Has(m.History[0].Nonce)
}

// replay applies entries on top of base, but for the values that keep changed.
// Serials go on above both records with a gap, so that nothing made on top of
// either alone passes for made on top of the join.
func replay(base, other Record, entries, keep Log) Record {
	head := base.Head()
	head.Serial = max(head.Serial, other.Head().Serial) + 1
	for _, e := range entries {
		var changes []Change
		for _, c := range e.Changes {
			if _, taken := lastOf(c, keep); taken {
				continue
			}
			c.Old = base.Value(c.Place())
			base.Set(c, &e)
			changes = append(changes, c)
		}
		head.Serial++
		e.Serial = head.Serial
		e.Changes = changes
		head.History = append(head.History[:len(head.History):len(head.History)], e)
	}
	if len(entries) == 0 {
		head.Serial++
	}
	return base
}

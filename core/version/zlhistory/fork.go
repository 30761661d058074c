package zlhistory

// Forked reports whether next, which was read from the platform, lacks accepted entries
// that held has. Then the platform was restored from an older state. If the history of
// next does not reach back to held, next counts as a descendant of held.
func Forked(held, next Record) bool {
	return len(missing(held.Head(), next.Head())) > 0
}

// missing lists the entries of a that b lacks, without those that are only older than the
// history of b.
func missing(a, b *Meta) Log {
	var out Log
	for _, e := range a.History {
		if !b.History.Has(e.Nonce) && (e.Serial > b.Serial || b.reaches(e)) {
			out = append(out, e)
		}
	}
	return out
}

// reaches reports whether the history of m goes back to the serial of e.
func (m *Meta) reaches(e Entry) bool {
	return len(m.History) > 0 && m.History[0].Serial <= e.Serial
}

// Merge merges held, a daemon's record, and next, the record of a platform that was
// restored from an older state. It returns the result, which is one of the two, changed
// in place. No accepted change of either is lost; if both changed a value, that of next
// stays, since it is newer.
func Merge(held, next Record) Record {
	newer := missing(next.Head(), held.Head())
	if len(newer) == 0 && held.Head().Serial >= next.Head().Serial {
		return held
	}
	if next.Head().sharesHistory(held.Head()) {
		return replay(held, next, newer, nil)
	}
	// The changes made at the platform are not all known one by one, so next is the base,
	// and the entries that only held has are applied to it.
	return replay(next, held, missing(held.Head(), next.Head()), newer)
}

// sharesHistory reports whether the history of m goes back to an entry of other or to the
// first entry, and no entry omits changes. Then it contains all that m has and other lacks.
func (m *Meta) sharesHistory(other *Meta) bool {
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

// replay applies entries to base, without the changes of places that keep changed, and
// returns base. The new serials are above those of both records, with a gap, so that an
// edit made on either record alone is not taken for one made on the result.
func replay(base, other Record, entries, keep Log) Record {
	head := base.Head()
	head.Serial = max(head.Serial, other.Head().Serial) + 1
	for _, e := range entries {
		var changes []Change
		for _, c := range e.Changes {
			if _, kept := lastChangeAtPath(c, keep); kept {
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

package zlvmcount

import (
	"context"
	"errors"
	"slices"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlrevision"
)

// list lists the entries and reports the count, or returns false if the list failed.
func (c *Counter) list(ctx context.Context) bool {
	listing, err := c.Store.Entries(ctx)
	if err == nil && listing.Era < c.era {
		err = errEarlierEra
	}
	if err != nil {
		c.noteFailure("count", err)
		return false
	}
	now := c.Timer.Now()
	counted := c.countedEntries(listing, now)
	count := Count{
		VMs: len(counted),
	}
	if !slices.ContainsFunc(counted, c.isSelf) {
		count.VMs++
	}
	for _, e := range counted {
		if e.Stopped {
			count.Stopped = append(count.Stopped, e)
		} else {
			count.Entries = append(count.Entries, e)
		}
	}
	if c.FirstSystemStart && c.lists < firstStartLists-1 {
		// VMs that started together may not all have written their entries yet.
		count.VMs = 0
	}
	if count.VMs != c.last.VMs && c.Sink != nil {
		c.Sink.Record(&zldecision.Belief{
			Topic:   "census",
			What:    "counted",
			Version: uint64(count.VMs),
		})
	}
	c.lists++
	c.last = count
	c.setShare(now)
	c.report()
	c.removeOld(ctx, listing.Entries, now)
	return true
}

// removeOld removes one entry of a VM that is long gone, so that the lists don't grow with each
// VM that is replaced. The first VM by name does it for all.
func (c *Counter) removeOld(ctx context.Context, listed []Entry, now time.Time) {
	for i := range c.last.Entries {
		if c.last.Entries[i].VM < c.Self {
			return
		}
	}
	for i := range listed {
		e := &listed[i]
		if e.VM == c.Self || now.Sub(c.seen[e.VM].at) < removeAfter {
			continue
		}
		if err := c.Store.Remove(ctx, e); err != nil {
			c.noteFailure("remove", err)
		}
		return
	}
}

// noteEra takes note of the store's era.
func (c *Counter) noteEra(era zlrevision.Era) {
	if era <= c.era {
		return
	}
	if c.era > 0 {
		c.restoredAt = c.Timer.Now()
	}
	c.era = era
}

// countedEntries returns the entries of the VMs that count, and takes note of the store's era
// and of this VM's entry.
func (c *Counter) countedEntries(listing *Listing, now time.Time) []Entry {
	c.noteEra(listing.Era)
	c.listedAt = now
	counted := make([]Entry, 0, len(listing.Entries))
	for _, e := range listing.Entries {
		age := now.Sub(c.note(&e, now))
		switch {
		case e.VM == c.Self:
			if c.ownRead && c.own.Revision.Before(e.Revision) {
				c.takeHeld(e)
			}
			// This process runs, whatever the one that wrote the entry did.
			e.Stopped = false
			counted = append(counted, e)
		case e.Stopped && age < stopHold, !e.Stopped && age < staleAfter:
			counted = append(counted, e)
		}
	}
	counted = c.appendMissing(counted, c.last.Entries, now)
	return c.appendMissing(counted, c.last.Stopped, now)
}

// isSelf reports whether an entry is this VM's.
func (c *Counter) isSelf(e Entry) bool {
	return e.VM == c.Self
}

// note takes note of a listed entry and returns when its revision was first seen.
func (c *Counter) note(e *Entry, now time.Time) time.Time {
	s, ok := c.seen[e.VM]
	if !ok || s.revision.Before(e.Revision) {
		s = seenEntry{
			revision: e.Revision,
			at:       now,
		}
	}
	s.listedAt = now
	c.seen[e.VM] = s
	return s.at
}

// errEarlierEra rejects a list from before the store went back.
var errEarlierEra = errors.New("the list is from before the store went back")

// isListed reports whether the last list had an entry of the VM.
func (c *Counter) isListed(vm zlunit.VM) bool {
	s, ok := c.seen[vm]
	return ok && s.listedAt.Equal(c.listedAt)
}

// appendMissing appends those entries of the count before that are not listed any more and
// still count: those that the store may have lost when it went back, and those that were
// removed. Their VMs may run, and must find out before the others use more.
func (c *Counter) appendMissing(counted, before []Entry, now time.Time) []Entry {
	for _, e := range before {
		switch {
		case c.isListed(e.VM):
		case c.isRestoring(now):
			counted = append(counted, e)
		case now.Sub(c.seen[e.VM].listedAt) < stopHold:
			e.Stopped = e.VM != c.Self
			counted = append(counted, e)
		}
	}
	return counted
}

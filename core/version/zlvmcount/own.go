package zlvmcount

import (
	"context"
	"errors"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/version/zlrevision"
)

const (
	// writeAttempts bounds the writes in a row whose condition failed.
	writeAttempts = 3
	// wallMargin is how much the wall clock of a VM may be wrong from one process to the
	// next: it may jump by seconds, and a write may be done seconds after it was sent.
	wallMargin = 15 * time.Second
)

// readOwn reads this VM's entry at the start, once. A list doesn't do: it may be seconds old,
// and show an entry that was removed since, or this process's own, whose write was not answered.
func (c *Counter) readOwn(ctx context.Context) {
	if c.ownRead {
		return
	}
	listing, err := c.Store.Own(ctx)
	if err != nil {
		c.noteFailure("read", err)
		return
	}
	c.ownRead = true
	c.noteEra(listing.Era)
	for _, e := range listing.Entries {
		c.takeHeld(e)
	}
	if c.own.Address != c.Address {
		c.announce(ctx)
	}
	// Otherwise it is written after the next list: VMs that restart together must not all
	// write at once.
}

// takeHeld takes note of this VM's entry as the store held it.
func (c *Counter) takeHeld(e Entry) {
	c.own = e
	switch {
	case e.Incarnation == c.Incarnation:
		// The write was not answered, or the store went back to it.
	case c.writtenAt.IsZero():
		c.adopt(&e)
	default:
		// Another process writes the same entry; both would use the same share.
		c.loseShare("overwritten")
	}
}

// adopt takes over what the entry of an earlier process proves: that all others count this VM,
// if it is old enough for all to have listed it and not so old that any may have dropped it.
func (c *Counter) adopt(e *Entry) {
	if e.Address != c.Address || e.Era != e.Revision.Era || e.CountedFrom.IsZero() {
		c.dropShare("entry not counted")
		return
	}
	hold := staleAfter
	if e.Stopped {
		hold = stopHold
	}
	now := c.Timer.Now()
	wall := now.Round(0)
	age, lasts := wall.Sub(e.Written), hold-newVMDelay-wallMargin
	if age < -wallMargin || age >= lasts {
		c.dropShare("entry too old")
		return
	}
	c.countedFrom = now.Add(min(e.CountedFrom.Sub(wall)+wallMargin, newVMDelay))
	c.refreshedAt = now
	c.lasts = lasts - age
	c.restarted = true
}

// loseShare notes that the others may not count this VM any more. After the store went back
// they count all that they counted before.
func (c *Counter) loseShare(why string) {
	if c.from.IsZero() || !c.isRestoring(c.Timer.Now()) {
		c.dropShare(why)
	}
}

// dropShare ends the use of this VM's share until all others count it again.
func (c *Counter) dropShare(why string) {
	c.countedFrom, c.restarted = time.Time{}, false
	if !c.from.IsZero() {
		c.noteShare("shareLost", why)
	}
	c.from = time.Time{}
}

// isRestoring reports whether the store went back so shortly ago that lost entries still count.
func (c *Counter) isRestoring(now time.Time) bool {
	return !c.restoredAt.IsZero() && now.Sub(c.restoredAt) < restoreHold
}

// setShare sets from, from which this VM may use its share.
func (c *Counter) setShare(now time.Time) {
	if !c.countedFrom.IsZero() && zltimer.Elapsed(c.refreshedAt, now) >= c.lasts {
		c.dropShare("not renewed")
	}
	early := c.FirstSystemStart && c.countedFrom.Equal(c.startedAt.Add(firstStartDelay))
	switch {
	case !c.from.IsZero() || c.countedFrom.IsZero():
		return
	case early && c.lists < firstStartLists, !early && now.Before(c.countedFrom):
		return
	}
	c.from = now
	c.noteShare("shareHeld", "")
}

// updateShare reports that this VM gained or lost its share since the last list.
func (c *Counter) updateShare() {
	c.setShare(c.Timer.Now())
	if c.lists > 0 && !c.last.CountedSince.Equal(c.from) {
		c.report()
	}
}

// report calls OnCount with the last count.
func (c *Counter) report() {
	c.last.CountedSince = c.from
	c.last.Restarted = c.restarted
	count := c.last
	c.OnCount(&count)
}

// mustWrite reports whether this VM's entry must be written: this process did not write the
// one that the store has, it is due for renewal, or it was removed.
func (c *Counter) mustWrite() bool {
	age := c.Timer.Now().Sub(c.writtenAt)
	switch {
	case !c.ownRead:
		return false
	case c.own.Incarnation != c.Incarnation || age >= renewInterval:
		return true
	default:
		return !c.isListed(c.Self) && (age >= maxLag || c.writtenAt.Before(c.restoredAt))
	}
}

// announce writes this VM's entry over the state that is known of it, or over the one that the
// store has if that changed.
func (c *Counter) announce(ctx context.Context) {
	defer c.updateShare()
	var err error
	for range writeAttempts {
		began := c.Timer.Now()
		var held *Entry
		held, err = c.Store.Write(ctx, c.entry(began, false))
		switch {
		case errors.Is(err, ErrChanged) && held != nil:
			c.takeHeld(*held)
		case errors.Is(err, ErrChanged):
			c.own = Entry{}
			c.loseShare("removed")
		case err != nil:
			c.noteFailure("announce", err)
			return
		default:
			c.own = *held
			c.writtenAt = c.Timer.Now()
			if c.countedFrom.IsZero() {
				c.countedFrom = c.countedAfter(c.writtenAt)
			}
			c.refreshedAt = began
			c.lasts = staleAfter - newVMDelay
			return
		}
	}
	c.noteFailure("announce", err)
}

// markStopped marks this VM's entry as that of a stopped VM, unless another process wrote it.
func (c *Counter) markStopped(ctx context.Context) {
	if c.own.Revision == (zlrevision.Revision{}) {
		return
	}
	if _, err := c.Store.Write(ctx, c.entry(c.Timer.Now(), true)); err != nil {
		c.noteFailure("stop", err)
	}
}

// countedAfter returns from when all others count this VM if its entry came into the store at
// the given time. VMs that start together for the first time list more often.
func (c *Counter) countedAfter(at time.Time) time.Time {
	if c.FirstSystemStart && at.Sub(c.startedAt) <= startInterval {
		return c.startedAt.Add(firstStartDelay)
	}
	return at.Add(newVMDelay)
}

// entry returns what this VM writes at the given time.
func (c *Counter) entry(now time.Time, stopped bool) *Entry {
	countedFrom := c.countedFrom
	if countedFrom.IsZero() {
		countedFrom = c.countedAfter(now)
	}
	return &Entry{
		VM:          c.Self,
		DataCentre:  c.DataCentre,
		Address:     c.Address,
		Incarnation: c.Incarnation,
		Stopped:     stopped,
		CountedFrom: countedFrom.Round(0),
		Written:     now.Round(0),
		Era:         c.era,
		Revision:    c.own.Revision,
	}
}

// noteShare notes in the decision log that this VM gained or lost its share.
func (c *Counter) noteShare(what, why string) {
	if c.Sink != nil {
		c.Sink.Record(&zldecision.Belief{
			Topic: "census",
			Name:  why,
			What:  what,
		})
	}
}

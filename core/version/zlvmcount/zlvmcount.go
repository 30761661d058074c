// Package zlvmcount counts the VMs that share the replicas, since each may use only its
// share of their capacity and of the budgets. Each VM keeps one entry in the
// platform's store and lists all entries periodically; the count and the entries go
// to a callback. It detects failures only after minutes and is no membership protocol.
//
// All writes of an entry are conditional on its revision, so that a write of an ended
// process that the store does late changes nothing once the next process has written. A
// planned stop doesn't remove the entry but marks it, and the others count it long enough
// for a restart (docs/design/vm-count.md).
package zlvmcount

import (
	"context"
	"math/rand/v2"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlrevision"
)

const (
	// startInterval is the time between the first lists, short so that VMs that start
	// together soon see each other.
	startInterval = 2 * time.Second
	// listInterval is the time between lists. They may be answered from a lagging copy.
	listInterval = 15 * time.Second
	// renewInterval is the time between writes of an unchanged entry.
	renewInterval = time.Minute
	// staleAfter is how long an entry counts after its last renewal.
	staleAfter = 3 * renewInterval
	// jitterPercent is the greatest random addition to each wait, in percent of it.
	jitterPercent = 30
	// removeAfter is how long after its last write the entry of a VM that is gone is removed:
	// long after it counts, so that nothing depends on it.
	removeAfter = 10 * time.Minute
	// maxLag is the greatest lag of a list. The platform documents it as "seconds".
	maxLag = 10 * time.Second
	// retryDelay is the time to the next list after a failed one.
	retryDelay = 500 * time.Millisecond
	// firstStartLists is how many lists, startInterval apart, the VMs need to see each
	// other when the whole system starts for the first time, and firstStartDelay how long
	// that takes.
	firstStartLists = 3
	firstStartDelay = firstStartLists * (startInterval + startInterval*jitterPercent/100)
	// restoreHold is how long after the store went back the VMs that were counted before
	// still count without an entry: each VM must list, write its entry again and be
	// listed by the others.
	restoreHold = 2*(listInterval+listInterval*jitterPercent/100) + maxLag
	// stopHold is how long after a planned stop a VM still counts: its next process must
	// start, and its entry be listed by all others, before one of them counts it out.
	stopHold = 2 * newVMDelay
	// newVMDelay is how long after its first entry a new VM is counted by all others:
	// the longest time between two lists plus the lag of a list.
	newVMDelay = listInterval + listInterval*jitterPercent/100 + maxLag
)

// Count is the result of listing the entries.
type Count struct {
	// Entries are those of the VMs that count as running.
	Entries []Entry
	// Stopped are those of the VMs that count but were stopped; most start again.
	Stopped []Entry
	// VMs is the number of VMs, with the stopped ones and this one; 0 while it is not known.
	VMs int
	// CountedSince is the time from which the other VMs count this one too, so that it
	// may use its share; zero while some may not count it yet.
	CountedSince time.Time
	// Restarted is true if the entry of an earlier incarnation of this VM was found. How
	// much of the share that incarnation recently used is not known.
	Restarted bool
}

// Counter keeps this VM's entry and counts the VMs. Exported fields must be set before
// Run.
type Counter struct {
	Self       zlunit.VM
	DataCentre zlunit.DataCentre
	// Incarnation identifies this process among those of this VM.
	Incarnation Incarnation
	// Address is where this VM receives messages of other VMs.
	Address string
	Timer   *zltimer.Service
	Store   Store
	// Sink receives changes of the count and failed calls; may be nil.
	Sink zldecision.Sink
	// FirstSystemStart is true if the whole system starts for the first time: no VM has
	// written an entry yet, and no caller waits for this one.
	FirstSystemStart bool
	// OnCount is called with the VM count after each successful listing of the VM
	// entries in Store.
	OnCount func(c *Count)
	// Done ends Run when it is closed.
	Done <-chan struct{}

	// own is this VM's entry as the store last showed it, of any incarnation; its revision is
	// zero if there was none. ownRead is true once it was read.
	own     Entry
	ownRead bool
	// countedFrom is from when all others count this VM, since its entry has been in the store
	// without interruption; zero if that is not known. refreshedAt is when the entry was last
	// written at the earliest, and lasts how long after that they count it.
	countedFrom time.Time
	refreshedAt time.Time
	lasts       time.Duration
	// startedAt is when Run began.
	startedAt time.Time
	// seen holds what was last seen of each VM's entry.
	seen map[zlunit.VM]seenEntry
	// writtenAt is when this process last wrote the entry; zero if it never did.
	writtenAt time.Time
	// era is the newest known era of the store, and restoredAt when the store was seen to
	// have gone back; zero if it never was.
	era        zlrevision.Era
	restoredAt time.Time
	// lists is the number of successful lists, listedAt when the last one was, and last its
	// result.
	lists    int
	listedAt time.Time
	last     Count
	// from is Count.CountedSince.
	from time.Time
	// restarted is Count.Restarted.
	restarted bool
}

// seenEntry is the newest seen state of an entry.
type seenEntry struct {
	revision zlrevision.Revision
	// at is when this revision was first seen, and listedAt when the entry was last listed.
	at       time.Time
	listedAt time.Time
}

// Run counts until Done is closed, and then marks the entry as stopped.
func (c *Counter) Run() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.seen = map[zlunit.VM]seenEntry{}
	c.startedAt = c.Timer.Now()
	c.readOwn(ctx)
	// VMs that restart together must not all write at once.
	wait := startInterval + time.Duration(rand.Float64()*float64(startInterval))
	if c.FirstSystemStart {
		wait = startInterval
	} else if !c.list(ctx) {
		wait = retryDelay
	}
	if !c.ownRead {
		wait = retryDelay
	}
	for c.Timer.Sleep(c.Done, wait) {
		wait = retryDelay
		c.updateShare()
		c.readOwn(ctx)
		if c.list(ctx) && c.ownRead {
			wait = c.nextInterval()
		}
		if c.mustWrite() {
			c.announce(ctx)
		}
		wait += time.Duration(rand.Float64() * jitterPercent / 100 * float64(wait))
		// The share begins with a list.
		if left := c.countedFrom.Sub(c.Timer.Now()); c.from.IsZero() && left > 0 {
			wait = min(wait, left)
		}
	}
	c.markStopped(ctx)
}

// nextInterval returns the time from a successful list to the next.
func (c *Counter) nextInterval() time.Duration {
	if c.FirstSystemStart && c.lists < firstStartLists {
		return startInterval
	}
	return listInterval
}

// noteFailure notes a failed call to the store in the decision log.
func (c *Counter) noteFailure(operation string, err error) {
	if c.Sink != nil {
		c.Sink.Record(&zldecision.Dependency{
			Name:  "census",
			State: "failed",
			Why:   operation + ": " + err.Error(),
		})
	}
}

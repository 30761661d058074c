// Package zlcensus counts the VMs that share the replicas, since each may use
// only its part of what the replicas and the budgets bear. Each VM keeps one
// entry in the platform's store and looks at all of them now and then.
package zlcensus

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
)

const (
	// secondLook is how long after the first count the entries are counted
	// again, so that VMs which start together see each other.
	secondLook = 2 * time.Second
	// lookEach is the time between counts; a lagging list does.
	lookEach = 15 * time.Second
	// renewEach is the time between writes of an unchanged entry.
	renewEach = time.Minute
	// staleAfter is how long an entry counts that is not renewed.
	staleAfter = 3 * renewEach
	// spreadPercent lengthens each wait by up to so much.
	spreadPercent = 30
	// lagMost is how old what a lagging list shows may be: "seconds".
	lagMost = 10 * time.Second
	// retryLook is the time to the next look after one that failed.
	retryLook = 500 * time.Millisecond
	// firstLooks is how many looks, secondLook apart, the VMs that start for the
	// first time take to have seen each other.
	firstLooks = 3
	// newcomer is how long after its entry was written all others have counted a
	// VM that they did not know: the longest time between two looks, and what a
	// list may lag.
	newcomer = lookEach + lookEach*spreadPercent/100 + lagMost
	// Assumed is how many VMs are assumed before the first count: more than the
	// 90 of the platform's pages.
	Assumed = 100
)

// Count is what a look at the entries showed.
type Count struct {
	Entries []Entry
	// VMs is the number to reckon with.
	VMs int
	// From is since when the others reckon with this VM as well, so that it may
	// use its part of what all share; zero means that they may not yet.
	From time.Time
	// Again tells that this VM had another life before, of which it does not know
	// what it used lately.
	Again bool
}

// Entry is what one VM wrote of itself.
type Entry struct {
	VM         zlunit.VM
	DataCentre zlunit.DataCentre
	// Address is where the VM takes messages of others.
	Address string
	// Revision grows with each write.
	Revision uint64
}

// Store keeps the entries.
type Store interface {
	// Announce writes this VM's entry; exists tells that it was seen.
	Announce(ctx context.Context, exists bool) error
	// Withdraw removes it.
	Withdraw(ctx context.Context) error
	// Entries lists all; the list may lag by seconds.
	Entries(ctx context.Context) ([]Entry, error)
}

// Census counts. Exported fields must be set before Run; Sink may be nil.
type Census struct {
	Self zlunit.VM
	// Address is where this VM takes messages of others.
	Address string
	Timer   *zltimer.Service
	Store   Store
	Sink    zldecision.Sink
	// First tells that the whole system starts for the first time: no VM has
	// written an entry yet, and nobody waits for this one.
	First bool
	// Counted is called at each look.
	Counted func(c *Count)
	Done    <-chan struct{}

	seen    map[zlunit.VM]sight
	count   atomic.Int64
	written time.Time
	// first is when this life wrote its entry for the first time.
	first time.Time
	// listed tells that the last look showed this VM's entry.
	listed bool
	looks  int
	// from is Count.From, once it is known.
	from  time.Time
	again bool
}

type sight struct {
	revision uint64
	at       time.Time
	address  string
}

// Run counts until Done is closed and withdraws the entry then.
func (c *Census) Run() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.seen = map[zlunit.VM]sight{}
	began := c.Timer.Now()
	looked := !c.First && c.look(ctx)
	if own, ok := c.seen[c.Self]; ok && own.address == c.Address {
		// The entry of an earlier life holds. When it was written is not known;
		// the VMs that start again together write theirs one by one.
		c.written = began.Add(-time.Duration(rand.Float64() * float64(renewEach)))
	} else {
		c.announce(ctx)
	}
	wait := secondLook
	if !c.First && !looked {
		wait = retryLook
	}
	for c.Timer.Sleep(c.Done, wait) {
		wait = retryLook
		if c.look(ctx) {
			wait = c.pause()
		}
		if c.isDue() {
			c.announce(ctx)
		}
		wait += time.Duration(rand.Float64() * spreadPercent / 100 * float64(wait))
	}
	if err := c.Store.Withdraw(ctx); err != nil {
		c.failed("withdraw", err)
	}
}

// pause is the time from a look to the next.
func (c *Census) pause() time.Duration {
	if c.First && c.looks < firstLooks {
		return secondLook
	}
	return lookEach
}

// settle works out since when the others reckon with this VM. One whose entry was
// there before it began is counted already.
func (c *Census) settle(now time.Time) {
	switch {
	case !c.from.IsZero():
	case c.First:
		if c.looks >= firstLooks {
			c.from = now
		}
	case c.written.IsZero():
		if _, known := c.seen[c.Self]; known {
			c.from = now
			c.again = true
		}
	case now.Sub(c.first) >= newcomer:
		c.from = now
	}
}

// isDue reports whether this VM's entry is to be written: it was not yet, it
// gets old, or it is gone.
func (c *Census) isDue() bool {
	age := c.Timer.Now().Sub(c.written)
	return age >= renewEach || age >= lagMost && !c.listed
}

func (c *Census) announce(ctx context.Context) {
	_, exists := c.seen[c.Self]
	if err := c.Store.Announce(ctx, exists); err != nil {
		c.failed("announce", err)
		return
	}
	c.written = c.Timer.Now()
	if c.first.IsZero() {
		c.first = c.written
	}
}

func (c *Census) look(ctx context.Context) bool {
	entries, err := c.Store.Entries(ctx)
	if err != nil {
		c.failed("count", err)
		return false
	}
	now := c.Timer.Now()
	var alive []Entry
	c.listed = false
	for _, e := range entries {
		c.listed = c.listed || e.VM == c.Self
		s, ok := c.seen[e.VM]
		if !ok || e.Revision > s.revision {
			s = sight{
				revision: e.Revision,
				at:       now,
				address:  e.Address,
			}
			c.seen[e.VM] = s
		}
		if now.Sub(s.at) < staleAfter {
			alive = append(alive, e)
		}
	}
	n := max(len(alive), 1)
	if c.First && c.looks < firstLooks-1 {
		// VMs that started together may not all have written their entries.
		n = max(n, Assumed)
	}
	c.looks++
	if int64(n) != c.count.Swap(int64(n)) {
		if c.Sink != nil {
			c.Sink.Note(&zldecision.Belief{
				Topic:   "census",
				What:    "counted",
				Version: uint64(n),
			})
		}
	}
	c.settle(now)
	c.Counted(&Count{
		Entries: alive,
		VMs:     n,
		From:    c.from,
		Again:   c.again,
	})
	return true
}

func (c *Census) failed(what string, err error) {
	if c.Sink != nil {
		c.Sink.Note(&zldecision.Dependency{
			Name:  "census",
			State: "failed",
			Why:   what + ": " + err.Error(),
		})
	}
}

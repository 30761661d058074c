// Package zlfeed decides which VMs of a data centre ask the platform's store for
// news and which are fed by those. No message elects anyone: an order of the VMs
// that each works out alone says who asks first, and the age of what others
// confirmed says who else must.
package zlfeed

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlfollow"

	"github.com/cespare/xxhash/v2"
)

const (
	// freshShare is the part of the time allowed for news within which a
	// confirmation by others must be; what is left is for a list of one's own.
	freshShare = 0.4
	// rankShare is by which part of that the VMs of low rank ask sooner, so
	// that one takes over before the others must.
	rankShare = 0.1
	// rankMost bounds the rank that counts.
	rankMost = 4
	// graceStep is for how long, times its rank, a VM waits to be fed before it
	// asks by itself.
	graceStep = 40 * time.Millisecond
	// startShare is by which part of Within a VM that was given news at its
	// start waits for the first beat: two beats. The news may be freshShare old.
	startShare = 0.2
	// returnShare and returnStep are by which parts of Within a VM waits to be
	// fed once it has the store again, the second times its rank up to
	// returnRank. The first of the order may find the store back by a pulse (0.2)
	// later, and a list and a beat (0.1) after that; all together leaves 0.3.
	returnShare = 0.3
	returnStep  = 0.1
	returnRank  = 2
	// censusWait is how long a VM waits to know the others before it asks the
	// store without: a few calls of the store. When all VMs start for the first
	// time there are no callers yet, and firstWait lets them see each other.
	censusWait = 300 * time.Millisecond
	firstWait  = 5 * time.Second
	// behindMost is how long a VM may be behind the others' revisions while it
	// fetches what it lacks.
	behindMost = 400 * time.Millisecond
)

// Member is a VM that wrote its entry.
type Member struct {
	VM         zlunit.VM
	DataCentre zlunit.DataCentre
	// Address is where it takes messages of other VMs.
	Address string
}

// Beat is what a VM that asks the store tells the others of its data centre.
type Beat struct {
	VM zlunit.VM
	// Age is the time since the store confirmed Revisions; below 0 it did not.
	Age       time.Duration
	Revisions [zlfollow.Topics]uint64
}

// Feed implements zlfollow.Feed. Exported fields must be set before use.
type Feed struct {
	Timer *zltimer.Service
	Self  Member
	// Within is the time in which news must be in force.
	Within time.Duration
	// Start is when this process began, and First tells that it is one of the
	// first of the whole system.
	Start time.Time
	First bool
	// Revisions are those that this VM holds.
	Revisions func() [zlfollow.Topics]uint64

	mu      sync.Mutex
	members []Member
	rank    int
	known   bool
	// confirmed is the newest time at which the store confirmed what a beat
	// brought, with the revisions that this VM must have for it to count.
	confirmed time.Time
	// settled is the newest such time at which this VM had them all.
	settled time.Time
	wanted  [zlfollow.Topics]uint64
	behind  time.Time
	// unfed is since when nobody feeds this VM.
	unfed time.Time
	// returned tells that it had lost the store and nobody has fed it since.
	returned bool
}

// SetMembers takes the VMs that are known; this one need not be among them.
func (f *Feed) SetMembers(all []Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = f.members[:0]
	rank := 0
	own := score(f.Self.VM)
	for _, m := range all {
		if m.VM == f.Self.VM || m.DataCentre != f.Self.DataCentre || m.Address == "" {
			continue
		}
		f.members = append(f.members, m)
		if score(m.VM) < own {
			rank++
		}
	}
	slices.SortFunc(f.members, func(a, b Member) int {
		return cmp.Compare(score(a.VM), score(b.VM))
	})
	f.rank = rank
	f.known = true
	if f.unfed.IsZero() {
		f.unfed = f.Timer.Now()
	}
}

// score orders VMs; it is spread, so that the VMs that ask do not follow from
// their names.
func score(vm zlunit.VM) uint64 {
	return xxhash.Sum64String(string(vm))
}

// Members are the other VMs of the data centre, those that ask first first.
func (f *Feed) Members() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.members)
}

// Hear takes a beat and reports whether this VM lacks news that it tells of.
func (f *Feed) Hear(b *Beat) bool {
	now := f.Timer.Now()
	have := f.Revisions()
	f.mu.Lock()
	defer f.mu.Unlock()
	lacks := false
	for i, r := range b.Revisions {
		lacks = lacks || r > have[i]
		if b.Age >= 0 {
			f.wanted[i] = max(f.wanted[i], r)
		}
	}
	if b.Age < 0 {
		return lacks
	}
	if at := now.Add(-b.Age); at.After(f.confirmed) {
		f.confirmed = at
		if !lacks {
			f.settled = at
		}
	}
	return lacks
}

// PeersConfirmedAt implements zlfollow.Feed.
func (f *Feed) PeersConfirmedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settled
}

// fresh is how old a confirmation may be; mu is held.
func (f *Feed) fresh() time.Duration {
	early := 1 - rankShare*float64(max(rankMost-f.rank, 0))
	return time.Duration(freshShare * early * float64(f.Within))
}

// FedByPeers implements zlfollow.Feed.
func (f *Feed) FedByPeers(lost bool) bool {
	have := f.Revisions()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fed(lost, have)
}

// fed is FedByPeers with what this VM holds; mu is held.
func (f *Feed) fed(lost bool, have [zlfollow.Topics]uint64) bool {
	now := f.Timer.Now()
	fed := f.known && (f.rank > 0 || lost) && now.Sub(f.confirmed) <= f.fresh() && f.upToDate(now, have)
	switch {
	case fed:
		f.unfed = time.Time{}
		f.returned = false
	case lost:
	case f.unfed.IsZero():
		f.unfed = now
	}
	return fed
}

// upToDate reports whether this VM holds what was confirmed, or lacks it only
// for a moment; mu is held.
func (f *Feed) upToDate(now time.Time, have [zlfollow.Topics]uint64) bool {
	for i, r := range f.wanted {
		if have[i] == 0 {
			return false
		}
		if have[i] < r {
			if f.behind.IsZero() {
				f.behind = now
			}
			return now.Sub(f.behind) <= behindMost
		}
	}
	f.behind = time.Time{}
	return true
}

// MayPoll implements zlfollow.Feed.
func (f *Feed) MayPoll() bool {
	have := f.Revisions()
	f.mu.Lock()
	defer f.mu.Unlock()
	age := f.Timer.Now().Sub(f.Start)
	switch {
	case f.fed(false, have):
		return false
	case f.First && age < firstWait:
		return f.known && f.rank == 0
	case !f.known && age < censusWait:
		return false
	}
	return f.Timer.Now().Sub(f.unfed) >= f.grace(have)
}

// StoreRegained implements zlfollow.Feed.
func (f *Feed) StoreRegained() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unfed = f.Timer.Now()
	f.returned = true
}

// grace is how long this VM waits to be fed before it asks; mu is held.
func (f *Feed) grace(have [zlfollow.Topics]uint64) time.Duration {
	switch {
	case f.rank == 0:
		return 0
	case f.returned:
		share := returnShare + returnStep*float64(min(f.rank-1, returnRank))
		return time.Duration(share * float64(f.Within))
	case f.confirmed.IsZero() && !slices.Contains(have[:], 0):
		return time.Duration(startShare * float64(f.Within))
	default:
		return graceStep * time.Duration(min(f.rank, rankMost))
	}
}

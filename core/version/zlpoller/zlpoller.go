// Package zlfeed decides which VMs of a data centre poll the platform's store and
// which rely on the updates that those send them. There is no election: each VM
// computes the same order of all VMs, the first of which polls, and any other polls
// once the last confirmation by its peers is too old. It takes in the members and
// the heartbeats of peers; reading the store (zlfollow) and sending messages
// (zlcast) are done elsewhere.
package zlpoller

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlwatcher"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxAgeShare is the greatest age of a peer's confirmation that still counts, as
	// a share of Within. The rest is left for this VM to list the store itself.
	maxAgeShare = 0.4
	// rankAgeShare is how much that age is reduced for each rank below maxRank, so that
	// a VM of low rank takes over before the others start to poll.
	rankAgeShare = 0.1
	// maxRank is the rank from which on all VMs are treated alike.
	maxRank = 4
	// rankDelay is how long, for each rank, a VM waits for its peers before it polls.
	rankDelay = 40 * time.Millisecond
	// startDelayShare is how long, as a share of Within, a VM that got its state from
	// peers at its start waits for the first heartbeat: two heartbeat intervals. The
	// state may be as old as maxAgeShare allows.
	startDelayShare = 0.2
	// regainDelayShare and regainRankShare are how long, as shares of Within, a VM
	// waits for its peers once it reaches the store again: regainDelayShare plus
	// regainRankShare for each rank after 1, counted up to regainMaxRank. The first VM
	// may notice up to one probe interval (0.2) later, and then needs a list and a
	// heartbeat (0.1). All these together leave 0.3 of Within.
	regainDelayShare = 0.3
	regainRankShare  = 0.1
	regainMaxRank    = 2
	// membersWait is how long a VM waits to learn the members before it polls without
	// knowing them: the time of a few calls to the store. When the whole system
	// starts for the first time there are no callers yet, and all VMs but the first
	// of the order wait up to firstStartWait, so that they learn of each other.
	membersWait    = 300 * time.Millisecond
	firstStartWait = 5 * time.Second
	// maxBehind is how long a VM that fetches missing updates may be behind its
	// peers' revisions and still count as up to date.
	maxBehind = 400 * time.Millisecond
)

// Member is a VM that registered itself in the store.
type Member struct {
	VM         zlunit.VM
	DataCentre zlunit.DataCentre
	// Address is where the VM receives messages of other VMs; a member without one
	// is ignored.
	Address string
}

// Heartbeat is the heartbeat that a VM which polls the store sends to the other VMs of its
// data centre.
type Heartbeat struct {
	VM zlunit.VM
	// Age is the time since the store confirmed Revisions; negative if it did not.
	Age time.Duration
	// Revisions are those that the sender holds, by topic.
	Revisions [zlwatcher.NumTopics]uint64
}

// Policy implements zlfollow.Feed. Exported fields must be set before use. Its methods
// may be called concurrently.
type Policy struct {
	Timer *zltimer.Service
	// Self is this VM.
	Self Member
	// UpdateBound is the time in which an update must be in force.
	UpdateBound time.Duration
	// Start is when this process began.
	Start time.Time
	// FirstSystemStart is true if the whole system starts for the first time.
	FirstSystemStart bool
	// Revisions returns the revisions that this VM holds, by topic; 0 means none.
	Revisions func() [zlwatcher.NumTopics]uint64

	mu sync.Mutex
	// members are the other VMs of the data centre, in the order of their score.
	members []Member
	// rank is this VM's place in the order of all; the VM of rank 0 polls.
	rank int
	// membersKnown is true once SetMembers was called.
	membersKnown bool
	// confirmedAt is the newest time at which the store confirmed the revisions of a
	// heartbeat to its sender.
	confirmedAt time.Time
	// confirmedHeldAt is the newest such time at which this VM held these revisions.
	confirmedHeldAt time.Time
	// confirmedRevisions are the newest confirmed revisions, which this VM must hold to
	// be up to date.
	confirmedRevisions [zlwatcher.NumTopics]uint64
	// behindSince is the time since which it doesn't hold them; zero if it does.
	behindSince time.Time
	// notFedSince is the time since which peers don't keep this VM up to date; zero while
	// they do.
	notFedSince time.Time
	// regained is true from the time this VM reached the store again until peers
	// have brought it up to date.
	regained bool
}

// SetMembers sets the known VMs of all data centres. This VM need not be among them.
func (f *Policy) SetMembers(all []Member) {
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
	f.membersKnown = true
	if f.notFedSince.IsZero() {
		f.notFedSince = f.Timer.Now()
	}
}

// score orders VMs. It is a hash, so that the VMs that poll don't depend on how VMs
// are named.
func score(vm zlunit.VM) uint64 {
	return xxhash.Sum64String(string(vm))
}

// Members returns the other VMs of the data centre, in the order in which they poll.
func (f *Policy) Members() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.members)
}

// HandleHeartbeat takes a heartbeat of a peer and reports whether this VM lacks updates that the
// peer holds.
func (f *Policy) HandleHeartbeat(b *Heartbeat) bool {
	now := f.Timer.Now()
	held := f.Revisions()
	f.mu.Lock()
	defer f.mu.Unlock()
	lacksUpdate := false
	for i, r := range b.Revisions {
		lacksUpdate = lacksUpdate || r > held[i]
		if b.Age >= 0 {
			f.confirmedRevisions[i] = max(f.confirmedRevisions[i], r)
		}
	}
	if b.Age < 0 {
		return lacksUpdate
	}
	if at := now.Add(-b.Age); at.After(f.confirmedAt) {
		f.confirmedAt = at
		if !lacksUpdate {
			f.confirmedHeldAt = at
		}
	}
	return lacksUpdate
}

// PeersConfirmedAt implements zlfollow.Feed.
func (f *Policy) PeersConfirmedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmedHeldAt
}

// maxAge returns the greatest age of a confirmation that still counts. The caller holds
// mu.
func (f *Policy) maxAge() time.Duration {
	early := 1 - rankAgeShare*float64(max(maxRank-f.rank, 0))
	return time.Duration(maxAgeShare * early * float64(f.UpdateBound))
}

// FedByPeers implements zlfollow.Feed.
func (f *Policy) FedByPeers(lost bool) bool {
	held := f.Revisions()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fedByPeers(lost, held)
}

// fedByPeers implements FedByPeers; held are the revisions that this VM holds. The caller
// holds mu.
func (f *Policy) fedByPeers(lost bool, held [zlwatcher.NumTopics]uint64) bool {
	now := f.Timer.Now()
	fed := f.membersKnown && (f.rank > 0 || lost) && now.Sub(f.confirmedAt) <= f.maxAge() && f.upToDate(now, held)
	switch {
	case fed:
		f.notFedSince = time.Time{}
		f.regained = false
	case lost:
	case f.notFedSince.IsZero():
		f.notFedSince = now
	}
	return fed
}

// upToDate reports whether this VM holds the confirmed revisions, or has been behind
// for no longer than maxBehind. The caller holds mu.
func (f *Policy) upToDate(now time.Time, held [zlwatcher.NumTopics]uint64) bool {
	for i, r := range f.confirmedRevisions {
		if held[i] == 0 {
			return false
		}
		if held[i] < r {
			if f.behindSince.IsZero() {
				f.behindSince = now
			}
			return now.Sub(f.behindSince) <= maxBehind
		}
	}
	f.behindSince = time.Time{}
	return true
}

// MayPoll implements zlfollow.Feed.
func (f *Policy) MayPoll() bool {
	held := f.Revisions()
	f.mu.Lock()
	defer f.mu.Unlock()
	age := f.Timer.Now().Sub(f.Start)
	switch {
	case f.fedByPeers(false, held):
		return false
	case f.FirstSystemStart && age < firstStartWait:
		return f.membersKnown && f.rank == 0
	case !f.membersKnown && age < membersWait:
		return false
	}
	return f.Timer.Now().Sub(f.notFedSince) >= f.pollDelay(held)
}

// StoreRegained implements zlfollow.Feed.
func (f *Policy) StoreRegained() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notFedSince = f.Timer.Now()
	f.regained = true
}

// pollDelay returns how long this VM waits for its peers before it polls. The caller holds
// mu.
func (f *Policy) pollDelay(held [zlwatcher.NumTopics]uint64) time.Duration {
	switch {
	case f.rank == 0:
		return 0
	case f.regained:
		share := regainDelayShare + regainRankShare*float64(min(f.rank-1, regainMaxRank))
		return time.Duration(share * float64(f.UpdateBound))
	case f.confirmedAt.IsZero() && !slices.Contains(held[:], 0):
		return time.Duration(startDelayShare * float64(f.UpdateBound))
	default:
		return rankDelay * time.Duration(min(f.rank, maxRank))
	}
}

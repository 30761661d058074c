// Package zlpoller decides, for the relay, which VMs of a data centre poll the
// platform's store and which rely on the updates that those send them. There is no
// election: each VM computes the same order of all VMs, the first of which polls,
// and any other polls once the last confirmation by its peers is too old. It takes
// in the members and the heartbeats of peers; reading the store (zlwatcher) and
// sending messages (zlbroadcast) are done elsewhere.
package zlpoller

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlrevision"
	"zinnialock/core/version/zlwatcher"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxAgeShare is the greatest age of a peer's confirmation that still counts, as
	// a share of UpdateBound. The rest is left for this VM to list the store itself.
	maxAgeShare = 0.4
	// rankAgeShare is how much that age is reduced for each rank below maxRank, so that
	// a VM of low rank takes over before the others start to poll.
	rankAgeShare = 0.1
	// maxRank is the rank from which on all VMs are treated alike.
	maxRank = 4
	// rankDelay is how long, for each rank, a VM waits for its peers before it polls.
	rankDelay = 40 * time.Millisecond
	// startDelayShare is how long, as a share of UpdateBound, a VM that got its state from
	// peers at its start waits for the first heartbeat: two heartbeat intervals. The
	// state may be as old as maxAgeShare allows.
	startDelayShare = 0.2
	// regainDelayShare and regainRankShare are how long, as shares of UpdateBound, a VM
	// waits for its peers once it reaches the store again: regainDelayShare plus
	// regainRankShare for each rank after 1, counted up to regainMaxRank. The first VM
	// may notice up to one probe interval (0.2) later, and then needs a list and a
	// heartbeat (0.1). All these together leave 0.3 of UpdateBound.
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
	Revisions [zlwatcher.NumTopics]zlrevision.Revision
}

// Policy implements zlwatcher.PollPolicy. Exported fields must be set before use. Its methods
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
	Revisions func() [zlwatcher.NumTopics]zlrevision.Revision
	// FollowsRollouts is true if this VM follows zlwatcher.TopicRollouts.
	FollowsRollouts bool

	mu sync.Mutex
	// members are the other VMs of the data centre, in the order of their score.
	members []Member
	// remoteMembers are the VMs of the other data centres.
	remoteMembers map[zlunit.DataCentre][]Member
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
	confirmedRevisions [zlwatcher.NumTopics]zlrevision.Revision
	// behindSince is the time at which this VM was found not to hold them; zero while it
	// does.
	behindSince time.Time
	// notUpdatedSince is the time at which peers were found not to keep this VM up to
	// date; zero while they do.
	notUpdatedSince time.Time
	// regained is true from the time this VM reached the store again until peers
	// have brought it up to date.
	regained bool
}

// SetMembers sets the known VMs of all data centres. This VM need not be among them.
func (p *Policy) SetMembers(all []Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members = p.members[:0]
	p.remoteMembers = map[zlunit.DataCentre][]Member{}
	rank := 0
	own := score(p.Self.VM)
	for _, m := range all {
		if m.VM == p.Self.VM || m.Address == "" {
			continue
		}
		if m.DataCentre != p.Self.DataCentre {
			p.remoteMembers[m.DataCentre] = append(p.remoteMembers[m.DataCentre], m)
			continue
		}
		p.members = append(p.members, m)
		if score(m.VM) < own {
			rank++
		}
	}
	slices.SortFunc(p.members, func(a, b Member) int {
		return cmp.Compare(score(a.VM), score(b.VM))
	})
	p.rank = rank
	p.membersKnown = true
	if p.notUpdatedSince.IsZero() {
		p.notUpdatedSince = p.Timer.Now()
	}
}

// score orders VMs. It is a hash, so that the VMs that poll don't depend on how VMs
// are named.
func score(vm zlunit.VM) uint64 {
	return xxhash.Sum64String(string(vm))
}

// Members returns the other VMs of the data centre, in the order in which they poll.
func (p *Policy) Members() []Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.members)
}

// HandleHeartbeat takes a heartbeat of a peer and reports whether this VM lacks updates that the
// peer holds.
func (p *Policy) HandleHeartbeat(b *Heartbeat) bool {
	now := p.Timer.Now()
	held := p.Revisions()
	p.mu.Lock()
	defer p.mu.Unlock()
	lacksUpdate, outdated := false, false
	revisions := p.followed(b.Revisions[:])
	for i, r := range revisions {
		lacksUpdate = lacksUpdate || held[i].Before(r)
		// What the store confirmed in an earlier era says nothing of the present one.
		outdated = outdated || r.Era < held[i].Era || r.Era < p.confirmedRevisions[i].Era
	}
	if p.FollowsRollouts && b.Revisions[zlwatcher.TopicRollouts] == (zlrevision.Revision{}) {
		// A build or settings without roll-outs: the store did not confirm those.
		outdated = true
	}
	if b.Age < 0 || outdated {
		return lacksUpdate
	}
	for i, r := range revisions {
		p.confirmedRevisions[i] = zlrevision.Later(p.confirmedRevisions[i], r)
	}
	if at := now.Add(-b.Age); at.After(p.confirmedAt) {
		p.confirmedAt = at
		if !lacksUpdate {
			p.confirmedHeldAt = at
		}
	}
	return lacksUpdate
}

// followed returns the revisions of the topics that this VM follows.
func (p *Policy) followed(revisions []zlrevision.Revision) []zlrevision.Revision {
	if p.FollowsRollouts {
		return revisions
	}
	return revisions[:zlwatcher.NumCommonTopics]
}

// PeersConfirmedAt implements zlwatcher.PollPolicy.
func (p *Policy) PeersConfirmedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.confirmedHeldAt
}

// HeldConfirmedAt returns the newest time at which the store confirmed to a peer what this VM
// holds now; zero if it never did. Unlike PeersConfirmedAt it counts a heartbeat that came
// before the update that it announced.
func (p *Policy) HeldConfirmedAt() time.Time {
	held := p.Revisions()
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, r := range p.followed(p.confirmedRevisions[:]) {
		if held[i] == (zlrevision.Revision{}) || held[i].Before(r) {
			return p.confirmedHeldAt
		}
	}
	return p.confirmedAt
}

// maxAge returns the greatest age of a confirmation that still counts. The caller holds
// mu.
func (p *Policy) maxAge() time.Duration {
	early := 1 - rankAgeShare*float64(max(maxRank-p.rank, 0))
	return time.Duration(maxAgeShare * early * float64(p.UpdateBound))
}

// UpdatedByPeers implements zlwatcher.PollPolicy.
func (p *Policy) UpdatedByPeers(storeLost bool) bool {
	held := p.Revisions()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.updatedByPeers(storeLost, held)
}

// updatedByPeers implements UpdatedByPeers; held are the revisions that this VM holds.
// The caller holds mu.
func (p *Policy) updatedByPeers(storeLost bool, held [zlwatcher.NumTopics]zlrevision.Revision) bool {
	now := p.Timer.Now()
	updated := p.membersKnown && (p.rank > 0 || storeLost) && now.Sub(p.confirmedAt) <= p.maxAge() && p.upToDate(now, held)
	switch {
	case updated:
		p.notUpdatedSince = time.Time{}
		p.regained = false
	case storeLost:
	case p.notUpdatedSince.IsZero():
		p.notUpdatedSince = now
	}
	return updated
}

// upToDate reports whether this VM holds the confirmed revisions, or has been behind
// for no longer than maxBehind. The caller holds mu.
func (p *Policy) upToDate(now time.Time, held [zlwatcher.NumTopics]zlrevision.Revision) bool {
	for i, r := range p.followed(p.confirmedRevisions[:]) {
		if held[i] == (zlrevision.Revision{}) {
			return false
		}
		if held[i].Before(r) {
			if p.behindSince.IsZero() {
				p.behindSince = now
			}
			return now.Sub(p.behindSince) <= maxBehind
		}
	}
	p.behindSince = time.Time{}
	return true
}

// MayPoll implements zlwatcher.PollPolicy.
func (p *Policy) MayPoll() bool {
	held := p.Revisions()
	p.mu.Lock()
	defer p.mu.Unlock()
	age := p.Timer.Now().Sub(p.Start)
	switch {
	case p.updatedByPeers(false, held):
		return false
	case p.FirstSystemStart && age < firstStartWait:
		return p.membersKnown && p.rank == 0
	case !p.membersKnown && age < membersWait:
		return false
	}
	return p.Timer.Now().Sub(p.notUpdatedSince) >= p.pollDelay(held)
}

// StoreRegained implements zlwatcher.PollPolicy.
func (p *Policy) StoreRegained() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notUpdatedSince = p.Timer.Now()
	p.regained = true
}

// pollDelay returns how long this VM waits for its peers before it polls. The caller holds
// mu.
func (p *Policy) pollDelay(held [zlwatcher.NumTopics]zlrevision.Revision) time.Duration {
	switch {
	case p.rank == 0:
		return 0
	case p.regained:
		share := regainDelayShare + regainRankShare*float64(min(p.rank-1, regainMaxRank))
		return time.Duration(share * float64(p.UpdateBound))
	case p.confirmedAt.IsZero() && !slices.Contains(p.followed(held[:]), zlrevision.Revision{}):
		return time.Duration(startDelayShare * float64(p.UpdateBound))
	default:
		return rankDelay * time.Duration(min(p.rank, maxRank))
	}
}

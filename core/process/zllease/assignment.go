package zllease

import (
	"slices"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlroster"
)

// assignment is an upstream that the roster in force assigns to this daemon.
type assignment struct {
	// earlierHolders are the processes that may hold a lease on the upstream
	// from an earlier epoch.
	earlierHolders []*earlierHolder
	// previousLeaseEnd is the end of the lease of an earlier epoch, if this
	// daemon has held the upstream without a break since then.
	previousLeaseEnd time.Time
	// leased counts the earlier holders whose leases may still run.
	leased int
	// unreleased counts the earlier holders whose leases have ended but which
	// may resume and send what they had checked before a pause.
	unreleased int
}

// earlierHolder is a process that held the upstream at earlier epochs.
type earlierHolder struct {
	holder zlroster.Member
	// epoch is the latest roster epoch at which holder held the upstream.
	epoch zlunit.ObjectVersion
	// guarantorSets holds the distinct sets of guarantors that the process had
	// at these epochs.
	guarantorSets []guarantorSet
}

// guarantorSet is a set of guarantors and the latest epoch at which it was in
// force.
type guarantorSet struct {
	epoch      zlunit.ObjectVersion
	guarantors []zlroster.Key
}

// exclusive reports whether no other daemon can be sending to the upstream.
func (a *assignment) exclusive() bool {
	return a.leased == 0 && a.unreleased == 0
}

// rebuildAssignments sets the assignments of the roster in force and finds
// their earlier holders. Parameter leaseEnd is the end of the lease of the
// epoch that was in force before.
func (l *Leases) rebuildAssignments(old zlroster.Roster, upstreams []zlunit.Upstream, leaseEnd, now time.Time) {
	before := l.assignments
	l.assignments = map[zlunit.Upstream]*assignment{}
	l.recordDepartures(now)
	if !l.isMember(l.roster) || l.stopped {
		return
	}
	var assigned []zlunit.Upstream
	for _, u := range upstreams {
		if m, ok := l.roster.Holder(u); ok && m.Key() == l.Self {
			assigned = append(assigned, u)
			l.assignments[u] = &assignment{}
		}
	}
	if len(assigned) == 0 {
		return
	}
	past := l.pastRosters()
	for _, u := range assigned {
		l.findEarlierHolders(u, past, old.Epoch, before[u], leaseEnd)
	}
}

// pastRoster is an earlier roster. Its guarantors are computed on demand.
type pastRoster struct {
	roster     zlroster.Roster
	guarantors map[zlunit.VM][]zlroster.Key
}

func (l *Leases) pastRosters() []*pastRoster {
	var out []*pastRoster
	l.roster.Earlier(func(r zlroster.Roster) {
		out = append(out, &pastRoster{
			roster:     r,
			guarantors: map[zlunit.VM][]zlroster.Key{},
		})
	})
	return out
}

func (p *pastRoster) guarantorsOf(vm zlunit.VM) []zlroster.Key {
	if keys, ok := p.guarantors[vm]; ok {
		return keys
	}
	var keys []zlroster.Key
	for _, m := range p.roster.Guarantors(vm) {
		keys = append(keys, m.Key())
	}
	p.guarantors[vm] = keys
	return keys
}

// findEarlierHolders sets the earlier holders of u from the past rosters,
// newest first. If u was held here without a break, it stops at previousEpoch,
// which was in force here before, and copies the rest from the assignment
// before.
func (l *Leases) findEarlierHolders(u zlunit.Upstream, past []*pastRoster, previousEpoch zlunit.ObjectVersion, before *assignment, leaseEnd time.Time) {
	a := l.assignments[u]
	unbroken := before != nil
	for _, p := range past {
		if unbroken && p.roster.Epoch < previousEpoch {
			break
		}
		holder, ok := p.roster.Holder(u)
		if !ok || holder.Key() == l.Self {
			continue
		}
		unbroken = false
		a.addEarlierHolder(holder, p)
	}
	if unbroken {
		a.earlierHolders = before.earlierHolders
		a.previousLeaseEnd = latest(before.previousLeaseEnd, leaseEnd)
	}
}

// addEarlierHolder records that holder held the upstream at the epoch of p.
func (a *assignment) addEarlierHolder(holder zlroster.Member, p *pastRoster) {
	var prev *earlierHolder
	for _, x := range a.earlierHolders {
		if x.holder.Key() == holder.Key() {
			prev = x
		}
	}
	if prev == nil {
		prev = &earlierHolder{
			holder: holder,
			epoch:  p.roster.Epoch,
		}
		a.earlierHolders = append(a.earlierHolders, prev)
	}
	keys := p.guarantorsOf(holder.VM)
	for _, x := range prev.guarantorSets {
		if slices.Equal(x.guarantors, keys) {
			return
		}
	}
	prev.guarantorSets = append(prev.guarantorSets, guarantorSet{
		epoch:      p.roster.Epoch,
		guarantors: keys,
	})
}

// countEarlierHolders counts, for each assignment, the earlier holders that may
// still be sending.
func (l *Leases) countEarlierHolders(now time.Time) {
	l.noEarlierHolders = true
	for u, a := range l.assignments {
		a.leased, a.unreleased = 0, 0
		for _, prev := range a.earlierHolders {
			switch {
			case l.finished(u, prev, now):
			case l.leaseExpired(prev, now):
				a.unreleased++
			default:
				a.leased++
			}
		}
		l.noEarlierHolders = l.noEarlierHolders && a.exclusive()
	}
}

// finished reports whether the earlier holder has nothing in flight and will
// send nothing more.
func (l *Leases) finished(u zlunit.Upstream, prev *earlierHolder, now time.Time) bool {
	s, ok := l.processes[prev.holder.Key()]
	if !ok {
		return false
	}
	if s.stopped {
		return true
	}
	if epoch, ok := s.releasedAtEpoch[u]; ok && epoch >= prev.epoch {
		return true
	}
	return s.dead && l.leaseElapsed(l.deadSince(s), now)
}

// leaseExpired reports whether the earlier holder's lease has ended by its own
// clock.
func (l *Leases) leaseExpired(prev *earlierHolder, now time.Time) bool {
	for _, x := range prev.guarantorSets {
		if by, ok := l.firstAdoptionAfter(x.epoch); !ok || !l.leaseElapsed(by, now) {
			return false
		}
		if len(x.guarantors) > 0 && !slices.ContainsFunc(x.guarantors, func(k zlroster.Key) bool {
			return l.leftEpoch(k, x.epoch, now)
		}) {
			return false
		}
	}
	return true
}

// leftEpoch reports whether the process k left epoch (it adopted a later one or
// died) at least one maximum lease duration ago.
func (l *Leases) leftEpoch(k zlroster.Key, epoch zlunit.ObjectVersion, now time.Time) bool {
	s, ok := l.processes[k]
	if !ok {
		return false
	}
	by, ok := s.leftBy(epoch)
	return ok && l.leaseElapsed(by, now)
}

// leaseElapsed reports whether a lease that was valid at since must have ended.
func (l *Leases) leaseElapsed(since, now time.Time) bool {
	return now.Sub(since) >= l.maxLease()
}

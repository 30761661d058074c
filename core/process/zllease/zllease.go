// Package zllease decides whether this daemon may send to an upstream now,
// until when and with what share of its capacity. It takes the roster,
// heartbeats and local times from its caller and returns shares and the daemons
// to ask; it does no I/O and reads no clock. The shares that all daemons have
// of an upstream at one time never add up to more than the upstream can take;
// docs/LEASES.md has the proof.
package zllease

import (
	"sync"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlroster"
)

const (
	// DefaultLease is the length of a lease, by the clock of its holder.
	DefaultLease = 4 * time.Second
	// DefaultClockError bounds by how much the rates of two clocks differ:
	// their ratio is at most 1 plus this.
	DefaultClockError = 0.01
	// DefaultUnconfirmed is how long guarantors alone can extend a lease while
	// the platform confirms no epoch. It must be less than half of
	// zlroster.ChangeRetention.
	DefaultUnconfirmed = 23 * time.Hour
	// sendMargin is the time between the end of a share and the end of the
	// lease, in which a cancellation still reaches the upstream.
	sendMargin = 50 * time.Millisecond
	// pauseThreshold is the time between two ticks above which the process
	// counts as paused.
	pauseThreshold = time.Second
	// maxAdoptions is how many adopted epochs are kept for one process.
	maxAdoptions = 16
)

// Leases holds the leases of one daemon. The exported fields must be set before
// use; all methods may be called concurrently.
type Leases struct {
	// Self is this process.
	Self zlroster.Key
	// Lease is the length of a lease; see DefaultLease.
	Lease time.Duration
	// ClockError bounds how far clock rates differ; see DefaultClockError.
	ClockError float64
	// Unconfirmed is how long guarantors alone can extend a lease; see
	// DefaultUnconfirmed.
	Unconfirmed time.Duration

	mu sync.RWMutex
	// latestEpoch is the newest epoch that this daemon has heard of.
	latestEpoch zlunit.ObjectVersion
	roster      zlroster.Roster
	// guarantors are the members whose guarantees together extend this daemon's
	// lease: each promises to stop once it adopts a later epoch.
	guarantors []zlroster.Member
	// guaranteedAt holds, by guarantor, when the latest heartbeat was sent that
	// it answered with a guarantee for the epoch in force.
	guaranteedAt map[zlroster.Key]time.Time
	// epochConfirmedAt is when the platform last confirmed the epoch in force.
	epochConfirmedAt time.Time
	// platformConfirmedAt is when the platform last confirmed any epoch, or at
	// first the time of the first Adopt.
	platformConfirmedAt time.Time
	// tickedAt is the time of the last Tick.
	tickedAt time.Time
	// pausedSinceLease is set if the process was paused and has had no valid
	// lease since.
	pausedSinceLease bool
	// noEarlierHolders is set if all earlier holders have finished.
	noEarlierHolders bool
	// stopped is set once Stop has been called.
	stopped     bool
	assignments map[zlunit.Upstream]*assignment
	processes   map[zlroster.Key]*processState
}

// Capacity names an upstream and its capacity.
type Capacity struct {
	// Name is the name of the upstream.
	Name zlunit.Upstream
	// Slots is the most requests in flight.
	Slots zlunit.Slots
	// Connections is the most open connections.
	Connections zlunit.Connections
	// Cold is the most requests in flight while the upstream is cold.
	Cold zlunit.Slots
}

// maxLease is the longest that another daemon's lease can last on this daemon's
// clock.
func (l *Leases) maxLease() time.Duration {
	return time.Duration(float64(l.Lease) * (1 + l.ClockError))
}

// Adopt puts a roster into force, with the upstreams of its data centre. It
// returns false and changes nothing if the roster is older than the one in
// force.
func (l *Leases) Adopt(r zlroster.Roster, upstreams []zlunit.Upstream, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Epoch < l.roster.Epoch {
		return false
	}
	if l.processes == nil {
		l.processes = map[zlroster.Key]*processState{}
		l.platformConfirmedAt = now
	}
	leaseEnd := l.leaseEnd()
	if r.Epoch > l.roster.Epoch {
		l.guaranteedAt = map[zlroster.Key]time.Time{}
		l.epochConfirmedAt = time.Time{}
	}
	old := l.roster
	l.roster = r
	l.latestEpoch = max(l.latestEpoch, r.Epoch)
	l.guarantors = nil
	if l.isMember(r) {
		l.guarantors = r.Guarantors(l.Self.VM)
	}
	l.process(l.Self).adopt(r.Epoch, now)
	l.rebuildAssignments(old, upstreams, leaseEnd, now)
	l.countEarlierHolders(now)
	return true
}

// isMember reports whether this process, with this incarnation, is in r.
func (l *Leases) isMember(r zlroster.Roster) bool {
	m, ok := r.Member(l.Self.VM)
	return ok && m.Incarnation == l.Self.Incarnation
}

// Epoch returns the epoch in force and the newest epoch heard of.
func (l *Leases) Epoch() (inForce, latest zlunit.ObjectVersion) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.roster.Epoch, l.latestEpoch
}

// Confirm records that the platform gave epoch as the current one in answer to
// a request sent at the local time askedAt.
func (l *Leases) Confirm(epoch zlunit.ObjectVersion, askedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.confirm(epoch, askedAt)
}

// confirm is Confirm for callers that hold the lock.
func (l *Leases) confirm(epoch zlunit.ObjectVersion, askedAt time.Time) {
	l.latestEpoch = max(l.latestEpoch, epoch)
	if epoch != l.roster.Epoch {
		return
	}
	l.epochConfirmedAt = latest(l.epochConfirmedAt, askedAt)
	l.platformConfirmedAt = latest(l.platformConfirmedAt, askedAt)
}

// Guarantors returns the guarantors: the members that extend this daemon's lease.
// The slice must not be changed.
func (l *Leases) Guarantors() []zlroster.Member {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.guarantors
}

// leaseEnd returns when the lease of the epoch in force ends, or the zero time
// if there has been none.
func (l *Leases) leaseEnd() time.Time {
	var end time.Time
	if !l.epochConfirmedAt.IsZero() {
		end = l.epochConfirmedAt.Add(l.Lease)
	}
	return latest(end, l.guaranteedEnd())
}

// guaranteedEnd returns when the first of the guarantees ends, or the zero time
// if one is missing.
func (l *Leases) guaranteedEnd() time.Time {
	if len(l.guarantors) == 0 {
		return time.Time{}
	}
	end := l.platformConfirmedAt.Add(l.Unconfirmed)
	for _, v := range l.guarantors {
		sentAt, ok := l.guaranteedAt[v.Key()]
		if !ok {
			return time.Time{}
		}
		if guaranteeEnd := sentAt.Add(l.Lease); guaranteeEnd.Before(end) {
			end = guaranteeEnd
		}
	}
	return end
}

// Remaining returns how long the lease of the epoch in force still lasts, 0 if it
// has ended.
func (l *Leases) Remaining(now time.Time) time.Duration {
	l.mu.RLock()
	defer l.mu.RUnlock()
	end := l.leaseEnd()
	if end.IsZero() {
		return 0
	}
	return max(zltimer.Remaining(now, end), 0)
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Stop permanently releases all upstreams. It is called before the process ends.
func (l *Leases) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	l.assignments = map[zlunit.Upstream]*assignment{}
}

// Tick updates the state for the time that has passed. It must be called
// several times a second, since a longer gap counts as a pause of the process.
func (l *Leases) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pausedSinceLease = l.pausedSinceLease || l.paused(now)
	if zltimer.Remaining(now, l.leaseEnd()) > 0 {
		l.pausedSinceLease = false
	}
	l.tickedAt = now
	l.countEarlierHolders(now)
}

// paused reports whether the gap since the last tick shows that the process was
// paused.
func (l *Leases) paused(now time.Time) bool {
	return !l.tickedAt.IsZero() && zltimer.Elapsed(l.tickedAt, now) > pauseThreshold
}

// Package zltenure decides whether this daemon may send to an upstream now,
// until when and with what share of its capacity. It takes the roster,
// heartbeats and local times from its caller and returns shares and the daemons
// to ask; it does no I/O and reads no clock. The shares that all daemons have
// of an upstream at one time never add up to more than the upstream can take;
// docs/TENURE.md has the proof.
package zllease

import (
	"sync"
	"time"

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
	// zlroster.KeepPast.
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
func (t *Leases) maxLease() time.Duration {
	return time.Duration(float64(t.Lease) * (1 + t.ClockError))
}

// Adopt puts a roster into force, with the upstreams of its data centre. It
// returns false and changes nothing if the roster is older than the one in
// force.
func (t *Leases) Adopt(r zlroster.Roster, upstreams []zlunit.Upstream, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Epoch < t.roster.Epoch {
		return false
	}
	if t.processes == nil {
		t.processes = map[zlroster.Key]*processState{}
		t.platformConfirmedAt = now
	}
	leaseEnd := t.leaseEnd()
	if r.Epoch > t.roster.Epoch {
		t.guaranteedAt = map[zlroster.Key]time.Time{}
		t.epochConfirmedAt = time.Time{}
	}
	old := t.roster
	t.roster = r
	t.latestEpoch = max(t.latestEpoch, r.Epoch)
	t.guarantors = nil
	if t.isMember(r) {
		t.guarantors = r.Guarantors(t.Self.VM)
	}
	t.process(t.Self).adopt(r.Epoch, now)
	t.rebuildAssignments(old, upstreams, leaseEnd, now)
	t.countEarlierHolders(now)
	return true
}

// isMember reports whether this process, with this incarnation, is in r.
func (t *Leases) isMember(r zlroster.Roster) bool {
	m, ok := r.Member(t.Self.VM)
	return ok && m.Incarnation == t.Self.Incarnation
}

// Epoch returns the epoch in force and the newest epoch heard of.
func (t *Leases) Epoch() (inForce, latest zlunit.ObjectVersion) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.roster.Epoch, t.latestEpoch
}

// Confirm records that the platform gave epoch as the current one in answer to
// a request sent at the local time askedAt.
func (t *Leases) Confirm(epoch zlunit.ObjectVersion, askedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirm(epoch, askedAt)
}

// confirm is Confirm for callers that hold the lock.
func (t *Leases) confirm(epoch zlunit.ObjectVersion, askedAt time.Time) {
	t.latestEpoch = max(t.latestEpoch, epoch)
	if epoch != t.roster.Epoch {
		return
	}
	t.epochConfirmedAt = latest(t.epochConfirmedAt, askedAt)
	t.platformConfirmedAt = latest(t.platformConfirmedAt, askedAt)
}

// Guarantors returns the guarantors: the members that extend this daemon's lease.
// The slice must not be changed.
func (t *Leases) Guarantors() []zlroster.Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.guarantors
}

// leaseEnd returns when the lease of the epoch in force ends, or the zero time
// if there has been none.
func (t *Leases) leaseEnd() time.Time {
	var end time.Time
	if !t.epochConfirmedAt.IsZero() {
		end = t.epochConfirmedAt.Add(t.Lease)
	}
	return latest(end, t.guaranteedEnd())
}

// guaranteedEnd returns when the first of the guarantees ends, or the zero time
// if one is missing.
func (t *Leases) guaranteedEnd() time.Time {
	if len(t.guarantors) == 0 {
		return time.Time{}
	}
	end := t.platformConfirmedAt.Add(t.Unconfirmed)
	for _, v := range t.guarantors {
		sentAt, ok := t.guaranteedAt[v.Key()]
		if !ok {
			return time.Time{}
		}
		if guaranteeEnd := sentAt.Add(t.Lease); guaranteeEnd.Before(end) {
			end = guaranteeEnd
		}
	}
	return end
}

// Remaining returns how long the lease of the epoch in force still lasts, 0 if it
// has ended.
func (t *Leases) Remaining(now time.Time) time.Duration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	end := t.leaseEnd()
	if end.IsZero() {
		return 0
	}
	return max(remaining(now, end), 0)
}

// remaining returns the time from now to end. The monotonic clock may stand
// still while a machine is suspended, so the wall clock is read too and the
// shorter time counts.
func remaining(now, end time.Time) time.Duration {
	return min(end.Sub(now), end.Round(0).Sub(now.Round(0)))
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Stop gives up all upstreams for good. It is called before the process ends.
func (t *Leases) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.assignments = map[zlunit.Upstream]*assignment{}
}

// Tick updates the state for the time that has passed. It must be called
// several times a second, since a longer gap counts as a pause of the process.
func (t *Leases) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pausedSinceLease = t.pausedSinceLease || t.paused(now)
	if remaining(now, t.leaseEnd()) > 0 {
		t.pausedSinceLease = false
	}
	t.tickedAt = now
	t.countEarlierHolders(now)
}

// paused reports whether the gap since the last tick shows that the process was
// paused.
func (t *Leases) paused(now time.Time) bool {
	gap := max(now.Sub(t.tickedAt), now.Round(0).Sub(t.tickedAt.Round(0)))
	return !t.tickedAt.IsZero() && gap > pauseThreshold
}

// Package zlfailuredetector is a failure detector: it decides which members to remove
// from a roster. Its inputs are heartbeats, what other guarantors heard,
// refused connections and the platform's list of VMs, which lags behind. It
// does no I/O and reads no clock; its caller sends the heartbeats and writes
// the roster.
package zlfailuredetector

import (
	"sync"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlroster"
)

const (
	// SuspectAfter is the silence after which a member is suspected and asked
	// directly.
	SuspectAfter = 1500 * time.Millisecond
	// DeadAfter is the silence after which a member with proof of death is
	// removed.
	DeadAfter = 2 * time.Second
	// SilentAfter is the silence after which a member is removed without proof
	// of death. The member may be paused or partitioned.
	SilentAfter = 15 * time.Second
	// GuarantorDelay is how long each guarantor of a member waits for the one
	// before it, so that usually only one of them writes the roster.
	GuarantorDelay = 700 * time.Millisecond
	// VMListLag bounds how far the platform's list of VMs lags behind.
	VMListLag = 2 * time.Minute
	// recentWithin is the age up to which a sign of life counts as recent. A
	// daemon without a recent one of any other daemon may itself be partitioned
	// and removes no member for its silence.
	recentWithin = 3 * time.Second
)

// Detector watches the members that this daemon is a guarantor of. Self must be
// set before use; all methods may be called concurrently.
type Detector struct {
	// Self is this process.
	Self zlroster.Key

	mu      sync.Mutex
	members map[zlroster.Key]*memberState
	// heardAnyAt is when any other daemon was last heard from.
	heardAnyAt time.Time
	// resumedAt is when this daemon last found that it had been paused.
	resumedAt time.Time
	// tickedAt is the time of the last Tick.
	tickedAt time.Time
}

// memberState is the detector's state for one member.
type memberState struct {
	member zlroster.Member
	// rank is this daemon's position among the member's guarantors, from 0.
	rank int
	// otherGuarantors is how many guarantors the member has besides this
	// daemon.
	otherGuarantors int
	// heardAt is when this daemon last heard from the member.
	heardAt time.Time
	// refused is set if a connection to the member was refused since.
	refused bool
	// unlisted is set if the list of VMs proves that the member is dead.
	unlisted bool
	// heardElsewhereAt is when another guarantor last reported a sign of life
	// of the member.
	heardElsewhereAt time.Time
}

// Watch sets the roster in force. Members that stay keep their state; a new one
// counts as heard from at now.
func (d *Detector) Watch(r zlroster.Roster, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.members
	d.members = map[zlroster.Key]*memberState{}
	for _, m := range r.GuaranteedBy(d.Self.VM) {
		s, ok := old[m.Key()]
		if !ok {
			s = &memberState{
				heardAt: now,
			}
		}
		s.member = m
		guarantors := r.Guarantors(m.VM)
		s.otherGuarantors = len(guarantors) - 1
		for i, v := range guarantors {
			if v.VM == d.Self.VM {
				s.rank = i
			}
		}
		d.members[m.Key()] = s
	}
}

// Heard records a sign of life of a process at now.
func (d *Detector) Heard(k zlroster.Key, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heardAnyAt = now
	if s, ok := d.members[k]; ok {
		s.heardAt = now
		s.refused = false
	}
}

// Seen returns those of the suspected VMs that this daemon has heard from
// recently.
func (d *Detector) Seen(suspected []zlunit.VM, now time.Time) []zlunit.VM {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []zlunit.VM
	for _, vm := range suspected {
		for k, s := range d.members {
			if k.VM == vm && now.Sub(s.heardAt) < recentWithin {
				out = append(out, vm)
			}
		}
	}
	return out
}

// HeardElsewhere records that another guarantor has heard from vm.
func (d *Detector) HeardElsewhere(vm zlunit.VM, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for k, s := range d.members {
		if k.VM == vm {
			s.heardElsewhereAt = now
		}
	}
}

// Refused records that a connection to a member was refused: the kernel of its
// VM reports that no process listens at the address. The kernel still accepts
// connections for a process that is paused.
func (d *Detector) Refused(k zlroster.Key) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s, ok := d.members[k]; ok {
		s.refused = true
	}
}

// Listed records the platform's list of VMs as of the wall-clock time wall. A
// list without this daemon's own VM proves nothing; see ProvenDeadByList.
func (d *Detector) Listed(vms map[zlunit.VM]bool, wall time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for k, s := range d.members {
		s.unlisted = ProvenDeadByList(k, d.Self.VM, vms, wall)
	}
}

// ProvenDeadByList reports whether a list of VMs proves that the process k is
// dead. It does if it contains self but not the VM of k, and k started so long
// ago that it cannot be missing because of the lag of the list.
func ProvenDeadByList(k zlroster.Key, self zlunit.VM, vms map[zlunit.VM]bool, wall time.Time) bool {
	started := time.Unix(0, int64(k.Incarnation))
	return vms[self] && !vms[k.VM] && wall.Sub(started) > 2*VMListLag
}

// Tick must be called more often than every SuspectAfter, since a longer gap
// counts as a pause of this daemon. After a pause, silence is counted from its
// end, so that members have time to be heard.
func (d *Detector) Tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.tickedAt.IsZero() && now.Sub(d.tickedAt) > SuspectAfter {
		d.resumedAt = now
	}
	d.tickedAt = now
}

// silence returns how long a member was not heard from while this daemon was
// running.
func (d *Detector) silence(s *memberState, now time.Time) time.Duration {
	since := s.heardAt
	if d.resumedAt.After(since) {
		since = d.resumedAt
	}
	return now.Sub(since)
}

// Suspects returns the suspected members: those that were not heard from for
// SuspectAfter.
func (d *Detector) Suspects(now time.Time) []zlroster.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []zlroster.Member
	for _, s := range d.members {
		if d.silence(s, now) >= SuspectAfter {
			out = append(out, s.member)
		}
	}
	return out
}

// Departures returns the members that this daemon should remove from the roster now,
// and how they count as having left it.
func (d *Detector) Departures(now time.Time) []zlroster.Departure {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []zlroster.Departure
	for _, s := range d.members {
		how, remove := d.decide(s, now)
		if remove {
			out = append(out, zlroster.Departure{
				Member: s.member,
				Exit:   how,
			})
		}
	}
	return out
}

// decide returns how a member counts as having left the roster, and whether this
// daemon should remove it now.
func (d *Detector) decide(s *memberState, now time.Time) (zlroster.Exit, bool) {
	silence := d.silence(s, now) - time.Duration(s.rank)*GuarantorDelay
	if s.refused || s.unlisted {
		return zlroster.ExitDead, silence >= DeadAfter
	}
	if silence < SilentAfter || now.Sub(s.heardElsewhereAt) < SilentAfter {
		return zlroster.ExitSilent, false
	}
	return zlroster.ExitSilent, s.otherGuarantors == 0 || now.Sub(d.heardAnyAt) < recentWithin
}

package zlroster

import (
	"slices"
	"strings"
	"time"

	"zinnialock/core/process/zlunit"
)

// Exit is how a member's record left the roster.
type Exit string

// The ways in which a record leaves the roster.
const (
	// ExitReleased is a planned stop: the process has released all its
	// upstreams.
	ExitReleased Exit = "released"
	// ExitReplaced is a new process under the same VM name; the old process is
	// dead.
	ExitReplaced Exit = "replaced"
	// ExitDead is a process that was proven to be dead.
	ExitDead Exit = "dead"
	// ExitSilent is a process that was not heard from; it may be paused and
	// resume.
	ExitSilent Exit = "silent"
	// ExitChanged is a record replaced by another one of the same process.
	ExitChanged Exit = "changed"
)

// Departure is a record that left the roster.
type Departure struct {
	Member
	// Exit is how the record left.
	Exit Exit `json:"how"`
}

// Change is the effect of one write of the roster.
type Change struct {
	// Epoch is the epoch that the write ended.
	Epoch zlunit.ObjectVersion `json:"epoch"`
	// At is the time of the write, by the clock of the writer.
	At time.Time `json:"at"`
	// Out lists the records that left the roster.
	Out []Departure `json:"out,omitempty"`
	// In lists the VMs that were not in the roster before.
	In []zlunit.VM `json:"in,omitempty"`
}

// ChangeRetention is the age after which the next write drops a change. It is more
// than twice as long as any daemon extends a lease without hearing from the
// platform.
const ChangeRetention = 48 * time.Hour

// successor returns a copy of r with the given members and with c recorded as
// the latest change.
func (r Roster) successor(members []Member, c Change) Roster {
	out := r
	slices.SortFunc(members, func(a, b Member) int {
		return strings.Compare(string(a.VM), string(b.VM))
	})
	out.Members = members
	out.Changes = nil
	for _, p := range r.Changes {
		if c.At.Sub(p.At) < ChangeRetention {
			out.Changes = append(out.Changes, p)
		}
	}
	c.Epoch = r.Epoch
	if r.Epoch != 0 {
		out.Changes = append(out.Changes, c)
	}
	return out
}

// With returns the roster with m added, or with its record changed. It returns
// r itself if nothing changes. The result keeps the epoch of r.
func (r Roster) With(m Member, at time.Time) Roster {
	old, exists := r.Member(m.VM)
	if exists && old == m {
		return r
	}
	c := Change{
		At: at,
	}
	switch {
	case !exists:
		c.In = []zlunit.VM{m.VM}
	case old.Incarnation == m.Incarnation:
		c.Out = []Departure{{
			Member: old,
			Exit:   ExitChanged,
		}}
	default:
		c.Out = []Departure{{
			Member: old,
			Exit:   ExitReplaced,
		}}
	}
	members := r.membersExcept(m.VM)
	return r.successor(append(members, m), c)
}

// Without returns the roster without the given processes. It ignores those that
// are not members and returns r itself if nothing changes.
func (r Roster) Without(departures []Departure, at time.Time) Roster {
	c := Change{
		At: at,
	}
	members := slices.Clone(r.Members)
	for _, d := range departures {
		i := slices.IndexFunc(members, func(m Member) bool {
			return m.Key() == d.Key()
		})
		if i < 0 {
			continue
		}
		c.Out = append(c.Out, Departure{
			Member: members[i],
			Exit:   d.Exit,
		})
		members = slices.Delete(members, i, i+1)
	}
	if len(c.Out) == 0 {
		return r
	}
	return r.successor(members, c)
}

// membersExcept returns a copy of the members without vm.
func (r Roster) membersExcept(vm zlunit.VM) []Member {
	out := make([]Member, 0, len(r.Members)+1)
	for _, m := range r.Members {
		if m.VM != vm {
			out = append(out, m)
		}
	}
	return out
}

// Earlier calls f with each earlier roster that Changes covers, newest first. The
// rosters that f gets have no Changes themselves.
func (r Roster) Earlier(f func(Roster)) {
	members := r.Members
	for i := len(r.Changes) - 1; i >= 0; i-- {
		c := r.Changes[i]
		earlier := make([]Member, 0, len(members)+len(c.Out))
		for _, m := range members {
			if !slices.Contains(c.In, m.VM) && !c.removed(m.VM) {
				earlier = append(earlier, m)
			}
		}
		for _, d := range c.Out {
			earlier = append(earlier, d.Member)
		}
		members = earlier
		f(Roster{
			DataCentre: r.DataCentre,
			Epoch:      c.Epoch,
			Members:    members,
		})
	}
}

// removed reports whether c removed or replaced a record of vm.
func (c *Change) removed(vm zlunit.VM) bool {
	for _, d := range c.Out {
		if d.VM == vm {
			return true
		}
	}
	return false
}

package zlroster

import (
	"slices"
	"strings"
	"time"

	"zinnialock/core/process/zlunit"
)

// Exit tells how a member's record left the roster.
type Exit string

// The ways out of a roster.
const (
	// ExitReleased is a planned stop: the process has given up everything.
	ExitReleased Exit = "released"
	// ExitReplaced is a new process under the same VM name: the old is dead.
	ExitReplaced Exit = "replaced"
	// ExitDead is a process that was proven to be dead.
	ExitDead Exit = "dead"
	// ExitSilent is a process that was not heard from; it may be paused.
	ExitSilent Exit = "silent"
	// ExitChanged is a record replaced by another of the same process.
	ExitChanged Exit = "changed"
)

// Departure is a record that left the roster, and how.
type Departure struct {
	Member
	How Exit `json:"how"`
}

// Change is what one write of the roster did.
type Change struct {
	// Epoch is the epoch that the write ended.
	Epoch zlunit.ObjectVersion `json:"epoch"`
	At    time.Time            `json:"at"`
	Out   []Departure          `json:"out,omitempty"`
	In    []zlunit.VM          `json:"in,omitempty"`
}

// KeepPast is the age after which a change is forgotten. No daemon keeps up
// tenure of an epoch for half as long without hearing from the platform.
const KeepPast = 48 * time.Hour

// next returns a copy of r with the given members, and the change recorded.
func (r Roster) next(members []Member, c Change) Roster {
	out := r
	slices.SortFunc(members, func(a, b Member) int {
		return strings.Compare(string(a.VM), string(b.VM))
	})
	out.Members = members
	out.Past = nil
	for _, p := range r.Past {
		if c.At.Sub(p.At) < KeepPast {
			out.Past = append(out.Past, p)
		}
	}
	c.Epoch = r.Epoch
	if r.Epoch != 0 {
		out.Past = append(out.Past, c)
	}
	return out
}

// With returns the roster after m entered it or changed its record in it. It
// is r itself if nothing changes.
func (r Roster) With(m Member, at time.Time) Roster {
	old, was := r.Member(m.VM)
	if was && old == m {
		return r
	}
	c := Change{
		At: at,
	}
	switch {
	case !was:
		c.In = []zlunit.VM{m.VM}
	case old.Incarnation == m.Incarnation:
		c.Out = []Departure{{
			Member: old,
			How:    ExitChanged,
		}}
	default:
		c.Out = []Departure{{
			Member: old,
			How:    ExitReplaced,
		}}
	}
	members := r.lacking(m.VM)
	return r.next(append(members, m), c)
}

// Without returns the roster after the given processes left it. Those that are
// not in it are passed over; it is r itself if nothing changes.
func (r Roster) Without(gone []Departure, at time.Time) Roster {
	c := Change{
		At: at,
	}
	members := slices.Clone(r.Members)
	for _, d := range gone {
		i := slices.IndexFunc(members, func(m Member) bool {
			return m.Key() == d.Key()
		})
		if i < 0 {
			continue
		}
		c.Out = append(c.Out, Departure{
			Member: members[i],
			How:    d.How,
		})
		members = slices.Delete(members, i, i+1)
	}
	if len(c.Out) == 0 {
		return r
	}
	return r.next(members, c)
}

func (r Roster) lacking(vm zlunit.VM) []Member {
	out := make([]Member, 0, len(r.Members)+1)
	for _, m := range r.Members {
		if m.VM != vm {
			out = append(out, m)
		}
	}
	return out
}

// Earlier calls f with each earlier roster that Past reaches back to, newest
// first. The rosters given to f lack their own Past.
func (r Roster) Earlier(f func(Roster)) {
	members := r.Members
	for i := len(r.Past) - 1; i >= 0; i-- {
		c := r.Past[i]
		earlier := make([]Member, 0, len(members)+len(c.Out))
		for _, m := range members {
			if !slices.Contains(c.In, m.VM) && !c.left(m.VM) {
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

func (c *Change) left(vm zlunit.VM) bool {
	for _, d := range c.Out {
		if d.VM == vm {
			return true
		}
	}
	return false
}

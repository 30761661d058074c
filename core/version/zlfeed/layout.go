package zlfeed

import (
	"cmp"
	"slices"

	"zinnialock/core/process/zlunit"
)

// Fan is to how many others a VM sends a message itself: with four beats a
// second of 60 bytes that is 5.8 KB/s, within the 6 KB/s of control traffic
// that the size to design for allows to a VM.
const Fan = 24

// Group is a member that is sent a message, and those that it passes it on to.
type Group struct {
	First Member
	Rest  []Member
}

// groupsOf cuts the members but the sender into at most Fan groups of about the
// same size. Turn moves the place where the first begins by one, so that a member
// that does not pass messages on costs the others one message and not all. All VMs
// that know the same members come to the same groups.
func groupsOf(members []Member, sender zlunit.VM, turn uint32) []Group {
	list := make([]Member, 0, len(members))
	for _, m := range members {
		if m.VM != sender {
			list = append(list, m)
		}
	}
	if len(list) == 0 {
		return nil
	}
	slices.SortFunc(list, func(a, b Member) int {
		return cmp.Or(cmp.Compare(score(a.VM), score(b.VM)), cmp.Compare(a.VM, b.VM))
	})
	from := int(turn) % len(list)
	list = append(list[from:len(list):len(list)], list[:from]...)
	size := (len(list) + Fan - 1) / Fan
	var out []Group
	for part := range slices.Chunk(list, size) {
		out = append(out, Group{
			First: part[0],
			Rest:  part[1:],
		})
	}
	return out
}

// Groups are to whom this VM sends its own message of a turn, and to whom those
// pass it on.
func (f *Feed) Groups(turn uint32) []Group {
	return groupsOf(f.Members(), f.Self.VM, turn)
}

// PassOn are the members to whom this VM passes on the message of a turn that it
// got from its sender.
func (f *Feed) PassOn(sender zlunit.VM, turn uint32) []Member {
	for _, g := range groupsOf(append(f.Members(), f.Self), sender, turn) {
		if g.First.VM == f.Self.VM {
			return g.Rest
		}
	}
	return nil
}

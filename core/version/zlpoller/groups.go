package zlpoller

import (
	"cmp"
	"slices"

	"zinnialock/core/process/zlunit"
)

// MaxFanout is the most members to which a VM sends a message itself. With four heartbeats
// of 60 bytes a second that is 5.8 KB/s, within the 6 KB/s of control traffic that a
// VM may use in a system of the design size.
const MaxFanout = 24

// Group is a member that receives a message from its sender, and the members to which
// it forwards the message.
type Group struct {
	Forwarder Member
	Targets   []Member
}

// groupsOf splits the members without the sender into at most MaxFanout groups of about the
// same size. Each turn shifts the groups by one member, so that a member that doesn't
// forward messages costs the same others a single message and not all. All VMs that
// know the same members compute the same groups.
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
	size := (len(list) + MaxFanout - 1) / MaxFanout
	var out []Group
	for part := range slices.Chunk(list, size) {
		out = append(out, Group{
			Forwarder: part[0],
			Targets:   part[1:],
		})
	}
	return out
}

// Groups returns the members to which this VM sends its own message of a turn, and
// those to which they forward it. Turn is the number of the message.
func (p *Policy) Groups(turn uint32) []Group {
	return groupsOf(p.Members(), p.Self.VM, turn)
}

// AllGroups returns the groups of all data centres, this one's included.
func (p *Policy) AllGroups(turn uint32) []Group {
	out := p.Groups(turn)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.remoteMembers {
		out = append(out, groupsOf(list, p.Self.VM, turn)...)
	}
	return out
}

// MemberOf returns another VM of any data centre; ok is false if it is not known.
func (p *Policy) MemberOf(vm zlunit.VM) (m Member, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		if m.VM == vm {
			return m, true
		}
	}
	for _, list := range p.remoteMembers {
		for _, m := range list {
			if m.VM == vm {
				return m, true
			}
		}
	}
	return Member{}, false
}

// ForwardTargets returns the members to which this VM forwards the message of a turn that it
// received from its sender.
func (p *Policy) ForwardTargets(sender zlunit.VM, turn uint32) []Member {
	for _, g := range groupsOf(append(p.Members(), p.Self), sender, turn) {
		if g.Forwarder.VM == p.Self.VM {
			return g.Targets
		}
	}
	return nil
}

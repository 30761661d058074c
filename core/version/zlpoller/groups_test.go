package zlpoller

import (
	"fmt"
	"testing"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
)

func membersOf(n int) []Member {
	var out []Member
	for i := range n {
		out = append(out, Member{
			VM:         zlunit.VM(fmt.Sprintf("vm%d", i)),
			DataCentre: "dc",
			Address:    fmt.Sprintf("a%d", i),
		})
	}
	return out
}

// policyOf returns the Policy of one of the members.
func policyOf(self Member, all []Member) *Policy {
	f := &Policy{
		Timer: &zltimer.Service{},
		Self:  self,
	}
	f.SetMembers(all)
	return f
}

// A message of any turn reaches each other member exactly once, with at most MaxFanout
// sends by the sender and fewer than MaxFanout by each member that forwards it.
func TestEachMemberReceivesMessageOnce(t *testing.T) {
	for _, n := range []int{1, 2, 7, 22, 25, 26, 50, 165, 330, 500} {
		all := membersOf(n)
		sender := policyOf(all[n/2], all)
		for turn := range uint32(9) {
			got := map[zlunit.VM]int{}
			groups := sender.Groups(turn)
			if len(groups) > MaxFanout {
				t.Fatalf("%d members: got %d sends by the sender, want at most MaxFanout", n, len(groups))
			}
			for _, g := range groups {
				got[g.Forwarder.VM]++
				rest := policyOf(g.Forwarder, all).ForwardTargets(sender.Self.VM, turn)
				if len(rest) != len(g.Targets) || len(rest) >= MaxFanout {
					t.Fatalf("%d members: %s forwards to %d, want %d", n, g.Forwarder.VM, len(rest), len(g.Targets))
				}
				for _, m := range rest {
					got[m.VM]++
				}
			}
			if len(got) != n-1 || got[sender.Self.VM] > 0 {
				t.Fatalf("%d members: got %d that received the message of turn %d, want all but the sender", n, len(got), turn)
			}
			for vm, times := range got {
				if times != 1 {
					t.Fatalf("%d members: %s received the message %d times, want once", n, vm, times)
				}
			}
		}
	}
}

// A message for the VMs of all data centres reaches each other VM exactly once.
func TestMessageToAllDataCentresArrivesOnce(t *testing.T) {
	all := membersOf(195)
	for i := range all {
		all[i].DataCentre = zlunit.DataCentre(fmt.Sprintf("dc%d", i%5))
	}
	sender := policyOf(all[7], all)
	for turn := range uint32(9) {
		got := map[zlunit.VM]int{}
		for _, g := range sender.AllGroups(turn) {
			got[g.Forwarder.VM]++
			for _, m := range policyOf(g.Forwarder, all).ForwardTargets(sender.Self.VM, turn) {
				got[m.VM]++
			}
		}
		for _, m := range all {
			want := 1
			if m.VM == sender.Self.VM {
				want = 0
			}
			if got[m.VM] != want {
				t.Fatalf("turn %d: %s received the message %d times, want %d", turn, m.VM, got[m.VM], want)
			}
		}
	}
}

// With dead members that forward nothing, no member misses three messages in a row.
// A confirmation stays valid for at least that long.
func TestDeadMembersCostFewMessagesInARow(t *testing.T) {
	const n, dead = 165, 8
	all := membersOf(n)
	sender := policyOf(all[0], all)
	missed := map[zlunit.VM]int{}
	for turn := range uint32(200) {
		for _, g := range sender.Groups(turn) {
			isDead := false
			for _, m := range all[1 : dead+1] {
				isDead = isDead || m.VM == g.Forwarder.VM
			}
			for _, m := range g.Targets {
				if !isDead {
					missed[m.VM] = 0
					continue
				}
				missed[m.VM]++
				if missed[m.VM] > 2 {
					t.Fatalf("%s missed more than 2 messages in a row at turn %d", m.VM, turn)
				}
			}
			missed[g.Forwarder.VM] = 0
		}
	}
}

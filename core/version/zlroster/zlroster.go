// Package zlroster defines the roster, the membership list of one data centre's
// daemons, with its recent changes. From a roster alone it derives which daemon
// sends to which upstream and which members guarantee whose leases. It neither
// stores nor distributes rosters.
package zlroster

import "zinnialock/core/process/zlunit"

// HoldersPerUpstream is how many daemons send to one upstream.
const HoldersPerUpstream = 1

// State is the state of a member.
type State string

// The states of a member. The empty state means ready.
const (
	// StateStarting is a daemon that is not in the roster yet.
	StateStarting State = "starting"
	// StateReady is a member that may hold upstreams.
	StateReady State = "ready"
	// StateLeaving is a member that holds no upstreams, unless all members are
	// leaving.
	StateLeaving State = "leaving"
)

// Member is one daemon of a roster.
type Member struct {
	// VM is the name of the machine that the daemon runs on.
	VM zlunit.VM `json:"vm"`
	// Incarnation identifies one start of the daemon; later starts have larger
	// ones.
	Incarnation zlunit.Incarnation `json:"incarnation"`
	// Peer is the address of its QUIC listener, as IP address and port.
	Peer string `json:"peer"`
	// State is the state of the member; empty means ready.
	State State `json:"state,omitempty"`
}

// Key identifies one process. It differs for two processes under one VM name.
type Key struct {
	VM          zlunit.VM
	Incarnation zlunit.Incarnation
}

// Key returns the key of m.
func (m Member) Key() Key {
	return Key{
		VM:          m.VM,
		Incarnation: m.Incarnation,
	}
}

// Roster lists the daemons of one data centre. It is a value: no method changes
// it, and slices that are reachable from it must not be changed.
type Roster struct {
	// DataCentre is the data centre of all members.
	DataCentre zlunit.DataCentre `json:"dataCentre"`
	// Epoch is the version of the platform object that holds the roster.
	Epoch zlunit.ObjectVersion `json:"-"`
	// Members lists the daemons, sorted by VM.
	Members []Member `json:"members"`
	// Changes holds the recent changes, oldest first; see ChangeRetention. A daemon that
	// missed epochs finds in it who may still hold a lease from one of them.
	Changes []Change `json:"past,omitempty"`
}

// Member returns the member with the name vm, or false if there is none.
func (r Roster) Member(vm zlunit.VM) (Member, bool) {
	for _, m := range r.Members {
		if m.VM == vm {
			return m, true
		}
	}
	return Member{}, false
}

// eligible returns the members that can hold upstreams: those that are not
// leaving, or all if every member is leaving.
func (r Roster) eligible() []Member {
	leaving := 0
	for _, m := range r.Members {
		if m.State == StateLeaving {
			leaving++
		}
	}
	if leaving == 0 || leaving == len(r.Members) {
		return r.Members
	}
	out := make([]Member, 0, len(r.Members)-leaving)
	for _, m := range r.Members {
		if m.State != StateLeaving {
			out = append(out, m)
		}
	}
	return out
}

// Holder returns the daemon that sends to u, or false if the roster is empty.
func (r Roster) Holder(u zlunit.Upstream) (Member, bool) {
	holders := r.Holders(u)
	if len(holders) == 0 {
		return Member{}, false
	}
	return r.Member(holders[0])
}

// Holders returns the daemons that send to u, chosen by rendezvous hashing,
// highest score first.
func (r Roster) Holders(u zlunit.Upstream) []zlunit.VM {
	type ranked struct {
		vm    zlunit.VM
		score uint64
	}
	var best [HoldersPerUpstream]ranked
	n := 0
	upstream := spread(KeyOf(string(u)))
	for _, m := range r.eligible() {
		c := ranked{
			vm:    m.VM,
			score: score(m.VM, upstream),
		}
		for i := range best {
			if i >= n || c.score > best[i].score {
				best[i], c = c, best[i]
			}
		}
		n = min(n+1, HoldersPerUpstream)
	}
	out := make([]zlunit.VM, 0, n)
	for _, b := range best[:n] {
		out = append(out, b.vm)
	}
	return out
}

// Share splits total into n parts that add up to total and returns the part at
// the given rank, counted from 0. Lower ranks get the remainder. It returns 0
// if rank is not below n.
func Share(total, rank, n int) int {
	if n == 0 || rank >= n {
		return 0
	}
	part := total / n
	if rank < total%n {
		part++
	}
	return part
}

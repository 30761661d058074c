// Package zlroster holds the roster of a data centre's daemons and derives
// from it which of them speak to which upstream.
package zlroster

import (
	"zinnialock/core/process/zlunit"

	"github.com/cespare/xxhash/v2"
)

// HoldersPerUpstream is how many daemons speak to one upstream.
const HoldersPerUpstream = 1

// State is where a member stands in its life.
type State string

// The states of a member. The empty state means ready.
const (
	// StateStarting is a daemon that is not in the roster yet.
	StateStarting State = "starting"
	StateReady    State = "ready"
	// StateLeaving is a member that holds no upstreams any more.
	StateLeaving State = "leaving"
)

// Member is one daemon of a roster.
type Member struct {
	VM          zlunit.VM          `json:"vm"`
	Incarnation zlunit.Incarnation `json:"incarnation"`
	// Peer is the address of its QUIC listener, IP and port.
	Peer  string `json:"peer"`
	State State  `json:"state,omitempty"`
}

// Key tells members apart, also two processes under one VM name.
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

// Roster lists the daemons of one data centre. Its epoch is the version of the
// platform object that holds it.
type Roster struct {
	DataCentre zlunit.DataCentre    `json:"dataCentre"`
	Epoch      zlunit.ObjectVersion `json:"-"`
	Members    []Member             `json:"members"`
	// Past holds the changes that led here, oldest first. From it a daemon
	// that missed epochs knows who may still hold tenure of one of them.
	Past []Change `json:"past,omitempty"`
}

// Member finds a member by name.
func (r Roster) Member(vm zlunit.VM) (Member, bool) {
	for _, m := range r.Members {
		if m.VM == vm {
			return m, true
		}
	}
	return Member{}, false
}

// holding returns the members that hold upstreams: those that are not leaving,
// or all if every one is.
func (r Roster) holding() []Member {
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

// Holder returns the daemon that speaks to u, or false if there is none.
func (r Roster) Holder(u zlunit.Upstream) (Member, bool) {
	holders := r.Holders(u)
	if len(holders) == 0 {
		return Member{}, false
	}
	return r.Member(holders[0])
}

// score ranks a member for an upstream of the given hash. The last steps are
// the finalizer of SplitMix64, which spreads a difference of one bit over all.
func score(vm zlunit.VM, upstream uint64) uint64 {
	x := xxhash.Sum64String(string(vm)) ^ upstream
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Holders returns the daemons that speak to u, best first, by rendezvous
// hashing.
func (r Roster) Holders(u zlunit.Upstream) []zlunit.VM {
	type ranked struct {
		vm    zlunit.VM
		score uint64
	}
	var best [HoldersPerUpstream]ranked
	n := 0
	// The multiplication keeps a VM and an upstream of one name from cancelling.
	upstream := xxhash.Sum64String(string(u)) * 0x9e3779b97f4a7c15
	for _, m := range r.holding() {
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

// Share splits total over n holders and returns the part of the holder at
// rank. The parts add up to total; lower ranks take the remainder.
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

// Package zlroster holds the roster of a data centre's daemons and derives
// from it which of them speak to which upstream.
package zlroster

import (
	"slices"

	"zinnialock/core/process/zlunit"

	"github.com/cespare/xxhash/v2"
)

// HoldersPerUpstream is how many daemons speak to one upstream.
const HoldersPerUpstream = 1

// Member is one daemon of a roster.
type Member struct {
	VM          zlunit.VM          `json:"vm"`
	Incarnation zlunit.Incarnation `json:"incarnation"`
	// Peer is the address of its QUIC listener, IP and port.
	Peer string `json:"peer"`
}

// Roster lists the daemons of one data centre. Its epoch is the version of the
// platform object that holds it.
type Roster struct {
	DataCentre zlunit.DataCentre    `json:"dataCentre"`
	Epoch      zlunit.ObjectVersion `json:"-"`
	Members    []Member             `json:"members"`
}

// With returns a copy in which m replaces the member of the same name.
func (r Roster) With(m Member) Roster {
	out := r.Without(m.VM)
	out.Members = append(out.Members, m)
	slices.SortFunc(out.Members, func(a, b Member) int {
		if a.VM < b.VM {
			return -1
		}
		return 1
	})
	return out
}

// Without returns a copy that lacks the member named vm.
func (r Roster) Without(vm zlunit.VM) Roster {
	out := r
	out.Members = nil
	for _, m := range r.Members {
		if m.VM != vm {
			out.Members = append(out.Members, m)
		}
	}
	return out
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

func score(vm zlunit.VM, u zlunit.Upstream) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(vm))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(u))
	return d.Sum64()
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
	for _, m := range r.Members {
		c := ranked{
			vm:    m.VM,
			score: score(m.VM, u),
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

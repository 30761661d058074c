package zlroster

import (
	"zinnialock/core/process/zlunit"

	"github.com/cespare/xxhash/v2"
)

// VouchersPerMember is how many members vouch for one, where there are so many.
const VouchersPerMember = 3

// place is a member's place on the ring: a hash of its name, so that
// neighbours seldom share a rack.
func place(vm zlunit.VM) uint64 {
	return xxhash.Sum64String(string(vm))
}

// Vouchers returns the members that vouch for vm: the next ones on the ring.
func (r Roster) Vouchers(vm zlunit.VM) []Member {
	self := place(vm)
	return r.nearest(vm, func(other zlunit.VM) uint64 {
		return place(other) - self
	})
}

// Vouched returns the members that vm vouches for, nearest first.
func (r Roster) Vouched(vm zlunit.VM) []Member {
	self := place(vm)
	return r.nearest(vm, func(other zlunit.VM) uint64 {
		return self - place(other)
	})
}

// nearest returns the members other than vm with the least distances, or none
// if vm is not a member.
func (r Roster) nearest(vm zlunit.VM, distance func(zlunit.VM) uint64) []Member {
	var best [VouchersPerMember]int
	var far [VouchersPerMember]uint64
	n := 0
	member := false
	for i, m := range r.Members {
		if m.VM == vm {
			member = true
			continue
		}
		at, d := i, distance(m.VM)
		for j := range best {
			if j >= n {
				best[j], far[j] = at, d
				n++
				break
			}
			if d < far[j] {
				best[j], at = at, best[j]
				far[j], d = d, far[j]
			}
		}
	}
	if !member {
		return nil
	}
	out := make([]Member, 0, n)
	for _, i := range best[:n] {
		out = append(out, r.Members[i])
	}
	return out
}

package zlroster

import (
	"cmp"
	"slices"

	"zinnialock/core/process/zlunit"

	"github.com/cespare/xxhash/v2"
)

// VouchersPerMember is how many members vouch for one, where there are so many.
const VouchersPerMember = 3

// ring returns the members in the order of a hash of their names, so that
// neighbours seldom share a rack.
func (r Roster) ring() []Member {
	out := slices.Clone(r.Members)
	slices.SortFunc(out, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(xxhash.Sum64String(string(a.VM)), xxhash.Sum64String(string(b.VM))),
			cmp.Compare(a.VM, b.VM),
		)
	})
	return out
}

// Vouchers returns the members that vouch for vm: the next ones on the ring.
func (r Roster) Vouchers(vm zlunit.VM) []Member {
	ring := r.ring()
	i := indexOf(ring, vm)
	if i < 0 {
		return nil
	}
	out := make([]Member, 0, VouchersPerMember)
	for step := 1; step < len(ring) && len(out) < VouchersPerMember; step++ {
		out = append(out, ring[(i+step)%len(ring)])
	}
	return out
}

// Vouched returns the members that vm vouches for, nearest first.
func (r Roster) Vouched(vm zlunit.VM) []Member {
	ring := r.ring()
	i := indexOf(ring, vm)
	if i < 0 {
		return nil
	}
	out := make([]Member, 0, VouchersPerMember)
	for step := 1; step < len(ring) && len(out) < VouchersPerMember; step++ {
		out = append(out, ring[(i-step+len(ring))%len(ring)])
	}
	return out
}

func indexOf(ring []Member, vm zlunit.VM) int {
	return slices.IndexFunc(ring, func(m Member) bool {
		return m.VM == vm
	})
}

package zlroster

import (
	"zinnialock/core/process/zlunit"

	"github.com/cespare/xxhash/v2"
)

// GuarantorsPerMember is how many guarantors a member has, if there are enough
// other members.
const GuarantorsPerMember = 3

// ringPosition returns the position of a member on a hash ring. Neighbours on
// the ring seldom share a rack, since the position is a hash of the name.
func ringPosition(vm zlunit.VM) uint64 {
	return xxhash.Sum64String(string(vm))
}

// Guarantors returns the guarantors of vm, nearest first: the next members on the
// ring, which extend its lease. It returns none if vm is not a member.
func (r Roster) Guarantors(vm zlunit.VM) []Member {
	self := ringPosition(vm)
	return r.nearest(vm, func(other zlunit.VM) uint64 {
		return ringPosition(other) - self
	})
}

// GuaranteedBy returns the members that vm is a guarantor of, nearest first. It
// returns none if vm is not a member.
func (r Roster) GuaranteedBy(vm zlunit.VM) []Member {
	self := ringPosition(vm)
	return r.nearest(vm, func(other zlunit.VM) uint64 {
		return self - ringPosition(other)
	})
}

// nearest returns up to GuarantorsPerMember members other than vm, those with
// the least distances first, or none if vm is not a member.
func (r Roster) nearest(vm zlunit.VM, distance func(zlunit.VM) uint64) []Member {
	var indices [GuarantorsPerMember]int
	var distances [GuarantorsPerMember]uint64
	n := 0
	member := false
	for i, m := range r.Members {
		if m.VM == vm {
			member = true
			continue
		}
		at, d := i, distance(m.VM)
		for j := range indices {
			if j >= n {
				indices[j], distances[j] = at, d
				n++
				break
			}
			if d < distances[j] {
				indices[j], at = at, indices[j]
				distances[j], d = d, distances[j]
			}
		}
	}
	if !member {
		return nil
	}
	out := make([]Member, 0, n)
	for _, i := range indices[:n] {
		out = append(out, r.Members[i])
	}
	return out
}

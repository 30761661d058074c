package zlroster

import (
	"cmp"
	"slices"

	"zinnialock/core/process/zlunit"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the VMs in the order of rendezvous hashing for a key, the highest score
// first. It does not change vms.
func Rank(key uint64, vms []zlunit.VM) []zlunit.VM {
	out := slices.Clone(vms)
	slices.SortFunc(out, func(a, b zlunit.VM) int {
		return CompareRank(key, a, b)
	})
	return out
}

// CompareRank returns a negative number if Rank puts a before b.
func CompareRank(key uint64, a, b zlunit.VM) int {
	hash := spread(key)
	return cmp.Or(cmp.Compare(score(b, hash), score(a, hash)), cmp.Compare(a, b))
}

// KeyOf returns the key of a name for Rank.
func KeyOf(name string) uint64 {
	return xxhash.Sum64String(name)
}

// spread returns what VMs are scored with for a key. Without the multiplication the hashes
// of a VM and a key of the same name would cancel out.
func spread(key uint64) uint64 {
	return key * 0x9e3779b97f4a7c15
}

// score returns the rank value of a VM for a key of spread. The last steps are the
// finalizer of SplitMix64: a difference of one bit affects all bits of the result.
func score(vm zlunit.VM, key uint64) uint64 {
	x := xxhash.Sum64String(string(vm)) ^ key
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

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
	return cmp.Or(cmp.Compare(keyScore(key, b), keyScore(key, a)), cmp.Compare(a, b))
}

// keyScore returns the rank value of a VM for a key. As in Holders, the multiplication
// keeps the hashes of a VM and a key of the same name from cancelling out.
func keyScore(key uint64, vm zlunit.VM) uint64 {
	return score(vm, key*0x9e3779b97f4a7c15)
}

// KeyOf returns the key of a name for Rank.
func KeyOf(name string) uint64 {
	return xxhash.Sum64String(name)
}

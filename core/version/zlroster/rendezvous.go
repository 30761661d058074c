package zlroster

import (
	"cmp"
	"slices"

	"zinnialock/core/process/zlunit"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the VMs in their order by rendezvous hashing for key, highest score first.
func Rank(vms []zlunit.VM, key string) []zlunit.VM {
	hash := keyHash(key)
	out := slices.Clone(vms)
	slices.SortFunc(out, func(a, b zlunit.VM) int {
		return cmp.Or(cmp.Compare(score(b, hash), score(a, hash)), cmp.Compare(a, b))
	})
	return out
}

// keyHash returns the hash of the key that VMs are ranked for. Without the
// multiplication the hashes of a VM and a key of the same name would cancel out.
func keyHash(key string) uint64 {
	return xxhash.Sum64String(key) * 0x9e3779b97f4a7c15
}

// score returns the rank value of a VM for a key with the given hash. The last steps are
// the finalizer of SplitMix64: a difference of one bit affects all bits of the result.
func score(vm zlunit.VM, key uint64) uint64 {
	x := xxhash.Sum64String(string(vm)) ^ key
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

package zltable

import (
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
	"hash/maphash"
	"slices"

	"zinnialock/core/process/zlunit"
)

// KeyDigest is a hash of a caller's key. Keys themselves are not kept.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	return sha256.Sum256([]byte(key))
}

// Organisation is a customer of the deployment, whose callers send one of its keys. One
// without keys has no callers; it stands for an entry that could not be read.
type Organisation struct {
	Name zlunit.Organisation `cbor:"1,keyasint,omitempty"`
	// Keys are the digests of its keys.
	Keys []KeyDigest `cbor:"2,keyasint,omitempty"`
	// Priority goes before that of the route if HasPriority is set; 0 is the most urgent.
	Priority    int  `cbor:"3,keyasint,omitempty"`
	HasPriority bool `cbor:"4,keyasint,omitempty"`
	// Rate is how many requests a second all VMs together may take from it, and Burst how
	// many besides at once; a Rate of 0 means no limit.
	Rate  float64 `cbor:"5,keyasint,omitempty"`
	Burst float64 `cbor:"6,keyasint,omitempty"`
}

// hashSeed keys the hash of digests, so that no other process can choose keys
// whose digests collide in the index.
var hashSeed = maphash.MakeSeed()

// keyIndex finds organisations by the keyed hash of a digest and by name. Both lists are
// sorted; they take 16 bytes for each key and 4 for each organisation, a fifth of two maps.
type keyIndex struct {
	keys  []indexedKey
	names []int32
	// shared counts the keys that several organisations list; they are in no index.
	shared int
}

type indexedKey struct {
	hash uint64
	// organisation and key are places in the lists of the table.
	organisation int32
	key          int32
}

func hashOf(d *KeyDigest) uint64 {
	return maphash.Bytes(hashSeed, d[:])
}

// WithOrganisations returns the table with the given organisations. It keeps the list, which
// must not change any more. A key that two organisations list belongs to neither, since its
// caller could be served as the wrong one.
func (t *Table) WithOrganisations(list []Organisation) *Table {
	out := *t
	out.Organisations = list
	out.index = keyIndex{}
	if len(list) == 0 {
		return &out
	}
	n := 0
	for i := range list {
		n += len(list[i].Keys)
	}
	keys := make([]indexedKey, 0, n)
	names := make([]int32, 0, len(list))
	for i := range list {
		for k := range list[i].Keys {
			keys = append(keys, indexedKey{
				hash:         hashOf(&list[i].Keys[k]),
				organisation: int32(i),
				key:          int32(k),
			})
		}
		if list[i].Name != "" {
			names = append(names, int32(i))
		}
	}
	slices.SortFunc(keys, func(a, b indexedKey) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.organisation, b.organisation))
	})
	slices.SortStableFunc(names, func(a, b int32) int {
		return cmp.Compare(list[a].Name, list[b].Name)
	})
	out.index.names = names
	out.index.keys = slices.DeleteFunc(slices.Clone(keys), func(k indexedKey) bool {
		isShared := out.isShared(keys, k)
		if isShared {
			out.index.shared++
		}
		return isShared
	})
	return &out
}

// isShared reports whether an organisation of another name lists the same key.
func (t *Table) isShared(keys []indexedKey, k indexedKey) bool {
	for i := firstOf(keys, k.hash); i < len(keys) && keys[i].hash == k.hash; i++ {
		other := keys[i]
		if t.Organisations[other.organisation].Name != t.Organisations[k.organisation].Name && *t.digest(other) == *t.digest(k) {
			return true
		}
	}
	return false
}

func (t *Table) digest(k indexedKey) *KeyDigest {
	return &t.Organisations[k.organisation].Keys[k.key]
}

// firstOf returns the place of the first key with this hash, or where it would be.
func firstOf(keys []indexedKey, hash uint64) int {
	i, _ := slices.BinarySearchFunc(keys, hash, func(k indexedKey, hash uint64) int {
		return cmp.Compare(k.hash, hash)
	})
	return i
}

// NeedsKeys reports whether callers must send a key, except on routes that allow anonymous
// callers.
func (t *Table) NeedsKeys() bool {
	return len(t.Organisations) > 0
}

// Keys returns the number of keys that callers may use.
func (t *Table) Keys() int {
	return len(t.index.keys)
}

// KeyChange is how the keys of a table differ from those of the one before.
type KeyChange struct {
	Version Version
	// Organisations and Keys count those of the table; Unusable counts the organisations
	// without a key that can be used, and Shared the entries of keys that several list.
	Organisations int
	Keys          int
	Unusable      int
	Shared        int
	// Added and Removed count the keys that the table before did not have, or had.
	Added   int
	Removed int
}

// ChangeFrom returns how the keys of the table differ from those of the one before, which
// may be nil, or nil if they do not.
func (t *Table) ChangeFrom(before *Table) *KeyChange {
	if before == nil {
		before = &Table{}
	}
	c := &KeyChange{
		Version:       t.Version,
		Organisations: len(t.Organisations),
		Keys:          t.Keys(),
		Shared:        t.index.shared,
		Added:         t.keysNotIn(before),
		Removed:       before.keysNotIn(t),
	}
	if c.Added == 0 && c.Removed == 0 && c.Organisations == len(before.Organisations) && c.Shared == before.index.shared {
		return nil
	}
	usable := make([]bool, len(t.Organisations))
	for _, k := range t.index.keys {
		usable[k.organisation] = true
	}
	for _, u := range usable {
		if !u {
			c.Unusable++
		}
	}
	return c
}

// keysNotIn counts the keys that belong to no organisation of the other table, or to another.
func (t *Table) keysNotIn(other *Table) int {
	n := 0
	for _, k := range t.index.keys {
		if o := other.Lookup(t.digest(k)); o == nil || o.Name != t.Organisations[k.organisation].Name {
			n++
		}
	}
	return n
}

// Lookup returns the organisation that a key belongs to, or nil if the key is unknown.
func (t *Table) Lookup(d *KeyDigest) *Organisation {
	hash := hashOf(d)
	keys := t.index.keys
	for i := firstOf(keys, hash); i < len(keys) && keys[i].hash == hash; i++ {
		o := &t.Organisations[keys[i].organisation]
		if subtle.ConstantTimeCompare(t.digest(keys[i])[:], d[:]) == 1 && o.Name != "" {
			return o
		}
	}
	return nil
}

// Organisation returns the organisation of a name, or nil if the table has none.
func (t *Table) Organisation(name zlunit.Organisation) *Organisation {
	i, ok := slices.BinarySearchFunc(t.index.names, name, func(i int32, name zlunit.Organisation) int {
		return cmp.Compare(t.Organisations[i].Name, name)
	})
	if !ok {
		return nil
	}
	return &t.Organisations[t.index.names[i]]
}

// Package zlobject holds the newest known state of each of the platform's objects. It
// takes states from any source (the platform, a lagging read of it, another daemon)
// and keeps one only if it is newer than what is held. It compares two stores for
// synchronisation, but neither reads the platform nor sends anything.
package zlobject

import (
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlhistory"

	"github.com/cespare/xxhash/v2"
)

// Key names an object of the platform.
type Key struct {
	Kind string `cbor:"1,keyasint"`
	Name string `cbor:"2,keyasint"`
}

// Rank orders the states of one object: by serial, then by version, then by history.
// The serial is part of the record and is compared first, since the platform's versions
// start over when it is restored from an older state. An object without serials is
// ordered by version.
type Rank struct {
	Serial  zlunit.Serial        `cbor:"1,keyasint,omitempty"`
	Version zlunit.ObjectVersion `cbor:"2,keyasint"`
	// History is a hash of the record's history. It distinguishes two states that
	// got the same serial and version, one before and one after a restore.
	History uint64 `cbor:"3,keyasint,omitempty"`
}

// Less reports whether r is older than other.
func (r Rank) Less(other Rank) bool {
	if r.Serial != other.Serial {
		return r.Serial < other.Serial
	}
	if r.Version != other.Version {
		return r.Version < other.Version
	}
	return r.History < other.History
}

// Item is one state of an object.
type Item struct {
	Key     Key    `cbor:"1,keyasint"`
	Rank    Rank   `cbor:"2,keyasint"`
	Value   []byte `cbor:"3,keyasint,omitempty"`
	Deleted bool   `cbor:"4,keyasint,omitempty"`
	// Decoded is the result of the store's Decode for Value.
	Decoded any `cbor:"-"`
	// AcceptedAt is the local time at which this store accepted the item.
	AcceptedAt time.Time `cbor:"-"`
}

// RankOf returns the rank of a value that the platform holds at version. Serial and
// history are read from the value if it is JSON that has them.
func RankOf(version zlunit.ObjectVersion, value []byte) Rank {
	var meta zlhistory.Meta
	// The error is ignored: a value without a readable history is ordered by its
	// version.
	_ = json.Unmarshal(value, &meta)
	r := Rank{
		Serial:  meta.Serial,
		Version: version,
	}
	var d xxhash.Digest
	d.Reset()
	for _, e := range meta.History {
		_, _ = d.WriteString(string(e.Nonce))
		r.History = d.Sum64()
	}
	return r
}

// ErrForked is returned by Decode for an item that is newer than the held one but lacks
// changes that the held one has: the platform was restored from an older state.
var ErrForked = errors.New("the newer state lacks accepted changes that are in force here")

// Rejection is an item that is newer than what is held but was rejected by Decode.
type Rejection struct {
	Item Item
	Err  error
	// At is the time at which the item was first rejected.
	At time.Time
}

// Store holds the newest known state of each object. Decode must be set before use. Its
// methods may be called concurrently.
type Store struct {
	// Decode checks next against the held item, which is nil if there is none, and
	// returns the decoded value. On an error the held item stays.
	Decode func(held, next *Item) (any, error)

	mu       sync.RWMutex
	items    map[Key]Item
	rejected map[Key]Rejection
	// digest is the sum of the hashes of all held keys and ranks.
	digest uint64
}

// Result is the outcome of an Offer. Items that are already held are in no list.
type Result struct {
	// Accepted lists the accepted items.
	Accepted []Item
	// Rejected lists the items that Decode rejected.
	Rejected []Rejection
	// Older lists the items that are older than what is held.
	Older []Item
}

// Offer accepts those items that are newer than what is held. now is the local time.
func (s *Store) Offer(items []Item, now time.Time) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.items == nil {
		s.items = map[Key]Item{}
		s.rejected = map[Key]Rejection{}
	}
	var result Result
	for _, item := range items {
		held, ok := s.items[item.Key]
		switch {
		case ok && item.Rank.Less(held.Rank):
			result.Older = append(result.Older, item)
		case ok && item.Rank == held.Rank:
			// This state is held already.
		default:
			s.offer(item, now, &result)
		}
	}
	return result
}

// offer accepts or rejects an item that is newer than what is held. The caller holds mu.
func (s *Store) offer(item Item, now time.Time, result *Result) {
	var heldItem *Item
	held, ok := s.items[item.Key]
	if ok {
		heldItem = &held
	}
	decoded, err := s.Decode(heldItem, &item)
	if err != nil {
		r := Rejection{
			Item: item,
			Err:  err,
			At:   now,
		}
		if known, ok := s.rejected[item.Key]; ok && known.Item.Rank == item.Rank {
			r.At = known.At
		}
		s.rejected[item.Key] = r
		result.Rejected = append(result.Rejected, r)
		return
	}
	item.Decoded = decoded
	item.AcceptedAt = now
	if ok {
		s.digest -= hash(held.Key, held.Rank)
	}
	s.digest += hash(item.Key, item.Rank)
	s.items[item.Key] = item
	if r, ok := s.rejected[item.Key]; ok && !item.Rank.Less(r.Item.Rank) {
		delete(s.rejected, item.Key)
	}
	result.Accepted = append(result.Accepted, item)
}

// hash returns the part of a store's digest that stands for one object.
func hash(key Key, rank Rank) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{
		key.Kind, key.Name,
		strconv.FormatUint(uint64(rank.Serial), 36), strconv.FormatUint(uint64(rank.Version), 36),
		strconv.FormatUint(rank.History, 36),
	} {
		_, _ = d.WriteString(part)
		_, _ = d.WriteString("\x00")
	}
	return d.Sum64()
}

// Get returns the held state of an object, or false if there is none.
func (s *Store) Get(key Key) (Item, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	item, ok := s.items[key]
	return item, ok
}

// Digest returns a hash over the held keys and ranks. It is equal for two stores that
// hold the same states, and 0 for an empty one.
func (s *Store) Digest() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.digest
}

// Ranks returns the rank of each held object.
func (s *Store) Ranks() map[Key]Rank {
	s.mu.RLock()
	defer s.mu.RUnlock()
	ranks := make(map[Key]Rank, len(s.items))
	for key, item := range s.items {
		ranks[key] = item.Rank
	}
	return ranks
}

// Rejected lists the rejected states that are newer than what is held, in any order.
func (s *Store) Rejected() []Rejection {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.Collect(maps.Values(s.rejected))
}

// Compare compares this store with another one that has the given ranks. want are the
// keys of which the other store has a newer state that was not rejected here; give are
// the items that the other store lacks or holds in an older state.
func (s *Store) Compare(theirs map[Key]Rank) (want []Key, give []Item) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for key, rank := range theirs {
		held, ok := s.items[key]
		if ok && !held.Rank.Less(rank) {
			continue
		}
		if r, ok := s.rejected[key]; ok && r.Item.Rank == rank {
			continue
		}
		want = append(want, key)
	}
	for key, item := range s.items {
		if rank, ok := theirs[key]; !ok || rank.Less(item.Rank) {
			give = append(give, item)
		}
	}
	return want, give
}

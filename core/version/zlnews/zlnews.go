// Package zlnews holds the platform's objects as a daemon knows them. What it
// holds of an object only ever gets newer, wherever the news comes from: the
// platform, a lagging read of it, or another daemon.
package zlnews

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

// Rank orders the states of one object. The serial, which a record carries
// itself, goes before the platform's version, since versions start over when
// the platform is restored from an older state; an object without serials is
// ordered by version alone.
type Rank struct {
	Serial  zlunit.Serial        `cbor:"1,keyasint,omitempty"`
	Version zlunit.ObjectVersion `cbor:"2,keyasint"`
	// History is a hash of the record's history. It tells two states apart
	// that got the same serial and version before and after a restore.
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
	// Decoded is what the store's Decode made of Value.
	Decoded any `cbor:"-"`
	// Since is the local time at which the item came into force here.
	Since time.Time `cbor:"-"`
}

// RankOf returns the rank of a value that the platform holds at version.
func RankOf(version zlunit.ObjectVersion, value []byte) Rank {
	var head zlhistory.Meta
	// A value without a readable history is ordered by its version.
	_ = json.Unmarshal(value, &head)
	r := Rank{
		Serial:  head.Serial,
		Version: version,
	}
	var d xxhash.Digest
	d.Reset()
	for _, e := range head.History {
		_, _ = d.WriteString(string(e.Nonce))
		r.History = d.Sum64()
	}
	return r
}

// ErrForked is returned by Decode for an item that lacks changes which the held
// one has, though it is newer: the platform was restored from an older state.
var ErrForked = errors.New("the newer state lacks accepted changes that are in force here")

// Refusal is an item that was not taken though it is newer.
type Refusal struct {
	Item Item
	Err  error
	At   time.Time
}

// Store holds the newest known state of each object. Decode must be set before
// use.
type Store struct {
	// Decode checks next against what is held, nil for nothing, and returns
	// its decoded form, or an error to keep what is held.
	Decode func(held, next *Item) (any, error)

	mu      sync.RWMutex
	items   map[Key]Item
	refused map[Key]Refusal
	digest  uint64
}

// Result tells what became of the items of an Offer.
type Result struct {
	Taken   []Item
	Refused []Refusal
	// Older lists the items that are older than what is held.
	Older []Item
}

// Offer takes those items that are newer than what is held.
func (s *Store) Offer(items []Item, now time.Time) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.items == nil {
		s.items = map[Key]Item{}
		s.refused = map[Key]Refusal{}
	}
	var result Result
	for _, item := range items {
		held, have := s.items[item.Key]
		switch {
		case have && item.Rank.Less(held.Rank):
			result.Older = append(result.Older, item)
		case have && item.Rank == held.Rank:
			// Nothing new.
		default:
			s.offer(item, now, &result)
		}
	}
	return result
}

func (s *Store) offer(item Item, now time.Time, result *Result) {
	var before *Item
	held, have := s.items[item.Key]
	if have {
		before = &held
	}
	decoded, err := s.Decode(before, &item)
	if err != nil {
		r := Refusal{
			Item: item,
			Err:  err,
			At:   now,
		}
		if known, ok := s.refused[item.Key]; ok && known.Item.Rank == item.Rank {
			r.At = known.At
		}
		s.refused[item.Key] = r
		result.Refused = append(result.Refused, r)
		return
	}
	item.Decoded = decoded
	item.Since = now
	if have {
		s.digest -= hash(held.Key, held.Rank)
	}
	s.digest += hash(item.Key, item.Rank)
	s.items[item.Key] = item
	if r, ok := s.refused[item.Key]; ok && !item.Rank.Less(r.Item.Rank) {
		delete(s.refused, item.Key)
	}
	result.Taken = append(result.Taken, item)
}

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

// Get returns what is held of an object.
func (s *Store) Get(key Key) (Item, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	item, ok := s.items[key]
	return item, ok
}

// Digest is equal in two stores that hold the same; it is 0 in an empty one.
func (s *Store) Digest() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.digest
}

// Ranks returns the rank of every object held.
func (s *Store) Ranks() map[Key]Rank {
	s.mu.RLock()
	defer s.mu.RUnlock()
	ranks := make(map[Key]Rank, len(s.items))
	for key, item := range s.items {
		ranks[key] = item.Rank
	}
	return ranks
}

// Refused lists the newer states that were refused and are still the newest
// known.
func (s *Store) Refused() []Refusal {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.Collect(maps.Values(s.refused))
}

// Compare returns the keys that another store with the given ranks holds newer
// states of, but for those refused here, and the items that it lacks or holds
// older states of.
func (s *Store) Compare(theirs map[Key]Rank) (want []Key, give []Item) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for key, rank := range theirs {
		held, have := s.items[key]
		if have && !held.Rank.Less(rank) {
			continue
		}
		if r, ok := s.refused[key]; ok && r.Item.Rank == rank {
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

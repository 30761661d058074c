package zltrace

import (
	"cmp"
	"slices"
	"sync"

	"zinnialock/core/process/zlunit"

	"github.com/cespare/xxhash/v2"
)

const (
	// storeShards is the number of shards of the store, each with its own lock.
	storeShards = 16
	// maxOrdinaryPerStoreShard and maxNotablePerStoreShard limit the ordinary and the
	// notable traces that one lock shard of the trace store (see storeShards) keeps.
	maxOrdinaryPerStoreShard = 32
	maxNotablePerStoreShard  = 16
	// maxSubRequests limits the sub-requests that one trace keeps.
	maxSubRequests = 4096
)

// ring is a ring buffer of the newest traces.
type ring struct {
	traces []*Trace
	next   int
}

func (r *ring) add(t *Trace, size int) {
	if len(r.traces) < size {
		r.traces = append(r.traces, t)
		return
	}
	r.traces[r.next] = t
	r.next = (r.next + 1) % size
}

type storeShard struct {
	mu       sync.Mutex
	ordinary ring
	notable  ring
}

// Store keeps recent traces in memory. Notable traces have buffers of their own, so
// that many ordinary ones do not displace them. The zero value is ready for use;
// methods may be called concurrently.
type Store struct {
	shards [storeShards]storeShard
}

var _ Sink = (*Store)(nil)

func (s *Store) shard(id zlunit.RequestID) *storeShard {
	return &s.shards[xxhash.Sum64String(string(id))%storeShards]
}

// Keep stores t, which replaces the oldest trace of its kind and shard if the buffer
// is full. It truncates t.Attempts to the number that is kept.
func (s *Store) Keep(t *Trace) {
	if len(t.Attempts) > maxSubRequests {
		t.Attempts = t.Attempts[:maxSubRequests]
	}
	shard := s.shard(t.Request)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if t.Notable() {
		shard.notable.add(t, maxNotablePerStoreShard)
		return
	}
	shard.ordinary.add(t, maxOrdinaryPerStoreShard)
}

// Find returns the traces of a request, the oldest first. There are several if the
// caller sent the request more than once with the same id.
func (s *Store) Find(id zlunit.RequestID) []*Trace {
	shard := s.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	var out []*Trace
	for _, r := range []*ring{&shard.ordinary, &shard.notable} {
		for _, t := range r.traces {
			if t.Request == id {
				out = append(out, t)
			}
		}
	}
	slices.SortFunc(out, func(a, b *Trace) int {
		return a.Start.Compare(b.Start)
	})
	return out
}

// Recent returns up to n traces, the newest first. If notable is set, it returns only
// notable ones.
func (s *Store) Recent(n int, notable bool) []*Trace {
	var out []*Trace
	for i := range s.shards {
		shard := &s.shards[i]
		shard.mu.Lock()
		out = append(out, shard.notable.traces...)
		if !notable {
			out = append(out, shard.ordinary.traces...)
		}
		shard.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b *Trace) int {
		return cmp.Or(b.Start.Compare(a.Start), cmp.Compare(a.Request, b.Request))
	})
	return out[:min(n, len(out))]
}

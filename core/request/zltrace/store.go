package zltrace

import (
	"cmp"
	"slices"
	"sync"

	"zinnialock/core/process/zlunit"

	"github.com/cespare/xxhash/v2"
)

const (
	storeShards = 16
	// ordinaryPerShard and notablePerShard bound the traces of one shard.
	ordinaryPerShard = 32
	notablePerShard  = 16
	// maxTries bounds the sub-requests that one trace keeps.
	maxTries = 4096
)

// ring keeps the newest traces of a bounded number.
type ring struct {
	traces []*Trace
	next   int
}

func (r *ring) keep(t *Trace, size int) {
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

// Store keeps recent traces, in shards with a lock each. Notable traces have
// room of their own, so that a flood of ordinary ones does not push them out.
// The zero value is ready for use.
type Store struct {
	shards [storeShards]storeShard
}

var _ Sink = (*Store)(nil)

func (s *Store) shard(id zlunit.RequestID) *storeShard {
	return &s.shards[xxhash.Sum64String(string(id))%storeShards]
}

// Keep stores t and drops the oldest trace where there is no room.
func (s *Store) Keep(t *Trace) {
	if len(t.Tries) > maxTries {
		t.Tries = t.Tries[:maxTries]
	}
	shard := s.shard(t.Request)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if t.Notable() {
		shard.notable.keep(t, notablePerShard)
		return
	}
	shard.ordinary.keep(t, ordinaryPerShard)
}

// Find returns the traces of a request, the oldest first; a caller's own
// retries have one each.
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

// Recent returns up to n of the newest traces, the newest first; notable
// limits them to notable ones.
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

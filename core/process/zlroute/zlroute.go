// Package zlroute chooses among replicas by what is in flight from this
// process, by recent service time and by recent refusals, never by reported
// load. It also watches which daemons give signs of life.
package zlroute

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"zinnialock/core/process/zlunit"

	"github.com/cespare/xxhash/v2"
)

const tableShards = 64

type tableShard struct {
	mu      sync.Mutex
	records map[zlunit.Upstream]*Record
	peers   map[zlunit.VM]*Peer
}

// Router keeps a small record for each upstream and each daemon, in shards with
// a lock each. The zero value is ready for use.
type Router struct {
	// Random returns a number from 0 to below n; nil means math/rand/v2.
	Random func(n int) int
	// Blind makes Pick choose at random alone; experiments set it.
	Blind bool

	shards [tableShards]tableShard
	heard  atomic.Int64
}

// Record returns the record of an upstream; it stays the same for the life of
// the router, so that callers may keep it.
func (r *Router) Record(u zlunit.Upstream) *Record {
	s := &r.shards[xxhash.Sum64String(string(u))%tableShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	record, ok := s.records[u]
	if !ok {
		if s.records == nil {
			s.records = map[zlunit.Upstream]*Record{}
		}
		record = &Record{}
		s.records[u] = record
	}
	return record
}

// Peer returns the record of a daemon; it stays the same for the life of the
// router.
func (r *Router) Peer(vm zlunit.VM) *Peer {
	s := &r.shards[xxhash.Sum64String(string(vm))%tableShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.peers[vm]
	if !ok {
		if s.peers == nil {
			s.peers = map[zlunit.VM]*Peer{}
		}
		p = &Peer{
			VM: vm,
		}
		s.peers[vm] = p
	}
	return p
}

// epoch is what times are counted from where they are kept as numbers. It lies
// far back, so that all counts are positive under virtual time as well.
var epoch = time.Now().Add(-100 * 365 * 24 * time.Hour)

func ticks(t time.Time) int64 {
	return int64(t.Sub(epoch))
}

// Heard notes a sign of life of a daemon.
func (r *Router) Heard(p *Peer, now time.Time) {
	at := ticks(now)
	if p.heard.Load() == at && p.unanswered.Load() == 0 {
		return
	}
	r.heard.Store(at)
	p.hear(at)
}

// Silent reports whether p has given no sign of life since it was sent
// something at t while other daemons did, with enough unanswered to tell.
func (r *Router) Silent(p *Peer, t time.Time) bool {
	at := ticks(t)
	return p.silentSince(at) && r.heard.Load() > at
}

// Draw returns a random number from 0 to below n.
func (r *Router) Draw(n int) int {
	if r.Random != nil {
		return r.Random(n)
	}
	return rand.IntN(n)
}

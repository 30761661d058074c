// Package zlroute chooses the replica for a sub-request in zinnialock serve, by the
// sub-requests in flight from this process, recent service times, failures and
// refusals; its counterpart in the relay is zlbalancer. It ejects replicas that fail
// repeatedly, and suspects daemons that leave sub-requests unanswered. It does not
// use load that replicas report, and it sends nothing itself.
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

// tableShard holds the upstreams and daemons of one hash value.
type tableShard struct {
	mu      sync.Mutex
	records map[zlunit.Upstream]*Record
	peers   map[zlunit.VM]*Peer
}

// Router keeps a Record for each upstream and a Peer for each daemon, in
// shards with a lock each. The zero value is ready for use; the methods are
// safe for concurrent use if Random is.
type Router struct {
	// Random returns a number in [0, n); nil means math/rand/v2.
	Random func(n int) int
	// RandomOnly makes Pick choose at random only; experiments set it to compare.
	RandomOnly bool

	shards [tableShards]tableShard
	// lastHeard is when any daemon was last heard from, in ticks.
	lastHeard atomic.Int64
}

// Record returns the record of an upstream. It is the same one for as long as
// the router exists, so that callers may keep it.
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

// Peer returns the record of a daemon. It is the same one for as long as the
// router exists.
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

// timeOrigin is an arbitrary zero of times that are kept as numbers; no decision
// depends on its exact value, so it need not come from zltimer. It lies 100 years
// back, so that the numbers are positive under virtual time as well.
var timeOrigin = time.Now().Add(-100 * 365 * 24 * time.Hour)

// ticks returns t in nanoseconds since timeOrigin.
func ticks(t time.Time) int64 {
	return int64(t.Sub(timeOrigin))
}

// MarkAlive notes that a daemon showed that it is alive.
func (r *Router) MarkAlive(p *Peer, now time.Time) {
	at := ticks(now)
	if p.lastHeard.Load() == at && p.unanswered.Load() == 0 {
		return
	}
	r.lastHeard.Store(at)
	p.markHeard(at)
}

// Silent reports whether p has shown no sign of being alive since it was sent
// something at t, while another daemon has, and at least two sub-requests to p
// are unanswered or p is already suspected.
func (r *Router) Silent(p *Peer, t time.Time) bool {
	at := ticks(t)
	return p.silentSince(at) && r.lastHeard.Load() > at
}

// RandomInt returns a random number in [0, n).
func (r *Router) RandomInt(n int) int {
	if r.Random != nil {
		return r.Random(n)
	}
	return rand.IntN(n)
}

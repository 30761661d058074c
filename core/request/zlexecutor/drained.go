package zlexecutor

import (
	"zinnialock/core/process/zlunit"

	"github.com/cespare/xxhash/v2"
)

// Drained reports whether this daemon has no sub-request in flight or queued
// for an upstream.
func (e *Executor) Drained(name zlunit.Upstream) bool {
	s := &e.shards[xxhash.Sum64String(string(name))%gateShards]
	s.mu.Lock()
	g, ok := s.gates[name]
	s.mu.Unlock()
	if !ok {
		return true
	}
	status := g.Snapshot()
	return status.InFlight == 0 && status.Queued == 0
}

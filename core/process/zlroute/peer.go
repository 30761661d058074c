package zlroute

import (
	"sync"
	"sync/atomic"
	"time"

	"zinnialock/core/process/zlunit"
)

const (
	// minUnanswered is how many unanswered sub-requests it takes to find a
	// daemon silent.
	minUnanswered = 2
	// minProbeInterval and maxProbeInterval bound the time between probes of a
	// suspected daemon; it doubles with each probe.
	minProbeInterval = 250 * time.Millisecond
	maxProbeInterval = 4 * time.Second
)

// Peer is what the router knows of one daemon. It is safe for concurrent use:
// the fields that every sub-request needs are atomic, and mu guards the rest.
type Peer struct {
	// VM names the VM that the daemon runs on.
	VM zlunit.VM

	// lastHeard is when the daemon was last heard from, in ticks.
	lastHeard atomic.Int64
	// unanswered counts the sub-requests sent since the daemon was last heard
	// from.
	unanswered atomic.Int64
	// unansweredSince is when the first of them was sent, in ticks.
	unansweredSince atomic.Int64
	// suspected is set by MarkSuspected and cleared when the daemon is heard from.
	suspected atomic.Bool

	mu sync.Mutex
	// nextProbe is when a suspected daemon may be probed.
	nextProbe time.Time
	// probeInterval is the time from the latest probe to the next.
	probeInterval time.Duration
}

// Sent notes that n sub-requests are sent to the daemon.
func (p *Peer) Sent(now time.Time, n int) {
	if p.unanswered.Add(int64(n)) == int64(n) {
		p.unansweredSince.Store(ticks(now))
	}
}

// SilentFor returns how long all sub-requests to the daemon have been unanswered;
// 0 if none is.
func (p *Peer) SilentFor(now time.Time) time.Duration {
	if p.unanswered.Load() == 0 {
		return 0
	}
	return time.Duration(ticks(now) - p.unansweredSince.Load())
}

func (p *Peer) markHeard(at int64) {
	p.lastHeard.Store(at)
	p.unanswered.Store(0)
	if !p.suspected.Load() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspected.Store(false)
	p.probeInterval = 0
}

func (p *Peer) silentSince(at int64) bool {
	return p.lastHeard.Load() <= at && (p.suspected.Load() || p.unanswered.Load() >= minUnanswered)
}

// MarkSuspected notes that the daemon is silent. Until it is heard from again, it
// gets no work but probes. It reports whether the daemon was not suspected
// before.
func (p *Peer) MarkSuspected(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.suspected.Load() {
		return false
	}
	p.suspected.Store(true)
	p.scheduleProbe(now)
	return true
}

// Suspected reports whether the daemon is suspected.
func (p *Peer) Suspected() bool {
	return p.suspected.Load()
}

func (p *Peer) eligibility(now time.Time) eligibility {
	if !p.suspected.Load() {
		return eligible
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.nextProbe) {
		return avoided
	}
	return probeOnly
}

// avoidedUntil is when the daemon may be sent something again.
func (p *Peer) avoidedUntil() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.nextProbe
}

// claimProbe reports whether the caller may send the probe, and schedules the
// next one.
func (p *Peer) claimProbe(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.suspected.Load() || now.Before(p.nextProbe) {
		return false
	}
	p.scheduleProbe(now)
	return true
}

// scheduleProbe sets the time of the next probe. The caller holds mu.
func (p *Peer) scheduleProbe(now time.Time) {
	p.probeInterval = min(max(2*p.probeInterval, minProbeInterval), maxProbeInterval)
	p.nextProbe = now.Add(p.probeInterval)
}

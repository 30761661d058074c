package zlroute

import (
	"sync"
	"sync/atomic"
	"time"

	"zinnialock/core/process/zlunit"
)

const (
	// silentLeast is how many unanswered sub-requests make silence count.
	silentLeast = 2
	// probeFirst and probeMost bound the time between probes of a daemon
	// that gives no sign of life; it doubles each time.
	probeFirst = 250 * time.Millisecond
	probeMost  = 4 * time.Second
)

// Peer is what is known of one daemon. What the ordinary path reads is atomic;
// its own lock covers the rest.
type Peer struct {
	VM zlunit.VM

	heard atomic.Int64
	// unanswered counts the sub-requests sent since the last sign of life.
	unanswered atomic.Int64
	// since is when the first of them was sent, in ticks.
	since   atomic.Int64
	suspect atomic.Bool

	mu      sync.Mutex
	probeAt time.Time
	pause   time.Duration
}

// Sent notes n sub-requests.
func (p *Peer) Sent(now time.Time, n int) {
	if p.unanswered.Add(int64(n)) == int64(n) {
		p.since.Store(ticks(now))
	}
}

// Quiet is how long the daemon has left all sub-requests unanswered.
func (p *Peer) Quiet(now time.Time) time.Duration {
	if p.unanswered.Load() == 0 {
		return 0
	}
	return time.Duration(ticks(now) - p.since.Load())
}

func (p *Peer) hear(at int64) {
	p.heard.Store(at)
	p.unanswered.Store(0)
	if !p.suspect.Load() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspect.Store(false)
	p.pause = 0
}

func (p *Peer) silentSince(at int64) bool {
	return p.heard.Load() <= at && (p.suspect.Load() || p.unanswered.Load() >= silentLeast)
}

// Suspect notes that the daemon gives no sign of life: it gets no work but a
// probe now and then until it is heard again. It reports whether that is news.
func (p *Peer) Suspect(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.suspect.Load() {
		return false
	}
	p.suspect.Store(true)
	p.postpone(now)
	return true
}

// Suspected reports whether the daemon gives no sign of life.
func (p *Peer) Suspected() bool {
	return p.suspect.Load()
}

func (p *Peer) standing(now time.Time) standing {
	if !p.suspect.Load() {
		return standingGood
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.probeAt) {
		return standingAvoid
	}
	return standingProbe
}

func (p *Peer) until() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.probeAt
}

// claimProbe reports whether the caller may send the probe.
func (p *Peer) claimProbe(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.suspect.Load() || now.Before(p.probeAt) {
		return false
	}
	p.postpone(now)
	return true
}

func (p *Peer) postpone(now time.Time) {
	p.pause = min(max(2*p.pause, probeFirst), probeMost)
	p.probeAt = now.Add(p.pause)
}

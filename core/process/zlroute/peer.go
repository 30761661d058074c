package zlroute

import (
	"sync"
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

// Peer is what is known of one daemon. Its own lock covers all its state.
type Peer struct {
	VM zlunit.VM

	mu    sync.Mutex
	heard time.Time
	// unanswered counts the sub-requests sent since the last sign of life.
	unanswered int
	suspect    bool
	probeAt    time.Time
	pause      time.Duration
}

// Sent notes n sub-requests.
func (p *Peer) Sent(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unanswered += n
}

func (p *Peer) hear(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard = now
	p.unanswered = 0
	p.suspect = false
	p.pause = 0
}

func (p *Peer) silentSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.heard.After(t) && (p.suspect || p.unanswered >= silentLeast)
}

// Suspect notes that the daemon gives no sign of life: it gets no work but a
// probe now and then until it is heard again. It reports whether that is news.
func (p *Peer) Suspect(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.suspect {
		return false
	}
	p.suspect = true
	p.postpone(now)
	return true
}

// Suspected reports whether the daemon gives no sign of life.
func (p *Peer) Suspected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.suspect
}

func (p *Peer) standing(now time.Time) standing {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !p.suspect:
		return standingGood
	case now.Before(p.probeAt):
		return standingAvoid
	default:
		return standingProbe
	}
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
	if !p.suspect || now.Before(p.probeAt) {
		return false
	}
	p.postpone(now)
	return true
}

func (p *Peer) postpone(now time.Time) {
	p.pause = min(max(2*p.pause, probeFirst), probeMost)
	p.probeAt = now.Add(p.pause)
}

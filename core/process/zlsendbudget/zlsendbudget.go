// Package zlsendbudget is the budget of second sends (hedges and retries) of a
// service: within any window of time, they stay below a share of the requests
// plus a burst allowance that is divided among the VMs. It only counts; the
// caller asks before each second send.
//
// The budget is a sliding window since many replicas may turn slow at once:
// all that was not used in the last window is then available, whereas a token
// bucket would have let it expire.
package zlsendbudget

import (
	"sync"
	"time"
)

// slices is the number of parts of a window. The ring keeps one more, so that
// the counts cover at least a whole window.
const slices = 20

// Window counts the requests of one service and their second sends, as this VM
// sees them. The fields must be set before use and are changed with SetBurst
// only; the methods are safe for concurrent use.
type Window struct {
	// Length is the time over which the budget holds.
	Length time.Duration
	// Share is how many second sends are allowed for each request.
	Share float64
	// Burst is the burst allowance of this VM: second sends allowed beyond
	// Share.
	Burst float64
	// BurstSince is when the burst allowance starts to grow from 0; it is complete
	// after one Length. Zero means that there is no burst allowance yet.
	BurstSince time.Time
	// Restarted: an earlier incarnation of this VM ran before BurstSince and may
	// have used the whole budget of the window. What the requests allow then grows
	// from 0 as well.
	Restarted bool

	mu sync.Mutex
	// began is the start of slice 0; current numbers the latest slice.
	began   time.Time
	current int64
	ring    [slices + 1]counts
	sum     counts
}

type counts struct {
	requests int
	// secondSends were spent and not refunded.
	secondSends int
}

// Request counts an ordinary request.
func (w *Window) Request(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.ring[w.current%(slices+1)].requests++
	w.sum.requests++
}

// reserveThreshold is how many second sends may be used before a reserve is
// kept. With a smaller budget, most of a reserve would not be asked for before
// it expires.
const reserveThreshold = 8

// Spend counts a second send and returns true, or returns false if less than
// the reserve would be left. The reserve is a share, from 0 to 1, of what is
// allowed beyond reserveThreshold.
func (w *Window) Spend(now time.Time, reserve float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	allowed := w.allowed(now)
	if float64(w.sum.secondSends+1) > allowed-reserve*max(allowed-reserveThreshold, 0) {
		return false
	}
	w.ring[w.current%(slices+1)].secondSends++
	w.sum.secondSends++
	return true
}

// Refund takes back a second send that did not reach a replica.
func (w *Window) Refund(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	c := &w.ring[w.current%(slices+1)]
	if c.secondSends > 0 {
		c.secondSends--
		w.sum.secondSends--
	}
}

// Left returns how many second sends are allowed now; it may be negative.
func (w *Window) Left(now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return w.allowed(now) - float64(w.sum.secondSends)
}

// SetBurst replaces the burst allowance of this VM (burst, in second sends), the
// time from which it grows (since) and whether an earlier incarnation of this VM may
// have used the budget before that (restarted); see the fields Burst, BurstSince and
// Restarted.
func (w *Window) SetBurst(burst float64, since time.Time, restarted bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Burst = burst
	w.BurstSince = since
	w.Restarted = restarted
}

// allowed returns how many second sends may be in the window. It grows over
// the first window from nothing. If an earlier incarnation may have used its
// budget shortly before its end, it grows with the square of the age, since
// the second sends of that incarnation leave the window only with time. The
// caller holds mu.
func (w *Window) allowed(now time.Time) float64 {
	age := 0.0
	if !w.BurstSince.IsZero() {
		age = min(float64(now.Sub(w.BurstSince))/float64(w.Length), 1)
	}
	requests := float64(w.sum.requests) * w.Share
	if w.Restarted {
		return (requests + w.Burst) * age * age
	}
	return requests + w.Burst*age
}

// advance moves on to the slice of now and drops those that left the window.
// The caller holds mu.
func (w *Window) advance(now time.Time) {
	if w.began.IsZero() {
		w.began = now
	}
	slice := int64(now.Sub(w.began) / (w.Length / slices))
	for w.current < slice {
		if slice-w.current > slices+1 {
			w.current = slice - slices - 1
		}
		w.current++
		c := &w.ring[w.current%(slices+1)]
		w.sum.requests -= c.requests
		w.sum.secondSends -= c.secondSends
		*c = counts{}
	}
}

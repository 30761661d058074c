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

	"zinnialock/core/process/zlunit"
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
	// byOrganisation is how many second sends of the window each organisation used. It has
	// at most as many entries as the window has second sends.
	byOrganisation map[zlunit.Organisation]int
}

type counts struct {
	requests int
	// secondSends were spent and not refunded.
	secondSends int
	// byOrganisation is the part of them that organisations used.
	byOrganisation map[zlunit.Organisation]int
}

// shortShare is the share of the budget from which on it is short: what is left is then for
// each organisation's own share. Below, an organisation may use what others do not; half is
// kept for those that need theirs later in the window.
const shortShare = 0.5

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
	return w.SpendOf(now, reserve, "", 1)
}

// SpendOf is Spend for a request of an organisation. While the budget is short, it also returns
// false if the organisation used its share of the budget, from 0 to 1. With a share of 1 or
// more it is Spend.
//
// Load pattern: the requests of a hot organisation are slow or meet a failing replica, and
// their hedges and retries would use up the budget that others need for theirs.
func (w *Window) SpendOf(now time.Time, reserve float64, o zlunit.Organisation, share float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	allowed := w.allowed(now)
	if float64(w.sum.secondSends+1) > allowed-reserve*max(allowed-reserveThreshold, 0) {
		return false
	}
	isShort := float64(w.sum.secondSends) >= shortShare*allowed
	if share < 1 && isShort && float64(w.byOrganisation[o]+1) > max(share*allowed, 1) {
		return false
	}
	c := &w.ring[w.current%(slices+1)]
	c.secondSends++
	w.sum.secondSends++
	if share < 1 {
		w.countOf(c, o, 1)
	}
	return true
}

// countOf changes what an organisation used. The caller holds mu.
func (w *Window) countOf(c *counts, o zlunit.Organisation, n int) {
	if c.byOrganisation == nil {
		c.byOrganisation = map[zlunit.Organisation]int{}
	}
	if w.byOrganisation == nil {
		w.byOrganisation = map[zlunit.Organisation]int{}
	}
	c.byOrganisation[o] += n
	w.dropOf(o, -n)
}

// dropOf takes back what an organisation used. The caller holds mu.
func (w *Window) dropOf(o zlunit.Organisation, n int) {
	if w.byOrganisation[o] -= n; w.byOrganisation[o] <= 0 {
		delete(w.byOrganisation, o)
	}
}

// Refund takes back a second send that did not reach a replica.
func (w *Window) Refund(now time.Time) {
	w.RefundOf(now, "")
}

// RefundOf is Refund for what SpendOf counted.
func (w *Window) RefundOf(now time.Time, o zlunit.Organisation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	c := &w.ring[w.current%(slices+1)]
	if c.secondSends > 0 {
		c.secondSends--
		w.sum.secondSends--
		if c.byOrganisation[o] > 0 {
			w.countOf(c, o, -1)
		}
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
// budget shortly before its end, it grows with the cube of the age, since
// the second sends of that incarnation leave the window only with time. The
// caller holds mu.
func (w *Window) allowed(now time.Time) float64 {
	age := 0.0
	if !w.BurstSince.IsZero() {
		age = min(float64(now.Sub(w.BurstSince))/float64(w.Length), 1)
	}
	requests := float64(w.sum.requests) * w.Share
	if w.Restarted {
		return (requests + w.Burst) * age * age * age
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
		for o, n := range c.byOrganisation {
			w.dropOf(o, n)
		}
		*c = counts{}
	}
}

// Package zlspend bounds second sends: over any window, the second sends of a
// service stay below a share of its requests and a slack that all VMs divide.
//
// It answers the pattern in which many replicas turn slow at once: what was not
// spent in the last window is there at once, where a bucket of tokens would
// have let it lapse.
package zlspend

import (
	"sync"
	"time"
)

// slices is into how many parts a window is cut; one more is kept, so that a
// count covers a whole window at least.
const slices = 20

// Window counts the requests of one service and the second sends for them, as
// this VM saw them. The fields must be set before use.
type Window struct {
	// Length is over what time the share holds.
	Length time.Duration
	// Share is the second sends allowed for each request.
	Share float64
	// Slack is the second sends allowed besides, for this VM.
	Slack float64
	// Since is from when the slack grows over one window; zero means that there
	// is none yet.
	Since time.Time
	// Again tells that the VM had another life before Since, which may have spent
	// all that the window allows: what the requests allow grows as well.
	Again bool

	mu      sync.Mutex
	began   time.Time
	current int64
	ring    [slices + 1]counts
	sum     counts
}

type counts struct {
	requests int
	extras   int
}

// Request notes an ordinary request.
func (w *Window) Request(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.turn(now)
	w.ring[w.current%(slices+1)].requests++
	w.sum.requests++
}

// reserveFrom is up to how many allowed second sends nothing is reserved: with so
// few, what is kept back is mostly not asked for before it lapses.
const reserveFrom = 8

// Take notes a second send and reports true, unless that would leave less than
// reserve (a share of what is allowed beyond reserveFrom).
func (w *Window) Take(now time.Time, reserve float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.turn(now)
	allowed := w.allowed(now)
	if float64(w.sum.extras+1) > allowed-reserve*max(allowed-reserveFrom, 0) {
		return false
	}
	w.ring[w.current%(slices+1)].extras++
	w.sum.extras++
	return true
}

// Return takes back a second send that reached nobody.
func (w *Window) Return(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.turn(now)
	c := &w.ring[w.current%(slices+1)]
	if c.extras > 0 {
		c.extras--
		w.sum.extras--
	}
}

// Left is how many second sends are allowed now.
func (w *Window) Left(now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.turn(now)
	return w.allowed(now) - float64(w.sum.extras)
}

// SetSlack changes this VM's part of the slack, from when it grows, and Again.
func (w *Window) SetSlack(slack float64, since time.Time, again bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Slack = slack
	w.Since = since
	w.Again = again
}

// allowed grows over the first window from nothing. Where a former life may have
// spent all shortly before its end, what is allowed grows with the square of the
// age, as that life's second sends leave the window only with time.
func (w *Window) allowed(now time.Time) float64 {
	age := 0.0
	if !w.Since.IsZero() {
		age = min(float64(now.Sub(w.Since))/float64(w.Length), 1)
	}
	requests := float64(w.sum.requests) * w.Share
	if w.Again {
		return (requests + w.Slack) * age * age
	}
	return requests + w.Slack*age
}

func (w *Window) turn(now time.Time) {
	if w.began.IsZero() {
		w.began = now
	}
	at := int64(now.Sub(w.began) / (w.Length / slices))
	for w.current < at {
		if at-w.current > slices+1 {
			w.current = at - slices - 1
		}
		w.current++
		c := &w.ring[w.current%(slices+1)]
		w.sum.requests -= c.requests
		w.sum.extras -= c.extras
		*c = counts{}
	}
}

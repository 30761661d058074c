package zlview

import (
	"math"
	"sync/atomic"
	"time"
)

// Holder keeps the current view of a process.
type Holder struct {
	current atomic.Pointer[View]
	// heard keeps its monotonic reading, so that a step of the wall clock
	// does not change the view's age.
	heard atomic.Pointer[time.Time]
}

// Load returns the current view, or nil before the first one.
func (h *Holder) Load() *View {
	return h.current.Load()
}

// Store makes v current.
func (h *Holder) Store(v *View) {
	h.current.Store(v)
}

// Confirm notes that the view held all of the platform's news as of t. Call it
// after Store. An earlier time than the one known changes nothing.
func (h *Holder) Confirm(t time.Time) {
	for {
		old := h.heard.Load()
		if old != nil && !t.After(*old) {
			return
		}
		if h.heard.CompareAndSwap(old, &t) {
			return
		}
	}
}

// Heard returns the latest time given to Confirm, or false before the first.
// Load it before the view: then all that was confirmed is in the view.
func (h *Holder) Heard() (time.Time, bool) {
	t := h.heard.Load()
	if t == nil {
		return time.Time{}, false
	}
	return *t, true
}

// Age returns the time since the last Confirm; without one it is the largest
// duration.
func (h *Holder) Age(now time.Time) time.Duration {
	t, ok := h.Heard()
	if !ok {
		return math.MaxInt64
	}
	return now.Sub(t)
}

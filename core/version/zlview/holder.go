package zlview

import (
	"math"
	"sync/atomic"
	"time"
)

// CurrentView keeps the current view of a process. The zero value is ready for use;
// all methods may be called concurrently.
type CurrentView struct {
	current atomic.Pointer[View]
	// confirmedAt is the latest time given to Confirm. It keeps its monotonic
	// reading, so that a step of the wall clock does not change the age of the
	// view.
	confirmedAt atomic.Pointer[time.Time]
}

// Load returns the current view, or nil before the first Store.
func (h *CurrentView) Load() *View {
	return h.current.Load()
}

// Store makes v current.
func (h *CurrentView) Store(v *View) {
	h.current.Store(v)
}

// Confirm records that the view contained all updates of the platform as of t.
// Call it after Store. A time before the recorded one changes nothing.
func (h *CurrentView) Confirm(t time.Time) {
	for {
		old := h.confirmedAt.Load()
		if old != nil && !t.After(*old) {
			return
		}
		if h.confirmedAt.CompareAndSwap(old, &t) {
			return
		}
	}
}

// ConfirmedAt returns the latest time given to Confirm, or false before the first
// call. A caller that needs both calls Heard before Load: the view then
// contains all updates as of that time.
func (h *CurrentView) ConfirmedAt() (time.Time, bool) {
	t := h.confirmedAt.Load()
	if t == nil {
		return time.Time{}, false
	}
	return *t, true
}

// Age returns the time since the latest time given to Confirm, or the largest
// duration before the first call.
func (h *CurrentView) Age(now time.Time) time.Duration {
	t, ok := h.ConfirmedAt()
	if !ok {
		return math.MaxInt64
	}
	return now.Sub(t)
}

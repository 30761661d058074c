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
func (c *CurrentView) Load() *View {
	return c.current.Load()
}

// Store makes v current.
func (c *CurrentView) Store(v *View) {
	c.current.Store(v)
}

// Confirm records that the view contained all updates of the platform as of t.
// Call it after Store. A time before the recorded one changes nothing.
func (c *CurrentView) Confirm(t time.Time) {
	for {
		old := c.confirmedAt.Load()
		if old != nil && !t.After(*old) {
			return
		}
		if c.confirmedAt.CompareAndSwap(old, &t) {
			return
		}
	}
}

// ConfirmedAt returns the latest time given to Confirm, or false before the first
// call. A caller that needs both calls ConfirmedAt before Load: the view then
// contains all updates as of that time.
func (c *CurrentView) ConfirmedAt() (time.Time, bool) {
	t := c.confirmedAt.Load()
	if t == nil {
		return time.Time{}, false
	}
	return *t, true
}

// Age returns the time since the latest time given to Confirm, or the largest
// duration before the first call.
func (c *CurrentView) Age(now time.Time) time.Duration {
	t, ok := c.ConfirmedAt()
	if !ok {
		return math.MaxInt64
	}
	return now.Sub(t)
}

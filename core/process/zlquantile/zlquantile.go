// Package zlquantile tracks quantiles of recent durations and forgets old ones.
package zlquantile

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// window is the least time after which the older half is forgotten.
	window = 5 * time.Second
	// leastSamples is how many samples a window must hold to be closed, and
	// how many a quantile needs.
	leastSamples = 32
	// refresh is how long a computed quantile is handed out.
	refresh = 50 * time.Millisecond
	// largest is the largest duration told apart.
	largest = 10 * time.Minute
	// digits is the precision in decimal digits.
	digits = 2
)

type cached struct {
	quantile float64
	value    time.Duration
	at       time.Time
}

// Tracker keeps durations of two windows and reads the newer one that is full
// enough. The zero value is ready for use.
type Tracker struct {
	mu      sync.Mutex
	current *hdrhistogram.Histogram
	former  *hdrhistogram.Histogram
	opened  time.Time
	last    time.Time
	cache   [4]cached
}

// Observe adds durations that were measured at now.
func (t *Tracker) Observe(now time.Time, ds ...time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current == nil {
		t.current = hdrhistogram.New(1, int64(largest/time.Microsecond), digits)
		t.former = hdrhistogram.New(1, int64(largest/time.Microsecond), digits)
		t.opened = now
	}
	if now.Sub(t.opened) >= window && t.current.TotalCount() >= leastSamples {
		t.current, t.former = t.former, t.current
		t.current.Reset()
		t.opened = now
	}
	t.last = now
	for _, d := range ds {
		d = min(max(d, time.Microsecond), largest)
		_ = t.current.RecordValue(int64(d / time.Microsecond))
	}
}

// Quantile returns the duration at quantile q, from 0 to 1, or false while too
// few are known.
func (t *Tracker) Quantile(now time.Time, q float64) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current == nil {
		return 0, false
	}
	spare := 0
	for i, c := range t.cache {
		if c.quantile == q && !c.at.IsZero() && now.Sub(c.at) < refresh {
			return c.value, true
		}
		if c.at.Before(t.cache[spare].at) {
			spare = i
		}
	}
	value, ok := t.compute(q)
	if ok {
		t.cache[spare] = cached{
			quantile: q,
			value:    value,
			at:       now,
		}
	}
	return value, ok
}

// Since returns the time since the last Observe, or false before the first.
func (t *Tracker) Since(now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.last), t.current != nil
}

func (t *Tracker) compute(q float64) (time.Duration, bool) {
	from := t.current
	if from.TotalCount() < leastSamples {
		from = t.former
	}
	if from.TotalCount() < leastSamples {
		return 0, false
	}
	return time.Duration(from.ValueAtQuantile(q*100)) * time.Microsecond, true
}

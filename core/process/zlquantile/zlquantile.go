// Package zlquantile tracks quantiles of recent durations, such as service times:
// Observe takes durations and when they ended, and Quantile returns the value at a
// quantile, once there are enough samples. It keeps two windows of samples and
// forgets the older one as soon as the newer one has enough; durations that were not
// sampled recently are kept until then. It is not for metrics or for exact
// quantiles: values have two significant digits, and a result may come from a cache.
package zlquantile

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// window is the least time that a window of samples is filled.
	window = 5 * time.Second
	// minSamples is how many samples a window needs before the next one
	// begins, and before quantiles are computed from it.
	minSamples = 32
	// cacheTime is how long a computed quantile is returned from the cache.
	cacheTime = 50 * time.Millisecond
	// maxDuration is the largest duration recorded; longer ones count as this.
	maxDuration = 10 * time.Minute
	// precisionDigits is the precision in significant decimal digits.
	precisionDigits = 2
)

// cached is a computed quantile.
type cached struct {
	quantile float64
	value    time.Duration
	computed time.Time
}

// Tracker keeps the durations of two windows and computes quantiles from the
// newer one that has minSamples. The zero value is ready for use; the methods
// are safe for concurrent use.
type Tracker struct {
	mu          sync.Mutex
	current     *hdrhistogram.Histogram
	previous    *hdrhistogram.Histogram
	openedAt    time.Time
	lastObserve time.Time
	cache       [4]cached
}

// Observe adds durations that ended at now.
func (t *Tracker) Observe(now time.Time, ds ...time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current == nil {
		t.current = hdrhistogram.New(1, int64(maxDuration/time.Microsecond), precisionDigits)
		t.previous = hdrhistogram.New(1, int64(maxDuration/time.Microsecond), precisionDigits)
		t.openedAt = now
	}
	if now.Sub(t.openedAt) >= window && t.current.TotalCount() >= minSamples {
		t.current, t.previous = t.previous, t.current
		t.current.Reset()
		t.openedAt = now
	}
	t.lastObserve = now
	for _, d := range ds {
		d = min(max(d, time.Microsecond), maxDuration)
		_ = t.current.RecordValue(int64(d / time.Microsecond))
	}
}

// Quantile returns the duration at quantile q, from 0 to 1. It returns false
// while there are fewer than minSamples durations.
func (t *Tracker) Quantile(now time.Time, q float64) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current == nil {
		return 0, false
	}
	oldest := 0
	for i, c := range t.cache {
		if c.quantile == q && !c.computed.IsZero() && now.Sub(c.computed) < cacheTime {
			return c.value, true
		}
		if c.computed.Before(t.cache[oldest].computed) {
			oldest = i
		}
	}
	value, ok := t.compute(q)
	if ok {
		t.cache[oldest] = cached{
			quantile: q,
			value:    value,
			computed: now,
		}
	}
	return value, ok
}

// Since returns the time since the last Observe, and false if there was none.
func (t *Tracker) Since(now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.lastObserve), t.current != nil
}

// compute returns quantile q without the cache. The caller holds mu.
func (t *Tracker) compute(q float64) (time.Duration, bool) {
	from := t.current
	if from.TotalCount() < minSamples {
		from = t.previous
	}
	if from.TotalCount() < minSamples {
		return 0, false
	}
	return time.Duration(from.ValueAtQuantile(q*100)) * time.Microsecond, true
}

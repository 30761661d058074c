// Package zltokenbucket is a token bucket that bounds extra work, such as hedges
// and retries, by a share of the recent ordinary work. It only counts tokens
// and has no notion of time.
package zltokenbucket

import "sync"

// Bucket holds the tokens that ordinary work earns and extra work takes. Burst
// must be set before use; a bucket starts full. The methods are safe for
// concurrent use.
type Bucket struct {
	// Burst is the most tokens that the bucket holds.
	Burst float64

	mu sync.Mutex
	// spent is how many tokens below Burst the bucket is.
	spent float64
}

// Earn adds share tokens for each of n pieces of ordinary work.
func (b *Bucket) Earn(n int, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(b.spent-float64(n)*share, 0)
}

// Drain removes n tokens, so that a new bucket starts with less than Burst.
func (b *Bucket) Drain(n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = min(b.spent+n, b.Burst)
}

// Return puts back a token that was taken for work that was not done.
func (b *Bucket) Return() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(b.spent-1, 0)
}

// Take takes one token and reports whether it did. It leaves the last reserve,
// a share of Burst from 0 to 1, in the bucket.
func (b *Bucket) Take(reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > b.Burst*(1-reserve) {
		return false
	}
	b.spent++
	return true
}

// Package zltenure decides whether this daemon may speak to an upstream now,
// until when and with what share. It is pure: its caller passes in the local
// time and what was heard. docs/TENURE.md argues why the shares of all daemons
// never add up to more than an upstream bears.
package zltenure

import (
	"sync"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlroster"
)

const (
	// DefaultLease is the length of a lease, on the clock of its holder.
	DefaultLease = 4 * time.Second
	// DefaultClockError bounds the ratio of two clocks' rates, less 1.
	DefaultClockError = 0.01
	// DefaultUnconfirmed is how long vouchers alone keep up tenure. It is less
	// than half of zlroster.KeepPast.
	DefaultUnconfirmed = 23 * time.Hour
	// sendMargin is kept between a grant's end and the lease's, for the time
	// that a cancellation takes to reach the upstream.
	sendMargin = 50 * time.Millisecond
	// pauseGap is the time between two ticks that tells of a pause.
	pauseGap = time.Second
	// keptAdoptions bounds what is remembered of one daemon's epochs.
	keptAdoptions = 16
)

// Tenure is the state of one daemon. The exported fields must be set before
// use; one lock covers the rest.
type Tenure struct {
	Self        zlroster.Key
	Lease       time.Duration
	ClockError  float64
	Unconfirmed time.Duration

	mu sync.RWMutex
	// later is the newest epoch heard of.
	later     zlunit.ObjectVersion
	roster    zlroster.Roster
	vouchers  []zlroster.Member
	promises  map[zlroster.Key]time.Time
	confirmed time.Time
	// platform is when any epoch was last confirmed by the platform.
	platform time.Time
	// ticked is the time of the last Tick; woke tells that the process was
	// paused since its lease was last current.
	ticked time.Time
	woke   bool
	// clear tells that no earlier holder is waited for.
	clear bool
	// stopped tells that this daemon has given up everything for good.
	stopped bool
	holds   map[zlunit.Upstream]*hold
	facts   map[zlroster.Key]*fact
}

// Use names an upstream and what it bears.
type Use struct {
	Name        zlunit.Upstream
	Slots       zlunit.Slots
	Connections zlunit.Connections
	Cold        zlunit.Slots
}

// wait is how long a lease of another daemon may last on this one's clock.
func (t *Tenure) wait() time.Duration {
	return time.Duration(float64(t.Lease) * (1 + t.ClockError))
}

// Adopt takes up a roster and the list of its data centre's upstreams. It
// reports false for a roster that is older than the one in force.
func (t *Tenure) Adopt(r zlroster.Roster, upstreams []zlunit.Upstream, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Epoch < t.roster.Epoch {
		return false
	}
	if t.facts == nil {
		t.facts = map[zlroster.Key]*fact{}
		t.platform = now
	}
	ended := t.leaseEnd()
	if r.Epoch > t.roster.Epoch {
		t.promises = map[zlroster.Key]time.Time{}
		t.confirmed = time.Time{}
	}
	old := t.roster
	t.roster = r
	t.later = max(t.later, r.Epoch)
	t.vouchers = nil
	if t.member(r) {
		t.vouchers = r.Vouchers(t.Self.VM)
	}
	t.fact(t.Self).adopt(r.Epoch, now)
	t.rebuild(old, upstreams, ended, now)
	t.settle(now)
	return true
}

// member reports whether this very process is in r.
func (t *Tenure) member(r zlroster.Roster) bool {
	m, ok := r.Member(t.Self.VM)
	return ok && m.Incarnation == t.Self.Incarnation
}

// Epoch returns the epoch in force and the newest heard of.
func (t *Tenure) Epoch() (inForce, later zlunit.ObjectVersion) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.roster.Epoch, t.later
}

// Confirm notes that epoch was current at the platform when it was asked, at
// the local time asked.
func (t *Tenure) Confirm(epoch zlunit.ObjectVersion, asked time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirm(epoch, asked)
}

func (t *Tenure) confirm(epoch zlunit.ObjectVersion, asked time.Time) {
	t.later = max(t.later, epoch)
	if epoch != t.roster.Epoch {
		return
	}
	t.confirmed = latest(t.confirmed, asked)
	t.platform = latest(t.platform, asked)
}

// Vouchers returns the members whose promises keep up this daemon's lease.
func (t *Tenure) Vouchers() []zlroster.Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.vouchers
}

// leaseEnd is when the lease of the epoch in force ends.
func (t *Tenure) leaseEnd() time.Time {
	var end time.Time
	if !t.confirmed.IsZero() {
		end = t.confirmed.Add(t.Lease)
	}
	return latest(end, t.vouchedEnd())
}

// vouchedEnd is when the first of the vouchers' promises runs out.
func (t *Tenure) vouchedEnd() time.Time {
	if len(t.vouchers) == 0 {
		return time.Time{}
	}
	end := t.platform.Add(t.Unconfirmed)
	for _, v := range t.vouchers {
		asked, ok := t.promises[v.Key()]
		if !ok {
			return time.Time{}
		}
		if promised := asked.Add(t.Lease); promised.Before(end) {
			end = promised
		}
	}
	return end
}

// Left returns how long the lease of the epoch in force still lasts.
func (t *Tenure) Left(now time.Time) time.Duration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	end := t.leaseEnd()
	if end.IsZero() {
		return 0
	}
	return max(remaining(now, end), 0)
}

// remaining is the time from now to end. A machine that was suspended may find
// its monotonic clock behind, so the wall clock can only shorten it.
func remaining(now, end time.Time) time.Duration {
	return min(end.Sub(now), end.Round(0).Sub(now.Round(0)))
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Stop gives up everything for good, before this process ends.
func (t *Tenure) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.holds = map[zlunit.Upstream]*hold{}
}

// Tick takes up what the passing of time has changed. It must be called several
// times a second, since a gap is taken for a pause.
func (t *Tenure) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.woke = t.woke || t.paused(now)
	if remaining(now, t.leaseEnd()) > 0 {
		t.woke = false
	}
	t.ticked = now
	t.settle(now)
}

// paused reports whether the last tick is longer ago than it can be without a
// pause.
func (t *Tenure) paused(now time.Time) bool {
	gap := max(now.Sub(t.ticked), now.Round(0).Sub(t.ticked.Round(0)))
	return !t.ticked.IsZero() && gap > pauseGap
}

package zlbalancer

import "time"

// rateLimit is the request rate that a replica named in its answers: what it takes from
// all VMs together, for as long as it names it.
type rateLimit struct {
	// active is set while the replica names a limit.
	active bool
	// perSecond is the limit in requests a second.
	perSecond float64
	// since is when this process learnt of the limit.
	since time.Time
}

// SetRateLimit notes that the replica named a rate limit, in requests a second from all
// VMs together, and reports whether it is new or has changed.
func (f *Flight) SetRateLimit(now time.Time, perSecond float64) bool {
	x := f.record.restriction
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.rate.active && x.rate.perSecond == perSecond {
		return false
	}
	if !x.rate.active {
		x.rate.since = now
	}
	x.rate.active = true
	x.rate.perSecond = perSecond
	return true
}

// ClearRateLimit notes that the replica named no rate limit in its answer to the request,
// and reports whether that ends one. An answer to a request from before the limit does
// not.
func (f *Flight) ClearRateLimit() bool {
	f.record.mu.Lock()
	sentAt := f.sentAt
	f.record.mu.Unlock()
	x := f.record.restriction
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.rate.active || !sentAt.After(x.rate.since) {
		return false
	}
	x.rate = rateLimit{}
	return true
}

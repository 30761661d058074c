package zlbalancer

import (
	"cmp"
	"math"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
)

const (
	// rateBurst is the time for which a VM saves up its unused share of a rate limit.
	rateBurst = 1250 * time.Millisecond
	// fractionUse is the part of a share below one request that is used: chance lets more
	// VMs than expected send at the same time.
	fractionUse = 0.8
	// minRateLimit is the rate, in requests a second of all VMs together, at which a
	// replica is still asked that named less, so that the end of its limit is noticed.
	minRateLimit = 0.2
	// maxRateWait bounds RateLimitWait.
	maxRateWait = time.Minute
)

// rateLimit is the request rate that a replica named in its answers: what it takes from
// all VMs together, for as long as it names it. Each VM uses an equal share of it.
//
// Load pattern: replicas in need limit their rate while the load goes on. Their VMs send
// what the limit allows, the rest goes to other replicas, and what none of them takes is
// refused at once.
type rateLimit struct {
	// active is set while the replica names a limit.
	active bool
	// perSecond is the limit in requests a second.
	perSecond float64
	// since is when this process learnt of the limit.
	since time.Time
	// level is what is left of this VM's share, in requests, at updatedAt.
	level     float64
	updatedAt time.Time
}

// share returns this VM's share of the limit in requests a second, 0 while the VM count
// is not known.
func (l *rateLimit) share(vms int) float64 {
	if vms == 0 {
		return 0
	}
	share := max(l.perSecond, minRateLimit) / float64(vms)
	if share*rateBurst.Seconds() < 1 {
		return share * fractionUse
	}
	return share
}

// isFraction reports whether a share is too small to save up a whole request.
func isFraction(share float64) bool {
	return share*rateBurst.Seconds() < 1
}

// refill brings level up to date and returns the share.
func (l *rateLimit) refill(now time.Time, vms int) float64 {
	share := l.share(vms)
	if now.After(l.updatedAt) {
		l.level = min(l.level+share*now.Sub(l.updatedAt).Seconds(), share*rateBurst.Seconds())
		l.updatedAt = now
	}
	return share
}

// permits reports whether the share allows one more request and leaves reserve. If the
// share is a fraction, whole requests are not saved up, since all VMs could send theirs at
// the same time: the level is then the chance of a request, and is lost with it. draw, in
// [0, 1) and one for each caller's request, decides.
func (l *rateLimit) permits(now time.Time, vms int, draw, reserve float64) bool {
	if !l.active {
		return true
	}
	if share := l.refill(now, vms); !isFraction(share) {
		return l.level >= 1+reserve
	}
	if reserve > 0 {
		return false
	}
	if l.level <= draw {
		l.level = 0
		return false
	}
	return true
}

// set notes a limit and reports whether it is new or has changed.
func (l *rateLimit) set(now time.Time, perSecond float64) bool {
	if l.active && l.perSecond == perSecond {
		return false
	}
	if !l.active {
		l.since = now
		l.level = 0
		l.updatedAt = now
	}
	l.active = true
	l.perSecond = perSecond
	return true
}

// drawFor returns the draw of a request for one replica of a service. The replicas of a
// service get draws at equal distances, so that their chances add up; replicas of
// different services in the same place get the same, so that all parts of a request are
// allowed together.
func drawFor(list []*zlregistry.Entry, e *zlregistry.Entry, draw float64) float64 {
	rank := 0
	for _, o := range list {
		if cmp.Or(cmp.Compare(o.DataCentre, e.DataCentre), cmp.Compare(o.ID, e.ID)) < 0 {
			rank++
		}
	}
	_, fraction := math.Modf(draw + float64(rank)/float64(len(list)))
	return fraction
}

func (x *restriction) isRateLimited() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.rate.active
}

// mayUseRate reports whether the rate limit allows a request now. A draw that fails uses
// up the chance (see permits).
func (x *restriction) mayUseRate(now time.Time, vms int, draw, reserve float64) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.rate.permits(now, vms, draw, reserve)
}

// useRate uses the rate limit for one request, unless that is not allowed. counted is set
// if there is a limit.
func (x *restriction) useRate(now time.Time, vms int, draw, reserve float64) (counted, ok bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.rate.active {
		return false, true
	}
	if !x.rate.permits(now, vms, draw, reserve) {
		return false, false
	}
	x.rate.level = max(x.rate.level-1, 0)
	return true, true
}

// returnRate returns what useRate took for a request that was not sent.
func (x *restriction) returnRate() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.rate.level++
}

// SetRateLimit notes that the replica named a rate limit, in requests a second from all
// VMs together, and reports whether it is new or has changed.
func (f *Flight) SetRateLimit(now time.Time, perSecond float64) bool {
	f.restricted.Store(true)
	x := f.record.restriction
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.rate.set(now, perSecond)
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

// RateLimitWait returns how long a request to a service waits for the rate limits of its
// replicas, behind those that wait before it; w is its own place in the queue, nil if it
// has none. It is 0 if a replica that may be sent requests has no limit.
func (p *Placer) RateLimitWait(v *zlregistry.View, now time.Time, s zlunit.Service, w *Waiter) time.Duration {
	if !p.restricted.Load() {
		return 0
	}
	vms := p.VMCount()
	needed, rate := float64(1+p.queueFor(s).before(now, w, -1)), 0.0
	eligible := p.eligibilityOf(s)
	for _, e := range v.Replicas[s] {
		if !eligible.allows(e) {
			continue
		}
		r := p.recordFor(e)
		until, never := r.restriction.blockedUntil(now, p.Settings.LeavingGrace)
		if v.OutOfService[e.DataCentre] || never || !until.IsZero() || r.snapshot(now).moved {
			continue
		}
		r.restriction.mu.Lock()
		l := &r.restriction.rate
		if !l.active {
			r.restriction.mu.Unlock()
			return 0
		}
		rate += l.refill(now, vms)
		needed -= l.level
		r.restriction.mu.Unlock()
	}
	switch {
	case needed <= 0:
		return 0
	case rate <= 0:
		return maxRateWait
	default:
		return min(time.Duration(needed/rate*float64(time.Second)), maxRateWait)
	}
}

package zlbalancer

import (
	"sync"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
)

const (
	// leavingCost ranks a replica that is leaving behind all others. Within
	// Settings.LeavingGrace it still serves a shard that has no other replica.
	leavingCost = 100
	// backoffJitter lengthens each back-off by up to this share, so that the VMs do not
	// return together.
	backoffJitter = 0.1
	// leavingMemory is how long the mark of a leaving replica is kept after its entry
	// went, since a restored store may list the entry again.
	leavingMemory = time.Hour
	// endedTime is how long a replica that ended is asked last. A replica that starts again
	// has a new incarnation, and one that does not is removed from the registry by then.
	endedTime = 4 * time.Second
)

// restrictionKey names one incarnation of a replica, whatever its address.
type restrictionKey struct {
	id          zlunit.Upstream
	incarnation int64
}

// restriction is what a replica asked of this process in its answers. It outlives
// changes of the replica's address and entry; a new incarnation starts without one.
//
// Load patterns: a replica leaves while the store does not show it, or shows it late,
// and a replica sheds the load of single VMs; in both, requests sent all the same are
// lost work and delay the replica further.
type restriction struct {
	mu sync.Mutex
	// leavingSince is when the replica first said that it is leaving; zero if it did not.
	leavingSince time.Time
	// backoffUntil is the end of the time for which the replica wants no requests.
	backoffUntil time.Time
	// rate is the replica's rate limit.
	rate rateLimit
	// endedUntil is the end of the time for which the replica is taken to have ended.
	endedUntil time.Time
}

// MarkEnded notes that an incarnation of a replica was found to have ended. It is asked last,
// like one that has just failed, until it is listed with its next start.
func (p *Placer) MarkEnded(id zlunit.Upstream, incarnation int64, now time.Time) {
	p.mu.Lock()
	x := p.restrictionOf(restrictionKey{
		id:          id,
		incarnation: incarnation,
	})
	p.mu.Unlock()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.endedUntil = now.Add(endedTime)
}

func (x *restriction) isEnded(now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return now.Before(x.endedUntil)
}

// blockedUntil returns when the replica may be sent requests again: zero if it may now,
// and never as true if it may not again.
func (x *restriction) blockedUntil(now time.Time, leavingGrace time.Duration) (until time.Time, never bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.leavingSince.IsZero() && now.Sub(x.leavingSince) >= leavingGrace {
		return time.Time{}, true
	}
	if now.Before(x.backoffUntil) {
		return x.backoffUntil, false
	}
	return time.Time{}, false
}

func (x *restriction) isLeaving() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return !x.leavingSince.IsZero()
}

// restrictionFor returns the restriction of an incarnation. The caller holds p.mu.
func (p *Placer) restrictionFor(e *zlregistry.Entry) *restriction {
	return p.restrictionOf(restrictionKey{
		id:          e.ID,
		incarnation: e.Incarnation,
	})
}

// restrictionOf returns the restriction of an incarnation. The caller holds p.mu.
func (p *Placer) restrictionOf(key restrictionKey) *restriction {
	x, ok := p.restrictions[key]
	if !ok {
		if p.restrictions == nil {
			p.restrictions = map[restrictionKey]*restriction{}
		}
		x = &restriction{}
		p.restrictions[key] = x
	}
	return x
}

// forgetRestrictions drops those of replicas that are not in keep and that nothing
// could restore. The caller holds p.mu.
func (p *Placer) forgetRestrictions(now time.Time, keep map[restrictionKey]bool) {
	for key, x := range p.restrictions {
		x.mu.Lock()
		recent := now.Before(x.endedUntil) || now.Before(x.backoffUntil) || !x.leavingSince.IsZero() && now.Sub(x.leavingSince) < leavingMemory
		x.mu.Unlock()
		if !keep[key] && !recent {
			delete(p.restrictions, key)
		}
	}
}

// MarkLeaving notes that the replica said in an answer that it is leaving, and reports
// whether that is new.
func (f *Flight) MarkLeaving(now time.Time) bool {
	x := f.record.restriction
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.leavingSince.IsZero() {
		return false
	}
	x.leavingSince = now
	f.restricted.Store(true)
	return true
}

// BackOff notes that the replica asked to get no requests of this process for a time.
// The first request after it goes alone.
func (f *Flight) BackOff(now time.Time, wait time.Duration) {
	x := f.record.restriction
	until := now.Add(wait + time.Duration(f.random()*backoffJitter*float64(wait)))
	x.mu.Lock()
	if until.After(x.backoffUntil) {
		x.backoffUntil = until
	}
	x.mu.Unlock()
	f.restricted.Store(true)
	r := f.record
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlightLimit = 1
	r.limitLoweredAt = now
}

// MaySend reports whether the request may still be sent: it may not if the replica
// asked for no requests since it was chosen, or limited its rate to less.
func (f *Flight) MaySend(now time.Time) bool {
	x := f.record.restriction
	if until, never := x.blockedUntil(now, f.leavingGrace); never || !until.IsZero() {
		return false
	}
	if f.rateCounted {
		return true
	}
	var ok bool
	f.rateCounted, ok = x.useRate(now, f.vms, f.draw, 0)
	return ok
}

// Restricted reports whether any replica ever restricted the requests that it gets.
func (p *Placer) Restricted() bool {
	return p.restricted.Load()
}

// SoundReplicas returns how many replicas of a service may be sent requests and have not
// failed a request of this VM lately.
func (p *Placer) SoundReplicas(v *zlregistry.View, now time.Time, s zlunit.Service) int {
	n := 0
	for _, e := range v.Replicas[s] {
		if v.OutOfService[e.DataCentre] {
			continue
		}
		r := p.recordFor(e)
		until, never := r.restriction.blockedUntil(now, p.Settings.LeavingGrace)
		state := r.snapshot(now)
		if !never && until.IsZero() && !state.failed && !state.moved {
			n++
		}
	}
	return n
}

// Availability is whether a service has replicas that may be sent requests.
type Availability struct {
	// Replicas counts those that may be sent requests now.
	Replicas int
	// RetryAt is when the first of the others may be sent requests again; zero if there
	// is none.
	RetryAt time.Time
}

// Available returns the availability of a service in v. It does not consider how busy
// the replicas are.
func (p *Placer) Available(v *zlregistry.View, now time.Time, s zlunit.Service) Availability {
	var a Availability
	eligible := p.eligibilityOf(s)
	for _, e := range v.Replicas[s] {
		if v.OutOfService[e.DataCentre] || !eligible.allows(e) {
			continue
		}
		if !p.restricted.Load() {
			a.Replicas++
			continue
		}
		until, never := p.recordFor(e).restriction.blockedUntil(now, p.Settings.LeavingGrace)
		switch {
		case never:
		case until.IsZero():
			a.Replicas++
		case a.RetryAt.IsZero() || until.Before(a.RetryAt):
			a.RetryAt = until
		}
	}
	return a
}

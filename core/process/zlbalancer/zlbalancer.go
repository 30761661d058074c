// Package zlbalancer chooses the replica that a request of the relay is sent to, and
// keeps the requests that wait for a free place; its counterpart in zinnialock serve
// is zlroute. It weighs the requests in flight from this process, recent latency and
// failures, what the registry says of the replicas, data centres and connection
// limits. It sends nothing itself. It handles these failure patterns:
//
//   - paused replicas: the first overdue request marks the replica as paused,
//     the senders of the others there are notified, and no new request goes
//     there while another replica can serve;
//   - slow replicas: latency is counted relative to what such requests usually
//     take, so that query kinds of different cost compare;
//   - replicas that fail fast: the failure rate outweighs the short queue that
//     fast failures leave;
//   - an unreachable data centre: overdue and unreached requests at its
//     replicas with no answer between them count against all of its replicas;
//   - replicas that say in their answers that they are leaving, or want no
//     requests for a time: they get none (see restriction);
//   - replicas that limit their request rate: each VM uses a share of the limit, and
//     what exceeds it goes elsewhere or is refused (see rateLimit);
//   - cold replicas: each gets a limited request rate, divided among the VMs;
//   - versions of a service that is rolled out: each send goes to replicas of the version
//     that its draw chose (see Placer.Splits);
//   - too few replicas in the data centre: a share of the requests goes to other data
//     centres (see zlspillover), if that is switched on.
package zlbalancer

import (
	"sync"
	"sync/atomic"
	"time"

	"zinnialock/core/process/zlspillover"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zlrollout"
	"zinnialock/core/version/zltable"
)

// Settings are the settings of a deployment that placement needs.
type Settings struct {
	// Home is the data centre of this process.
	Home zlunit.DataCentre
	// ColdFactor and ColdBurst bound the requests that a cold replica gets per
	// second from all VMs together: its cold rate times ColdFactor, plus
	// ColdBurst as a burst allowance.
	ColdFactor float64
	ColdBurst  float64
	// LeavingGrace is how long a replica that says in its answers that it is leaving may
	// still serve what no other replica can; 0 means not at all.
	LeavingGrace time.Duration
	// Spillover decides which share of the requests leaves the data centre; nil means
	// that a replica in another data centre has a fixed cost.
	Spillover *zlspillover.Controller
}

// coldRateShare is the part of the cold bound that is used. A request may be
// sent in one second and arrive in the next, where it counts as well.
const coldRateShare = 0.5

// Placer chooses replicas. Settings and Random must be set before use; the
// methods are safe for concurrent use if Random is.
type Placer struct {
	Settings Settings
	// Random returns a number in [0, 1); nil means math/rand/v2.
	Random func() float64
	// Splits returns how the requests to a service are divided between two versions of its
	// replicas, or nil if they are not; may be nil.
	Splits func(s zlunit.Service) *zlrollout.Split

	vmCount atomic.Int64
	// restricted is set once any replica asked for a restriction.
	restricted atomic.Bool
	// remoteRequests and remoteBytes are those of RemoteTraffic.
	remoteRequests atomic.Int64
	remoteBytes    atomic.Int64

	mu           sync.Mutex
	records      map[recordKey]*Record
	restrictions map[restrictionKey]*restriction
	waitQueues   map[zlunit.Service]*waitQueue
	sites        map[zlunit.DataCentre]*siteHealth
}

// SetVMCount sets the VM count: how many VMs share the replicas; 0 means that it is not
// known.
func (p *Placer) SetVMCount(n int) {
	p.vmCount.Store(int64(n))
}

// VMCount returns the VM count, or 0 while it is not known.
func (p *Placer) VMCount() int {
	return int(p.vmCount.Load())
}

// ConnectionShare returns how many connections this VM may keep to one replica
// of s, at least 1.
func (p *Placer) ConnectionShare(s zltable.Service) int {
	n := p.VMCount()
	if n == 0 {
		return 1
	}
	return max(s.Connections/n, 1)
}

// IsScarce reports whether a replica of s takes fewer than two connections of
// each VM. VMs of other data centres must then not keep connections to it.
func (p *Placer) IsScarce(s zltable.Service) bool {
	n := p.VMCount()
	return n == 0 || s.Connections < 2*n
}

// coldRate returns how many requests a second this VM may send to a replica of s
// in cold start: its part of coldRateShare of the bound for all VMs together
// (see Settings.ColdFactor). It is 0 while the VM count is not known.
func (p *Placer) coldRate(s zltable.Service) float64 {
	n := p.VMCount()
	if n == 0 {
		return 0
	}
	limit := s.ColdRate*p.Settings.ColdFactor + p.Settings.ColdBurst
	return limit * coldRateShare / float64(n)
}

func (r *Record) allowCold(now time.Time, rate float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cold.allow(now, rate)
}

func (p *Placer) recordFor(e *zlregistry.Entry) *Record {
	key := recordKey{
		id:          e.ID,
		incarnation: e.Incarnation,
		addr:        e.Address,
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.records[key]
	if !ok {
		if p.records == nil {
			p.records = map[recordKey]*Record{}
		}
		r = &Record{
			latencyRatio: 1,
			restriction:  p.restrictionFor(e),
		}
		p.records[key] = r
	}
	return r
}

// Forget drops the records of replicas that are not in v and have no request
// in flight.
func (p *Placer) Forget(v *zlregistry.View, now time.Time) {
	keep := map[recordKey]bool{}
	keepRestrictions := map[restrictionKey]bool{}
	for _, list := range v.Replicas {
		for _, e := range list {
			keepRestrictions[restrictionKey{
				id:          e.ID,
				incarnation: e.Incarnation,
			}] = true
			keep[recordKey{
				id:          e.ID,
				incarnation: e.Incarnation,
				addr:        e.Address,
			}] = true
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, r := range p.records {
		r.mu.Lock()
		if len(r.inFlight) == 0 && !keep[key] {
			delete(p.records, key)
		} else {
			keepRestrictions[restrictionKey{
				id:          key.id,
				incarnation: key.incarnation,
			}] = true
		}
		r.mu.Unlock()
	}
	p.forgetRestrictions(now, keepRestrictions)
	if c := p.Settings.Spillover; c != nil {
		c.Forget(func(s zlunit.Service) bool {
			return len(v.Replicas[s]) > 0
		})
	}
}

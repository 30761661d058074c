package zlbalancer

import (
	"math/rand/v2"
	"slices"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
)

// Costs are in units of one request in flight at the usual latency.
const (
	// remoteCost is for a replica in another data centre: a round trip of
	// twice 1.4 ms, against 5 to 15 ms of work, and the price of the traffic.
	remoteCost = 0.7
	// failedCost ranks a replica that has just failed behind one with five
	// requests in flight.
	failedCost = 5
	// overdueCost ranks a paused replica behind one that has just failed.
	overdueCost = 10
	// failureRateCost times the failure rate, from 0 to 1, is added to the cost
	// of a replica; one that fails every request gets the whole.
	failureRateCost = 20
	// coldCost is added to the cost of a replica in cold start; it counts as
	// much as four requests in flight.
	coldCost = 4
	// tieBreakJitter is the range of the random part that chooses among equal
	// replicas.
	tieBreakJitter = 0.05
)

// Placement is a chosen replica, where one request is already counted as in flight.
type Placement struct {
	Entry  *zlregistry.Entry
	Flight *Flight
	// Remote: the replica lies in another data centre.
	Remote bool
	// Overdue: the replica was chosen although a request there is overdue.
	Overdue bool
	// InFlight is how many requests this process had in flight there before.
	InFlight int
	// Split: the service's requests are divided between two versions.
	Split bool
}

// PlacementRequest describes the request that Place places.
type PlacementRequest struct {
	Service zlunit.Service
	// Skip lists replicas that must not be chosen.
	Skip []zlunit.Upstream
	// HealthyOnly: the request is optional, such as a hedge, and only goes to a
	// healthy replica.
	HealthyOnly bool
	// Target is the time within which the answer is useful; 0 means any time.
	Target time.Duration
	// Draw, in [0, 1), is the same for all parts of a caller's request. It decides where
	// the share of a rate limit is a fraction of a request (see rateLimit).
	Draw float64
	// Turn is that of the request. Started is set if it may use all places whatever its turn,
	// since parts of it were sent.
	Turn    *Turn
	Started bool
	// Waiter is the request's place in the queue of the service, nil if it has none. What
	// a rate limit allows goes to the first of the queue.
	Waiter *Waiter
	// Notify, if set, is called when another request at the chosen replica is
	// overdue. It must not block.
	Notify func()
}

// Result is whether a replica was chosen, or why not.
type Result int

// The results of Place.
const (
	// Placed: a replica was chosen.
	Placed Result = iota
	// NoReplica: no replica is known that may serve.
	NoReplica
	// AtLimit: all replicas that may serve are at their limit for this process.
	AtLimit
	// BackingOff: all replicas that may serve asked for no requests for a time.
	BackingOff
	// RateLimited: all replicas that may serve limit their request rate, and this VM has
	// used its share.
	RateLimited
)

type candidate struct {
	entry  *zlregistry.Entry
	record *Record
	state  replicaState
	cost   float64
	cold   bool
}

// Place chooses the cheapest replica of the service in v and counts the
// request as in flight there. The Placement is nil unless the Result is Placed.
func (p *Placer) Place(v *zlregistry.View, now time.Time, w *PlacementRequest) (*Placement, Result) {
	if split := p.splitOf(w.Service); split != nil {
		return p.placeSplit(v, now, w, split)
	}
	return p.placeIn(v, now, w, selection{})
}

// placeIn is Place among the selected replicas.
func (p *Placer) placeIn(v *zlregistry.View, now time.Time, w *PlacementRequest, sel selection) (*Placement, Result) {
	share := p.ConnectionShare(v.Table.Services[w.Service])
	over := 0
	if !w.Started {
		over = p.queueFor(w.Service).overShare(now, w.Turn)
	}
	var list [16]candidate
	candidates := list[:0]
	result := NoReplica
	for _, e := range v.Replicas[w.Service] {
		if v.OutOfService[e.DataCentre] || slices.Contains(w.Skip, e.ID) || !sel.allows(e) {
			continue
		}
		c := p.candidateOf(e, now)
		until, never := c.record.restriction.blockedUntil(now, p.Settings.LeavingGrace)
		if c.state.moved || never {
			continue
		}
		if !until.IsZero() {
			if result == NoReplica {
				result = BackingOff
			}
			continue
		}
		if c.state.inFlight >= c.state.placesFor(share, over) || (w.HealthyOnly && !c.isHealthy()) {
			result = AtLimit
			continue
		}
		c.cost = p.cost(&c, now)
		candidates = append(candidates, c)
	}
	p.preferDataCentre(candidates, now, w)
	return p.startCheapest(v, candidates, now, w, result)
}

func (p *Placer) candidateOf(e *zlregistry.Entry, now time.Time) candidate {
	record := p.recordFor(e)
	return candidate{
		entry:  e,
		record: record,
		state:  record.snapshot(now),
		cold:   e.Cold(now),
	}
}

// startCheapest starts the request at the cheapest candidate that allows it. result is why
// other replicas are no candidates.
func (p *Placer) startCheapest(v *zlregistry.View, candidates []candidate, now time.Time, w *PlacementRequest, result Result) (*Placement, Result) {
	for len(candidates) > 0 {
		i := cheapest(candidates)
		c := candidates[i]
		placement, denied := p.tryStart(v, &c, now, w)
		if placement != nil {
			return placement, Placed
		}
		if result != AtLimit {
			result = denied
		}
		candidates = slices.Delete(candidates, i, i+1)
	}
	return nil, result
}

// tryStart counts the request as in flight at the replica, unless its rate limit or its
// cold start doesn't allow one more.
func (p *Placer) tryStart(v *zlregistry.View, c *candidate, now time.Time, w *PlacementRequest) (*Placement, Result) {
	places := p.ConnectionShare(v.Table.Services[w.Service])
	draw, counted := w.Draw, false
	if c.record.restriction.isRateLimited() {
		reserve := 0.0
		switch {
		case w.HealthyOnly:
			reserve = 1
		case p.queueFor(w.Service).before(now, w.Waiter, c.state.highestLevel(places)) > 0:
			return nil, RateLimited
		}
		draw = drawFor(v.Replicas[w.Service], c.entry, w.Draw)
		var ok bool
		if counted, ok = c.record.restriction.useRate(now, p.VMCount(), draw, reserve); !ok {
			return nil, RateLimited
		}
	}
	if c.cold && !c.record.allowCold(now, p.coldRate(v.Table.Services[w.Service])) {
		if counted {
			c.record.restriction.returnRate()
		}
		return nil, AtLimit
	}
	placement := p.start(c, w, places)
	placement.Flight.draw = draw
	placement.Flight.rateCounted = counted
	return placement, Placed
}

// HasCapacity reports whether a request would find a place at a
// service now, without passing over a waiter whose turn comes before.
func (p *Placer) HasCapacity(v *zlregistry.View, now time.Time, w *PlacementRequest) bool {
	q := p.queueFor(w.Service)
	highest := p.highestLevel(v, now, w.Service)
	if q.hasBefore(now, w.Turn, highest) {
		return false
	}
	isFirst := q.before(now, w.Waiter, highest) == 0
	over := q.overShare(now, w.Turn)
	eligible := p.eligibilityOf(w.Service)
	for _, e := range v.Replicas[w.Service] {
		if !v.OutOfService[e.DataCentre] && eligible.allows(e) && p.hasRoom(v, e, now, w, isFirst, over) {
			return true
		}
	}
	return false
}

// hasRoom reports whether one more request may go to a replica now; isFirst is set if
// none waits before it.
func (p *Placer) hasRoom(v *zlregistry.View, e *zlregistry.Entry, now time.Time, w *PlacementRequest, isFirst bool, over int) bool {
	r := p.recordFor(e)
	x := r.restriction
	if until, never := x.blockedUntil(now, p.Settings.LeavingGrace); never || !until.IsZero() {
		return false
	}
	if x.isRateLimited() {
		draw := drawFor(v.Replicas[w.Service], e, w.Draw)
		if !isFirst || !x.mayUseRate(now, p.VMCount(), draw, 0) {
			return false
		}
	}
	state := r.snapshot(now)
	return !state.moved && state.inFlight < state.placesFor(p.ConnectionShare(v.Table.Services[w.Service]), over)
}

// maxInFlight is how many requests may be in flight from this process, at most
// n.
func (s *replicaState) maxInFlight(n int) int {
	if s.inFlightLimit > 0 {
		return min(n, int(s.inFlightLimit))
	}
	return n
}

// placesFor is maxInFlight for a request of an organisation that is so far over its fair share
// while others wait. Each level takes the same part of the places that are left: what arrives
// later finds one, and the queue at the replica is short.
func (s *replicaState) placesFor(n, over int) int {
	return int(float64(s.maxInFlight(n)) * shareOfPlaces(over))
}

func (c *candidate) isHealthy() bool {
	return !c.state.overdue && !c.state.failed && !c.state.away && !c.cold && !c.state.leaving
}

func cheapest(list []candidate) int {
	best := 0
	for i := range list {
		if list[i].cost < list[best].cost {
			best = i
		}
	}
	return best
}

func (p *Placer) cost(c *candidate, now time.Time) float64 {
	s := &c.state
	cost := (float64(s.inFlight)+1)*max(s.latencyRatio, 0.25) + s.failureRate*failureRateCost + p.random()*tieBreakJitter
	if c.entry.DataCentre != p.Settings.Home {
		cost += remoteCost
		if p.siteFor(c.entry.DataCentre).isUnreachable(now) {
			cost += unreachableCost
		}
	}
	if s.failed || s.away {
		cost += failedCost
	}
	if s.overdue {
		cost += overdueCost
	}
	if s.reported {
		cost += reportedCost
	}
	if c.cold {
		cost += coldCost
	}
	if s.leaving {
		cost += leavingCost
	}
	return cost
}

func (p *Placer) random() float64 {
	if p.Random != nil {
		return p.Random()
	}
	return rand.Float64()
}

// start counts the request as in flight at the replica, which has so many places for this
// process.
func (p *Placer) start(c *candidate, w *PlacementRequest, places int) *Placement {
	f := &Flight{
		Notify:  w.Notify,
		record:  c.record,
		waiters: p.queueFor(w.Service),
		site:    p.siteFor(c.entry.DataCentre),
		target:  w.Target,
		vms:     p.VMCount(),
		isFair:  w.Turn != nil && w.Turn.Account != nil,
		places:  places,

		leavingGrace: p.Settings.LeavingGrace,
		random:       p.random,
		restricted:   &p.restricted,
		dataCentre:   c.entry.DataCentre,
	}
	if c.entry.DataCentre != p.Settings.Home {
		f.remote = p
	}
	if p.Settings.Spillover != nil {
		f.spillover = &spillover{
			controller: p.Settings.Spillover,
			service:    w.Service,
		}
	}
	c.record.mu.Lock()
	if c.record.inFlight == nil {
		c.record.inFlight = map[*Flight]struct{}{}
	}
	c.record.inFlight[f] = struct{}{}
	c.record.mu.Unlock()
	return &Placement{
		Entry:    c.entry,
		Flight:   f,
		Remote:   c.entry.DataCentre != p.Settings.Home,
		Overdue:  c.state.overdue,
		InFlight: c.state.inFlight,
	}
}

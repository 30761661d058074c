// Package zlplace decides which replica gets a request: by what is in flight
// from here, by what recent answers took, by what failed, by what the registry
// says, by data centre and by connections. It answers these patterns:
//
//   - pauses: the first overdue request marks the replica, the others there are
//     told, and nothing new is placed there while another replica can serve;
//   - slow replicas: time taken is counted against the time that such requests
//     usually take, so kinds of different work compare;
//   - replicas that fail fast: a share of failures outweighs the short queue
//     that fast failures leave;
//   - a data centre that is cut off: strikes against several of its replicas
//     with no answer between count against all of them;
//   - cold replicas: a rate for each, divided among the VMs.
package zlplace

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zltable"
)

// Costs are in units of one request in flight at the usual pace.
const (
	// farCost is that of another data centre: two ways of 1.4 ms against
	// work of 5 to 15 ms, and the price of the bytes.
	farCost = 0.7
	// failedCost puts a replica that has just failed behind a queue of five.
	failedCost = 5
	// overdueCost puts a replica in a pause behind one that has just failed.
	overdueCost = 10
	// faultCost is that of a replica that fails everything.
	faultCost = 20
	// coldCost is that of a cold replica.
	coldCost = 4
	// jitter breaks ties among equals.
	jitter = 0.05
)

// Settings are the figures of a deployment that placing needs.
type Settings struct {
	// Home is this process's data centre.
	Home zlunit.DataCentre
	// ColdFactor and ColdSlack bound what a cold replica gets in a second,
	// from all VMs: rate times factor, and slack.
	ColdFactor float64
	ColdSlack  float64
}

// coldShare is the part of the cold bound that is used: a request may be sent
// in one second and arrive in the next.
const coldShare = 0.5

// Placer chooses replicas. Settings and Random must be set before use.
type Placer struct {
	Settings Settings
	// Random returns a number from 0 to below 1; nil means math/rand/v2.
	Random func() float64

	vms    atomic.Int64
	mu     sync.Mutex
	record map[recordKey]*Record
	groups map[zlunit.Service]*group
	sites  map[zlunit.DataCentre]*site
}

// SetVMs tells how many VMs share the replicas.
func (p *Placer) SetVMs(n int) {
	p.vms.Store(int64(n))
}

// VMs is how many VMs share the replicas, at least 1.
func (p *Placer) VMs() int {
	return max(int(p.vms.Load()), 1)
}

// Spot is a replica that was chosen, with its place taken.
type Spot struct {
	Entry  *zlregistry.Entry
	Flight *Flight
	// Far tells that it lies in another data centre.
	Far bool
	// Overdue tells that it was chosen though a request there is overdue.
	Overdue bool
	// InFlight is what this process had there before.
	InFlight int
}

// Want describes a placement.
type Want struct {
	Service zlunit.Service
	// Skip names replicas that must not be chosen.
	Skip []zlunit.Upstream
	// Spare work is not needed; only a replica in good standing gets it.
	Spare bool
	// Target is the time within which the answer is of use; 0 means any.
	Target time.Duration
	// Nudge is called when another request there is overdue.
	Nudge func()
}

// Result tells why no replica was chosen.
type Result int

// The results of Place.
const (
	Placed Result = iota
	// NoReplica: none is known that may serve.
	NoReplica
	// NoRoom: those that may serve have no room from here now.
	NoRoom
)

type candidate struct {
	entry  *zlregistry.Entry
	record *Record
	stand  standing
	cost   float64
	cold   bool
}

// Place chooses a replica and takes a place there.
func (p *Placer) Place(v *zlregistry.View, now time.Time, w *Want) (*Spot, Result) {
	service := v.Table.Services[w.Service]
	room := p.ConnectionShare(service)
	var list [16]candidate
	usable := list[:0]
	result := NoReplica
	for _, e := range v.Replicas[w.Service] {
		if v.Out[e.DataCentre] || slices.Contains(w.Skip, e.ID) {
			continue
		}
		c := candidate{
			entry:  e,
			record: p.recordOf(e),
			cold:   e.Cold(now),
		}
		c.stand = c.record.standing(now)
		if c.stand.moved {
			continue
		}
		if c.stand.inFlight >= c.stand.room(room) || (w.Spare && !c.good()) {
			result = NoRoom
			continue
		}
		c.cost = p.cost(&c, now)
		usable = append(usable, c)
	}
	for len(usable) > 0 {
		i := cheapest(usable)
		c := usable[i]
		if !c.cold || c.record.takeCold(now, p.coldRate(service)) {
			return p.take(&c, w), Placed
		}
		result = NoRoom
		usable = slices.Delete(usable, i, i+1)
	}
	return nil, result
}

// Room reports whether a request of the given rank would find a place at a
// service now, without taking it from one of a lower rank that waits.
func (p *Placer) Room(v *zlregistry.View, now time.Time, s zlunit.Service, rank int) bool {
	if p.groupOf(s).yields(rank) {
		return false
	}
	room := p.ConnectionShare(v.Table.Services[s])
	for _, e := range v.Replicas[s] {
		if v.Out[e.DataCentre] {
			continue
		}
		stand := p.recordOf(e).standing(now)
		if !stand.moved && stand.inFlight < stand.room(room) {
			return true
		}
	}
	return false
}

// Any reports whether some replica of a service may get work.
func Any(v *zlregistry.View, s zlunit.Service) bool {
	for _, e := range v.Replicas[s] {
		if !v.Out[e.DataCentre] {
			return true
		}
	}
	return false
}

// room is how many requests may be in flight from here, at most n.
func (s *standing) room(n int) int {
	if s.level > 0 {
		return min(n, int(s.level))
	}
	return n
}

func (c *candidate) good() bool {
	return !c.stand.overdue && !c.stand.failed && !c.stand.away && !c.cold
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
	s := &c.stand
	cost := (float64(s.inFlight)+1)*max(s.pace, 0.25) + s.faults*faultCost + p.draw()*jitter
	if c.entry.DataCentre != p.Settings.Home {
		cost += farCost
		if p.siteOf(c.entry.DataCentre).isCut(now) {
			cost += cutCost
		}
	}
	if s.failed || s.away {
		cost += failedCost
	}
	if s.overdue {
		cost += overdueCost
	}
	if s.shunned {
		cost += shunCost
	}
	if c.cold {
		cost += coldCost
	}
	return cost
}

func (p *Placer) draw() float64 {
	if p.Random != nil {
		return p.Random()
	}
	return rand.Float64()
}

// ConnectionShare is how many connections this VM may keep to one replica.
func (p *Placer) ConnectionShare(s zltable.Service) int {
	return max(s.Connections/p.VMs(), 1)
}

// IsScarce reports whether a replica takes fewer than two connections of each
// VM, so that VMs of other data centres must not keep theirs.
func (p *Placer) IsScarce(s zltable.Service) bool {
	return s.Connections < 2*p.VMs()
}

// coldRate is how many requests a second this VM may send to a cold replica.
func (p *Placer) coldRate(s zltable.Service) float64 {
	most := s.ColdRate*p.Settings.ColdFactor + p.Settings.ColdSlack
	return most * coldShare / float64(p.VMs())
}

func (r *Record) takeCold(now time.Time, rate float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cold.take(now, rate)
}

func (p *Placer) take(c *candidate, w *Want) *Spot {
	f := &Flight{
		Nudge:  w.Nudge,
		record: c.record,
		group:  p.groupOf(w.Service),
		site:   p.siteOf(c.entry.DataCentre),
		target: w.Target,
	}
	c.record.mu.Lock()
	if c.record.flights == nil {
		c.record.flights = map[*Flight]struct{}{}
	}
	c.record.flights[f] = struct{}{}
	c.record.mu.Unlock()
	return &Spot{
		Entry:    c.entry,
		Flight:   f,
		Far:      c.entry.DataCentre != p.Settings.Home,
		Overdue:  c.stand.overdue,
		InFlight: c.stand.inFlight,
	}
}

func (p *Placer) recordOf(e *zlregistry.Entry) *Record {
	key := recordKey{
		id:   e.ID,
		born: e.Born,
		addr: e.Address,
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.record[key]
	if !ok {
		if p.record == nil {
			p.record = map[recordKey]*Record{}
		}
		r = &Record{
			pace: 1,
		}
		p.record[key] = r
	}
	return r
}

// Forget drops the records of replicas that are not in v and have nothing in
// flight.
func (p *Placer) Forget(v *zlregistry.View) {
	keep := map[recordKey]bool{}
	for _, list := range v.Replicas {
		for _, e := range list {
			keep[recordKey{
				id:   e.ID,
				born: e.Born,
				addr: e.Address,
			}] = true
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, r := range p.record {
		r.mu.Lock()
		if len(r.flights) == 0 && !keep[key] {
			delete(p.record, key)
		}
		r.mu.Unlock()
	}
}

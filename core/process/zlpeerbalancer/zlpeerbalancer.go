// Package zlpeerbalancer chooses the VM that serves a request for this one, which has lost
// its paths to the replicas (see zluplink); its counterpart for replicas is zlbalancer. It
// learns from what became of earlier forwards and from which VMs others name. It sends
// nothing itself. It handles these failure patterns:
//
//   - VMs that have lost their paths too: they decline at once, are passed over for a time
//     that grows, and name the VMs that serve for them, so that a single one that is left
//     among hundreds is found;
//   - a data centre in which none can serve: after a few have declined, VMs of others go
//     first;
//   - VMs that are busy: they are passed over for a moment;
//   - VMs that were killed, are frozen or cut off: like those that decline.
package zlpeerbalancer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"zinnialock/core/process/zlunit"

	"github.com/cespare/xxhash/v2"
)

// Costs are in units of one forward under way from this VM.
const (
	// remoteCost is for a VM of another data centre.
	remoteCost = 2
	// siteFailedCost is for a VM of a data centre of which siteFailures in a row could
	// not serve.
	siteFailedCost = 50
	siteFailures   = 2
	// unknownCost is for a VM that has not served for this one within servedMemory.
	unknownCost = 1
	// tieBreakJitter chooses among equals.
	tieBreakJitter = 0.5
)

const (
	// servedMemory is how long a VM is preferred after it has served, or was named as
	// one that does.
	servedMemory = 5 * time.Second
	// busyTime is how long a busy VM is passed over.
	busyTime = 50 * time.Millisecond
	// minAvoidTime and maxAvoidTime bound how long a VM that cannot serve is passed
	// over; the time doubles with each such outcome in a row.
	minAvoidTime = 250 * time.Millisecond
	maxAvoidTime = 4 * time.Second
	// maxNamed is how many VMs Serving names at most.
	maxNamed = 4
)

// Peer is another VM.
type Peer struct {
	VM         zlunit.VM
	DataCentre zlunit.DataCentre
	// Address is where the VM receives messages of other VMs.
	Address string
}

// Outcome is how a forward to a VM ended.
type Outcome int

// The outcomes of a forward.
const (
	// OutcomeServed: the VM decided on the request, whatever the answer.
	OutcomeServed Outcome = iota
	// OutcomeBusy: the VM declined since it has no room.
	OutcomeBusy
	// OutcomeUnable: the VM declined since it cannot serve either.
	OutcomeUnable
	// OutcomeFailed: the VM could not be reached or gave no reply.
	OutcomeFailed
	// OutcomeGivenUp: this VM stopped waiting for a reason of its own.
	OutcomeGivenUp
)

// Balancer chooses among the other VMs. Exported fields must be set before use; the
// methods may be called concurrently.
type Balancer struct {
	// Home is the data centre of this VM.
	Home zlunit.DataCentre
	// Random returns a number in [0, 1); nil means math/rand/v2.
	Random func() float64

	mu    sync.Mutex
	peers map[zlunit.VM]*record
	// siteFailures counts, for each data centre, the VMs that could not serve since one
	// did.
	siteFailures map[zlunit.DataCentre]int
}

// record is what is known of one VM.
type record struct {
	Peer
	inFlight   int
	avoidUntil time.Time
	// avoidTime is the last time for which the VM was passed over; 0 after it served.
	avoidTime time.Duration
	// servedUntil and namedUntil are the ends of the times for which the VM is preferred,
	// since it served for this VM and since others said that it serves for them.
	servedUntil time.Time
	namedUntil  time.Time
}

// SetPeers sets the other VMs. What is known of those that stay is kept.
func (b *Balancer) SetPeers(all []Peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	peers := make(map[zlunit.VM]*record, len(all))
	for _, p := range all {
		r, ok := b.peers[p.VM]
		if !ok || r.Address != p.Address {
			r = &record{}
		}
		r.Peer = p
		peers[p.VM] = r
	}
	b.peers = peers
}

// Choose returns the VM with the least cost that is not passed over and not in skip, and
// counts a forward to it, which Done must end. If all are passed over, it returns the one
// that is so for the shortest time, unless another was tried already: its failure may have
// been a single one. It returns false if there is none.
func (b *Balancer) Choose(now time.Time, skip []zlunit.VM) (Peer, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best, soonest *record
	bestCost := 0.0
	for _, r := range b.peers {
		if slices.Contains(skip, r.VM) {
			continue
		}
		if now.Before(r.avoidUntil) {
			if soonest == nil || r.avoidUntil.Before(soonest.avoidUntil) {
				soonest = r
			}
			continue
		}
		if cost := b.cost(r, now); best == nil || cost < bestCost {
			best, bestCost = r, cost
		}
	}
	if best == nil && len(skip) == 0 {
		best = soonest
	}
	if best == nil {
		return Peer{}, false
	}
	best.inFlight++
	return best.Peer, true
}

// HasOther reports whether there is a VM that is not passed over and not in skip.
func (b *Balancer) HasOther(now time.Time, skip []zlunit.VM) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.peers {
		if !now.Before(r.avoidUntil) && !slices.Contains(skip, r.VM) {
			return true
		}
	}
	return false
}

// cost returns the cost of one more forward to a VM. The caller holds mu.
func (b *Balancer) cost(r *record, now time.Time) float64 {
	cost := float64(r.inFlight) + b.random()*tieBreakJitter
	if r.DataCentre != b.Home {
		cost += remoteCost
	}
	if !now.Before(r.servedUntil) && !now.Before(r.namedUntil) {
		cost += unknownCost
		if b.siteFailures[r.DataCentre] >= siteFailures {
			cost += siteFailedCost
		}
	}
	return cost
}

// Done notes how a forward ended.
func (b *Balancer) Done(now time.Time, vm zlunit.VM, outcome Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.peers[vm]
	if !ok {
		return
	}
	r.inFlight = max(r.inFlight-1, 0)
	switch outcome {
	case OutcomeServed:
		r.avoidTime = 0
		r.servedUntil = now.Add(servedMemory)
		b.countSite(r.DataCentre, false)
	case OutcomeBusy:
		r.avoidUntil = now.Add(busyTime)
	case OutcomeUnable, OutcomeFailed:
		r.avoidTime = min(max(2*r.avoidTime, minAvoidTime), maxAvoidTime)
		r.avoidUntil = now.Add(r.avoidTime)
		r.servedUntil = time.Time{}
		r.namedUntil = time.Time{}
		b.countSite(r.DataCentre, true)
	case OutcomeGivenUp:
	}
}

// countSite counts a VM of a data centre that could not serve, or one that did. The caller
// holds mu.
func (b *Balancer) countSite(dc zlunit.DataCentre, failed bool) {
	if b.siteFailures == nil {
		b.siteFailures = map[zlunit.DataCentre]int{}
	}
	if failed {
		b.siteFailures[dc]++
	} else {
		b.siteFailures[dc] = 0
	}
}

// Recommend notes that another VM named these as ones that serve for it. A VM that is
// passed over from own experience stays so.
func (b *Balancer) Recommend(now time.Time, vms []zlunit.VM) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, vm := range vms {
		if r, ok := b.peers[vm]; ok && !now.Before(r.avoidUntil) {
			r.namedUntil = now.Add(servedMemory)
		}
	}
}

// Serving returns VMs that have lately served for this one, the newest first. It leaves out
// those that were only named, so that what one VM knows does not outlive it among others.
func (b *Balancer) Serving(now time.Time) []zlunit.VM {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []*record
	for _, r := range b.peers {
		if now.Before(r.servedUntil) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(x, y *record) int {
		return cmp.Or(y.servedUntil.Compare(x.servedUntil), cmp.Compare(x.VM, y.VM))
	})
	out := make([]zlunit.VM, 0, maxNamed)
	for _, r := range list[:min(len(list), maxNamed)] {
		out = append(out, r.VM)
	}
	return out
}

// Rank returns the place of this VM in an order of all VMs that is the same at each of them
// and different for each key; the first has rank 0. It also returns how many others there
// are.
func (b *Balancer) Rank(self zlunit.VM, key string) (rank, others int) {
	score := func(vm zlunit.VM) uint64 {
		return xxhash.Sum64String(key + " " + string(vm))
	}
	own := score(self)
	b.mu.Lock()
	defer b.mu.Unlock()
	for vm := range b.peers {
		if score(vm) < own {
			rank++
		}
	}
	return rank, len(b.peers)
}

func (b *Balancer) random() float64 {
	if b.Random != nil {
		return b.Random()
	}
	return rand.Float64()
}

package zlroute

import (
	"slices"
	"time"

	"zinnialock/core/process/zlunit"
)

// Candidate is a replica and the daemon through which it is reached.
type Candidate struct {
	Upstream zlunit.Upstream
	// VM is the VM of that daemon; empty if no daemon has connections to the
	// upstream.
	VM     zlunit.VM
	Record *Record
	Peer   *Peer
	// Group is the index of the daemon among those of the query plan.
	Group int
}

// Purpose is how cautious Pick must be, which depends on what the sub-request is
// for.
type Purpose int

const (
	// PurposeIdempotent is for work that may be sent again. It may be used as a probe,
	// and if all replicas are avoided, it goes to the one that is avoided for
	// the shortest time.
	PurposeIdempotent Purpose = iota
	// PurposeNonIdempotent is for work that can be sent only once. It is not used as a
	// probe unless all replicas are avoided or due for one.
	PurposeNonIdempotent
	// PurposeOptional is for optional work, such as hedges. It only goes to an
	// eligible replica.
	PurposeOptional
)

// Choice is the result of a Pick.
type Choice struct {
	// Index is the index of the candidate in the list.
	Index int
	// Eligible: the replica and its daemon were eligible, neither avoided nor due
	// for a probe.
	Eligible bool
}

// Pick chooses one of the candidates that are not in skip, and reports false
// if there is none. Of the eligible ones, it takes the one of lower cost of
// two at random (power of two choices). If a candidate is due for a probe and
// purpose allows it, that one is chosen first.
func (r *Router) Pick(now time.Time, list []Candidate, skip []zlunit.Upstream, purpose Purpose) (Choice, bool) {
	if r.RandomOnly {
		return r.pickRandom(list, skip)
	}
	var buffer [16]int
	eligibles := buffer[:0]
	probe := -1
	for i := range list {
		c := &list[i]
		if c.VM == "" || (len(skip) > 0 && slices.Contains(skip, c.Upstream)) {
			continue
		}
		switch c.eligibility(now, purpose) {
		case eligible:
			eligibles = append(eligibles, i)
		case probeOnly:
			probe = i
		case avoided:
		}
	}
	if probe >= 0 && purpose == PurposeIdempotent && list[probe].claimProbe(now) {
		return Choice{
			Index: probe,
		}, true
	}
	if len(eligibles) > 0 {
		return Choice{
			Index:    r.betterOfTwo(now, list, eligibles),
			Eligible: true,
		}, true
	}
	if purpose == PurposeOptional {
		return Choice{}, false
	}
	return leastAvoided(list, skip)
}

// betterOfTwo draws two of the eligible candidates and returns the index of the
// one of lower cost.
func (r *Router) betterOfTwo(now time.Time, list []Candidate, eligibles []int) int {
	if len(eligibles) == 1 {
		return eligibles[0]
	}
	pair := r.RandomInt(len(eligibles) * (len(eligibles) - 1))
	i := pair % len(eligibles)
	j := pair / len(eligibles)
	if j >= i {
		j++
	}
	at := ticks(now)
	if list[eligibles[j]].Record.cost(at) < list[eligibles[i]].Record.cost(at) {
		i = j
	}
	return eligibles[i]
}

// leastAvoided returns the candidate that is avoided for the shortest time.
// Pick uses it if none is eligible, so that a request is still tried when all
// replicas are ejected.
func leastAvoided(list []Candidate, skip []zlunit.Upstream) (Choice, bool) {
	best := -1
	var earliest time.Time
	for i := range list {
		c := &list[i]
		if c.VM == "" || slices.Contains(skip, c.Upstream) {
			continue
		}
		if until := c.avoidedUntil(); best < 0 || until.Before(earliest) {
			best = i
			earliest = until
		}
	}
	return Choice{
		Index: best,
	}, best >= 0
}

// pickRandom chooses at random among the candidates that are not in skip.
func (r *Router) pickRandom(list []Candidate, skip []zlunit.Upstream) (Choice, bool) {
	n := 0
	chosen := -1
	for i := range list {
		if list[i].VM == "" || slices.Contains(skip, list[i].Upstream) {
			continue
		}
		n++
		if r.RandomInt(n) == 0 {
			chosen = i
		}
	}
	return Choice{
		Index:    chosen,
		Eligible: true,
	}, chosen >= 0
}

// eligibility is the stricter one of the upstream and the daemon.
func (c *Candidate) eligibility(now time.Time, purpose Purpose) eligibility {
	if purpose == PurposeOptional && c.Record.noHedgesUntil.Load() > ticks(now) {
		return avoided
	}
	if !c.Record.restricted.Load() && !c.Peer.suspected.Load() {
		return eligible
	}
	return max(c.Record.eligibility(now), c.Peer.eligibility(now))
}

// avoidedUntil is when neither the upstream nor the daemon is avoided any more.
func (c *Candidate) avoidedUntil() time.Time {
	u, p := c.Record.avoidedUntil(), c.Peer.avoidedUntil()
	if u.After(p) {
		return u
	}
	return p
}

// claimProbe claims the probe of the upstream, of the daemon or of both,
// whichever need one.
func (c *Candidate) claimProbe(now time.Time) bool {
	if c.Peer.eligibility(now) == probeOnly && !c.Peer.claimProbe(now) {
		return false
	}
	return c.Record.eligibility(now) != probeOnly || c.Record.claimProbe()
}

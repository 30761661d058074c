package zlroute

import (
	"slices"
	"time"

	"zinnialock/core/process/zlunit"
)

// Candidate is one replica and the daemon that speaks to it.
type Candidate struct {
	Upstream zlunit.Upstream
	// VM is empty when no daemon speaks to the upstream.
	VM     zlunit.VM
	Record *Record
	Peer   *Peer
	// Group numbers the daemon among those of the plan.
	Group int
}

// Care tells what a pick is for.
type Care int

const (
	// CareNone is for work that may be sent again: probes are allowed, and
	// where all replicas are avoided, the one avoided shortest serves.
	CareNone Care = iota
	// CareOnce is for work that can be sent only once: it probes nothing
	// that it can do without.
	CareOnce
	// CareSpare is for work that is not needed, such as hedges: only a
	// replica in good standing gets it.
	CareSpare
)

// Choice is the result of a Pick.
type Choice struct {
	// Index is the place of the candidate in the list.
	Index int
	// Good tells that the replica and its daemon are in good standing.
	Good bool
}

// Pick chooses among the candidates that skip does not name, or reports false
// when there is none. Among those in good standing, it takes the better of two
// at random.
func (r *Router) Pick(now time.Time, list []Candidate, skip []zlunit.Upstream, care Care) (Choice, bool) {
	if r.Blind {
		return r.pickBlind(list, skip)
	}
	var room [16]int
	good := room[:0]
	probe := -1
	for i := range list {
		c := &list[i]
		if c.VM == "" || (len(skip) > 0 && slices.Contains(skip, c.Upstream)) {
			continue
		}
		switch c.standing(now, care) {
		case standingGood:
			good = append(good, i)
		case standingProbe:
			probe = i
		case standingAvoid:
		}
	}
	if probe >= 0 && care == CareNone && list[probe].claimProbe(now) {
		return Choice{
			Index: probe,
		}, true
	}
	if len(good) > 0 {
		return Choice{
			Index: r.better(now, list, good),
			Good:  true,
		}, true
	}
	if care == CareSpare {
		return Choice{}, false
	}
	return soonest(list, skip)
}

func (r *Router) better(now time.Time, list []Candidate, good []int) int {
	if len(good) == 1 {
		return good[0]
	}
	both := r.Draw(len(good) * (len(good) - 1))
	i := both % len(good)
	j := both / len(good)
	if j >= i {
		j++
	}
	at := ticks(now)
	if list[good[j]].Record.cost(at) < list[good[i]].Record.cost(at) {
		i = j
	}
	return good[i]
}

// soonest is the floor: where all are avoided, the one avoided shortest serves.
func soonest(list []Candidate, skip []zlunit.Upstream) (Choice, bool) {
	best := -1
	var least time.Time
	for i := range list {
		c := &list[i]
		if c.VM == "" || slices.Contains(skip, c.Upstream) {
			continue
		}
		if until := c.until(); best < 0 || until.Before(least) {
			best = i
			least = until
		}
	}
	return Choice{
		Index: best,
	}, best >= 0
}

func (r *Router) pickBlind(list []Candidate, skip []zlunit.Upstream) (Choice, bool) {
	n := 0
	chosen := -1
	for i := range list {
		if list[i].VM == "" || slices.Contains(skip, list[i].Upstream) {
			continue
		}
		n++
		if r.Draw(n) == 0 {
			chosen = i
		}
	}
	return Choice{
		Index: chosen,
		Good:  true,
	}, chosen >= 0
}

func (c *Candidate) standing(now time.Time, care Care) standing {
	if care == CareSpare && c.Record.spared.Load() > ticks(now) {
		return standingAvoid
	}
	if !c.Record.troubled.Load() && !c.Peer.suspect.Load() {
		return standingGood
	}
	return max(c.Record.standing(now), c.Peer.standing(now))
}

func (c *Candidate) until() time.Time {
	u, p := c.Record.until(), c.Peer.until()
	if u.After(p) {
		return u
	}
	return p
}

// claimProbe claims the probe of whichever of the two needs one.
func (c *Candidate) claimProbe(now time.Time) bool {
	if c.Peer.standing(now) == standingProbe && !c.Peer.claimProbe(now) {
		return false
	}
	return c.Record.standing(now) != standingProbe || c.Record.claimProbe()
}

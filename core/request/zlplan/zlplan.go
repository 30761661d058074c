// Package zlplan plans a query: from a view of the platform it selects the index
// version to query and the candidate replicas of each shard. It sends nothing and
// does not choose among the candidates; the coordinator does.
package zlplan

import (
	"fmt"
	"math/rand/v2"
	"time"

	"zinnialock/core/process/zlroute"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/core/version/zlsettings"
	"zinnialock/core/version/zlview"

	"github.com/rotisserie/eris"
)

// Error reports that no plan could be made.
type Error struct {
	// Op is the operation that failed.
	Op string
	// Kind is the reason that the caller gets.
	Kind zlquery.Reason
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("zlplan: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Plan holds the index version of a query and the replicas that may serve each
// shard. It must not be changed once made.
type Plan struct {
	// Version is the index version that all parts must have.
	Version zlunit.IndexVersion
	// Shards holds the candidates of each shard, indexed by shard number.
	Shards [][]zlroute.Candidate
	// Fallback holds, in the same order, the replicas that are ramping up after a
	// return to service and that a random draw left out of Shards. They serve a
	// shard that has no other candidate left. It is nil if no ramp is active. A
	// plan with Spare must not be reused for another query, which needs a draw
	// of its own.
	Fallback [][]zlroute.Candidate
	// Groups holds the daemons of the candidates, indexed by Candidate.Group.
	Groups []*zlroute.Peer
	// Served is the number of shards with a candidate that a daemon serves.
	Served int
	// View is the view that the plan was made from.
	View *zlview.View
	// Fresh is set if the view was recent enough to send to other data centres.
	Fresh bool
	// ShardMap is the shard map of the version.
	ShardMap zlcatalog.Version
}

// Planner makes plans from one view. View and Policy must be set.
type Planner struct {
	// View is the view of the platform.
	View *zlview.View
	// Age is the time since the view was last confirmed.
	Age time.Duration
	// Now is the current time, which determines the ramps.
	Now time.Time
	// Policy holds the limits for the service and query kind.
	Policy *zlsettings.Policy
	// Router provides the records of the candidates; nil leaves them unset.
	Router *zlroute.Router
	// ExcludedVersions holds the versions that upstreams reported as no longer available.
	ExcludedVersions map[zlunit.IndexVersion]bool
}

// Make returns a plan for the newest version of which each shard has a usable
// replica. If there is none, it takes the version with the largest share of such
// shards. The error is an *Error.
func (m *Planner) Make(service zlunit.Service) (*Plan, error) {
	c, ok := m.View.Catalogs[service]
	if !ok {
		return nil, &Error{
			Op:   "make",
			Kind: zlquery.ReasonUnknownService,
			Err:  eris.Errorf("service %q is not in the catalogue", service),
		}
	}
	var best *Plan
	for _, v := range c.Versions {
		if m.ExcludedVersions[v.Number] || len(v.Shards) == 0 {
			continue
		}
		if p := m.ForVersion(v); best == nil || isBetter(p, best) {
			best = p
		}
	}
	if best == nil {
		return nil, &Error{
			Op:   "make",
			Kind: zlquery.ReasonNoVersion,
			Err:  eris.Errorf("service %q has no index version left", service),
		}
	}
	return best, nil
}

// isBetter reports whether p is better than best: a complete plan is better than an
// incomplete one, then the larger share of served shards counts, then the newer
// version.
func isBetter(p, best *Plan) bool {
	complete := p.Served == len(p.Shards)
	bestComplete := best.Served == len(best.Shards)
	if complete != bestComplete {
		return complete
	}
	share := float64(p.Served) / float64(len(p.Shards))
	bestShare := float64(best.Served) / float64(len(best.Shards))
	if share != bestShare {
		return share > bestShare
	}
	return p.Version > best.Version
}

// ForVersion returns the plan for version v, even if the view no longer lists it.
func (m *Planner) ForVersion(v zlcatalog.Version) *Plan {
	p := &Plan{
		Version:  v.Number,
		Shards:   make([][]zlroute.Candidate, len(v.Shards)),
		View:     m.View,
		Fresh:    m.Age <= m.Policy.ViewAge,
		ShardMap: v,
	}
	total := 0
	for _, replicas := range v.Shards {
		total += len(replicas)
	}
	backing := make([]zlroute.Candidate, 0, total)
	groups := map[zlunit.VM]int{}
	for s, replicas := range v.Shards {
		first := len(backing)
		served := false
		for _, name := range replicas {
			if m.View.Usable(name, m.Age, m.Policy) {
				c := m.candidate(name, p, groups)
				served = served || c.VM != ""
				backing = append(backing, c)
			}
		}
		p.Shards[s] = backing[first:len(backing):len(backing)]
		if served {
			p.Served++
		}
	}
	if m.View.Ramps.Active(m.Now) {
		m.applyRamps(p)
	}
	return p
}

// applyRamps moves replicas that are ramping up from Shards to Spare, each with the
// probability 1 - weight, unless its shard would have no candidate left.
func (m *Planner) applyRamps(p *Plan) {
	p.Fallback = make([][]zlroute.Candidate, len(p.Shards))
	for s, replicas := range p.Shards {
		var kept, deferred []zlroute.Candidate
		for _, c := range replicas {
			if rand.Float64() < m.View.Weight(c.Upstream, m.Now) {
				kept = append(kept, c)
			} else {
				deferred = append(deferred, c)
			}
		}
		if len(kept) > 0 {
			p.Shards[s] = kept
			p.Fallback[s] = deferred
		}
	}
}

func (m *Planner) candidate(name zlunit.Upstream, p *Plan, groups map[zlunit.VM]int) zlroute.Candidate {
	c := zlroute.Candidate{
		Upstream: name,
	}
	if holders := m.View.Holders(name); len(holders) > 0 {
		c.VM = holders[0]
	}
	if m.Router == nil || c.VM == "" {
		return c
	}
	group, ok := groups[c.VM]
	if !ok {
		group = len(p.Groups)
		groups[c.VM] = group
		p.Groups = append(p.Groups, m.Router.Peer(c.VM))
	}
	c.Group = group
	c.Record = m.Router.Record(name)
	c.Peer = p.Groups[group]
	return c
}

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
	// plan with Fallback must not be reused for another query, which needs a
	// new draw.
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
func (p *Planner) Make(service zlunit.Service) (*Plan, error) {
	c, ok := p.View.Catalogs[service]
	if !ok {
		return nil, &Error{
			Op:   "make",
			Kind: zlquery.ReasonUnknownService,
			Err:  eris.Errorf("service %q is not in the catalogue", service),
		}
	}
	var best *Plan
	for _, v := range c.Versions {
		if p.ExcludedVersions[v.Number] || len(v.Shards) == 0 {
			continue
		}
		if plan := p.ForVersion(v); best == nil || isBetter(plan, best) {
			best = plan
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
func (p *Planner) ForVersion(v zlcatalog.Version) *Plan {
	plan := &Plan{
		Version:  v.Number,
		Shards:   make([][]zlroute.Candidate, len(v.Shards)),
		View:     p.View,
		Fresh:    p.Age <= p.Policy.ViewAge,
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
			if p.View.Usable(name, p.Age, p.Policy) {
				c := p.candidate(name, plan, groups)
				served = served || c.VM != ""
				backing = append(backing, c)
			}
		}
		plan.Shards[s] = backing[first:len(backing):len(backing)]
		if served {
			plan.Served++
		}
	}
	if p.View.Ramps.Active(p.Now) {
		p.applyRamps(plan)
	}
	return plan
}

// applyRamps moves replicas that are ramping up from Shards to Fallback, each with
// the probability 1 - weight, unless its shard would have no candidate left.
func (p *Planner) applyRamps(plan *Plan) {
	plan.Fallback = make([][]zlroute.Candidate, len(plan.Shards))
	for s, replicas := range plan.Shards {
		var kept, deferred []zlroute.Candidate
		for _, c := range replicas {
			if rand.Float64() < p.View.Weight(c.Upstream, p.Now) {
				kept = append(kept, c)
			} else {
				deferred = append(deferred, c)
			}
		}
		if len(kept) > 0 {
			plan.Shards[s] = kept
			plan.Fallback[s] = deferred
		}
	}
}

func (p *Planner) candidate(name zlunit.Upstream, plan *Plan, groups map[zlunit.VM]int) zlroute.Candidate {
	c := zlroute.Candidate{
		Upstream: name,
	}
	if holders := p.View.Holders(name); len(holders) > 0 {
		c.VM = holders[0]
	}
	if p.Router == nil || c.VM == "" {
		return c
	}
	group, ok := groups[c.VM]
	if !ok {
		group = len(plan.Groups)
		groups[c.VM] = group
		plan.Groups = append(plan.Groups, p.Router.Peer(c.VM))
	}
	c.Group = group
	c.Record = p.Router.Record(name)
	c.Peer = plan.Groups[group]
	return c
}

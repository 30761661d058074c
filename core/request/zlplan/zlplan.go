// Package zlplan picks the index version of a query and the replicas that can
// serve each of its shards.
package zlplan

import (
	"fmt"
	"math/rand/v2"
	"time"

	"zinnialock/core/process/zlroute"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/core/version/zltree"
	"zinnialock/core/version/zlview"

	"github.com/rotisserie/eris"
)

// Error reports that no plan exists; Kind is the reason a caller sees.
type Error struct {
	Op   string
	Kind zlquery.Reason
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("zlplan: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Plan pins one version and lists, for each shard by number, the replicas that
// may serve it. It is not changed once made.
type Plan struct {
	Version zlunit.IndexVersion
	Shards  [][]zlroute.Candidate
	// Spare lists, where it is not nil, the replicas that come back into
	// service and were left out of Shards by a draw. They serve where Shards
	// has none left; another query needs a draw of its own.
	Spare [][]zlroute.Candidate
	// Groups lists the daemons of the candidates.
	Groups []*zlroute.Peer
	// Served is the number of shards that have a candidate with a daemon.
	Served int
	// View is what the plan was made from.
	View *zlview.View
	// Fresh tells that the view was young enough to send to other data
	// centres.
	Fresh bool
	// Map is the version's own shard map.
	Map zlcatalog.Version
}

// Maker makes plans from one view.
type Maker struct {
	View   *zlview.View
	Age    time.Duration
	Now    time.Time
	Policy *zltree.Policy
	// Router, if set, provides the records of the candidates.
	Router *zlroute.Router
	// Gone lists versions that upstreams said they no longer hold.
	Gone map[zlunit.IndexVersion]bool
}

// Make returns a plan at the newest version whose every shard has a usable
// replica, or else at the one with the most such shards. The error is an
// *Error.
func (m *Maker) Make(service zlunit.Service) (*Plan, error) {
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
		if m.Gone[v.Number] || len(v.Shards) == 0 {
			continue
		}
		if p := m.At(v); best == nil || better(p, best) {
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

// better reports whether p is the better plan: whole, then newer; or else the
// larger share of shards served, then newer.
func better(p, best *Plan) bool {
	whole := p.Served == len(p.Shards)
	bestWhole := best.Served == len(best.Shards)
	if whole != bestWhole {
		return whole
	}
	share := float64(p.Served) / float64(len(p.Shards))
	bestShare := float64(best.Served) / float64(len(best.Shards))
	if share != bestShare {
		return share > bestShare
	}
	return p.Version > best.Version
}

// At returns the plan that pins v, whether or not the view still lists it.
func (m *Maker) At(v zlcatalog.Version) *Plan {
	p := &Plan{
		Version: v.Number,
		Shards:  make([][]zlroute.Candidate, len(v.Shards)),
		View:    m.View,
		Fresh:   m.Age <= m.Policy.ViewAge,
		Map:     v,
	}
	total := 0
	for _, replicas := range v.Shards {
		total += len(replicas)
	}
	backing := make([]zlroute.Candidate, 0, total)
	groups := map[zlunit.VM]int{}
	for s, replicas := range v.Shards {
		from := len(backing)
		served := false
		for _, name := range replicas {
			if m.View.Usable(name, m.Age, m.Policy) {
				c := m.candidate(name, p, groups)
				served = served || c.VM != ""
				backing = append(backing, c)
			}
		}
		p.Shards[s] = backing[from:len(backing):len(backing)]
		if served {
			p.Served++
		}
	}
	if m.View.Ramps.Active(m.Now) {
		m.spare(p)
	}
	return p
}

// spare moves replicas that come back into service out of the plan, each with
// the probability that its weight leaves, unless its shard has no other.
func (m *Maker) spare(p *Plan) {
	p.Spare = make([][]zlroute.Candidate, len(p.Shards))
	for s, replicas := range p.Shards {
		var kept, spare []zlroute.Candidate
		for _, c := range replicas {
			if rand.Float64() < m.View.Weight(c.Upstream, m.Now) {
				kept = append(kept, c)
			} else {
				spare = append(spare, c)
			}
		}
		if len(kept) > 0 {
			p.Shards[s] = kept
			p.Spare[s] = spare
		}
	}
}

func (m *Maker) candidate(name zlunit.Upstream, p *Plan, groups map[zlunit.VM]int) zlroute.Candidate {
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

// Package zlplan picks the index version of a query and the replicas that can
// serve each of its shards.
package zlplan

import (
	"fmt"
	"math/rand/v2"
	"time"

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
// may serve it.
type Plan struct {
	Version zlunit.IndexVersion
	Shards  [][]zlunit.Upstream
	// Spare lists, where it is not nil, the replicas that come back into
	// service and were left out of Shards for this query. They serve where
	// Shards has none left.
	Spare [][]zlunit.Upstream
}

// Maker makes plans from one view.
type Maker struct {
	View   *zlview.View
	Age    time.Duration
	Now    time.Time
	Policy *zltree.Policy
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
	bestServed := 0
	for _, v := range c.Versions {
		if m.Gone[v.Number] || len(v.Shards) == 0 {
			continue
		}
		p, served := m.planAt(v)
		whole := served == len(v.Shards)
		if best == nil || better(whole, served, v, bestServed, best) {
			best = p
			bestServed = served
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

func better(whole bool, served int, v zlcatalog.Version, bestServed int, best *Plan) bool {
	bestWhole := bestServed == len(best.Shards)
	if whole != bestWhole {
		return whole
	}
	if whole {
		return v.Number > best.Version
	}
	share := float64(served) / float64(len(v.Shards))
	bestShare := float64(bestServed) / float64(len(best.Shards))
	if share != bestShare {
		return share > bestShare
	}
	return v.Number > best.Version
}

func (m *Maker) planAt(v zlcatalog.Version) (*Plan, int) {
	p := &Plan{
		Version: v.Number,
		Shards:  make([][]zlunit.Upstream, len(v.Shards)),
	}
	total := 0
	for _, replicas := range v.Shards {
		total += len(replicas)
	}
	backing := make([]zlunit.Upstream, 0, total)
	served := 0
	for s, replicas := range v.Shards {
		from := len(backing)
		for _, name := range replicas {
			if m.View.Usable(name, m.Age, m.Policy) {
				backing = append(backing, name)
			}
		}
		p.Shards[s] = backing[from:len(backing):len(backing)]
		if len(backing) > from {
			served++
		}
	}
	if m.View.Ramps.Active(m.Now) {
		m.spare(p)
	}
	return p, served
}

// spare moves replicas that come back into service out of the plan, each with
// the probability that its weight leaves, unless its shard has no other.
func (m *Maker) spare(p *Plan) {
	p.Spare = make([][]zlunit.Upstream, len(p.Shards))
	for s, replicas := range p.Shards {
		var kept, spare []zlunit.Upstream
		for _, name := range replicas {
			if rand.Float64() < m.View.Weight(name, m.Now) {
				kept = append(kept, name)
			} else {
				spare = append(spare, name)
			}
		}
		if len(kept) > 0 {
			p.Shards[s] = kept
			p.Spare[s] = spare
		}
	}
}

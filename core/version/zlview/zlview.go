// Package zlview joins what a daemon knows of the platform into one immutable
// snapshot that decisions are made from.
package zlview

import (
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/core/version/zlmark"
	"zinnialock/core/version/zlroster"
	"zinnialock/core/version/zltree"
)

// View is one snapshot. Nothing in it changes after Build.
type View struct {
	Deployment zlunit.Deployment
	// Home is the data centre of the daemon that holds the view.
	Home     zlunit.DataCentre
	Catalogs map[zlunit.Service]*zlcatalog.Catalog
	Tree     *zltree.Tree
	Marks    *zlmark.Marks
	Rosters  map[zlunit.DataCentre]zlroster.Roster
	// Ramps holds what is coming back into service.
	Ramps zlmark.Ramps

	upstreams map[zlunit.Upstream]zlcatalog.Upstream
	holders   map[zlunit.Upstream][]zlunit.VM
	peers     map[zlunit.VM]zlroster.Member
	places    map[zlunit.VM]zlunit.DataCentre
}

// Build computes what is derived from the exported fields and returns v.
func (v *View) Build() *View {
	if v.Tree == nil {
		v.Tree = &zltree.Tree{}
	}
	if v.Marks == nil {
		v.Marks = &zlmark.Marks{}
	}
	v.upstreams = map[zlunit.Upstream]zlcatalog.Upstream{}
	v.holders = map[zlunit.Upstream][]zlunit.VM{}
	v.peers = map[zlunit.VM]zlroster.Member{}
	v.places = map[zlunit.VM]zlunit.DataCentre{}
	for dc, roster := range v.Rosters {
		for _, m := range roster.Members {
			v.peers[m.VM] = m
			v.places[m.VM] = dc
		}
	}
	for _, c := range v.Catalogs {
		for _, u := range c.Upstreams {
			v.upstreams[u.Name] = u
			v.holders[u.Name] = v.Rosters[u.DataCentre].Holders(u.Name)
		}
	}
	return v
}

// Upstream finds an upstream by name.
func (v *View) Upstream(name zlunit.Upstream) (zlcatalog.Upstream, bool) {
	u, ok := v.upstreams[name]
	return u, ok
}

// Upstreams returns all upstreams; the map must not be changed.
func (v *View) Upstreams() map[zlunit.Upstream]zlcatalog.Upstream {
	return v.upstreams
}

// Holders returns the daemons that speak to an upstream, best first.
func (v *View) Holders(name zlunit.Upstream) []zlunit.VM {
	return v.holders[name]
}

// Peer finds a daemon by name.
func (v *View) Peer(vm zlunit.VM) (zlroster.Member, bool) {
	m, ok := v.peers[vm]
	return m, ok
}

// Usable reports whether new work may go to an upstream, given the age of the
// platform news that the view rests on.
func (v *View) Usable(name zlunit.Upstream, age time.Duration, policy *zltree.Policy) bool {
	u, ok := v.upstreams[name]
	if !ok || u.Leaving || v.Marks.UpstreamOut(name, u.DataCentre) {
		return false
	}
	return u.DataCentre == v.Home || age <= policy.ViewAge
}

// Weight is the share of its usual work that an upstream is due at now: 1, or
// less while it comes back after a mark.
func (v *View) Weight(name zlunit.Upstream, now time.Time) float64 {
	return v.Ramps.Weight(name, v.upstreams[name].DataCentre, now)
}

// Policy resolves the settings tree for a query that this daemon received.
func (v *View) Policy(service zlunit.Service, kind zlunit.QueryKind) zltree.Policy {
	return v.Tree.Policy(zltree.Place{
		Deployment: v.Deployment,
		DataCentre: v.Home,
		Service:    service,
		Kind:       kind,
	})
}

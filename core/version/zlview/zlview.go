// Package zlview combines the objects that a daemon of zinnialock serve has read
// from the platform into one immutable snapshot, from which it decides where
// requests may go; its counterpart in the relay is zlregistry. A CurrentView keeps
// the current snapshot and how recent it is. The package reads nothing from the
// platform itself.
package zlview

import (
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/core/version/zlmark"
	"zinnialock/core/version/zlroster"
	"zinnialock/core/version/zlsettings"
)

// View is one snapshot. The exported fields are set before Build; after it
// nothing changes, so all other methods may be called concurrently.
type View struct {
	// Deployment is the deployment of the daemon that holds the view.
	Deployment zlunit.Deployment
	// Home is the data centre of the daemon that holds the view.
	Home zlunit.DataCentre
	// Catalogs holds the catalogue of each service.
	Catalogs map[zlunit.Service]*zlcatalog.Catalog
	// Tree is the settings tree; Build replaces nil by an empty one.
	Tree *zlsettings.Tree
	// Marks names what is out of service; Build replaces nil by an empty one.
	Marks *zlmark.Marks
	// Rosters holds the roster of each data centre.
	Rosters map[zlunit.DataCentre]zlroster.Roster
	// Ramps holds the slow starts of what has recently returned to service.
	Ramps zlmark.Ramps

	upstreams   map[zlunit.Upstream]zlcatalog.Upstream
	holders     map[zlunit.Upstream][]zlunit.VM
	peers       map[zlunit.VM]zlroster.Member
	dataCentres map[zlunit.VM]zlunit.DataCentre
}

// Build computes what is derived from the exported fields and returns v. It
// must be called once, before any other method.
func (v *View) Build() *View {
	if v.Tree == nil {
		v.Tree = &zlsettings.Tree{}
	}
	if v.Marks == nil {
		v.Marks = &zlmark.Marks{}
	}
	v.upstreams = map[zlunit.Upstream]zlcatalog.Upstream{}
	v.holders = map[zlunit.Upstream][]zlunit.VM{}
	v.peers = map[zlunit.VM]zlroster.Member{}
	v.dataCentres = map[zlunit.VM]zlunit.DataCentre{}
	for dc, roster := range v.Rosters {
		for _, m := range roster.Members {
			v.peers[m.VM] = m
			v.dataCentres[m.VM] = dc
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

// Upstream returns the upstream with the given name, or false if there is none.
func (v *View) Upstream(name zlunit.Upstream) (zlcatalog.Upstream, bool) {
	u, ok := v.upstreams[name]
	return u, ok
}

// Upstreams returns all upstreams by name. The map must not be changed.
func (v *View) Upstreams() map[zlunit.Upstream]zlcatalog.Upstream {
	return v.upstreams
}

// Holders returns the daemons that send to an upstream, highest ranked first.
func (v *View) Holders(name zlunit.Upstream) []zlunit.VM {
	return v.holders[name]
}

// Peer returns the daemon with the given name, or false if there is none.
func (v *View) Peer(vm zlunit.VM) (zlroster.Member, bool) {
	m, ok := v.peers[vm]
	return m, ok
}

// Usable reports whether new requests may go to an upstream. Age is the time
// since the view was last confirmed; an upstream of another data centre is
// usable only up to policy.ViewAge. One that is unknown, leaving or marked out
// of service is not usable.
func (v *View) Usable(name zlunit.Upstream, age time.Duration, policy *zlsettings.Policy) bool {
	u, ok := v.upstreams[name]
	if !ok || u.Leaving || v.Marks.UpstreamOut(name, u.DataCentre) {
		return false
	}
	return u.DataCentre == v.Home || age <= policy.ViewAge
}

// Weight returns the share of its usual load that an upstream gets at now: 1,
// or less during the slow start after it returns to service.
func (v *View) Weight(name zlunit.Upstream, now time.Time) float64 {
	return v.Ramps.Weight(name, v.upstreams[name].DataCentre, now)
}

// Policy returns the settings for a query of the given service and kind that
// this daemon received.
func (v *View) Policy(service zlunit.Service, kind zlunit.QueryKind) zlsettings.Policy {
	return v.Tree.Policy(zlsettings.Place{
		Deployment: v.Deployment,
		DataCentre: v.Home,
		Service:    service,
		Kind:       kind,
	})
}

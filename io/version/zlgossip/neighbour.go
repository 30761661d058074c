package zlgossip

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlroster"
	"zinnialock/core/version/zlview"

	"github.com/cespare/xxhash/v2"
)

// neighboursPerDataCentre is how many daemons of the own data centre a daemon
// asks in turn. They are always the same while the roster is, so that their
// connections stay up: a handshake costs as much as a minute of questions.
const neighboursPerDataCentre = 3

// neighbours returns the daemons that this one asks: of its own data centre the
// next on the ring, which joins all of them, and others by hash, which keep the
// paths short; and one of each other data centre.
func (g *Gossip) neighbours(view *zlview.View) (near, far []zlroster.Member) {
	if known := g.known.Load(); known != nil && known.view == view {
		return known.near, known.far
	}
	near, far = g.choose(view)
	g.known.Store(&neighbourhood{
		view: view,
		near: near,
		far:  far,
	})
	return near, far
}

// neighbourhood keeps the neighbours that a view leads to.
type neighbourhood struct {
	view *zlview.View
	near []zlroster.Member
	far  []zlroster.Member
}

func (g *Gossip) choose(view *zlview.View) (near, far []zlroster.Member) {
	for dc, r := range view.Rosters {
		if dc == g.Home {
			near = g.nearest(r)
			continue
		}
		if ranked := g.ranked(r.Members); len(ranked) > 0 {
			far = append(far, ranked[0])
		}
	}
	slices.SortFunc(far, byName)
	return near, far
}

func (g *Gossip) nearest(r zlroster.Roster) []zlroster.Member {
	others := slices.DeleteFunc(slices.Clone(r.Members), func(m zlroster.Member) bool {
		return m.VM == g.Self
	})
	if len(others) <= neighboursPerDataCentre {
		return others
	}
	slices.SortFunc(others, byName)
	at, _ := slices.BinarySearchFunc(others, g.Self, func(m zlroster.Member, vm zlunit.VM) int {
		return cmp.Compare(m.VM, vm)
	})
	next := others[at%len(others)]
	out := []zlroster.Member{next}
	for _, m := range g.ranked(others) {
		if len(out) < neighboursPerDataCentre && m.VM != next.VM {
			out = append(out, m)
		}
	}
	return out
}

func byName(a, b zlroster.Member) int {
	return cmp.Compare(a.VM, b.VM)
}

// ranked orders members by a hash of this daemon's name and theirs.
func (g *Gossip) ranked(members []zlroster.Member) []zlroster.Member {
	score := func(m zlroster.Member) uint64 {
		return xxhash.Sum64String(string(g.Self) + "\x00" + string(m.VM))
	}
	out := slices.Clone(members)
	slices.SortFunc(out, func(a, b zlroster.Member) int {
		return cmp.Compare(score(a), score(b))
	})
	return out
}

// substitute returns a random other member of the data centre that vm stands
// in, for a round in which vm is silent.
func (g *Gossip) substitute(view *zlview.View, vm zlunit.VM) (zlroster.Member, bool) {
	for _, r := range view.Rosters {
		if _, ok := r.Member(vm); !ok {
			continue
		}
		for _, i := range rand.Perm(len(r.Members)) {
			m := r.Members[i]
			if m.VM != vm && m.VM != g.Self {
				return m, true
			}
		}
	}
	return zlroster.Member{}, false
}

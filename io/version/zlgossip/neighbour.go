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

// localNeighbours is the number of daemons of the own data centre that a daemon
// exchanges with in rotation. They change only with the roster, so that their
// connections stay up: a handshake costs as much as a minute of exchanges.
const localNeighbours = 3

// neighbours returns the daemons that this one exchanges with. In its own data
// centre these are the next one by name, which joins all daemons in a ring, and
// others by hash, which shorten the paths; in each other data centre it is one.
func (g *Gossip) neighbours(view *zlview.View) (local, remote []zlroster.Member) {
	if cached := g.neighbourCache.Load(); cached != nil && cached.view == view {
		return cached.local, cached.remote
	}
	local, remote = g.chooseNeighbours(view)
	g.neighbourCache.Store(&cachedNeighbours{
		view:   view,
		local:  local,
		remote: remote,
	})
	return local, remote
}

// cachedNeighbours holds the neighbours that follow from a view.
type cachedNeighbours struct {
	view   *zlview.View
	local  []zlroster.Member
	remote []zlroster.Member
}

func (g *Gossip) chooseNeighbours(view *zlview.View) (local, remote []zlroster.Member) {
	for dc, r := range view.Rosters {
		if dc == g.Home {
			local = g.chooseLocal(r)
			continue
		}
		if sorted := g.sortedByHash(r.Members); len(sorted) > 0 {
			remote = append(remote, sorted[0])
		}
	}
	slices.SortFunc(remote, byName)
	return local, remote
}

// chooseLocal returns the neighbours in the own data centre.
func (g *Gossip) chooseLocal(r zlroster.Roster) []zlroster.Member {
	others := slices.DeleteFunc(slices.Clone(r.Members), func(m zlroster.Member) bool {
		return m.VM == g.Self
	})
	if len(others) <= localNeighbours {
		return others
	}
	slices.SortFunc(others, byName)
	at, _ := slices.BinarySearchFunc(others, g.Self, func(m zlroster.Member, vm zlunit.VM) int {
		return cmp.Compare(m.VM, vm)
	})
	next := others[at%len(others)]
	out := []zlroster.Member{next}
	for _, m := range g.sortedByHash(others) {
		if len(out) < localNeighbours && m.VM != next.VM {
			out = append(out, m)
		}
	}
	return out
}

func byName(a, b zlroster.Member) int {
	return cmp.Compare(a.VM, b.VM)
}

// sortedByHash returns the members in the order of a hash of this daemon's name
// and theirs (rendezvous hashing).
func (g *Gossip) sortedByHash(members []zlroster.Member) []zlroster.Member {
	score := func(m zlroster.Member) uint64 {
		return xxhash.Sum64String(string(g.Self) + "\x00" + string(m.VM))
	}
	out := slices.Clone(members)
	slices.SortFunc(out, func(a, b zlroster.Member) int {
		return cmp.Compare(score(a), score(b))
	})
	return out
}

// substitute returns a random other member of the data centre of vm, which is
// unreachable, or false if there is none.
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

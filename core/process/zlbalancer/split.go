package zlbalancer

import (
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zlrollout"
)

// selection is the replicas of one group of a split; the zero value has all replicas.
type selection struct {
	split *zlrollout.Split
	group zlrollout.Group
}

func (s selection) allows(e *zlregistry.Entry) bool {
	return s.split == nil || s.split.Allows(e, s.group)
}

// splitOf returns how the requests to a service are divided, or nil if they are not.
func (p *Placer) splitOf(s zlunit.Service) *zlrollout.Split {
	if p.Splits == nil {
		return nil
	}
	return p.Splits(s)
}

// placeSplit is Place for a service whose requests are divided between two versions. Each
// send, and each attempt to place one that waits, is given a group; the share of the new
// version is a quota of the sends, which further attempts don't raise. What finds no place at
// the new version goes to the old one, but not the other way round.
//
// Load pattern: a new version that fails or is slow under load, at which sends would
// otherwise pile up while the old replicas are busy.
func (p *Placer) placeSplit(v *zlregistry.View, now time.Time, w *PlacementRequest, split *zlrollout.Split) (*Placement, Result) {
	sel := selection{
		split: split,
		group: split.Choose(p.random()),
	}
	placement, result := p.placeIn(v, now, w, sel)
	if result != Placed && sel.group == zlrollout.GroupTarget {
		sel.group = zlrollout.GroupBaseline
		var second Result
		if placement, second = p.placeIn(v, now, w, sel); second != NoReplica {
			result = second
		}
	}
	if placement == nil {
		return nil, result
	}
	split.Sent(sel.group, placement.Entry.Build)
	placement.Split = true
	placement.Flight.split = split
	placement.Flight.build = placement.Entry.Build
	return placement, Placed
}

// eligibility is which replicas of a service the next send can count on; the zero value has
// all, as if the service were not split. Those of the new version are no place for a send
// that is not within its share.
type eligibility struct {
	split *zlrollout.Split
	// target: those of the new version are eligible as well as the old ones.
	target bool
}

// eligibilityOf returns the eligibility at a service.
func (p *Placer) eligibilityOf(s zlunit.Service) eligibility {
	split := p.splitOf(s)
	if split == nil {
		return eligibility{}
	}
	return eligibility{
		split:  split,
		target: split.NextIsTarget(),
	}
}

func (x eligibility) allows(e *zlregistry.Entry) bool {
	return x.split == nil || x.split.Allows(e, zlrollout.GroupBaseline) ||
		x.target && x.split.Allows(e, zlrollout.GroupTarget)
}

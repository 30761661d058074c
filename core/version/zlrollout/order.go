package zlrollout

import (
	"slices"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlrevision"
	"zinnialock/core/version/zltable"
)

// exposurePart is the part of MaxExposure that a VM's own sends to the target may reach
// before the last stage. The rest is for VMs that learn of a status late.
const exposurePart = 0.8

// order is what this VM knows of an order in force.
type order struct {
	id     OrderID
	key    OrderKey
	latest Order
	times  schedule
	// seen is when this VM learned of the order.
	seen time.Time
	// shareAt is when this VM learned of the present share.
	shareAt time.Time
	// targetSince is when the target had a replica again; zero if it has none.
	targetSince time.Time
	// hadNoTarget: a status said that the target has no replicas. The stage halfShare is
	// then left out, since an order may have four statuses.
	hadNoTarget bool
	// already: the target is the baseline, so that there is nothing to find out.
	already bool
	// reportedShare is a share that the store holds by the report of another VM.
	reportedShare float64
	// held: this VM's own evidence made it stop its sends to the target.
	held bool
	// outcome is the final state if it is known, outcomeAt since when, and stored whether
	// the store holds or held it.
	outcome   State
	outcomeAt time.Time
	stored    bool

	// tallies counts this VM's own responses and changes all of them.
	tallies map[zltable.RouteName]*Tally
	changes uint64
	// merged: reports don't distinguish the routes. Decided once, when begun is set:
	// the counts in reports must only grow.
	begun  bool
	merged bool
	sent   sentEvidence
	// standbyAt is when the standbys last got the evidence.
	standbyAt time.Time
	// leaders are the VMs that decide in the place of the first ones, the latest last.
	leaders []zlunit.VM

	evidence evidence
	decision decision
}

// sentEvidence is what this VM last sent of its evidence.
type sentEvidence struct {
	at      time.Time
	changes uint64
	percent int
	busy    bool
}

// decision is what this VM would write, and what it has done for it.
type decision struct {
	// want is the status that is due, first since when, and since from when this VM waits
	// for those that rank before it.
	want  Status
	first time.Time
	since time.Time
	// lead: this VM has acted in the place of one that ranks before it.
	lead bool
	// issued is the last status that was to be written, at which revision and when.
	issued   Status
	revision zlrevision.Revision
	issuedAt time.Time
	// restored is the revision at which the store was found to have lost the outcome.
	restored zlrevision.Revision
	// verdicts is how often the outcome is still to be sent to all VMs, and verdictAt when
	// it was sent last; leads is how often it is still to be said that this VM leads.
	verdicts  int
	verdictAt time.Time
	leads     int
	leadAt    time.Time
	// behind holds the VMs whose evidence shows that they do not know the status.
	behind map[zlunit.VM]bool
}

// replyTo notes that a VM does not know the status.
func (d *decision) replyTo(vm zlunit.VM) {
	if d.behind == nil {
		d.behind = map[zlunit.VM]bool{}
	}
	d.behind[vm] = true
}

// memory is an outcome that the store held, at which revision.
type memory struct {
	state    State
	revision zlrevision.Revision
	at       time.Time
}

// newOrder returns the state of an order that this VM has just learned of.
func newOrder(o *Order, now time.Time) *order {
	return &order{
		id:      o.ID,
		key:     o.ID.Key(),
		latest:  *o,
		times:   newSchedule(o.ID, o.Duration),
		seen:    now,
		shareAt: now,
		tallies: map[zltable.RouteName]*Tally{},
		evidence: evidence{
			start:     now,
			window:    max(minWindow, o.Duration/windows*2),
			reporters: map[zlunit.VM]*reporter{},
		},
	}
}

// addLeader notes that a VM decides on the order, so that it gets all evidence.
func (o *order) addLeader(vm zlunit.VM) {
	if slices.Contains(o.leaders, vm) {
		return
	}
	o.leaders = append(o.leaders, vm)
	o.leaders = o.leaders[max(len(o.leaders)-maxLeaders, 0):]
	o.sent = sentEvidence{}
}

// noteTarget notes whether the target has replicas.
func (o *order) noteTarget(present bool, now time.Time) {
	switch {
	case !present:
		o.targetSince = time.Time{}
	case o.targetSince.IsZero():
		o.targetSince = now
	}
}

// hasTarget reports whether the target has replicas.
func (o *order) hasTarget() bool {
	return !o.targetSince.IsZero()
}

// appliedShare returns the share that the target gets at this VM.
func (o *order) appliedShare() float64 {
	status := o.latest.status()
	switch {
	case o.already || o.outcome == StateCompleted:
		return 1
	case o.held || o.outcome == StateRolledBack || status.State != StateRunning:
		return 0
	}
	return min(max(status.Share, o.reportedShare, 0), 1)
}

// end notes an outcome.
func (s *service) end(state State, stored bool, now time.Time) {
	o := s.order
	if o.outcome != state {
		o.outcomeAt = now
	}
	o.outcome = state
	o.stored = o.stored || stored
	target := o.id.Target
	if state == StateRolledBack {
		if !o.already {
			s.bad[target] = true
		}
		if s.baseline == target && !o.already {
			s.chooseBaseline(target, now)
		}
		return
	}
	delete(s.bad, target)
	for b := range s.counts {
		if b != target {
			s.retired[b] = true
		}
	}
	if s.baseline != target {
		s.retired[s.baseline] = true
		s.setBaseline(target, now)
	}
}

// begin puts an order in force.
func (s *service) begin(o *order, now time.Time) {
	s.order = o
	s.split = nil
	target := o.id.Target
	delete(s.bad, target)
	delete(s.retired, target)
	o.noteTarget(s.counts[target] > 0, now)
	if s.baseline == target && !s.baselineSince.IsZero() {
		o.already = now.Sub(s.baselineSince) >= trustBaselineAfter || len(s.counts) == 1
		if !o.already {
			s.chooseBaseline(target, now)
		}
	}
}

// update takes the order as the store holds it, and returns whether its status changed.
func (s *service) update(latest *Order, now time.Time) bool {
	o := s.order
	before, status := o.latest.status(), latest.status()
	o.latest = *latest
	if before == status {
		return false
	}
	if status != o.decision.issued {
		o.decision.lead = false
	}
	o.shareAt = now
	o.reportedShare = 0
	if status.State == StateRunning && status.Share <= 0 {
		o.hadNoTarget = true
	}
	return true
}

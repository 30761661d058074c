package zlrollout

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlrevision"
)

const (
	// deciders is how many VMs receive the evidence of an order.
	deciders = 2
	// takeOverAfter is how long, for each VM that ranks before it, a VM waits for the
	// status that is due.
	takeOverAfter = time.Second
	// linearWaits is for how many VMs before it a VM waits takeOverAfter each; VMs that
	// rank later wait quadratically longer, 36 s for 8.
	linearWaits = 4
	// writeRetry is after what time a write without a known result is asked for again: a
	// status takes up to orderLag to be seen.
	writeRetry = 2 * time.Second
	// failedWriteRetry is the same after a failed call, each of which has its price.
	failedWriteRetry = time.Second
	// heardReports is how many reports in a row of a VM are lost or not sent in the last
	// stage when it does not count as heard from any more, and silentReports the same
	// before it.
	heardReports  = 3
	silentReports = 2
	// verdictRepeats is how often a verdict is sent to all VMs. A VM that misses them gets
	// it in reply to its evidence.
	verdictRepeats  = 2
	verdictInterval = 300 * time.Millisecond
)

// heardWithin returns how recent a VM's report must be in the last stage for it to count
// as heard from.
func (c *Controller) heardWithin() time.Duration {
	return heardReports * max(lastRefreshInterval, c.interval)
}

// silentAfter returns how long a VM has not reported when it counts as silent.
func (c *Controller) silentAfter() time.Duration {
	return silentReports*max(refreshInterval, c.interval) + reportInterval
}

// rank returns how many VMs decide on the service before this one.
func (c *Controller) rank(s *service) int {
	return slices.Index(c.ranking(s), c.Self)
}

// decide returns the actions for the service's order.
func (c *Controller) decide(s *service, now time.Time) []Action {
	o := s.order
	d := &o.decision
	rank := c.rank(s)
	if !o.outcome.Final() {
		c.judge(s, rank < deciders || d.lead || len(o.evidence.reporters) > 1, now)
	}
	actions := append(c.sendVerdict(o, now), c.sendLead(o, now)...)
	want := c.due(s, now)
	if want != d.want {
		d.want = want
		d.since = now
		d.first = now
	}
	if want == (Status{}) {
		return actions
	}
	if now.Sub(d.first) < writeRetry && c.wasWritten(s, want, now) {
		d.since = now
		return actions
	}
	if !d.mayIssue(c.before(s, rank, now), o.latest.Revision, now) {
		return actions
	}
	if rank > 0 && !d.lead {
		d.lead = true
		d.leads = verdictRepeats
		c.note(s, "takeover", string(want.State))
	}
	if o.stored && d.restored != o.latest.Revision {
		// The store has lost the outcome, so VMs that have started since do not know it.
		d.restored = o.latest.Revision
		d.verdicts = verdictRepeats
		c.note(s, "restored", string(o.outcome))
	}
	if d.lead && d.issued != want {
		// Said at each stage for VMs that have come into contact since.
		d.leads = max(d.leads, 1)
	}
	d.issued = want
	d.revision = o.latest.Revision
	d.issuedAt = now
	return append(actions, &WriteStatus{
		Order:  o.latest,
		Status: want,
	})
}

// before returns how many VMs a VM of the given rank waits for: those that rank before it,
// except those that are silent while others report to it.
func (c *Controller) before(s *service, rank int, now time.Time) int {
	limit := c.silentAfter()
	if s.order.latest.status().Share >= 1 {
		limit = c.heardWithin()
	}
	recent := map[zlunit.VM]bool{}
	for vm, v := range s.order.evidence.reporters {
		if vm != c.Self && now.Sub(v.heard) < limit {
			recent[vm] = true
		}
	}
	if len(recent) == 0 || rank >= deciders || now.Sub(s.order.seen) < c.silentAfter() {
		return rank
	}
	n := 0
	for _, vm := range c.ranking(s)[:rank] {
		if recent[vm] {
			n++
		}
	}
	return n
}

// mayIssue reports whether a VM that waits for others asks for the write of the status that
// is due, at this revision of the order.
func (d *decision) mayIssue(others int, revision zlrevision.Revision, now time.Time) bool {
	wait := others
	if others > linearWaits {
		// Else all VMs would write in an outage of the store.
		wait = (others - linearWaits/2) * (others - linearWaits/2)
	}
	if !d.lead && now.Sub(d.since) < time.Duration(wait)*takeOverAfter {
		return false
	}
	return d.issued != d.want || d.revision != revision || now.Sub(d.issuedAt) >= writeRetry
}

// wasWritten reports whether another VM already gives the target the share that is wanted,
// so that the status that says so is on its way to this one.
func (c *Controller) wasWritten(s *service, want Status, now time.Time) bool {
	if want.State != StateRunning || want.Share <= 0 {
		return false
	}
	for vm, v := range s.order.evidence.reporters {
		if vm != c.Self && now.Sub(v.heard) <= takeOverAfter && v.percent >= percent(want.Share) {
			return true
		}
	}
	return false
}

// judge ends the order if its target is bad. A VM that decides nothing, and so has only its
// own evidence, which its links may explain, just stops its own sends to the target.
func (c *Controller) judge(s *service, decides bool, now time.Time) {
	o := s.order
	if !o.evidence.needsTest(now) || o.already || (o.held && !decides) {
		return
	}
	o.evidence.dirty = false
	o.evidence.testedAt = now
	f := o.evidence.test()
	if f == nil {
		return
	}
	what := "bad"
	if decides {
		s.end(StateRolledBack, false, now)
		o.decision.verdicts = verdictRepeats
	} else {
		what = "held"
		o.held = true
		o.evidence.dirty = true
	}
	c.note(s, what, fmt.Sprintf("%s: %.0f of %.0f bad, %.1f expected, route %q",
		o.id.Target, f.bad, f.of, f.expected, f.route))
	c.updateSplit(s, now)
}

// sendVerdict returns the outcome for all VMs, or for those that do not know it, if it is
// to be sent now.
func (c *Controller) sendVerdict(o *order, now time.Time) []Action {
	d := &o.decision
	if now.Sub(d.verdictAt) < verdictInterval {
		return nil
	}
	var to []zlunit.VM
	switch {
	case d.verdicts > 0:
		d.verdicts--
	case len(d.behind) > 0:
		to = slices.Sorted(maps.Keys(d.behind))
	default:
		return nil
	}
	d.behind = nil
	d.verdictAt = now
	return []Action{c.verdict(to, o)}
}

// sendLead returns the message that this VM decides in the place of others, if it is to be
// sent now.
func (c *Controller) sendLead(o *order, now time.Time) []Action {
	d := &o.decision
	if d.leads == 0 || now.Sub(d.leadAt) < verdictInterval {
		return nil
	}
	d.leads--
	d.leadAt = now
	return []Action{&SendReport{
		Report: Report{
			VM:    c.Self,
			Start: c.start,
			Leads: []OrderKey{o.key},
		},
	}}
}

// verdict returns the action that sends an outcome, or the share of a running order.
func (c *Controller) verdict(to []zlunit.VM, o *order) *SendReport {
	v := Verdict{
		Order:  o.key,
		State:  o.outcome,
		Stored: o.stored,
	}
	if !o.outcome.Final() {
		v.State = StateRunning
		v.Stored = true
		v.Percent = percent(o.latest.status().Share)
	}
	return &SendReport{
		To: to,
		Report: Report{
			VM:       c.Self,
			Start:    c.start,
			Verdicts: []Verdict{v},
		},
	}
}

// isBehind reports whether a VM with the given share has not learned of the status,
// although that usually takes less time.
func (o *order) isBehind(percentThere int, now time.Time) bool {
	status := o.latest.status()
	return status.State == StateRunning && percentThere < percent(status.Share) && now.Sub(o.shareAt) > orderLag
}

// due returns the status that the order should have now, or the zero value if the one
// that it has is right or none is due yet.
func (c *Controller) due(s *service, now time.Time) Status {
	o := s.order
	status := o.latest.status()
	switch {
	case o.outcome.Final() && status.State == o.outcome:
		return Status{}
	case o.outcome.Final():
		return o.wanted(o.outcome, o.finalShare())
	case status.State != StateRunning:
		return o.firstStatus(now)
	case !o.hasTarget():
		if now.Sub(o.seen) >= o.times.latest {
			return o.wanted(StateRolledBack, 0)
		}
		return Status{}
	case status.Share >= 1:
		if c.settled(o, now) {
			return o.wanted(StateCompleted, 1)
		}
		return Status{}
	}
	return o.nextStage(status.Share, now)
}

// wanted returns a status of the order.
func (o *order) wanted(state State, share float64) Status {
	return Status{
		State:  state,
		Target: o.id.Target,
		Share:  share,
	}
}

// finalShare returns the share that goes with the outcome.
func (o *order) finalShare() float64 {
	if o.outcome == StateCompleted {
		return 1
	}
	return 0
}

// firstStatus returns the first status of an order, if it is due.
func (o *order) firstStatus(now time.Time) Status {
	switch {
	case o.already:
		return o.wanted(StateRunning, 1)
	case o.hasTarget():
		return o.wanted(StateRunning, smallShare)
	case now.Sub(o.seen) >= o.times.noTarget || o.latest.Status.State != "":
		// The status of an earlier order of the object is replaced at once: it would count
		// again if the object's target were changed back.
		return o.wanted(StateRunning, 0)
	}
	return Status{}
}

// nextStage returns the status after one with the given share below 1, if it is due.
func (o *order) nextStage(share float64, now time.Time) Status {
	elapsed := now.Sub(o.seen)
	// A stage is not shorter than planned if the last one began late.
	stage := o.times.full - o.times.half
	waited := now.Sub(o.shareAt)
	switch {
	case o.already:
		return o.wanted(StateRunning, 1)
	case share <= 0:
		return o.wanted(StateRunning, smallShare)
	case now.Sub(o.targetSince) < o.times.minSmall || (share < halfShare && waited < o.times.minSmall):
		return Status{}
	case share < halfShare && o.hadNoTarget:
		if elapsed >= o.times.full {
			return o.wanted(StateRunning, 1)
		}
	case share < halfShare:
		if elapsed >= o.times.half {
			return o.wanted(StateRunning, halfShare)
		}
	case elapsed >= o.times.full && waited >= stage/2:
		return o.wanted(StateRunning, 1)
	}
	return Status{}
}

// settled reports whether an order at share 1 may be completed: all VMs have reported
// that they send nothing to old replicas, or those that are heard from have and the others
// have had the time in which a status reaches all VMs in contact, or it is the latest time.
// VMs that say that they do not know of share 1 yet are waited for also then.
func (c *Controller) settled(o *order, now time.Time) bool {
	elapsed, waited := now.Sub(o.seen), now.Sub(o.shareAt)
	silent, busy, below := c.reported(o, now)
	switch {
	case waited < o.times.minFull || (elapsed < o.times.soak && !o.already):
		return false
	case below:
		return elapsed >= o.times.force && waited >= c.configApply()
	case busy:
		return elapsed >= o.times.force && waited >= orderLag
	case silent:
		return waited >= orderLag && (waited >= c.configApply() || elapsed >= o.times.latest)
	}
	return true
}

// reported returns whether there are VMs that are not heard from, that have requests in
// flight at old replicas, and that are below share 1.
func (c *Controller) reported(o *order, now time.Time) (silent, busy, below bool) {
	for _, vm := range c.members {
		v := o.evidence.reporters[vm]
		switch {
		case v == nil:
			silent = true
		case v.percent < 100 && now.Sub(v.heard) <= c.silentAfter():
			below = true
		case v.percent < 100 || now.Sub(v.heard) > c.heardWithin():
			silent = true
		case v.busy:
			busy = true
		}
	}
	return silent, busy, below
}

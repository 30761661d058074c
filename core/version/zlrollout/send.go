package zlrollout

import (
	"slices"
	"time"

	"zinnialock/core/process/zlunit"
)

const (
	// reportInterval is the least time between two reports on an order. It does not depend
	// on what they say: with bad responses reported sooner than others, and those 4 s
	// apart, good builds were found bad.
	reportInterval = 250 * time.Millisecond
	// standbys is how many further VMs get the evidence at every standbyRatio-th report, and
	// not more often than each standbyInterval, so that a verdict falls in time if the
	// first ones are dead.
	standbys        = 2
	standbyRatio    = 2
	standbyInterval = 2 * time.Second
	// reportByteRate is what reports may take, in bytes a second: half of what all control
	// traffic may.
	reportByteRate = 3000
	// maxRouteOrders is how many orders may run at once for routes to be distinguished in
	// reports: with 36 orders of 4 routes reports would be 6 s apart.
	maxRouteOrders = 6
	// refreshInterval is how long evidence is not repeated that has not changed, and
	// lastRefreshInterval the same in the last stage, whose end waits for all reports.
	refreshInterval     = time.Second
	lastRefreshInterval = 500 * time.Millisecond
	// maxLeaders limits the VMs beyond the first of the ranking that get evidence.
	maxLeaders = 2
	// maxReportBytes limits the estimated size of a report. Datagrams between VMs hold
	// 1,200 bytes, of which the transport needs some.
	maxReportBytes = 1000
	// The estimated sizes of the parts of a report, beside names.
	headBytes     = 30
	evidenceBytes = 22
	tallyBytes    = 32
)

// report returns this VM's own evidence of the order.
func (s *service) report(now time.Time) Evidence {
	o := s.order
	e := Evidence{
		Order: o.key,
	}
	e.Percent = percent(o.appliedShare())
	e.Busy = s.usesOldReplicas(now)
	if o.merged {
		sum := Tally{}
		for _, t := range o.tallies {
			sum.Target.add(&t.Target)
			sum.Baseline.add(&t.Baseline)
		}
		e.Tallies = []Tally{sum}
		return e
	}
	for _, t := range o.tallies {
		e.Tallies = append(e.Tallies, *t)
	}
	return e
}

// add adds other counts.
func (c *Counts) add(other *Counts) {
	c.Good += other.Good
	c.Failed += other.Failed
	c.Slow += other.Slow
}

// percent returns a share in percent.
func percent(share float64) int {
	return int(share*100 + 0.5)
}

// needsReport reports whether the VM's evidence is to be sent now.
func (o *order) needsReport(e *Evidence, interval time.Duration, now time.Time) bool {
	since := now.Sub(o.sent.at)
	switch {
	case since < reportInterval:
		return false
	case e.Percent != o.sent.percent || (e.Percent >= 100 && e.Busy != o.sent.busy):
		return true
	case o.changes > o.sent.changes:
		return since >= interval
	case e.Percent >= 100:
		return since >= max(lastRefreshInterval, interval)
	}
	return since >= max(refreshInterval, interval)
}

// receivers returns who gets the evidence: the first VMs of the ranking, at times the
// standbys and, if a status is overdue, those that may act in their place.
func (c *Controller) receivers(s *service, interval time.Duration, now time.Time) []zlunit.VM {
	o := s.order
	n := deciders
	if now.Sub(o.standbyAt) >= max(standbyRatio*interval, standbyInterval) {
		o.standbyAt = now
		n += standbys
	}
	if d := &o.decision; d.want != (Status{}) {
		n += min(int(now.Sub(d.since)/takeOverAfter), linearWaits)
	}
	ranking := c.ranking(s)
	list := slices.Clone(ranking[:min(n, len(ranking))])
	for _, vm := range o.leaders {
		if !slices.Contains(list, vm) {
			list = append(list, vm)
		}
	}
	return slices.DeleteFunc(list, func(vm zlunit.VM) bool {
		return vm == c.Self
	})
}

// reports returns the evidence to be sent now. Evidence for the same VMs goes into one
// report.
func (c *Controller) reports(now time.Time) []Action {
	var running []*service
	for _, s := range c.ordered {
		if s.running() {
			running = append(running, s)
		}
	}
	list := make([]Evidence, len(running))
	bytes := 0
	for i, s := range running {
		if o := s.order; !o.begun {
			o.begun = true
			o.merged = len(running) > maxRouteOrders
		}
		list[i] = s.report(now)
		bytes += list[i].size()
	}
	bytes = bytes*deciders + bytes*standbys/standbyRatio
	interval := max(reportInterval, time.Duration(bytes)*time.Second/reportByteRate)
	c.interval = interval
	var batches []*SendReport
	for i, s := range running {
		o, e := s.order, &list[i]
		o.evidence.take(c.Self, c.start, e, now)
		if !o.needsReport(e, interval, now) {
			continue
		}
		o.sent = sentEvidence{
			at:      now,
			changes: o.changes,
			percent: e.Percent,
			busy:    e.Busy,
		}
		if to := c.receivers(s, interval, now); len(to) > 0 {
			batches = c.batch(batches, to, e)
		}
	}
	actions := make([]Action, 0, len(batches))
	for _, b := range batches {
		actions = append(actions, b)
	}
	return actions
}

// batch adds evidence to the last report for these VMs that has room for it, else to a new
// one.
func (c *Controller) batch(list []*SendReport, to []zlunit.VM, e *Evidence) []*SendReport {
	for _, piece := range pieces(e) {
		i := slices.IndexFunc(list, func(b *SendReport) bool {
			return slices.Equal(b.To, to) && size(&b.Report)+piece.size() <= maxReportBytes
		})
		if i < 0 {
			i = len(list)
			list = append(list, &SendReport{
				To: to,
				Report: Report{
					VM:    c.Self,
					Start: c.start,
				},
			})
		}
		r := &list[i].Report
		r.Evidence = append(r.Evidence, piece)
	}
	return list
}

// pieces divides evidence of many routes, so that each piece fits into a report.
func pieces(e *Evidence) []Evidence {
	var out []Evidence
	rest := e.Tallies
	for {
		piece := *e
		piece.Tallies = nil
		for len(rest) > 0 {
			piece.Tallies = append(piece.Tallies, rest[0])
			if len(piece.Tallies) > 1 && piece.size() > maxReportBytes/2 {
				piece.Tallies = piece.Tallies[:len(piece.Tallies)-1]
				break
			}
			rest = rest[1:]
		}
		out = append(out, piece)
		if len(rest) == 0 {
			return out
		}
	}
}

// size returns about how many bytes a report takes.
func size(r *Report) int {
	n := headBytes + len(r.VM)
	for i := range r.Evidence {
		n += r.Evidence[i].size()
	}
	return n
}

func (e *Evidence) size() int {
	n := evidenceBytes
	for i := range e.Tallies {
		n += tallyBytes + len(e.Tallies[i].Route)
	}
	return n
}

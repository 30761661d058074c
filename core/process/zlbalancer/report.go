package zlbalancer

import (
	"slices"
	"time"

	"zinnialock/core/process/zlunit"
)

const (
	// reportLatencyRatio and reportFailureRate are the levels from which a VM
	// reports a replica to the other VMs. They lie well above what a burst or
	// a single pause causes at a replica that gets many requests.
	reportLatencyRatio = 2.5
	reportFailureRate  = 0.4
	// maxSampleAge is the greatest age of the latest sample of a replica that
	// is reported.
	maxSampleAge = time.Second
	// maxHealthReports bounds the replicas that a VM reports at once.
	maxHealthReports = 12
	// minReporters is how many other VMs must report a replica before it is
	// avoided. A pause of 150 ms affects about four requests of a replica that
	// gets 25 a second, so a pause alone does not reach this number.
	minReporters = 5
	// reportLifetime is how long a health report counts.
	reportLifetime = 1500 * time.Millisecond
	// reportedCost is added for a replica that enough other VMs report.
	reportedCost = 3
)

// HealthReport is a health report: one VM reports a replica as slow or failing. The
// reports serve deployments of many VMs with few requests each: without them
// every VM has to lose some of its own requests to a slow replica before it
// avoids that replica.
type HealthReport struct {
	Upstream zlunit.Upstream
	// Incarnation distinguishes the incarnations of a replica under one ID; larger is
	// later.
	// Its name in messages between VMs is Born.
	Incarnation int64 `cbor:"Born"`
	// Address is the replica's network address.
	Address string
}

// HealthReports returns the replicas that this VM reports to the others: those that
// it finds slow or failing by its own recent requests, and at most maxHealthReports
// of them.
func (p *Placer) HealthReports(now time.Time) []HealthReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []HealthReport
	for key, r := range p.records {
		if len(list) >= maxHealthReports {
			break
		}
		if r.isUnhealthy(now) {
			list = append(list, HealthReport{
				Upstream:    key.id,
				Incarnation: key.incarnation,
				Address:     key.addr,
			})
		}
	}
	return list
}

// isUnhealthy reports whether this process itself recently found the replica
// slow or failing.
func (r *Record) isUnhealthy(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastSample.IsZero() || now.Sub(r.lastSample) > maxSampleAge {
		return false
	}
	return r.latencyRatio >= reportLatencyRatio || r.failureRate >= reportFailureRate
}

// AddReports takes in the health reports of another VM. It ignores reports of
// replicas that this process has no record of.
func (p *Placer) AddReports(vm zlunit.VM, list []HealthReport, now time.Time) {
	for _, o := range list {
		p.mu.Lock()
		r := p.records[recordKey{
			id:          o.Upstream,
			incarnation: o.Incarnation,
			addr:        o.Address,
		}]
		p.mu.Unlock()
		if r != nil {
			r.report(vm, now)
		}
	}
}

// report notes that another VM reported the replica.
type report struct {
	vm         zlunit.VM
	receivedAt time.Time
}

// report adds a report by another VM; each VM counts once.
func (r *Record) report(vm zlunit.VM, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports = slices.DeleteFunc(r.reports, func(o report) bool {
		return o.vm == vm || now.Sub(o.receivedAt) > reportLifetime
	})
	r.reports = append(r.reports, report{
		vm:         vm,
		receivedAt: now,
	})
}

// isReported reports whether enough other VMs currently report the replica.
// The caller holds mu.
func (r *Record) isReported(now time.Time) bool {
	if len(r.reports) < minReporters {
		return false
	}
	n := 0
	for _, o := range r.reports {
		if now.Sub(o.receivedAt) <= reportLifetime {
			n++
		}
	}
	return n >= minReporters
}

package zlplace

import (
	"slices"
	"time"

	"zinnialock/core/process/zlunit"
)

const (
	// slowPace and manyFaults are from where a VM tells others of a replica: well
	// beyond what a burst or one pause makes of a replica that is asked often.
	slowPace   = 2.5
	manyFaults = 0.4
	// opinionAge is how old the sample may be that an opinion rests on.
	opinionAge = time.Second
	// opinionsMost bounds the opinions that a VM tells at once.
	opinionsMost = 12
	// reportersLeast is how many other VMs must agree: a pause of 150 ms meets
	// about four requests of a replica that gets 25 a second.
	reportersLeast = 5
	// reportTime is how long a report counts.
	reportTime = 1500 * time.Millisecond
	// shunCost is that of a replica against which many VMs speak.
	shunCost = 3
)

// Opinion names a replica that is slow or fails, as one VM sees it. Opinions
// answer the pattern of many VMs with few requests each: without them every VM
// has to lose requests of its own to each slow replica, again and again.
type Opinion struct {
	Upstream zlunit.Upstream
	Born     int64
	Address  string
}

// Opinions are those that this VM has of its own.
func (p *Placer) Opinions(now time.Time) []Opinion {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []Opinion
	for key, r := range p.record {
		if len(list) >= opinionsMost {
			break
		}
		if r.isBad(now) {
			list = append(list, Opinion{
				Upstream: key.id,
				Born:     key.born,
				Address:  key.addr,
			})
		}
	}
	return list
}

func (r *Record) isBad(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.heard.IsZero() || now.Sub(r.heard) > opinionAge {
		return false
	}
	return r.pace >= slowPace || r.faults >= manyFaults
}

// Hear takes the opinions of another VM.
func (p *Placer) Hear(vm zlunit.VM, list []Opinion, now time.Time) {
	for _, o := range list {
		p.mu.Lock()
		r := p.record[recordKey{
			id:   o.Upstream,
			born: o.Born,
			addr: o.Address,
		}]
		p.mu.Unlock()
		if r != nil {
			r.report(vm, now)
		}
	}
}

// report is what another VM said of a replica.
type report struct {
	vm zlunit.VM
	at time.Time
}

func (r *Record) report(vm zlunit.VM, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports = slices.DeleteFunc(r.reports, func(o report) bool {
		return o.vm == vm || now.Sub(o.at) > reportTime
	})
	r.reports = append(r.reports, report{
		vm: vm,
		at: now,
	})
}

// shunned reports whether many VMs speak against the replica; mu is held.
func (r *Record) shunned(now time.Time) bool {
	if len(r.reports) < reportersLeast {
		return false
	}
	n := 0
	for _, o := range r.reports {
		if now.Sub(o.at) <= reportTime {
			n++
		}
	}
	return n >= reportersLeast
}

// Package zlmark holds the operators' marks that take VMs, data centres and
// upstreams out of service.
package zlmark

import (
	"time"

	"zinnialock/core/process/zlunit"
)

// Mark records that something is out of service, and why.
type Mark struct {
	Reason string    `json:"reason"`
	By     string    `json:"by,omitempty"`
	At     time.Time `json:"at"`
}

// Marks lists all that is out of service. A name that is absent is in service.
type Marks struct {
	VMs         map[zlunit.VM]Mark         `json:"vms,omitempty"`
	DataCentres map[zlunit.DataCentre]Mark `json:"dataCentres,omitempty"`
	Upstreams   map[zlunit.Upstream]Mark   `json:"upstreams,omitempty"`
}

// UpstreamOut reports whether u, which stands in dc, is out of service.
func (m *Marks) UpstreamOut(u zlunit.Upstream, dc zlunit.DataCentre) bool {
	if _, ok := m.DataCentres[dc]; ok {
		return true
	}
	_, ok := m.Upstreams[u]
	return ok
}

// VMOut reports whether vm, which stands in dc, is out of service.
func (m *Marks) VMOut(vm zlunit.VM, dc zlunit.DataCentre) bool {
	if _, ok := m.DataCentres[dc]; ok {
		return true
	}
	_, ok := m.VMs[vm]
	return ok
}

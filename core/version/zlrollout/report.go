package zlrollout

import (
	"encoding/binary"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zltable"

	"github.com/cespare/xxhash/v2"
)

// OrderKey identifies an order in reports: a hash of service, target and number of the
// revision at which the order was created.
type OrderKey uint64

// Key returns the order's key.
func (id OrderID) Key() OrderKey {
	b := make([]byte, 0, len(id.Service)+len(id.Target)+10)
	b = append(b, id.Service...)
	b = append(b, 0)
	b = append(b, id.Target...)
	b = append(b, 0)
	b = binary.BigEndian.AppendUint64(b, uint64(id.Created.Number))
	return OrderKey(xxhash.Sum64(b))
}

// Report is what a VM tells others. Its encoding is about 20 bytes and the size of its
// parts; Step keeps it below maxReportBytes.
type Report struct {
	VM zlunit.VM `cbor:"1,keyasint"`
	// Start distinguishes the incarnations of a VM, whose counts begin at 0.
	Start    int64      `cbor:"2,keyasint"`
	Evidence []Evidence `cbor:"3,keyasint,omitempty"`
	Verdicts []Verdict  `cbor:"4,keyasint,omitempty"`
	// Leads lists the orders that the VM decides in the place of VMs that rank before it,
	// so that it needs the evidence.
	Leads []OrderKey `cbor:"5,keyasint,omitempty"`
}

// Evidence is what a VM has seen of an order since it learned of it.
type Evidence struct {
	Order OrderKey `cbor:"1,keyasint"`
	// Percent is the share that the VM gives the target.
	Percent int `cbor:"2,keyasint,omitempty"`
	// Busy: requests of the VM are in flight at baseline replicas.
	Busy    bool    `cbor:"3,keyasint,omitempty"`
	Tallies []Tally `cbor:"4,keyasint,omitempty"`
}

// Tally counts the responses of one route.
type Tally struct {
	_        struct{} `cbor:",toarray"`
	Route    zltable.RouteName
	Target   Counts
	Baseline Counts
}

// Counts are cumulative.
type Counts struct {
	_      struct{} `cbor:",toarray"`
	Good   uint32
	Failed uint32
	Slow   uint32
}

// Verdict is the outcome of an order, or a share that the store holds.
type Verdict struct {
	Order OrderKey `cbor:"1,keyasint"`
	State State    `cbor:"2,keyasint"`
	// Stored: the store held the outcome. Until then only a roll-back is obeyed.
	Stored bool `cbor:"3,keyasint,omitempty"`
	// Percent is the share of an order that is running.
	Percent int `cbor:"4,keyasint,omitempty"`
}

// Action is one of *WriteStatus and *SendReport.
type Action interface {
	action()
}

// WriteStatus asks for a conditional write of the status to the object as it was at
// Order.Revision. It is returned again until SetOrders or HandleWrite shows the status or
// a newer one; a failed or refused write needs no retry.
type WriteStatus struct {
	Order  Order
	Status Status
}

// SendReport asks for the report to be sent. Loss is harmless.
type SendReport struct {
	// To is nil for all other VMs.
	To     []zlunit.VM
	Report Report
}

func (*WriteStatus) action() {}
func (*SendReport) action()  {}

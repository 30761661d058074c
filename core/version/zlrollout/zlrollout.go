// Package zlrollout decides how the traffic of a service moves from the replicas of one
// build to those of another. For each service it says which share of the requests the
// new replicas get, gathers evidence on their responses from all VMs, and decides which
// status of an order is written to the platform's store. It is meant for up to 660 VMs
// and 36 orders at once. It sends nothing itself: Step returns what is to be written and
// sent. docs/design/rollouts.md explains the decisions.
package zlrollout

import (
	"fmt"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlrevision"
)

// OrderID identifies an order. Orders that differ only in the era of Created are the
// same: the era is that of the store that listed the object, and an object keeps its
// number when the store goes back.
type OrderID struct {
	Service zlunit.Service
	Target  zlunit.Build
	Created zlrevision.Revision
}

// Order is an object of the platform that orders a service's traffic to be moved to the
// replicas of a build.
type Order struct {
	ID       OrderID
	Duration time.Duration
	// Status is what the store holds; its Target may be that of an earlier order.
	Status Status
	// Revision is that of the object's last change; writes are conditional on it.
	Revision zlrevision.Revision
}

// State is the state of an order. The empty state means that none was written yet.
type State string

// The states of an order. The last two are final.
const (
	StateRunning    State = "running"
	StateCompleted  State = "completed"
	StateRolledBack State = "rolled_back"
)

// Final reports whether an order in this state has ended.
func (s State) Final() bool {
	return s == StateCompleted || s == StateRolledBack
}

// Status is what the system writes into an order.
type Status struct {
	State  State
	Target zlunit.Build
	// Share is the share of the requests that the target gets, from 0 to 1.
	Share float64
}

// name names the status in events.
func (s Status) name() string {
	return fmt.Sprintf("%s, share %.2f", s.Target, s.Share)
}

// Group is one of the two groups of a service's replicas.
type Group int

// The groups of replicas. Without an order, GroupTarget holds the replicas of all builds
// other than the baseline.
const (
	GroupBaseline Group = iota
	GroupTarget
)

// Outcome is the outcome of a request at a replica.
type Outcome int

// The outcomes. Whether a good response was slow follows from its latency. A request
// that the replica refused unrun, or that was cancelled by this VM, has no outcome.
const (
	OutcomeGood Outcome = iota
	OutcomeFailed
)

// Settings are the deployment's settings for roll-outs.
type Settings struct {
	// Enabled: the deployment's contracts contain roll-outs. Without it Split returns nil
	// and Step nothing.
	Enabled bool
	// MaxExposure is the greatest share of a service's requests that a bad build may get;
	// 0 means 0.1, the platform's default.
	MaxExposure float64
	// ConfigApply is the longest time that a status takes to reach all VMs in contact; 0
	// means 5 s, the platform's default.
	ConfigApply time.Duration
}

// Kind is the kind of an Error.
type Kind string

// The kinds of errors.
const (
	KindNoService   Kind = "no service"
	KindNoTarget    Kind = "no target"
	KindNoDuration  Kind = "no duration"
	KindTwoOrders   Kind = "second order for the service"
	KindUnknownName Kind = "unknown state"
)

// Error is why an order is not followed.
type Error struct {
	Op   string
	Kind Kind
}

// Error returns the operation and the kind.
func (e *Error) Error() string {
	return fmt.Sprintf("rollout: %s: %s", e.Op, e.Kind)
}

// validate returns why the order cannot be followed, or nil.
func (o *Order) validate() *Error {
	kind := Kind("")
	switch {
	case o.ID.Service == "":
		kind = KindNoService
	case o.ID.Target == "":
		kind = KindNoTarget
	case o.Duration <= 0:
		kind = KindNoDuration
	case o.Status.State != "" && o.Status.State != StateRunning && !o.Status.State.Final():
		kind = KindUnknownName
	default:
		return nil
	}
	return &Error{
		Op:   "read order",
		Kind: kind,
	}
}

// status returns the status that belongs to this order; a status of another target is
// that of an earlier order of the same object.
func (o *Order) status() Status {
	if o.Status.Target != o.ID.Target {
		return Status{}
	}
	return o.Status
}

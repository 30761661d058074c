package zlrollout

import (
	"sync"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zltable"
)

// Controller follows the orders of all services on one VM. Exported fields must be set
// before use; the methods may be called concurrently.
type Controller struct {
	Self     zlunit.VM
	Settings Settings
	Timer    *zltimer.Service
	// Sink receives decisions and changes of what is known; may be nil.
	Sink zldecision.Sink

	mu sync.Mutex
}

// SetOrders takes all orders that the store holds, as it or a peer confirmed them at the
// given time. States of the store must be passed in their order.
func (c *Controller) SetOrders(orders []Order, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = orders, at
}

// SetMembers sets the VMs in the VM count.
func (c *Controller) SetMembers(vms []zlunit.VM) {
	_ = vms
}

// SetReplicas takes the replicas of each service. It must be called for each view.
func (c *Controller) SetReplicas(v *zlregistry.View) {
	_ = v
}

// Split returns how the requests of a service are divided, or nil if any replica may get
// them. It takes no lock, so it may be called for each send.
func (c *Controller) Split(s zlunit.Service) *Split {
	_ = s
	return nil
}

// Record notes the outcome of a send to a replica of build b. Took is the time to the
// response, or 0 if that is not comparable, as for a replica that was cold. It must not be
// called for requests that the replica refused unrun or that this VM cancelled.
func (c *Controller) Record(s zlunit.Service, route zltable.RouteName, b zlunit.Build, o Outcome, took time.Duration) {
	_, _, _, _, _ = s, route, b, o, took
}

// Step returns what is to be written and sent now. It is to be called each 100 ms.
func (c *Controller) Step(now time.Time) []Action {
	_ = now
	return nil
}

// HandleReport takes a report of another VM.
func (c *Controller) HandleReport(r *Report, now time.Time) {
	_, _ = r, now
}

// HandleWrite takes the store's answer to a WriteStatus: the object as the store holds it
// after a write or a failed condition, or nil if the call failed. Calling it is optional;
// without it the result is known once SetOrders shows it.
func (c *Controller) HandleWrite(id OrderID, latest *Order, now time.Time) {
	_, _, _ = id, latest, now
}

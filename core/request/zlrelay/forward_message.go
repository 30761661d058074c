package zlrelay

import (
	"context"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlpeerbalancer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zltable"
)

// Forward is a request, or some parts of one, that another VM serves for the VM that the
// caller is connected to.
type Forward struct {
	// Origin is the VM that the caller is connected to.
	Origin zlunit.VM
	// Request is the caller's request. Its times are on the clock of this VM. It has the
	// organisation and not the key, which the origin has checked.
	Request *Request
	// Version is the least version of the routing table by which it may be served.
	Version zltable.Version
	// Parts are the parts to serve, and MinParts is how many of them are needed.
	Parts    []ForwardPart
	MinParts int
	// Counted is set if the origin has counted the request for the limit on second sends.
	Counted bool
	// Suspected is set if the request may crash replicas, so that it goes to one at a time.
	Suspected bool
}

// ForwardPart is one part of a Forward.
type ForwardPart struct {
	Service zlunit.Service
	// Arrivals counts the earlier sends of the part that may have reached a replica, and
	// MayHaveRun those that may have run there.
	Arrivals   int
	MayHaveRun int
}

// ForwardCall is one send of a Forward to another VM.
type ForwardCall struct {
	Forward *Forward
	// Start must be called right before the first byte is sent; if it returns false,
	// nothing may be sent.
	Start func() bool
	// Alive is called when the other VM shows that it works on the request.
	Alive func()
}

// ForwardReply is the result of a ForwardCall: one of *Relayed, *Declined and *NoReply.
type ForwardReply interface {
	forwardReply()
}

// Relayed is the reply of a VM that decided on the request.
type Relayed struct {
	// Answer is what it decided; Merged has the services of its parts.
	Answer Answer
	// Version is that of the table by which it did.
	Version zltable.Version
}

// Declined is the reply of a VM that does not serve the request: no replica was sent it.
type Declined struct {
	// Reason is why.
	Reason zldecision.Reason
	// Serving names VMs that serve for the one that declined.
	Serving []zlunit.VM
}

// NoReply reports that the other VM gave no usable reply.
type NoReply struct {
	// MayHaveRun is set unless nothing was sent to it.
	MayHaveRun bool
}

func (*Relayed) forwardReply()  {}
func (*Declined) forwardReply() {}
func (*NoReply) forwardReply()  {}

// Forwarder sends forwards to other VMs.
type Forwarder interface {
	// Forward sends c to a VM and returns once there is a reply or ctx is done. It is
	// called concurrently.
	Forward(ctx context.Context, to zlpeerbalancer.Peer, c *ForwardCall) ForwardReply
}

// ForwardInterval is how often a VM shows that it still works on a forward.
const ForwardInterval = 50 * time.Millisecond

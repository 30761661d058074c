// Package zldecision names what a process decided, as one type for each kind of
// decision. A sink writes them down; nothing waits for it.
package zldecision

import (
	"time"

	"zinnialock/core/process/zlunit"
)

// Event is one of the types of this package.
type Event interface {
	event()
}

// Sink takes events. Note must not block.
type Sink interface {
	Note(e Event)
}

// Reason tells why something was decided; each has a counter.
type Reason string

// The reasons of refusals, failures, second sends and early ends.
const (
	ReasonNoTable       Reason = "noTable"
	ReasonNoRoute       Reason = "noRoute"
	ReasonNoReplica     Reason = "noReplica"
	ReasonNoRoom        Reason = "noRoom"
	ReasonTooFewShards  Reason = "tooFewShards"
	ReasonAllRefused    Reason = "allRefused"
	ReasonStopping      Reason = "stopping"
	ReasonDeadline      Reason = "deadline"
	ReasonTimeout       Reason = "routeTimeout"
	ReasonCallerLeft    Reason = "callerLeft"
	ReasonBroken        Reason = "broken"
	ReasonReplicaFailed Reason = "replicaFailed"
	ReasonNoBudget      Reason = "noBudget"
	ReasonAttempts      Reason = "attemptsUsed"
	ReasonOverdue       Reason = "overdue"
	ReasonSharedPause   Reason = "replicaOverdue"
	ReasonRefused       Reason = "replicaRefused"
	ReasonUnreached     Reason = "unreached"
	ReasonObjective     Reason = "objectiveNear"
	ReasonNotReachable  Reason = "partsLost"
	ReasonBadRequest    Reason = "badRequest"
	ReasonTooLarge      Reason = "tooLarge"
	ReasonForeignReply  Reason = "foreignReply"
	ReasonWrongReplica  Reason = "wrongReplica"
	ReasonOutOfService  Reason = "outOfService"
)

// Subject says which request an event is about and what was believed then.
type Subject struct {
	Request zlunit.RequestID
	Route   string
	// Version is that of the table; Age tells how long ago the replicas were
	// last confirmed.
	Version uint64
	Age     time.Duration
	// Waited is the time since the request came in; Left is what remains of
	// the caller's deadline.
	Waited time.Duration
	Left   time.Duration
}

// Answered is a request that was served.
type Answered struct {
	Subject
	// Status is that of the answer.
	Status int
	// Parts and Missing count shards; 0 for requests to one replica.
	Parts   int
	Missing int
	// Sends counts what went to replicas.
	Sends int
	// Late tells that the objective was passed.
	Late bool
	// Upstream served it, where one did.
	Upstream zlunit.Upstream
	// Absent names the services whose parts are missing.
	Absent []zlunit.Service
	// Early tells why parts were not awaited.
	Early Reason
}

// Refused is a request that was turned away without having run.
type Refused struct {
	Subject
	Reason Reason
	// RetryAfter is when the caller was told to come back.
	RetryAfter time.Duration
	// Service is the one that lacked a place, with those who wait there.
	Service zlunit.Service
	Waiting int
}

// Failed is a request that ended without an answer of its own and may have run.
type Failed struct {
	Subject
	Reason Reason
	Status int
	Sends  int
	Parts  int
	// Once tells that the request is not idempotent, so that it could not be
	// sent again.
	Once bool
	// Absent names the services without a part, Upstream the last tried.
	Absent   []zlunit.Service
	Upstream zlunit.Upstream
}

// Sent is a send to a replica beyond the plain first one.
type Sent struct {
	Subject
	Reason  Reason
	Service zlunit.Service
	// From is the replica that was sent to before; To is the next.
	From     zlunit.Upstream
	To       zlunit.Upstream
	InFlight int
	// Budget is how many second sends were left to the service here.
	Budget float64
}

// Held is a second send that was wanted and not made.
type Held struct {
	Subject
	Reason  Reason
	Service zlunit.Service
	From    zlunit.Upstream
	Budget  float64
}

// Dropped is an answer of a replica that belongs to another request. It is not
// passed on; the wait goes on.
type Dropped struct {
	Request  zlunit.RequestID
	Reason   Reason
	Upstream zlunit.Upstream
	Status   int
}

// Belief is a changed belief about a replica, data centre or version.
type Belief struct {
	Topic   string
	Name    string
	What    string
	Service zlunit.Service
	Version uint64
}

// Dependency is a dependency that was lost or regained.
type Dependency struct {
	Name  string
	State string
	Why   string
	// Out is how long it was lost.
	Out time.Duration
}

// Process is a start, stop or reload.
type Process struct {
	What string
	Why  string
}

func (*Answered) event()   {}
func (*Refused) event()    {}
func (*Failed) event()     {}
func (*Sent) event()       {}
func (*Held) event()       {}
func (*Dropped) event()    {}
func (*Belief) event()     {}
func (*Dependency) event() {}
func (*Process) event()    {}

// Package zldecision defines the events that a process of either deployment writes
// to its log: one type for each kind of decision, with its reason, and types for
// changes in what the process knows. A Sink, such as zljournal, receives them; no
// decision depends on them or waits for them. The relay's packages record them
// directly; zinnialock serve derives them from the traces of zltrace, the events of
// zlevent and changes of its own state.
package zldecision

import (
	"time"

	"zinnialock/core/process/zlunit"
)

// Event is one of the types of this package.
type Event interface {
	event()
}

// Sink records events. Record must not block.
type Sink interface {
	Record(e Event)
}

// Reason is why something was decided; each reason has a counter.
type Reason string

// The reasons of refusals, failures, second sends and answers that were not
// waited for.
const (
	ReasonNoTable   Reason = "noTable"
	ReasonNoRoute   Reason = "noRoute"
	ReasonNoReplica Reason = "noReplica"
	// ReasonNoKey: the route needs a key and the caller sent none, or several.
	ReasonNoKey Reason = "noKey"
	// ReasonUnknownKey: the caller's key belongs to no organisation.
	ReasonUnknownKey Reason = "unknownKey"
	// ReasonKeysUnconfirmed: the keys were not confirmed for too long, so that this VM
	// cannot know whether the caller's key is still valid.
	ReasonKeysUnconfirmed Reason = "keysUnconfirmed"
	// ReasonNoRoom: all replicas that may serve are at their limit for this VM.
	ReasonNoRoom Reason = "noRoom"
	// ReasonOverShare: the organisation is over its fair share, and others that wait take the
	// places which become free in time.
	ReasonOverShare Reason = "overShare"
	// ReasonBackoff: all replicas that may serve asked for no requests for a time.
	ReasonBackoff Reason = "backoff"
	// ReasonRateLimited: all replicas that may serve limit their request rate, and this
	// VM's share of it comes too late.
	ReasonRateLimited Reason = "rateLimited"
	// ReasonOrganisationLimit: the organisation's limit is used up.
	ReasonOrganisationLimit Reason = "organisationLimit"
	// ReasonNoKeeper: the organisation has a limit, and this VM has neither a VM count nor
	// reaches a VM that has one.
	ReasonNoKeeper Reason = "noKeeper"
	// ReasonTooFewShards: fewer parts can be had than the route needs, and
	// nothing has run.
	ReasonTooFewShards     Reason = "tooFewShards"
	ReasonAllRefused       Reason = "allRefused"
	ReasonStopping         Reason = "stopping"
	ReasonDeadline         Reason = "deadline"
	ReasonTimeout          Reason = "routeTimeout"
	ReasonCallerLeft       Reason = "callerLeft"
	ReasonConnectionBroken Reason = "broken"
	ReasonReplicaFailed    Reason = "replicaFailed"
	ReasonNoBudget         Reason = "noBudget"
	// ReasonAttemptsUsed: the attempts that the route allows are used up.
	ReasonAttemptsUsed Reason = "attemptsUsed"
	ReasonOverdue      Reason = "overdue"
	// ReasonReplicaOverdue: another request at the same replica is overdue.
	ReasonReplicaOverdue Reason = "replicaOverdue"
	ReasonRefused        Reason = "replicaRefused"
	// ReasonUnreached: nothing could be sent to the replica.
	ReasonUnreached Reason = "unreached"
	// ReasonObjectiveNear: the latency objective is near, and the parts at hand
	// suffice.
	ReasonObjectiveNear Reason = "objectiveNear"
	// ReasonPartsLost: fewer parts can be had than the route needs, and
	// something may have run.
	ReasonPartsLost  Reason = "partsLost"
	ReasonBadRequest Reason = "badRequest"
	ReasonTooLarge   Reason = "tooLarge"
	// ReasonReplyTooLarge: a replica sent more bytes than an answer may have, or than
	// this process has room for.
	ReasonReplyTooLarge Reason = "replyTooLarge"
	// ReasonForeignReply: the answer belongs to another request.
	ReasonForeignReply Reason = "foreignReply"
	// ReasonWrongReplica: another replica answered at the address.
	ReasonWrongReplica Reason = "wrongReplica"
	ReasonOutOfService Reason = "outOfService"
	// ReasonQuarantined: the request crashed replicas and is not sent any more.
	ReasonQuarantined Reason = "quarantined"
	// ReasonUplinkLost: this VM reaches no replica.
	ReasonUplinkLost Reason = "uplinkLost"
	// ReasonBusy: a VM has no processor time left for the requests of others.
	ReasonBusy Reason = "busy"
	// ReasonOldTable: a VM holds an older table than a request of another VM asks for.
	ReasonOldTable Reason = "oldTable"
	// ReasonSilent: a VM showed no sign of life while it had a request of another one.
	ReasonSilent Reason = "silent"
	// ReasonPeerUnreached: a VM could not be reached, or its connection broke.
	ReasonPeerUnreached Reason = "peerUnreached"
	// ReasonPeerWithout: the VM that served the request had no answer for the part.
	ReasonPeerWithout Reason = "peerWithout"
)

// Subject is the request that an event is about, with what the process knew at
// that time.
type Subject struct {
	Request zlunit.RequestID
	// Route names the route that the request matched.
	Route string
	// Version is that of the routing table; Age is the time since the replicas
	// were last confirmed.
	Version uint64
	Age     time.Duration
	// Waited is the time since the request arrived; Left is what remains until
	// the caller's deadline.
	Waited time.Duration
	Left   time.Duration
	// Origin is the VM that forwarded the request to this one; empty if it came from a
	// caller.
	Origin zlunit.VM
}

// Answered is the event of a request that was answered.
type Answered struct {
	Subject
	// Status is the HTTP status of the answer.
	Status int
	// Parts and Missing count shards; both are 0 for requests to one replica.
	Parts   int
	Missing int
	// Sends counts the requests sent to replicas.
	Sends int
	// Late: the answer came after the latency objective.
	Late bool
	// Upstream is the replica that answered; empty if there is no single one.
	Upstream zlunit.Upstream
	// Absent lists the services whose parts are missing.
	Absent []zlunit.Service
	// Early is why the answer did not wait for all parts; empty if it did.
	Early Reason
	// Via is the VM that served parts of it, or all; empty if this one did.
	Via zlunit.VM
}

// Refused is the event of a request that was refused without having run.
type Refused struct {
	Subject
	Reason Reason
	// RetryAfter is the time after which the caller is advised to retry.
	RetryAfter time.Duration
	// Service is the one without a free place; Waiting is how many requests
	// wait there.
	Service zlunit.Service
	Waiting int
	// Organisation is that of a request refused with ReasonOverShare.
	Organisation zlunit.Organisation
}

// Failed is the event of a request that failed, timed out or whose caller
// disconnected. The request may have run.
type Failed struct {
	Subject
	Reason Reason
	Status int
	Sends  int
	Parts  int
	// NotIdempotent is true if the request is not idempotent, so that a send that may
	// have run is not repeated.
	NotIdempotent bool
	// Absent lists the services without a part; Upstream is the replica tried
	// last.
	Absent   []zlunit.Service
	Upstream zlunit.Upstream
	// Fingerprint is that of a request whose connection to a replica broke; 0 otherwise.
	Fingerprint zlunit.Fingerprint
}

// Sent is the event of a request to a replica beyond the plain first send.
type Sent struct {
	Subject
	Reason  Reason
	Service zlunit.Service
	// From is the replica of the previous send; To is that of this one.
	From     zlunit.Upstream
	To       zlunit.Upstream
	InFlight int
	// Budget is how many second sends the service had left on this VM.
	Budget float64
}

// Held is the event of a second send that was due but not made.
type Held struct {
	Subject
	Reason  Reason
	Service zlunit.Service
	From    zlunit.Upstream
	Budget  float64
}

// Forwarded is the event of a request, or parts of one, that were forwarded to another VM.
type Forwarded struct {
	Subject
	Reason Reason
	To     zlunit.VM
	// Parts counts the parts that were forwarded.
	Parts int
}

// Declined is the event of a forward that the other VM did not serve.
type Declined struct {
	Subject
	Reason Reason
	VM     zlunit.VM
}

// Dropped is the event of an answer that a replica sent but that belongs to
// another request. The answer is discarded and the process keeps waiting for
// the right one.
type Dropped struct {
	Request  zlunit.RequestID
	Reason   Reason
	Upstream zlunit.Upstream
	Status   int
}

// Belief is the event of a change in what the process knows about a replica,
// data centre or version.
type Belief struct {
	Topic   string
	Name    string
	What    string
	Service zlunit.Service
	Version uint64
	// RateLimit is what a replica takes from all VMs together, in requests a second.
	RateLimit float64
	// Share is the share of the service's requests that leaves the data centre.
	Share float64
}

// Organisations is the event of a change of the keys that callers may use. It holds counts
// only: keys and their digests are in no line.
type Organisations struct {
	// Version is that of the table with the keys.
	Version uint64
	// Organisations and Keys count those of the table; Unusable counts the organisations
	// without a key that can be used, and Shared the entries of keys that several list.
	Organisations int
	Keys          int
	Unusable      int
	Shared        int
	// Added and Removed count the keys that the table before did not have, or had.
	Added   int
	Removed int
}

// Dependency is the event of a dependency that was lost or regained.
type Dependency struct {
	Name  string
	State string
	Why   string
	// Out is how long the dependency was lost.
	Out time.Duration
}

// Process is the event of a start, stop or reload of this process.
type Process struct {
	What string
	Why  string
}

func (*Answered) event()      {}
func (*Refused) event()       {}
func (*Failed) event()        {}
func (*Sent) event()          {}
func (*Held) event()          {}
func (*Forwarded) event()     {}
func (*Declined) event()      {}
func (*Dropped) event()       {}
func (*Belief) event()        {}
func (*Organisations) event() {}
func (*Dependency) event()    {}
func (*Process) event()       {}

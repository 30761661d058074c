// Package zlrelay runs one request of a caller against replicas: on one replica
// of a service, or on one of each shard with a merged answer. It decides where
// the request goes, when it is sent a second time, when a wait ends and what a
// caller is told who is turned away. It does no input or output itself.
package zlrelay

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlplace"
	"zinnialock/core/process/zlquantile"
	"zinnialock/core/process/zlspend"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zltable"
)

// Message is the caller's request as it is passed on, unchanged.
type Message struct {
	Method string
	// Target is the request target as the caller wrote it.
	Target string
	Path   string
	Host   string
	// Header holds the end-to-end headers.
	Header http.Header
	Body   []byte
}

// Request is one attempt of a caller.
type Request struct {
	ID       zlunit.RequestID
	Message  *Message
	Received time.Time
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
	// OnTheWay is what the caller's wait has besides the time here: the ways
	// to and back, and the making of a connection.
	OnTheWay time.Duration
}

// Call is one send to a replica.
type Call struct {
	Request *Request
	// Deadline is when the replica is to stop.
	Deadline time.Time
	// Start is called right before the first byte goes out; false means that
	// it must not.
	Start func() bool
	// Brief tells that the connection is not to be kept for long: not all VMs
	// can keep one to the replica.
	Brief bool
}

// Reply is one of *Whole, *NotRun and *Broken.
type Reply interface {
	reply()
}

// Whole is a complete answer of the replica to this very request.
type Whole struct {
	Status int
	Header http.Header
	Body   []byte
	// Proof is the replica's signature of the answer.
	Proof string
}

// NotRun tells that the replica provably did not begin.
type NotRun struct {
	Reason zldecision.Reason
	// Arrived tells that the request reached the replica, which refused it.
	Arrived bool
	Hint    time.Duration
}

// Broken tells that the request was sent and no usable answer came; it may have
// run.
type Broken struct {
	Reason zldecision.Reason
}

func (*Whole) reply()  {}
func (*NotRun) reply() {}
func (*Broken) reply() {}

// Sender sends a call to a replica and returns when it is over or ctx ends.
type Sender interface {
	Send(ctx context.Context, e *zlregistry.Entry, c *Call) Reply
}

// Answer is one of *Served, *Merged, *Refused and *Failed.
type Answer interface {
	answer()
}

// Served is the answer of one replica.
type Served struct {
	Whole *Whole
}

// Merged is the answer of several shards.
type Merged struct {
	// Records are the greatest of the parts, falling.
	Records []byte
	// Proofs are those of the parts that are in.
	Proofs []string
	// Missing is how many shards are not in.
	Missing int
}

// Refused tells that the request did not run and will not.
type Refused struct {
	Reason     zldecision.Reason
	RetryAfter time.Duration
}

// Failed tells that the request ended without an answer; it may have run.
type Failed struct {
	Reason zldecision.Reason
	// TimedOut tells that the time was up.
	TimedOut bool
	// Hint is when another attempt may do better.
	Hint time.Duration
}

func (*Served) answer()  {}
func (*Merged) answer()  {}
func (*Refused) answer() {}
func (*Failed) answer()  {}

// Settings are the deployment's bounds on second sends.
type Settings struct {
	// BudgetShare, BudgetSlack and BudgetWindow bound second sends to a
	// service by all VMs together.
	BudgetShare  float64
	BudgetSlack  float64
	BudgetWindow time.Duration
	// Cores is how much of a processor this VM has; 0 means one or more.
	Cores float64
}

// Relay serves requests. All exported fields must be set before use; Sink may be
// nil.
type Relay struct {
	Timer    *zltimer.Service
	Book     *zlregistry.Book
	Placer   *zlplace.Placer
	Sender   Sender
	Sink     zldecision.Sink
	Settings Settings
	// Start is when this process began.
	Start time.Time
	// Since is from when this VM may use its part of the slack of second sends;
	// zero means not yet.
	Since time.Time
	// Again tells that this VM had another life before Since.
	Again bool
	// Random returns a number from 0 to below 1; nil means math/rand/v2.
	Random func() float64

	mu       sync.Mutex
	windows  map[zlunit.Service]*zlspend.Window
	profiles map[profileKey]*zlquantile.Tracker
	splits   map[zltable.RouteName]*split
	usual    map[profileKey]time.Duration
	running  atomic.Int64
	sends    sync.WaitGroup
}

// Running is how many requests are being served.
func (r *Relay) Running() int {
	return int(r.running.Load())
}

// BudgetLeft is the least that any service has left for second sends here.
func (r *Relay) BudgetLeft() float64 {
	r.mu.Lock()
	windows := slices.Collect(maps.Values(r.windows))
	r.mu.Unlock()
	now := r.Timer.Now()
	least := 0.0
	for i, w := range windows {
		if left := w.Left(now); i == 0 || left < least {
			least = left
		}
	}
	return least
}

// Wait returns when no send is under way.
func (r *Relay) Wait() {
	r.sends.Wait()
}

// Serve runs one request to its end. It returns nil when the caller left.
func (r *Relay) Serve(ctx context.Context, req *Request) Answer {
	r.running.Add(1)
	defer r.running.Add(-1)
	view := r.Book.Current()
	if !view.Ready() {
		if !r.awaitTable(ctx, req) {
			r.note(&zldecision.Failed{
				Subject: r.subject(view, req, nil),
				Reason:  zldecision.ReasonCallerLeft,
			})
			return nil
		}
		if view = r.Book.Current(); !view.Ready() {
			return r.refuse(view, req, nil, zldecision.ReasonNoTable, "")
		}
	}
	route, ok := view.Table.Match(req.Message.Host, req.Message.Path)
	if !ok {
		r.note(&zldecision.Refused{
			Subject: r.subject(view, req, nil),
			Reason:  zldecision.ReasonNoRoute,
		})
		return &Refused{
			Reason: zldecision.ReasonNoRoute,
		}
	}
	return r.start(ctx, view, route, req).serve()
}

func (r *Relay) note(e zldecision.Event) {
	if r.Sink != nil {
		r.Sink.Note(e)
	}
}

func (r *Relay) subject(v *zlregistry.View, req *Request, route *zltable.Route) zldecision.Subject {
	now := r.Timer.Now()
	s := zldecision.Subject{
		Request: req.ID,
		Waited:  now.Sub(req.Received),
	}
	if route != nil {
		s.Route = string(route.Name)
	}
	if v.Table != nil {
		s.Version = uint64(v.Table.Version)
		s.Age = now.Sub(v.ReplicasAt)
	}
	if !req.Deadline.IsZero() {
		s.Left = req.Deadline.Sub(now)
	}
	return s
}

// window returns the counts of second sends to a service.
func (r *Relay) window(s zlunit.Service) *zlspend.Window {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, ok := r.windows[s]
	if !ok {
		if r.windows == nil {
			r.windows = map[zlunit.Service]*zlspend.Window{}
		}
		w = &zlspend.Window{
			Length: r.Settings.BudgetWindow,
			Share:  r.Settings.BudgetShare * budgetUse,
			Slack:  r.Settings.BudgetSlack * budgetUse / float64(r.Placer.VMs()),
			Since:  r.Since,
			Again:  r.Again,
		}
		r.windows[s] = w
	}
	return w
}

// Resize tells that the number of VMs changed, which divides the slack, or since
// when this VM has its part of it, and whether it had another life before.
func (r *Relay) Resize(since time.Time, again bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Since = since
	r.Again = again
	for _, w := range r.windows {
		w.SetSlack(r.Settings.BudgetSlack*budgetUse/float64(r.Placer.VMs()), since, again)
	}
}

// profileKey names requests that take about the same time.
type profileKey struct {
	objective time.Duration
	priority  int
	top       int
}

func keyOf(route *zltable.Route) profileKey {
	return profileKey{
		objective: route.Objective,
		priority:  route.Priority,
		top:       route.Top,
	}
}

// profile returns the recent times of answers of replicas to such requests.
func (r *Relay) profile(route *zltable.Route) *zlquantile.Tracker {
	key := keyOf(route)
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.profiles[key]
	if !ok {
		if r.profiles == nil {
			r.profiles = map[profileKey]*zlquantile.Tracker{}
		}
		t = &zlquantile.Tracker{}
		r.profiles[key] = t
	}
	return t
}

// Package zlrelay serves one request of a caller in the relay; its counterpart in
// zinnialock serve is zlcoordinator. It forwards the request to one replica of a
// service, or scatters it to one replica of each shard and merges the replies. It
// decides on placement, retries, hedges, timeouts and refusals; a request and a view
// of the replicas go in, and an Answer comes out. It does no I/O: a Sender talks to
// the replicas (see zlexchange), and the HTTP server is zlserver.
package zlrelay

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"zinnialock/core/process/zlbalancer"
	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlquantile"
	"zinnialock/core/process/zlquarantine"
	"zinnialock/core/process/zlsendbudget"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zltable"
)

// Message is the caller's HTTP request, which is forwarded unchanged.
type Message struct {
	// Method is the HTTP method.
	Method string
	// Target is the request target as the caller wrote it.
	Target string
	// Path is the path of Target, which selects the route.
	Path string
	// Host is the requested host, which selects the route.
	Host string
	// Header holds the end-to-end headers.
	Header http.Header
	// Body is the complete request body.
	Body []byte
}

// Request is one attempt of a caller.
type Request struct {
	// ID identifies the request in events and traces.
	ID zlunit.RequestID
	// Message is the HTTP request to forward.
	Message *Message
	// Received is when the request arrived at this VM.
	Received time.Time
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
	// Transit is the part of the caller's wait that is spent outside this
	// process: network transit in both directions and connection setup.
	Transit time.Duration

	mu    sync.Mutex
	ended bool
	atEnd []func()
}

// AtEnd calls release once the request has ended and its answer was written, at once if
// it has ended already.
func (r *Request) AtEnd(release func()) {
	r.mu.Lock()
	if !r.ended {
		r.atEnd = append(r.atEnd, release)
		r.mu.Unlock()
		return
	}
	r.mu.Unlock()
	release()
}

// End ends the request. It must be called once its answer was written.
func (r *Request) End() {
	r.mu.Lock()
	r.ended = true
	list := r.atEnd
	r.atEnd = nil
	r.mu.Unlock()
	for _, release := range list {
		release()
	}
}

// Call is one send of a request to a replica.
type Call struct {
	// Request is the caller's request.
	Request *Request
	// Deadline is when the replica must stop working on the request.
	Deadline time.Time
	// Start must be called right before the first byte is sent; if it returns
	// false, nothing may be sent.
	Start func() bool
	// ShortIdle asks the sender to keep the idle connection only for a short time:
	// the replica is in another data centre and accepts too few connections for
	// every VM to keep one.
	ShortIdle bool
}

// Reply is the result of a Call: one of *Response, *NotRun and *Unknown.
type Reply interface {
	reply()
}

// Notice is what a replica says of itself in any of its answers.
type Notice struct {
	// Leaving is set if the replica is leaving.
	Leaving bool
	// Backoff is how long the replica wants no requests from this VM; 0 if it did not
	// say so.
	Backoff time.Duration
	// RateLimited is set if the replica limits its requests, and RateLimit is how many
	// a second it takes from all VMs together.
	RateLimited bool
	RateLimit   float64
}

// Response is a complete response of the replica to this request.
type Response struct {
	Notice
	// Status is the HTTP status code.
	Status int
	// Header holds the end-to-end headers.
	Header http.Header
	// Body is the complete response body.
	Body []byte
	// Signature is the replica's signature of the response.
	Signature string
}

// NotRun reports that the replica provably did not start the request.
type NotRun struct {
	Notice
	// Reason is why the request was not run.
	Reason zldecision.Reason
	// Arrived is set if the request reached the replica, which refused it.
	Arrived bool
	// RetryAfter is how long the replica asked not to be sent more; 0 means that it
	// did not ask.
	RetryAfter time.Duration
}

// Unknown reports that the request was sent and no usable response came back; it
// may have run.
type Unknown struct {
	Notice
	// Reason is why there is no usable response.
	Reason zldecision.Reason
	// ReplicaEnded is set if the replica ended the connection before any byte of an
	// answer, as it does when it crashes.
	ReplicaEnded bool
}

func (*Response) reply() {}
func (*NotRun) reply()   {}
func (*Unknown) reply()  {}

// Sender sends calls to replicas.
type Sender interface {
	// Send sends c to the replica e and returns once there is a reply or ctx is
	// done. It is called concurrently.
	Send(ctx context.Context, e *zlregistry.Entry, c *Call) Reply
}

// Answer is the result of a request: one of *Served, *Merged, *Refused and
// *Failed.
type Answer interface {
	answer()
}

// Served is the answer to a request that one replica served.
type Served struct {
	// Response is the replica's response, which may be an error response.
	Response *Response
}

// Merged is the answer to a scattered request.
type Merged struct {
	// Records holds the greatest records of all parts in descending order.
	Records []byte
	// Signatures holds the signatures of the merged parts.
	Signatures []string
	// Missing is the number of shards without a part.
	Missing int
}

// Refused reports that the request did not run and will not run.
type Refused struct {
	// Reason is why the request was refused.
	Reason zldecision.Reason
	// RetryAfter is how long the caller should wait before it retries; 0 means
	// no advice.
	RetryAfter time.Duration
}

// Failed reports that the request ended without an answer; it may have run.
type Failed struct {
	// Reason is why there is no answer.
	Reason zldecision.Reason
	// TimedOut is set if the request reached its deadline.
	TimedOut bool
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
}

func (*Served) answer()  {}
func (*Merged) answer()  {}
func (*Refused) answer() {}
func (*Failed) answer()  {}

// Settings holds the deployment's limits on second sends (hedges and retries)
// and the size of this VM.
type Settings struct {
	// BudgetShare is the number of second sends that all VMs together may send
	// to a service for each of its requests.
	BudgetShare float64
	// BudgetBurst is the burst allowance: the number of second sends that all
	// VMs together may send to a service in a window besides that share.
	BudgetBurst float64
	// BudgetWindow is the length of the sliding window over which the limit
	// holds.
	BudgetWindow time.Duration
	// Cores is the number of processor cores of this VM, which may be a
	// fraction; 0 means one or more.
	Cores float64
}

// Relay serves requests; its methods may be called concurrently. The exported
// fields must be set before use, except for those that have a default.
type Relay struct {
	// Timer is the source of the time and of timers.
	Timer *zltimer.Service
	// Registry holds the current routes and replicas.
	Registry *zlregistry.Registry
	// Placer selects the replica for each send.
	Placer *zlbalancer.Placer
	// Sender sends requests to replicas.
	Sender Sender
	// Sink receives an event for each decision; nil drops the events.
	Sink zldecision.Sink
	// Quarantine recognises requests that crash replicas; nil sends them like others.
	Quarantine *zlquarantine.Ledger
	// Settings holds the limits of the deployment.
	Settings Settings
	// Start is when this process started.
	Start time.Time
	// BudgetSince is when this VM began to use its share of the burst allowance for
	// second sends; zero means that it has no share yet.
	BudgetSince time.Time
	// Restarted is set if an earlier incarnation of this VM may have used its budget
	// of second sends shortly before BudgetSince.
	Restarted bool
	// Random returns a number in [0, 1); nil means math/rand/v2.
	Random func() float64

	mu            sync.Mutex
	windows       map[zlunit.Service]*zlsendbudget.Window
	profiles      map[profileKey]*zlquantile.Tracker
	targetPickers map[zltable.RouteName]*weightedPicker
	usualWaits    map[profileKey]time.Duration
	running       atomic.Int64
	sends         sync.WaitGroup
}

// Running returns the number of requests that are being served.
func (r *Relay) Running() int {
	return int(r.running.Load())
}

// BudgetLeft returns the number of second sends that this VM may still send to
// the service with the smallest remaining budget; it is 0 before the first
// request.
func (r *Relay) BudgetLeft() float64 {
	r.mu.Lock()
	windows := slices.Collect(maps.Values(r.windows))
	r.mu.Unlock()
	now := r.Timer.Now()
	smallest := 0.0
	for i, w := range windows {
		if left := w.Left(now); i == 0 || left < smallest {
			smallest = left
		}
	}
	return smallest
}

// Wait blocks until no send is under way.
func (r *Relay) Wait() {
	r.sends.Wait()
}

// Serve serves one request and returns its answer. It returns nil if ctx ends
// first, which means that the caller disconnected.
func (r *Relay) Serve(ctx context.Context, req *Request) Answer {
	r.running.Add(1)
	defer r.running.Add(-1)
	view := r.Registry.Current()
	if !view.Ready() {
		if !r.awaitTable(ctx, req) {
			r.note(&zldecision.Failed{
				Subject: r.subject(view, req, nil),
				Reason:  zldecision.ReasonCallerLeft,
			})
			return nil
		}
		if view = r.Registry.Current(); !view.Ready() {
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
		r.Sink.Record(e)
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

// window returns the sliding window that limits second sends to service s.
func (r *Relay) window(s zlunit.Service) *zlsendbudget.Window {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, ok := r.windows[s]
	if !ok {
		if r.windows == nil {
			r.windows = map[zlunit.Service]*zlsendbudget.Window{}
		}
		w = &zlsendbudget.Window{
			Length:     r.Settings.BudgetWindow,
			Share:      r.Settings.BudgetShare * budgetUseShare,
			Burst:      r.burstShare(),
			BurstSince: r.BudgetSince,
			Restarted:  r.Restarted,
		}
		r.windows[s] = w
	}
	return w
}

// burstShare returns this VM's share of the burst allowance, which is none while the VM
// count is not known.
func (r *Relay) burstShare() float64 {
	n := r.Placer.VMCount()
	if n == 0 {
		return 0
	}
	return r.Settings.BudgetBurst * budgetUseShare / float64(n)
}

// SetBudgetShare recomputes this VM's share of the burst allowance after a change
// of the VM count, and sets BudgetSince and Restarted.
func (r *Relay) SetBudgetShare(since time.Time, restarted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.BudgetSince = since
	r.Restarted = restarted
	for _, w := range r.windows {
		w.SetBurst(r.burstShare(), since, restarted)
	}
}

// profileKey groups routes whose requests take about the same time.
type profileKey struct {
	objective time.Duration
	priority  int
	top       int
}

func keyOf(route *zltable.Route) profileKey {
	return profileKey{
		objective: route.Objective,
		priority:  route.Priority,
		top:       route.MaxRecords,
	}
}

// profile returns the recent response times of replicas for requests like those
// of route.
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

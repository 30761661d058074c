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
	"zinnialock/core/process/zlfairshare"
	"zinnialock/core/process/zlpeerbalancer"
	"zinnialock/core/process/zlquantile"
	"zinnialock/core/process/zlquarantine"
	"zinnialock/core/process/zlsendbudget"
	"zinnialock/core/process/zlsharedrate"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/process/zluplink"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zlrollout"
	"zinnialock/core/version/zltable"
)

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
	// FailClosed makes this VM refuse callers that need a key once its table was not
	// confirmed for RevokeTimeout. Otherwise it goes on with the keys that it knows.
	FailClosed    bool
	RevokeTimeout time.Duration
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
	// Uplink tracks whether this VM has lost its paths to the replicas; nil if that is
	// not tracked.
	Uplink *zluplink.Tracker
	// VM is this VM. Forwarder sends requests to the other VMs, of which Peers knows, while
	// this one does not reach the replicas; with a nil Forwarder none is sent.
	VM        zlunit.VM
	Peers     *zlpeerbalancer.Balancer
	Forwarder Forwarder
	// Connector opens the connections by which Probe finds out that this VM reaches
	// replicas again.
	Connector Connector
	// SetOrganisation removes the caller's key from the headers of a request and replaces
	// the organisation that they name; an empty one is removed. It is called for requests
	// that are served by a table with organisations, before they are sent anywhere. Nil if
	// headers hold neither.
	SetOrganisation func(h http.Header, o zlunit.Organisation)
	// TableConfirmedAt returns the latest time as of which the newest table is known, as the
	// store or peers confirmed it; nil if that is not tracked beyond the view.
	TableConfirmedAt func() time.Time
	// OnOutcome is called with the outcome of each send to a service whose requests are
	// divided between two versions (see zlrollout.Controller.Record), after its reply was
	// delivered; sends call it concurrently. May be nil.
	OnOutcome func(s zlunit.Service, route zltable.RouteName, b zlunit.Build, o zlrollout.Outcome, took time.Duration)
	// OrdersKnown is closed once the orders of roll-outs are known: before that, requests could
	// go to a version that is only to get a small share. Nil if there are none.
	OrdersKnown <-chan struct{}
	// Limiter applies the limits of organisations; nil applies none.
	Limiter *zlsharedrate.Limiter
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
	helpPauses    map[zlunit.Service]helpPause
	shares        zlfairshare.Ledger
	runs          map[*run]struct{}
	running       atomic.Int64
	// ended is set once this process has no more time for requests.
	ended  atomic.Bool
	sends  sync.WaitGroup
	intake intake
	// newestForwardVersion is the newest table version by which another VM served for
	// this one.
	newestForwardVersion atomic.Uint64
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

// OrganisationsOverShare returns how many organisations are over their fair share of what this
// VM sends.
func (r *Relay) OrganisationsOverShare() int {
	return r.shares.OverShare(r.Timer.Now())
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
	if r.isStarting(view) {
		if !r.awaitStart(ctx, req) {
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
	organisation, reason := r.checkKey(view, route, req)
	if reason != "" {
		return r.refuseKey(view, req, route, reason)
	}
	return r.limited(ctx, view, route, req, organisation, func() Answer {
		x := r.start(ctx, view, route, req)
		x.setOrganisation(organisation)
		return x.serve()
	})
}

// Refuse refuses a request that nothing was done for.
func (r *Relay) Refuse(req *Request, reason zldecision.Reason) Answer {
	return r.refuse(r.Registry.Current(), req, nil, reason, "")
}

// EndAll ends the requests that are being served as at their deadline, since this process
// stops: those that did not run are refused, the others fail or get the parts that came.
func (r *Relay) EndAll() {
	r.ended.Store(true)
	r.WakeAll()
}

func (r *Relay) note(e zldecision.Event) {
	if r.Sink != nil {
		r.Sink.Record(e)
	}
}

func (r *Relay) subject(v *zlregistry.View, req *Request, route *zltable.Route) zldecision.Subject {
	return r.subjectOf(v, req, route, "")
}

// subjectOf returns the subject of a request; origin is the VM that forwarded it, if any.
func (r *Relay) subjectOf(v *zlregistry.View, req *Request, route *zltable.Route, origin zlunit.VM) zldecision.Subject {
	now := r.Timer.Now()
	s := zldecision.Subject{
		Request: req.ID,
		Waited:  now.Sub(req.Received),
		Origin:  origin,
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

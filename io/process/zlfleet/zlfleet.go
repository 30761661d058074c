// Package zlfleet runs the membership of one daemon in its data centre. It adds the
// daemon to the roster and removes it, extends its lease by heartbeats to its
// guarantors, removes failed members, and grants shares of the upstreams to
// zlexecutor. The decisions are made by zllease and zlfailuredetector; transport
// and storage are behind the interfaces Peers and Store.
package zlfleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"zinnialock/core/process/zlevent"
	"zinnialock/core/process/zlfailuredetector"
	"zinnialock/core/process/zllease"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlroster"
	"zinnialock/core/version/zlview"

	"github.com/phuslu/log"
)

const (
	// idleTickPeriod is the period of the loop. It is busyTickPeriod while
	// release queries are due, so that upstreams become usable sooner.
	idleTickPeriod = 250 * time.Millisecond
	busyTickPeriod = 50 * time.Millisecond
	// heartbeatPeriod is the time between heartbeats to one guarantor.
	heartbeatPeriod = time.Second
	// releaseQueryPeriod is the time between release queries to one daemon.
	releaseQueryPeriod = 100 * time.Millisecond
	// heartbeatTimeout bounds one heartbeat or release query.
	heartbeatTimeout = time.Second
	// confirmPeriod is the minimum time between two reads of the roster that
	// confirm the lease.
	confirmPeriod = time.Second
	// vmListPeriod is the minimum time between two reads of the list of VMs.
	vmListPeriod = 10 * time.Second
	// writePeriod is the minimum time between two writes for the same purpose.
	writePeriod = time.Second
	// maxJoinBackoff bounds the backoff between two attempts to join.
	maxJoinBackoff = 30 * time.Second
	// editTimeout bounds one edit of the roster with all its retries.
	editTimeout = 20 * time.Second
	// jitter is the maximum random extension of a period, as a share of it.
	jitter = 0.2
)

// Store accesses the roster of the home data centre and the list of VMs on the
// platform. It may be used concurrently.
type Store interface {
	// Roster reads the roster.
	Roster(ctx context.Context) (zlroster.Roster, error)
	// Edit reads the roster, applies edit and writes the result unless another
	// write came in between, in which case it starts again. It returns the roster
	// that holds afterwards.
	Edit(ctx context.Context, edit func(zlroster.Roster) zlroster.Roster) (zlroster.Roster, error)
	// VMs reads the list of VMs.
	VMs(ctx context.Context) (map[zlunit.VM]bool, error)
}

// Peers sends heartbeats to other daemons. It may be used concurrently.
type Peers interface {
	// Heartbeat sends b to the daemon at addr and returns its reply.
	Heartbeat(ctx context.Context, addr string, b *zllease.Heartbeat) (*zllease.HeartbeatReply, error)
	// ConnectionRefused reports whether the kernel at addr states that no process
	// listens there. It returns false if there is no reply.
	ConnectionRefused(ctx context.Context, addr string) bool
}

// Fleet is the membership of one daemon. The exported fields must be set before
// Init, and Init must be called before any other method. The other methods may be
// called concurrently.
type Fleet struct {
	// Self is this daemon as a member.
	Self zlroster.Member
	// Home is the data centre of this daemon.
	Home zlunit.DataCentre
	// Timer is the clock.
	Timer *zltimer.Service
	// Views has the rosters and the upstreams.
	Views *zlview.CurrentView
	// Store accesses the platform.
	Store Store
	// Peers sends heartbeats.
	Peers Peers
	// Events receives changes of the membership and of the upstreams held.
	Events *zlevent.Ring
	// Log receives warnings.
	Log *log.Logger
	// Drained closes idle connections to an upstream and reports whether this
	// daemon has no request or connection left there.
	Drained func(zlunit.Upstream) bool
	// Count increments the counter named what, one of the constants below, for
	// reason.
	Count func(what, reason string)

	leases     *zllease.Leases
	detector   *zlfailuredetector.Detector
	goroutines sync.WaitGroup
	leaving    atomic.Bool
	isMember   atomic.Bool

	// mu guards the fields below.
	mu sync.Mutex
	// roster is the newest known roster of the home data centre.
	roster zlroster.Roster
	// view is the last view that was processed.
	view *zlview.View
	// shareReasons has the last recorded reason of the share of each upstream.
	shareReasons map[zlunit.Upstream]zllease.Reason
	// nextRun has the earliest time of the next run of each task; see due.
	nextRun map[string]time.Time
	// running has the names of the goroutines that spawn has started.
	running map[string]bool
	// joinBackoff is the current backoff between attempts to join.
	joinBackoff time.Duration
	// joined is set once this daemon has joined, so that the next time is a rejoin.
	joined bool
}

// The counters that are incremented by Fleet.Count.
const (
	// CountRefusal counts sub-requests that were refused for lack of a lease.
	CountRefusal = "tenureRefusal"
	// CountHeartbeatFailure counts heartbeats and release queries without a reply.
	CountHeartbeatFailure = "beatFailed"
	// CountRosterWrite counts failed writes of the roster, and members removed by
	// how they left.
	CountRosterWrite = "rosterWrite"
)

// Init prepares f for the other methods. It must be called once, before them.
func (f *Fleet) Init() {
	f.leases = &zllease.Leases{
		Self:        f.Self.Key(),
		Lease:       zllease.DefaultLease,
		ClockError:  zllease.DefaultClockError,
		Unconfirmed: zllease.DefaultUnconfirmed,
	}
	f.detector = &zlfailuredetector.Detector{
		Self: f.Self.Key(),
	}
	f.nextRun = map[string]time.Time{}
	f.running = map[string]bool{}
	f.shareReasons = map[zlunit.Upstream]zllease.Reason{}
}

// Run maintains the membership until ctx ends, then waits for its goroutines.
func (f *Fleet) Run(ctx context.Context) {
	defer f.goroutines.Wait()
	for {
		f.tick(ctx)
		pause := idleTickPeriod
		if len(f.leases.ReleaseQueries(f.Timer.Now())) > 0 {
			pause = busyTickPeriod
		}
		pause += time.Duration(rand.Float64() * jitter * float64(pause))
		if !f.Timer.Sleep(ctx.Done(), pause) {
			return
		}
	}
}

// tick runs all periodic tasks that are due.
func (f *Fleet) tick(ctx context.Context) {
	now := f.Timer.Now()
	f.detector.Tick(now)
	f.updateView(now)
	f.leases.Tick(now)
	f.sendHeartbeats(ctx, now)
	f.sendReleaseQueries(ctx, now)
	f.checkSuspects(ctx, now)
	f.confirmLease(ctx, now)
	f.join(ctx, now)
	f.repeatLeaving(ctx, now)
	f.removeDepartures(ctx, now)
	f.recordShares(now)
}

// due reports whether period, extended by jitter, has passed since it last returned
// true for what.
func (f *Fleet) due(what string, period time.Duration, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Before(f.nextRun[what]) {
		return false
	}
	f.nextRun[what] = now.Add(period + time.Duration(rand.Float64()*jitter*float64(period)))
	return true
}

// spawn runs do in a goroutine of its own, unless one of the same name is running.
func (f *Fleet) spawn(name string, do func()) {
	f.mu.Lock()
	if f.running[name] {
		f.mu.Unlock()
		return
	}
	f.running[name] = true
	f.mu.Unlock()
	f.goroutines.Go(func() {
		defer func() {
			f.mu.Lock()
			delete(f.running, name)
			f.mu.Unlock()
		}()
		do()
	})
}

// updateView adopts the home data centre's roster of a new view.
func (f *Fleet) updateView(now time.Time) {
	view := f.Views.Load()
	f.mu.Lock()
	same := view == f.view
	f.view = view
	f.mu.Unlock()
	if view == nil || same {
		return
	}
	f.adopt(view.Rosters[f.Home], now)
}

// adopt puts r into force if it is newer than the current roster. The list of
// upstreams is updated in any case.
func (f *Fleet) adopt(r zlroster.Roster, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	newer := r.Epoch > f.roster.Epoch
	if newer {
		f.roster = r
	}
	f.leases.Adopt(f.roster, f.homeUpstreams(), now)
	if !newer {
		return
	}
	f.detector.Watch(f.roster, now)
	m, ok := f.roster.Member(f.Self.VM)
	f.isMember.Store(ok && m.Incarnation == f.Self.Incarnation)
	f.Events.Add(zlevent.Event{
		At:      now,
		Kind:    zlevent.KindEpoch,
		Subject: string(f.Home),
		Why:     describeChange(f.roster),
	})
}

// homeUpstreams returns the upstreams of the home data centre. The caller holds mu.
func (f *Fleet) homeUpstreams() []zlunit.Upstream {
	if f.view == nil {
		return nil
	}
	var out []zlunit.Upstream
	for name, u := range f.view.Upstreams() {
		if u.DataCentre == f.Home {
			out = append(out, name)
		}
	}
	return out
}

// Member reports whether this daemon, in its current incarnation, is a member in the
// roster that it has in force.
func (f *Fleet) Member() bool {
	return f.isMember.Load()
}

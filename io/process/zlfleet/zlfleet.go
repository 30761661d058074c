// Package zlfleet runs a daemon's part in the fleet: it joins and leaves the
// roster, keeps up the tenure lease by heartbeats to its vouchers, and writes
// dead members out. The decisions are zllease's and zlfailuredetector's.
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
	// idleTick is the period of the loop, shortened to busyTick while earlier
	// holders are waited for.
	idleTick = 250 * time.Millisecond
	busyTick = 50 * time.Millisecond
	// beatPeriod is the time between heartbeats to one voucher.
	beatPeriod = time.Second
	// askPeriod is the time between questions to a daemon that answers.
	askPeriod = 100 * time.Millisecond
	// askTimeout bounds one heartbeat or question.
	askTimeout = time.Second
	// confirmPeriod is the least time between two confirmations.
	confirmPeriod = time.Second
	// listPeriod is the least time between two reads of the list of VMs.
	listPeriod = 10 * time.Second
	// writePeriod is the least time between two writes of one purpose.
	writePeriod = time.Second
	// joinPauseMax bounds the pause between two tries to join.
	joinPauseMax = 30 * time.Second
	// storeTimeout bounds one edit with all its tries.
	storeTimeout = 20 * time.Second
	// jitter lengthens periods at random, as a share of them.
	jitter = 0.2
)

// Store is the roster and the list of VMs at the platform.
type Store interface {
	Roster(ctx context.Context) (zlroster.Roster, error)
	Edit(ctx context.Context, edit func(zlroster.Roster) zlroster.Roster) (zlroster.Roster, error)
	VMs(ctx context.Context) (map[zlunit.VM]bool, error)
}

// Peers sends beats to other daemons.
type Peers interface {
	// Beat returns the answer of the daemon at addr.
	Beat(ctx context.Context, addr string, b *zllease.Heartbeat) (*zllease.HeartbeatReply, error)
	// Refused reports whether the kernel at addr says that nobody listens.
	Refused(ctx context.Context, addr string) bool
}

// Fleet is one daemon's part. The exported fields must be set before Run.
type Fleet struct {
	Self    zlroster.Member
	Home    zlunit.DataCentre
	Timer   *zltimer.Service
	Views   *zlview.CurrentView
	Store   Store
	Peers   Peers
	Events  *zlevent.Ring
	Log     *log.Logger
	Drained func(zlunit.Upstream) bool
	// Count counts refusals and repairs by reason.
	Count func(what, reason string)

	tenure   *zllease.Leases
	detector *zlfailuredetector.Detector
	parts    sync.WaitGroup
	leaving  atomic.Bool
	member   atomic.Bool

	mu sync.Mutex
	// roster is the newest roster of the home data centre heard of.
	roster   zlroster.Roster
	view     *zlview.View
	shares   map[zlunit.Upstream]zllease.Reason
	next     map[string]time.Time
	running  map[string]bool
	joinWait time.Duration
	joined   bool
}

// The names of what Count counts.
const (
	// CountRefusal is a sub-request that the tenure refused.
	CountRefusal = "tenureRefusal"
	// CountBeat is a heartbeat or question without an answer.
	CountBeat = "beatFailed"
	// CountRoster is a write of the roster, by its purpose or fault.
	CountRoster = "rosterWrite"
)

// Init prepares the parts that Grant and Answer need; Run needs it, too.
func (f *Fleet) Init() {
	f.tenure = &zllease.Leases{
		Self:        f.Self.Key(),
		Lease:       zllease.DefaultLease,
		ClockError:  zllease.DefaultClockError,
		Unconfirmed: zllease.DefaultUnconfirmed,
	}
	f.detector = &zlfailuredetector.Detector{
		Self: f.Self.Key(),
	}
	f.next = map[string]time.Time{}
	f.running = map[string]bool{}
	f.shares = map[zlunit.Upstream]zllease.Reason{}
}

// Run takes part until ctx ends and waits for what it started.
func (f *Fleet) Run(ctx context.Context) {
	defer f.parts.Wait()
	for {
		f.tick(ctx)
		pause := idleTick
		if len(f.tenure.ReleaseQueries(f.Timer.Now())) > 0 {
			pause = busyTick
		}
		pause += time.Duration(rand.Float64() * jitter * float64(pause))
		if !f.Timer.Sleep(ctx.Done(), pause) {
			return
		}
	}
}

func (f *Fleet) tick(ctx context.Context) {
	now := f.Timer.Now()
	f.detector.Tick(now)
	f.takeView(now)
	f.tenure.Tick(now)
	f.beat(ctx, now)
	f.question(ctx, now)
	f.doubt(ctx, now)
	f.confirm(ctx, now)
	f.join(ctx, now)
	f.leave(ctx, now)
	f.writeOut(ctx, now)
	f.noteShares(now)
}

// due reports whether period has passed since it last said so for what.
func (f *Fleet) due(what string, period time.Duration, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Before(f.next[what]) {
		return false
	}
	f.next[what] = now.Add(period + time.Duration(rand.Float64()*jitter*float64(period)))
	return true
}

// spawn runs do in its own goroutine, one at a time for each name.
func (f *Fleet) spawn(name string, do func()) {
	f.mu.Lock()
	if f.running[name] {
		f.mu.Unlock()
		return
	}
	f.running[name] = true
	f.mu.Unlock()
	f.parts.Go(func() {
		defer func() {
			f.mu.Lock()
			delete(f.running, name)
			f.mu.Unlock()
		}()
		do()
	})
}

// takeView adopts the home roster of a new view.
func (f *Fleet) takeView(now time.Time) {
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

// adopt takes up a roster, or only the list of upstreams if it is not newer.
func (f *Fleet) adopt(r zlroster.Roster, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	newer := r.Epoch > f.roster.Epoch
	if newer {
		f.roster = r
	}
	f.tenure.Adopt(f.roster, f.upstreams(), now)
	if !newer {
		return
	}
	f.detector.Watch(f.roster, now)
	m, ok := f.roster.Member(f.Self.VM)
	f.member.Store(ok && m.Incarnation == f.Self.Incarnation)
	f.Events.Add(zlevent.Event{
		At:      now,
		Kind:    zlevent.KindEpoch,
		Subject: string(f.Home),
		Why:     describe(f.roster),
	})
}

// upstreams lists the home data centre's upstreams. The lock must be held.
func (f *Fleet) upstreams() []zlunit.Upstream {
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

// Member reports whether this daemon is in the roster in force here.
func (f *Fleet) Member() bool {
	return f.member.Load()
}

package zlfleet

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zlevent"
	"zinnialock/core/process/zllease"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/core/version/zlroster"
	"zinnialock/core/version/zlview"
	"zinnialock/io/version/zlsync"

	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"
)

const (
	testHome     zlunit.DataCentre = "nashua"
	storeLatency                   = 5 * time.Millisecond
	peerLatency                    = time.Millisecond
	watchPeriod                    = 20 * time.Millisecond
)

var errPlatformDown = errors.New("down")

// cluster is a data centre of daemons with a fake platform and fake peers.
type cluster struct {
	// mu guards the fields below.
	mu     sync.Mutex
	roster zlroster.Roster
	view   *zlview.View
	// down is set while the platform fails all calls.
	down bool
	// calls, writes and bytes are counted since the last resetCounts: calls of
	// the platform, writes of the roster and the size of messages to peers.
	calls              int
	writes             int
	bytes              int
	peakCallsPerSecond int
	currentSecond      time.Time
	callsInSecond      int
	upstreams          []zlcatalog.Upstream
	members            map[string]*fakeDaemon
	vms                map[zlunit.VM]bool
}

type fakeDaemon struct {
	cluster *cluster
	fleet   *Fleet
	cancel  context.CancelFunc
	done    chan struct{}
	// dead is set once the process has ended, vmGone if its VM has ended too.
	dead   bool
	vmGone bool
	// partitioned is set while neither peers nor the platform are reachable.
	partitioned bool
}

func newCluster(upstreams int) *cluster {
	c := &cluster{
		roster: zlroster.Roster{
			DataCentre: testHome,
		},
		members: map[string]*fakeDaemon{},
		vms:     map[zlunit.VM]bool{},
	}
	for i := range upstreams {
		c.upstreams = append(c.upstreams, zlcatalog.Upstream{
			Name:        zlunit.Upstream(fmt.Sprintf("u%d", i)),
			DataCentre:  testHome,
			Address:     "127.0.0.1:1",
			Slots:       3,
			Connections: 30,
			ColdLimit:   1,
		})
	}
	c.buildView()
	return c
}

// buildView builds the view of the current roster.
func (c *cluster) buildView() {
	v := &zlview.View{
		Home: testHome,
		Catalogs: map[zlunit.Service]*zlcatalog.Catalog{
			"finder": {
				Service:   "finder",
				Upstreams: c.upstreams,
			},
		},
		Rosters: map[zlunit.DataCentre]zlroster.Roster{
			testHome: c.roster,
		},
	}
	c.view = v.Build()
}

func (c *cluster) start(vm string) *fakeDaemon {
	return c.startAt(vm, vm)
}

func (c *cluster) startAt(vm, address string) *fakeDaemon {
	d := &fakeDaemon{
		cluster: c,
		done:    make(chan struct{}),
	}
	d.fleet = &Fleet{
		Self: zlroster.Member{
			VM:          zlunit.VM(vm),
			Incarnation: zlunit.Incarnation(time.Now().UnixNano()),
			Peer:        address,
		},
		Home:   testHome,
		Timer:  &zltimer.Service{},
		Views:  &zlview.CurrentView{},
		Store:  d,
		Peers:  d,
		Events: &zlevent.Ring{},
		Log: &log.Logger{
			Level: log.PanicLevel,
		},
		Drained: func(zlunit.Upstream) bool {
			return true
		},
		Count: func(string, string) {},
	}
	d.fleet.Init()
	c.mu.Lock()
	c.members[address] = d
	c.vms[zlunit.VM(vm)] = true
	c.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	var parts sync.WaitGroup
	parts.Go(func() {
		d.fleet.Run(ctx)
	})
	parts.Go(func() {
		d.fleet.Timer.Subscribe(ctx.Done(), watchPeriod, 0, d.updateView)
	})
	go func() {
		parts.Wait()
		close(d.done)
	}()
	return d
}

// updateView stands in for the reader of the platform, which is not under test here.
func (d *fakeDaemon) updateView() {
	d.cluster.mu.Lock()
	defer d.cluster.mu.Unlock()
	if !d.cluster.down && !d.partitioned {
		d.fleet.Views.Store(d.cluster.view)
	}
}

func (d *fakeDaemon) kill() {
	d.cluster.mu.Lock()
	d.dead = true
	d.cluster.mu.Unlock()
	d.cancel()
	<-d.done
}

func (c *cluster) close() {
	for _, d := range c.members {
		d.cancel()
		<-d.done
	}
	synctest.Wait()
}

// countCall counts one call of the platform, and fails if that is unreachable.
func (d *fakeDaemon) countCall(ctx context.Context) error {
	if !d.fleet.Timer.Sleep(ctx.Done(), storeLatency) {
		return ctx.Err()
	}
	c := d.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if now := time.Now().Truncate(time.Second); now != c.currentSecond {
		c.currentSecond, c.callsInSecond = now, 0
	}
	c.callsInSecond++
	c.peakCallsPerSecond = max(c.peakCallsPerSecond, c.callsInSecond)
	if c.down || d.partitioned {
		return errPlatformDown
	}
	return nil
}

func (d *fakeDaemon) Roster(ctx context.Context) (zlroster.Roster, error) {
	if err := d.countCall(ctx); err != nil {
		return zlroster.Roster{}, err
	}
	d.cluster.mu.Lock()
	defer d.cluster.mu.Unlock()
	return d.cluster.roster, nil
}

// Edit works like zlsync.RosterStore: a read and a conditional write, which are
// repeated after a pause if another write came in between.
func (d *fakeDaemon) Edit(ctx context.Context, edit func(zlroster.Roster) zlroster.Roster) (zlroster.Roster, error) {
	for attempt := 0; ; attempt++ {
		r, err := d.Roster(ctx)
		if err != nil {
			return r, err
		}
		next := edit(r)
		if len(next.Changes) == len(r.Changes) && len(next.Members) == len(r.Members) {
			return r, nil
		}
		if err := d.countCall(ctx); err != nil {
			return r, err
		}
		if d.put(r.Epoch, &next) {
			return next, nil
		}
		if !d.fleet.Timer.Sleep(ctx.Done(), zlsync.ConflictBackoff(attempt, len(r.Members))) {
			return r, ctx.Err()
		}
	}
}

func (d *fakeDaemon) put(epoch zlunit.ObjectVersion, next *zlroster.Roster) bool {
	c := d.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes++
	if c.roster.Epoch != epoch {
		return false
	}
	next.Epoch = epoch + 1
	c.roster = *next
	c.buildView()
	return true
}

func (d *fakeDaemon) VMs(ctx context.Context) (map[zlunit.VM]bool, error) {
	if err := d.countCall(ctx); err != nil {
		return nil, err
	}
	d.cluster.mu.Lock()
	defer d.cluster.mu.Unlock()
	out := map[zlunit.VM]bool{}
	for vm := range d.cluster.vms {
		out[vm] = true
	}
	return out, nil
}

func (d *fakeDaemon) peer(addr string) *fakeDaemon {
	d.cluster.mu.Lock()
	defer d.cluster.mu.Unlock()
	p, ok := d.cluster.members[addr]
	if !ok || p.dead || p.partitioned || d.partitioned {
		return nil
	}
	return p
}

func (d *fakeDaemon) Heartbeat(ctx context.Context, addr string, b *zllease.Heartbeat) (*zllease.HeartbeatReply, error) {
	p := d.peer(addr)
	if p == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if !d.fleet.Timer.Sleep(ctx.Done(), peerLatency) {
		return nil, ctx.Err()
	}
	reply := p.fleet.Answer(b)
	out, _ := cbor.Marshal(b)
	replyBody, _ := cbor.Marshal(&reply)
	d.cluster.mu.Lock()
	d.cluster.bytes += len(out) + len(replyBody)
	d.cluster.mu.Unlock()
	return &reply, nil
}

func (d *fakeDaemon) ConnectionRefused(_ context.Context, addr string) bool {
	d.cluster.mu.Lock()
	defer d.cluster.mu.Unlock()
	p, ok := d.cluster.members[addr]
	return ok && p.dead && !p.vmGone && !d.partitioned
}

// fullyHeld returns the number of upstreams of which a running daemon has the full
// share.
func (c *cluster) fullyHeld() int {
	n := 0
	for _, d := range c.members {
		if d.dead {
			continue
		}
		for _, h := range d.fleet.Status().Held {
			if h.Usable && h.Reason == zllease.ReasonHeld {
				n++
			}
		}
	}
	return n
}

// waitUntilHeld waits for at most limit until all upstreams are fully held. It returns
// how long that took, or false.
func (c *cluster) waitUntilHeld(limit time.Duration) (time.Duration, bool) {
	start := time.Now()
	for time.Since(start) <= limit {
		if c.fullyHeld() == len(c.upstreams) {
			return time.Since(start), true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return 0, false
}

// update changes the cluster while daemons run.
func (c *cluster) update(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

// inRoster reports whether vm is in the roster on the platform.
func (c *cluster) inRoster(vm zlunit.VM) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, in := c.roster.Member(vm)
	return in
}

// resetCounts returns the counts and sets them to 0.
func (c *cluster) resetCounts() (calls, writes, bytes, peak int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	calls, writes, bytes, peak = c.calls, c.writes, c.bytes, c.peakCallsPerSecond
	c.calls, c.writes, c.bytes, c.peakCallsPerSecond, c.callsInSecond = 0, 0, 0, 0, 0
	return calls, writes, bytes, peak
}

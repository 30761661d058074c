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
	testHome  zlunit.DataCentre = "nashua"
	storeTime                   = 5 * time.Millisecond
	peerTime                    = time.Millisecond
	watchTime                   = 20 * time.Millisecond
)

var errDown = errors.New("down")

// scene is a data centre of fleets over a fake platform and fake peers.
type scene struct {
	mu        sync.Mutex
	roster    zlroster.Roster
	view      *zlview.View
	down      bool
	calls     int
	writes    int
	bytes     int
	busiest   int
	second    time.Time
	inSecond  int
	upstreams []zlcatalog.Upstream
	members   map[string]*fakeDaemon
	vms       map[zlunit.VM]bool
}

type fakeDaemon struct {
	scene  *scene
	fleet  *Fleet
	cancel context.CancelFunc
	done   chan struct{}
	// dead tells that the process has ended; vmGone that its machine has, too.
	dead   bool
	vmGone bool
	// cut tells that neither peers nor the platform reach it.
	cut bool
}

func newScene(upstreams int) *scene {
	s := &scene{
		roster: zlroster.Roster{
			DataCentre: testHome,
		},
		members: map[string]*fakeDaemon{},
		vms:     map[zlunit.VM]bool{},
	}
	for i := range upstreams {
		s.upstreams = append(s.upstreams, zlcatalog.Upstream{
			Name:        zlunit.Upstream(fmt.Sprintf("u%d", i)),
			DataCentre:  testHome,
			Address:     "127.0.0.1:1",
			Slots:       3,
			Connections: 30,
			ColdLimit:   1,
		})
	}
	s.build()
	return s
}

// build makes the view of the roster in force.
func (s *scene) build() {
	v := &zlview.View{
		Home: testHome,
		Catalogs: map[zlunit.Service]*zlcatalog.Catalog{
			"finder": {
				Service:   "finder",
				Upstreams: s.upstreams,
			},
		},
		Rosters: map[zlunit.DataCentre]zlroster.Roster{
			testHome: s.roster,
		},
	}
	s.view = v.Build()
}

func (s *scene) start(vm string) *fakeDaemon {
	return s.startAt(vm, vm)
}

func (s *scene) startAt(vm, address string) *fakeDaemon {
	d := &fakeDaemon{
		scene: s,
		done:  make(chan struct{}),
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
	s.mu.Lock()
	s.members[address] = d
	s.vms[zlunit.VM(vm)] = true
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	var parts sync.WaitGroup
	parts.Go(func() {
		d.fleet.Run(ctx)
	})
	parts.Go(func() {
		d.fleet.Timer.Subscribe(ctx.Done(), watchTime, 0, d.follow)
	})
	go func() {
		parts.Wait()
		close(d.done)
	}()
	return d
}

// follow stands for the follower, which is not under test here.
func (d *fakeDaemon) follow() {
	d.scene.mu.Lock()
	defer d.scene.mu.Unlock()
	if !d.scene.down && !d.cut {
		d.fleet.Views.Store(d.scene.view)
	}
}

func (d *fakeDaemon) kill() {
	d.scene.mu.Lock()
	d.dead = true
	d.scene.mu.Unlock()
	d.cancel()
	<-d.done
}

func (s *scene) close() {
	for _, d := range s.members {
		d.cancel()
		<-d.done
	}
	synctest.Wait()
}

// call counts one call of the platform.
func (d *fakeDaemon) call(ctx context.Context) error {
	if !d.fleet.Timer.Sleep(ctx.Done(), storeTime) {
		return ctx.Err()
	}
	s := d.scene
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if now := time.Now().Truncate(time.Second); now != s.second {
		s.second, s.inSecond = now, 0
	}
	s.inSecond++
	s.busiest = max(s.busiest, s.inSecond)
	if s.down || d.cut {
		return errDown
	}
	return nil
}

func (d *fakeDaemon) Roster(ctx context.Context) (zlroster.Roster, error) {
	if err := d.call(ctx); err != nil {
		return zlroster.Roster{}, err
	}
	d.scene.mu.Lock()
	defer d.scene.mu.Unlock()
	return d.scene.roster, nil
}

// Edit follows zlsync.RosterStore: a read and a conditional write, again after
// a pause when another was first.
func (d *fakeDaemon) Edit(ctx context.Context, edit func(zlroster.Roster) zlroster.Roster) (zlroster.Roster, error) {
	for try := 0; ; try++ {
		r, err := d.Roster(ctx)
		if err != nil {
			return r, err
		}
		next := edit(r)
		if len(next.Changes) == len(r.Changes) && len(next.Members) == len(r.Members) {
			return r, nil
		}
		if err := d.call(ctx); err != nil {
			return r, err
		}
		if d.put(r.Epoch, &next) {
			return next, nil
		}
		if !d.fleet.Timer.Sleep(ctx.Done(), zlsync.EditPause(try, len(r.Members))) {
			return r, ctx.Err()
		}
	}
}

func (d *fakeDaemon) put(epoch zlunit.ObjectVersion, next *zlroster.Roster) bool {
	s := d.scene
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.roster.Epoch != epoch {
		return false
	}
	next.Epoch = epoch + 1
	s.roster = *next
	s.build()
	return true
}

func (d *fakeDaemon) VMs(ctx context.Context) (map[zlunit.VM]bool, error) {
	if err := d.call(ctx); err != nil {
		return nil, err
	}
	d.scene.mu.Lock()
	defer d.scene.mu.Unlock()
	out := map[zlunit.VM]bool{}
	for vm := range d.scene.vms {
		out[vm] = true
	}
	return out, nil
}

func (d *fakeDaemon) peer(addr string) *fakeDaemon {
	d.scene.mu.Lock()
	defer d.scene.mu.Unlock()
	p, ok := d.scene.members[addr]
	if !ok || p.dead || p.cut || d.cut {
		return nil
	}
	return p
}

func (d *fakeDaemon) Beat(ctx context.Context, addr string, b *zllease.Heartbeat) (*zllease.HeartbeatReply, error) {
	p := d.peer(addr)
	if p == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if !d.fleet.Timer.Sleep(ctx.Done(), peerTime) {
		return nil, ctx.Err()
	}
	e := p.fleet.Answer(b)
	out, _ := cbor.Marshal(b)
	back, _ := cbor.Marshal(&e)
	d.scene.mu.Lock()
	d.scene.bytes += len(out) + len(back)
	d.scene.mu.Unlock()
	return &e, nil
}

func (d *fakeDaemon) Refused(_ context.Context, addr string) bool {
	d.scene.mu.Lock()
	defer d.scene.mu.Unlock()
	p, ok := d.scene.members[addr]
	return ok && p.dead && !p.vmGone && !d.cut
}

// full counts the upstreams that some living daemon may use whole.
func (s *scene) full() int {
	n := 0
	for _, d := range s.members {
		if d.dead {
			continue
		}
		for _, h := range d.fleet.Status().Held {
			if h.Usable && h.Why == zllease.ReasonHeld {
				n++
			}
		}
	}
	return n
}

// until waits until all upstreams are held, at most for limit, and returns how
// long it took, or false.
func (s *scene) until(limit time.Duration) (time.Duration, bool) {
	began := time.Now()
	for time.Since(began) <= limit {
		if s.full() == len(s.upstreams) {
			return time.Since(began), true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return 0, false
}

// set changes the scene while daemons run.
func (s *scene) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// has reports whether vm is in the roster at the platform.
func (s *scene) has(vm zlunit.VM) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, in := s.roster.Member(vm)
	return in
}

// reset clears the counts and returns what they were.
func (s *scene) reset() (calls, writes, bytes, busiest int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls, writes, bytes, busiest = s.calls, s.writes, s.bytes, s.busiest
	s.calls, s.writes, s.bytes, s.busiest, s.inSecond = 0, 0, 0, 0, 0
	return calls, writes, bytes, busiest
}

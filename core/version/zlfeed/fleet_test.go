package zlfeed

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlfollow"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zltable"
)

const (
	bound     = 3 * time.Second
	beatEvery = 250 * time.Millisecond
	fleetSize = 12
)

var errCut = errors.New("cut")

// store is the platform's store with one topic in use.
type store struct {
	mu       sync.Mutex
	revision uint64
	version  zltable.Version
	changed  chan struct{}
	// down calls get no answer, or with refuses an error at once.
	down    bool
	refuses bool
}

func (s *store) put() zltable.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

// item is the table. Its only route goes over to another service with each version,
// whose replicas stay cold.
func (s *store) item() zlfollow.Item {
	route := zltable.Route{
		Host:   "h",
		Prefix: "/",
		Targets: []zltable.Target{{
			Service: serviceOf(s.version),
			Weight:  1,
		}},
	}
	return &zlfollow.TableItem{
		Table: zltable.New(s.version, []zltable.Route{route}, nil, zltable.Limits{}),
	}
}

func serviceOf(v zltable.Version) zlunit.Service {
	return zlunit.Service(fmt.Sprintf("s%d", v))
}

// replicas are one cold replica of each service of the versions.
func replicas() []zlfollow.Item {
	var list []zlfollow.Item
	for v := range zltable.Version(32) {
		id := zlunit.Upstream(serviceOf(v) + "-1")
		list = append(list, &zlfollow.ReplicaItem{
			ID: id,
			Replica: &zlregistry.Replica{
				ID:      id,
				Service: serviceOf(v),
				ColdFor: time.Hour,
			},
		})
	}
	return list
}

// vm is one VM of the fleet.
type vm struct {
	store    *store
	member   Member
	feed     *Feed
	follower *zlfollow.Follower
	book     *zlregistry.Book
	done     chan struct{}

	mu sync.Mutex
	// cut takes the way to the store; silent the way to the other VMs.
	cut    bool
	silent bool
	lists  int
	calls  int
	// asks counts lists and watches.
	asks int
}

func (v *vm) is(flag *bool) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return *flag
}

func (v *vm) set(flag *bool, to bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	*flag = to
}

func (v *vm) enter(ctx context.Context) error {
	v.mu.Lock()
	v.calls++
	v.mu.Unlock()
	v.store.mu.Lock()
	down, refuses := v.store.down, v.store.refuses
	v.store.mu.Unlock()
	if down && refuses {
		return errCut
	}
	if down || v.is(&v.cut) {
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
		return errCut
	}
	return nil
}

func (v *vm) Pulse(ctx context.Context) error {
	return v.enter(ctx)
}

func (v *vm) List(ctx context.Context, t zlfollow.Topic, _ string) (*zlfollow.Page, error) {
	if err := v.enter(ctx); err != nil {
		return nil, err
	}
	v.mu.Lock()
	v.lists++
	v.asks++
	v.mu.Unlock()
	v.store.mu.Lock()
	defer v.store.mu.Unlock()
	p := &zlfollow.Page{
		Revision: v.store.revision,
	}
	switch t {
	case zlfollow.TopicTable:
		p.Items = append(p.Items, v.store.item())
	case zlfollow.TopicReplicas:
		p.Items = replicas()
	default:
	}
	return p, nil
}

func (v *vm) Watch(ctx context.Context, t zlfollow.Topic, revision uint64, wait time.Duration) (*zlfollow.Page, error) {
	if err := v.enter(ctx); err != nil {
		return nil, err
	}
	v.mu.Lock()
	v.asks++
	v.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		v.store.mu.Lock()
		p := &zlfollow.Page{
			Revision: v.store.revision,
		}
		if t == zlfollow.TopicTable && v.store.revision > revision {
			p.Items = append(p.Items, v.store.item())
		}
		changed := v.store.changed
		v.store.mu.Unlock()
		if len(p.Items) > 0 && !v.is(&v.cut) {
			return p, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return &zlfollow.Page{
				Revision: revision,
			}, nil
		}
	}
}

// fleet is VMs of one data centre that know each other.
type fleet struct {
	store *store
	vms   []*vm
}

// newFleet starts VMs that learn of each other after known; with waits each table
// waits for its replicas as long as it may.
func newFleet(known time.Duration, waits bool) *fleet {
	f := &fleet{
		store: &store{
			changed: make(chan struct{}),
		},
	}
	f.store.put()
	members := membersOf(fleetSize)
	for i := range members {
		v := f.build(members[i])
		if waits {
			v.follower.Within = bound
		}
		f.vms = append(f.vms, v)
	}
	learn := func() {
		for _, v := range f.vms {
			v.feed.SetMembers(members)
		}
	}
	if known > 0 {
		time.AfterFunc(known, learn)
	} else {
		learn()
	}
	for _, v := range f.vms {
		go v.follower.Run()
		go v.feed.Timer.Subscribe(v.done, beatEvery, 0, func() { f.beat(v) })
	}
	return f
}

func (f *fleet) build(m Member) *vm {
	timer := &zltimer.Service{}
	v := &vm{
		store:  f.store,
		member: m,
		book: &zlregistry.Book{
			Timer: timer,
		},
		done: make(chan struct{}),
	}
	v.feed = &Feed{
		Timer:  timer,
		Self:   m,
		Within: bound,
		Start:  timer.Now(),
	}
	v.follower = &zlfollow.Follower{
		Timer: timer,
		Book:  v.book,
		Store: v,
		Feed:  v.feed,
		Done:  v.done,
		Told:  func(t zlfollow.Topic, d *zlfollow.Delta) { f.tell(v, t, d) },
	}
	v.feed.Revisions = v.follower.Revisions
	return v
}

func (f *fleet) others(v *vm) []*vm {
	var list []*vm
	for _, o := range f.vms {
		if o != v && !v.is(&v.silent) && !o.is(&o.silent) {
			list = append(list, o)
		}
	}
	return list
}

func (f *fleet) tell(v *vm, t zlfollow.Topic, d *zlfollow.Delta) {
	for _, o := range f.others(v) {
		o.follower.Offer(t, d)
	}
}

func (f *fleet) beat(v *vm) {
	at := v.follower.Confirmed()
	if at.IsZero() || time.Since(at) > 2*time.Second {
		return
	}
	b := &Beat{
		VM:        v.member.VM,
		Age:       time.Since(at),
		Revisions: v.follower.Revisions(),
	}
	for _, o := range f.others(v) {
		if !o.feed.Hear(b) {
			continue
		}
		have := o.follower.Revisions()
		for t := range zlfollow.Topics {
			if d := v.follower.Since(zlfollow.Topic(t), have[t]); d != nil {
				o.follower.Offer(zlfollow.Topic(t), d)
			}
		}
	}
}

// first is the VM that asks for all.
func (f *fleet) first() *vm {
	for _, v := range f.vms {
		v.feed.mu.Lock()
		rank := v.feed.rank
		v.feed.mu.Unlock()
		if rank == 0 {
			return v
		}
	}
	return nil
}

// mustHave waits for the bound and checks who has the version.
func (f *fleet) mustHave(t *testing.T, version zltable.Version, but ...*vm) {
	t.Helper()
	time.Sleep(bound)
	for _, v := range f.vms {
		skip := false
		for _, b := range but {
			skip = skip || b == v
		}
		if got := v.book.Current().Table; !skip && (got == nil || got.Version != version) {
			t.Errorf("%s has not version %d within %v", v.member.VM, version, bound)
		}
	}
}

func (f *fleet) lists() int {
	n := 0
	for _, v := range f.vms {
		v.mu.Lock()
		n += v.lists
		v.mu.Unlock()
	}
	return n
}

// askers counts the VMs that made more than pulses since the last count.
func (f *fleet) askers() int {
	n := 0
	for _, v := range f.vms {
		v.mu.Lock()
		if v.asks > 0 {
			n++
		}
		v.asks = 0
		v.mu.Unlock()
	}
	return n
}

// down takes the store from all for a time; up gives it back.
func (f *fleet) down(d time.Duration) {
	f.store.mu.Lock()
	f.store.down = true
	close(f.store.changed)
	f.store.changed = make(chan struct{})
	f.store.mu.Unlock()
	time.Sleep(d)
}

func (f *fleet) up() {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	f.store.down = false
}

func run(t *testing.T, test func(t *testing.T, f *fleet)) {
	t.Helper()
	runFleet(t, false, test)
}

func runFleet(t *testing.T, waits bool, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(0, waits)
		time.Sleep(2 * time.Second)
		test(t, f)
		f.close()
	})
}

func (f *fleet) close() {
	for _, v := range f.vms {
		close(v.done)
	}
	time.Sleep(time.Minute)
	synctest.Wait()
}

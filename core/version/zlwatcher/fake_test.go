package zlwatcher

import (
	"context"
	"errors"
	"sync"
	"time"
)

var errDown = errors.New("down")

// fakeStore is a store in memory with switchable faults.
type fakeStore struct {
	mu       sync.Mutex
	revision uint64
	items    map[Topic]map[string]Item
	log      map[Topic][]change
	dropped  map[Topic]uint64
	waiters  []chan struct{}
	// dropsChanges drops changes from the history, so that no watch returns them. Watches
	// that begin while silentWatches is set return no changes. hangs makes calls hang until
	// they are cancelled or time out. down makes all calls fail at once.
	dropsChanges  bool
	silentWatches bool
	hangs         bool
	down          bool
	failWatches   chan struct{}
	lists         map[Topic]int
	probes        int
}

type change struct {
	revision uint64
	item     Item
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		items:       map[Topic]map[string]Item{},
		log:         map[Topic][]change{},
		dropped:     map[Topic]uint64{},
		lists:       map[Topic]int{},
		failWatches: make(chan struct{}),
	}
}

func (s *fakeStore) put(t Topic, name string, item Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	if s.items[t] == nil {
		s.items[t] = map[string]Item{}
	}
	s.items[t][name] = item
	s.changed(t, item)
}

func (s *fakeStore) remove(t Topic, name string, item Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items[t], name)
	s.changed(t, item)
}

func (s *fakeStore) changed(t Topic, item Item) {
	if s.dropsChanges {
		s.dropped[t] = s.revision
		return
	}
	s.log[t] = append(s.log[t], change{
		revision: s.revision,
		item:     item,
	})
	for _, w := range s.waiters {
		close(w)
	}
	s.waiters = nil
}

// set runs f, which changes the faults; if failWaiting is set, waiting watches fail.
func (s *fakeStore) set(f func(), failWaiting bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	if failWaiting {
		close(s.failWatches)
		s.failWatches = make(chan struct{})
	}
}

// checkFaults fails or blocks a call according to the faults; limit is the call's timeout.
func (s *fakeStore) checkFaults(ctx context.Context, limit time.Duration) error {
	s.mu.Lock()
	down, hangs := s.down, s.hangs
	s.mu.Unlock()
	if down {
		return errDown
	}
	if !hangs {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	<-ctx.Done()
	return ctx.Err()
}

// calls returns how many probes and lists were made.
func (s *fakeStore) calls() (probes, lists int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.lists {
		lists += n
	}
	return s.probes, lists
}

func (s *fakeStore) Probe(ctx context.Context) error {
	s.mu.Lock()
	s.probes++
	s.mu.Unlock()
	return s.checkFaults(ctx, time.Second)
}

func (s *fakeStore) List(ctx context.Context, t Topic, _ string) (*Page, error) {
	if err := s.checkFaults(ctx, time.Second); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists[t]++
	p := &Page{
		Revision: s.revision,
	}
	for _, i := range s.items[t] {
		p.Items = append(p.Items, i)
	}
	return p, nil
}

func (s *fakeStore) Watch(ctx context.Context, t Topic, revision uint64, wait time.Duration) (*Page, error) {
	if err := s.checkFaults(ctx, wait+time.Second); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	s.mu.Lock()
	silentWatches := s.silentWatches
	s.mu.Unlock()
	if silentWatches {
		<-ctx.Done()
		return &Page{
			Revision: revision,
		}, nil
	}
	for {
		s.mu.Lock()
		var page Page
		for _, c := range s.log[t] {
			if c.revision > revision {
				page.Items = append(page.Items, c.item)
			}
		}
		page.Revision = s.revision
		changed := make(chan struct{})
		s.waiters = append(s.waiters, changed)
		failWatches := s.failWatches
		s.mu.Unlock()
		if len(page.Items) > 0 {
			return &page, nil
		}
		select {
		case <-changed:
		case <-failWatches:
			return nil, errDown
		case <-ctx.Done():
			return &Page{
				Revision: revision,
			}, nil
		}
	}
}

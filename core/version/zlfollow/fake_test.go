package zlfollow

import (
	"context"
	"errors"
	"sync"
	"time"
)

var errDown = errors.New("down")

// fakeStore is a store of one topic's items that misbehaves on request.
type fakeStore struct {
	mu       sync.Mutex
	revision uint64
	items    map[Topic]map[string]Item
	log      map[Topic][]change
	dropped  map[Topic]uint64
	waiting  []chan struct{}
	// deaf watches get no news; those that begin while mute is set never do;
	// swallow makes calls hang until they are cancelled; down refuses all.
	deaf    bool
	mute    bool
	swallow bool
	down    bool
	cut     chan struct{}
	lists   map[Topic]int
	pulses  int
}

type change struct {
	revision uint64
	item     Item
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		items:   map[Topic]map[string]Item{},
		log:     map[Topic][]change{},
		dropped: map[Topic]uint64{},
		lists:   map[Topic]int{},
		cut:     make(chan struct{}),
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
	if s.deaf {
		s.dropped[t] = s.revision
		return
	}
	s.log[t] = append(s.log[t], change{
		revision: s.revision,
		item:     item,
	})
	for _, w := range s.waiting {
		close(w)
	}
	s.waiting = nil
}

// set changes the store's mood; calls that wait are cut if cutWaiting is set.
func (s *fakeStore) set(f func(), cutWaiting bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	if cutWaiting {
		close(s.cut)
		s.cut = make(chan struct{})
	}
}

func (s *fakeStore) enter(ctx context.Context, limit time.Duration) error {
	s.mu.Lock()
	down, swallow := s.down, s.swallow
	s.mu.Unlock()
	if down {
		return errDown
	}
	if !swallow {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	<-ctx.Done()
	return ctx.Err()
}

// calls returns how many pulses and lists were made.
func (s *fakeStore) calls() (pulses, lists int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.lists {
		lists += n
	}
	return s.pulses, lists
}

func (s *fakeStore) Pulse(ctx context.Context) error {
	s.mu.Lock()
	s.pulses++
	s.mu.Unlock()
	return s.enter(ctx, time.Second)
}

func (s *fakeStore) List(ctx context.Context, t Topic, _ string) (*Page, error) {
	if err := s.enter(ctx, time.Second); err != nil {
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
	if err := s.enter(ctx, wait+time.Second); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	s.mu.Lock()
	mute := s.mute
	s.mu.Unlock()
	if mute {
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
		news := make(chan struct{})
		s.waiting = append(s.waiting, news)
		cut := s.cut
		s.mu.Unlock()
		if len(page.Items) > 0 {
			return &page, nil
		}
		select {
		case <-news:
		case <-cut:
			return nil, errDown
		case <-ctx.Done():
			return &Page{
				Revision: revision,
			}, nil
		}
	}
}

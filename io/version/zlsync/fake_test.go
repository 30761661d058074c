package zlsync

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"maps"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlhistory"
	"zinnialock/core/version/zlobject"
	"zinnialock/core/version/zlview"
	"zinnialock/io/process/zlplatform"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "40")
	flag.Parse()
	os.Exit(m.Run())
}

// fakePlatform is the object API in memory, in virtual time.
type fakePlatform struct {
	// latency delays each call.
	latency time.Duration

	mu      sync.Mutex
	objects map[zlobject.Key]zlplatform.Object
	rev     zlunit.ObjectVersion
	changed chan struct{}
	down    bool
	// loseReplies counts the next writes whose reply is lost.
	loseReplies int
	// stale, if set, is what reads answer from.
	stale map[zlobject.Key]zlplatform.Object
	calls []time.Time
}

func newFake() *fakePlatform {
	return &fakePlatform{
		objects: map[zlobject.Key]zlplatform.Object{},
		changed: make(chan struct{}),
	}
}

func (p *fakePlatform) set(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

func unavailable() error {
	return &zlplatform.Error{
		Op:   "fake",
		Kind: zlplatform.KindUnavailable,
		Err:  errors.New("no reply"),
	}
}

func fakeError(kind zlplatform.Kind) error {
	return &zlplatform.Error{
		Op:   "fake",
		Kind: kind,
		Err:  errors.New("refused"),
	}
}

func (p *fakePlatform) enter(ctx context.Context) error {
	p.mu.Lock()
	p.calls = append(p.calls, time.Now())
	latency := p.latency
	p.mu.Unlock()
	if latency > 0 {
		select {
		case <-time.After(latency):
		case <-ctx.Done():
			return unavailable()
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return unavailable()
	}
	return nil
}

// Get implements Platform.
func (p *fakePlatform) Get(ctx context.Context, kind zlplatform.ObjectKind, name string) (*zlplatform.Object, error) {
	if err := p.enter(ctx); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	from := p.objects
	if p.stale != nil {
		from = p.stale
	}
	o, ok := from[zlobject.Key{
		Kind: string(kind),
		Name: name,
	}]
	if !ok {
		return nil, fakeError(zlplatform.KindNotFound)
	}
	return &o, nil
}

// Put implements Platform.
func (p *fakePlatform) Put(ctx context.Context, kind zlplatform.ObjectKind, name string, ifVersion zlunit.ObjectVersion, value any) (zlunit.ObjectVersion, error) {
	if err := p.enter(ctx); err != nil {
		return 0, err
	}
	data, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	key := zlobject.Key{
		Kind: string(kind),
		Name: name,
	}
	if p.objects[key].Version != ifVersion {
		return 0, fakeError(zlplatform.KindConflict)
	}
	p.rev++
	p.objects[key] = zlplatform.Object{
		Kind:    kind,
		Name:    name,
		Version: p.rev,
		Value:   data,
	}
	p.wake()
	if p.loseReplies > 0 {
		p.loseReplies--
		return 0, unavailable()
	}
	return p.rev, nil
}

func (p *fakePlatform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Watch implements Platform.
func (p *fakePlatform) Watch(ctx context.Context, kinds []zlplatform.ObjectKind, after zlunit.ObjectVersion, wait time.Duration) (*zlplatform.Listing, error) {
	if err := p.enter(ctx); err != nil {
		return nil, err
	}
	until := time.After(wait)
	for {
		p.mu.Lock()
		changed := p.changed
		l := p.after(kinds, after)
		down := p.down
		p.mu.Unlock()
		switch {
		case down:
			return nil, unavailable()
		case len(l.Objects) > 0 || after == 0:
			return l, nil
		}
		select {
		case <-changed:
		case <-until:
			return l, nil
		case <-ctx.Done():
			return nil, unavailable()
		}
	}
}

func (p *fakePlatform) after(kinds []zlplatform.ObjectKind, after zlunit.ObjectVersion) *zlplatform.Listing {
	l := &zlplatform.Listing{
		Revision: p.rev,
	}
	for _, o := range p.objects {
		if o.Version > after && slices.Contains(kinds, o.Kind) {
			l.Objects = append(l.Objects, o)
		}
	}
	return l
}

// setDown cuts the platform off or back on; waiting watches end.
func (p *fakePlatform) setDown(down bool) {
	p.set(func() {
		p.down = down
		p.wake()
	})
}

type snapshot struct {
	objects map[zlobject.Key]zlplatform.Object
	rev     zlunit.ObjectVersion
}

func (p *fakePlatform) backup() snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return snapshot{
		objects: maps.Clone(p.objects),
		rev:     p.rev,
	}
}

func (p *fakePlatform) restore(s snapshot) {
	p.set(func() {
		p.objects = maps.Clone(s.objects)
		p.rev = s.rev
		p.wake()
	})
}

func quiet() *log.Logger {
	return &log.Logger{
		Level: log.PanicLevel,
	}
}

func newFollower(p Platform) *Follower {
	return &Follower{
		Deployment: "guild",
		Home:       "nashua",
		Platform:   p,
		Timer:      &zltimer.Service{},
		Views:      &zlview.CurrentView{},
		Log:        quiet(),
	}
}

func newEditor(p Platform) *Editor {
	return &Editor{
		Platform: p,
		Timer:    &zltimer.Service{},
	}
}

// setting is an edit of one value of the tree.
func setting(by, path, key string, value any) *Edit {
	return &Edit{
		By:     by,
		Reason: "test",
		Prepare: func(r zlhistory.Record) ([]zlhistory.Change, zlunit.Serial, error) {
			c := zlhistory.Change{
				Path: path,
				Key:  key,
				New:  value,
			}
			c.Old = r.Value(c.Place())
			return []zlhistory.Change{c}, r.Head().Serial, nil
		},
	}
}

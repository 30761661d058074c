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

// fakePlatform is an object API in memory that runs in virtual time.
type fakePlatform struct {
	// latency delays each call.
	latency time.Duration

	mu           sync.Mutex
	objects      map[zlobject.Key]zlplatform.Object
	revision     zlunit.ObjectVersion
	changeSignal chan struct{}
	down         bool
	// loseReplies is the number of coming writes whose replies are lost.
	loseReplies int
	// stale, if set, holds the older objects that reads return.
	stale map[zlobject.Key]zlplatform.Object
	// calls holds the time of each call.
	calls []time.Time
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{
		objects:      map[zlobject.Key]zlplatform.Object{},
		changeSignal: make(chan struct{}),
	}
}

func (p *fakePlatform) withLock(f func()) {
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

// beginCall records a call, waits for the latency, and fails if the platform is
// down.
func (p *fakePlatform) beginCall(ctx context.Context) error {
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
	if err := p.beginCall(ctx); err != nil {
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
	if err := p.beginCall(ctx); err != nil {
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
	p.revision++
	p.objects[key] = zlplatform.Object{
		Kind:    kind,
		Name:    name,
		Version: p.revision,
		Value:   data,
	}
	p.notifyWatches()
	if p.loseReplies > 0 {
		p.loseReplies--
		return 0, unavailable()
	}
	return p.revision, nil
}

func (p *fakePlatform) notifyWatches() {
	close(p.changeSignal)
	p.changeSignal = make(chan struct{})
}

// Watch implements Platform.
func (p *fakePlatform) Watch(ctx context.Context, kinds []zlplatform.ObjectKind, after zlunit.ObjectVersion, wait time.Duration) (*zlplatform.Listing, error) {
	if err := p.beginCall(ctx); err != nil {
		return nil, err
	}
	until := time.After(wait)
	for {
		p.mu.Lock()
		changed := p.changeSignal
		l := p.changedAfter(kinds, after)
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

func (p *fakePlatform) changedAfter(kinds []zlplatform.ObjectKind, after zlunit.ObjectVersion) *zlplatform.Listing {
	l := &zlplatform.Listing{
		Revision: p.revision,
	}
	for _, o := range p.objects {
		if o.Version > after && slices.Contains(kinds, o.Kind) {
			l.Objects = append(l.Objects, o)
		}
	}
	return l
}

// setDown starts or ends an outage of the platform; pending watches end.
func (p *fakePlatform) setDown(down bool) {
	p.withLock(func() {
		p.down = down
		p.notifyWatches()
	})
}

type snapshot struct {
	objects  map[zlobject.Key]zlplatform.Object
	revision zlunit.ObjectVersion
}

func (p *fakePlatform) backup() snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return snapshot{
		objects:  maps.Clone(p.objects),
		revision: p.revision,
	}
}

func (p *fakePlatform) restore(s snapshot) {
	p.withLock(func() {
		p.objects = maps.Clone(s.objects)
		p.revision = s.revision
		p.notifyWatches()
	})
}

func quietLogger() *log.Logger {
	return &log.Logger{
		Level: log.PanicLevel,
	}
}

func newWatcher(p Platform) *Watcher {
	return &Watcher{
		Deployment: "guild",
		Home:       "nashua",
		Platform:   p,
		Timer:      &zltimer.Service{},
		Views:      &zlview.CurrentView{},
		Log:        quietLogger(),
	}
}

func newEditor(p Platform) *Editor {
	return &Editor{
		Platform: p,
		Timer:    &zltimer.Service{},
	}
}

// setting returns an edit of one value of the settings tree.
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

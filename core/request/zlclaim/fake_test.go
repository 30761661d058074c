package zlclaim

import (
	"context"
	"flag"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/goleak"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "400")
	goleak.VerifyTestMain(m)
}

// maxValue is the platform's limit on the size of a value, in bytes.
const maxValue = 1 << 20

// fakeStore is an in-memory Store whose calls take virtual time and can fail.
type fakeStore struct {
	mu      sync.Mutex
	random  *rand.Rand
	objects map[Segment]map[string]Object
	rev     zlunit.ObjectVersion
	// writes counts the writes; largest is the size of the largest value in bytes.
	writes  int
	largest int
	// down makes all calls fail; lose is the share of writes that take effect
	// but whose reply is lost; late is the share that takes effect only after
	// the caller got an error.
	down bool
	lose float64
	late float64
}

func newFakeStore(seed uint64) *fakeStore {
	return &fakeStore{
		random:  rand.New(rand.NewPCG(seed, 1)),
		objects: map[Segment]map[string]Object{},
	}
}

func storeError(kind Kind) error {
	return &Error{
		Op:   "fake",
		Kind: kind,
		Err:  eris.New("injected failure"),
	}
}

func (f *fakeStore) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeStore) Changes(_ context.Context, s Segment, after zlunit.ObjectVersion) ([]Object, zlunit.ObjectVersion, error) {
	time.Sleep(2 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, 0, storeError(KindStore)
	}
	var out []Object
	for _, o := range f.objects[s] {
		if o.Version > after && (after > 0 || !o.Deleted) {
			out = append(out, o)
		}
	}
	return out, f.rev, nil
}

func (f *fakeStore) change(s Segment, name string, ifVersion zlunit.ObjectVersion, next Object) (zlunit.ObjectVersion, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	f.largest = max(f.largest, len(next.Value))
	var have zlunit.ObjectVersion
	if o, ok := f.objects[s][name]; ok && !o.Deleted {
		have = o.Version
	}
	if have != ifVersion {
		return 0, storeError(KindConflict)
	}
	f.rev++
	next.Name = name
	next.Version = f.rev
	if f.objects[s] == nil {
		f.objects[s] = map[string]Object{}
	}
	f.objects[s][name] = next
	return f.rev, nil
}

func (f *fakeStore) write(s Segment, name string, ifVersion zlunit.ObjectVersion, next Object) (zlunit.ObjectVersion, error) {
	time.Sleep(2 * time.Millisecond)
	f.mu.Lock()
	down := f.down
	lose := f.random.Float64() < f.lose
	late := f.random.Float64() < f.late
	f.mu.Unlock()
	switch {
	case down:
		return 0, storeError(KindStore)
	case late:
		time.AfterFunc(time.Second, func() {
			_, _ = f.change(s, name, ifVersion, next)
		})
		time.Sleep(400 * time.Millisecond)
		return 0, storeError(KindStore)
	}
	version, err := f.change(s, name, ifVersion, next)
	if lose && err == nil {
		time.Sleep(400 * time.Millisecond)
		return 0, storeError(KindStore)
	}
	return version, err
}

func (f *fakeStore) Put(_ context.Context, s Segment, name string, ifVersion zlunit.ObjectVersion, value []byte) (zlunit.ObjectVersion, error) {
	return f.write(s, name, ifVersion, Object{
		Value: value,
	})
}

func (f *fakeStore) Delete(_ context.Context, s Segment, name string, ifVersion zlunit.ObjectVersion) error {
	_, err := f.write(s, name, ifVersion, Object{
		Deleted: true,
	})
	return err
}

func newWriters(store Store) *Writers {
	w := &Writers{
		Store: store,
		Timer: &zltimer.Service{},
	}
	w.Run()
	return w
}

type noCounter struct{}

func (noCounter) Count(string, zlquery.Reason) {}

type noAnswerFetcher struct{}

func (noAnswerFetcher) FetchAnswer(context.Context, zlunit.VM, Ref) *zlquery.Answer { return nil }

// answererFunc is a function that implements Answerer.
type answererFunc func(ctx context.Context, req *zlquery.Request) *zlquery.Answer

func (r answererFunc) Answer(ctx context.Context, req *zlquery.Request) *zlquery.Answer {
	return r(ctx, req)
}

func newGuard(self zlunit.VM, claimer Claimer, next Answerer) *Guard {
	g := &Guard{
		Self:          self,
		Next:          next,
		Claimer:       claimer,
		AnswerFetcher: noAnswerFetcher{},
		Timer:         &zltimer.Service{},
		Counter:       noCounter{},
		AnswerCache:   &AnswerCache{},
	}
	g.Run()
	return g
}

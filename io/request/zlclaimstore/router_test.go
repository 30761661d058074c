package zlclaimstore

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/goleak"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlclaim"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlroster"
	"zinnialock/core/version/zlview"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// memory is a store that keeps nothing beyond its process.
type memory struct {
	objects map[zlclaim.Segment]map[string]zlclaim.Object
	rev     zlunit.ObjectVersion
	down    bool
}

func (m *memory) fault() error {
	return &zlclaim.Error{
		Op:   "memory",
		Kind: zlclaim.KindStore,
		Err:  eris.New("store is down"),
	}
}

func (m *memory) Changes(_ context.Context, s zlclaim.Segment, after zlunit.ObjectVersion) ([]zlclaim.Object, zlunit.ObjectVersion, error) {
	if m.down {
		return nil, 0, m.fault()
	}
	var out []zlclaim.Object
	for _, o := range m.objects[s] {
		if o.Version > after {
			out = append(out, o)
		}
	}
	return out, m.rev, nil
}

func (m *memory) Put(_ context.Context, s zlclaim.Segment, name string, ifVersion zlunit.ObjectVersion, value []byte) (zlunit.ObjectVersion, error) {
	if m.down {
		return 0, m.fault()
	}
	if m.objects[s][name].Version != ifVersion {
		return 0, &zlclaim.Error{
			Op:   "memory",
			Kind: zlclaim.KindConflict,
			Err:  eris.New("conflict"),
		}
	}
	if m.objects[s] == nil {
		m.objects[s] = map[string]zlclaim.Object{}
	}
	m.rev++
	m.objects[s][name] = zlclaim.Object{
		Name:    name,
		Version: m.rev,
		Value:   value,
	}
	return m.rev, nil
}

func (m *memory) Delete(context.Context, zlclaim.Segment, string, zlunit.ObjectVersion) error {
	return m.fault()
}

// fleet is a set of daemons whose questions reach each other by name.
type fleet struct {
	store   *memory
	routers map[string]*Router
	silent  map[string]bool
	asked   []string
}

// Ask implements Peers; a silent daemon never replies.
func (f *fleet) Ask(ctx context.Context, addr, topic string, body []byte) ([]byte, error) {
	f.asked = append(f.asked, addr)
	if f.silent[addr] {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	reply, handled, err := f.routers[addr].Asked(ctx, topic, body)
	if !handled {
		return nil, eris.Errorf("unknown topic %q", topic)
	}
	return reply, err
}

func newFleet(names ...string) *fleet {
	f := &fleet{
		store: &memory{
			objects: map[zlclaim.Segment]map[string]zlclaim.Object{},
		},
		routers: map[string]*Router{},
		silent:  map[string]bool{},
	}
	roster := zlroster.Roster{}
	for _, name := range names {
		roster = roster.With(zlroster.Member{
			VM:   zlunit.VM(name),
			Peer: name,
		}, time.Time{})
	}
	view := &zlview.View{
		Rosters: map[zlunit.DataCentre]zlroster.Roster{
			"dc": roster,
		},
	}
	views := &zlview.CurrentView{}
	views.Store(view.Build())
	for _, name := range names {
		local := &zlclaim.Writers{
			Store: f.store,
			Timer: &zltimer.Service{},
		}
		local.Run()
		f.routers[name] = &Router{
			Self:    zlunit.VM(name),
			Views:   views,
			Timer:   &zltimer.Service{},
			Local:   local,
			Peers:   f,
			Answers: &zlclaim.AnswerCache{},
		}
	}
	return f
}

func (f *fleet) close() {
	for _, r := range f.routers {
		r.Local.Close()
	}
}

// inFleet runs f with daemons a to d in a bubble of virtual time. The asking
// daemon writes none of the segment of id itself.
func inFleet(t *testing.T, run func(t *testing.T, f *fleet, asker *Router, writers []zlunit.VM, id zlunit.RequestID)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b", "c", "d")
		defer f.close()
		for {
			id := zlclaim.NewID(time.Now())
			writers := f.routers["a"].writers(zlclaim.SegmentOf(id))
			if !slices.Contains(writers, "a") {
				run(t, f, f.routers["a"], writers, id)
				return
			}
		}
	})
}

func claim(r *Router, id zlunit.RequestID, nonce zlclaim.Nonce) (zlclaim.Verdict, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	reply, err := r.Claim(ctx, zlclaim.ClaimRequest{
		ID:     id,
		Nonce:  nonce,
		Holder: r.Self,
	})
	return reply.Verdict, err
}

func TestClaimsOfAllDaemonsMeet(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet, asker *Router, writers []zlunit.VM, id zlunit.RequestID) {
		first, err := claim(asker, id, 1)
		second, errSecond := claim(f.routers["d"], id, 2)
		if first != zlclaim.VerdictGranted || second != zlclaim.VerdictHeld || err != nil || errSecond != nil {
			t.Fatalf("got %v %v, %v %v; want fresh, held", first, err, second, errSecond)
		}
		if f.asked[0] != string(writers[0]) {
			t.Fatalf("asked %v, the writers are %v", f.asked, writers)
		}
	})
}

func TestSilentWritersAreLeftOut(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet, asker *Router, writers []zlunit.VM, id zlunit.RequestID) {
		f.silent[string(writers[0])] = true
		start := time.Now()
		if v, err := claim(asker, id, 1); v != zlclaim.VerdictGranted || err != nil {
			t.Fatalf("got %v, %v", v, err)
		}
		if waited := time.Since(start); waited < claimWait || waited > claimWait+100*time.Millisecond {
			t.Fatalf("waited %v for the silent writer, want %v", waited, claimWait)
		}
		asked := len(f.asked)
		if v, err := claim(asker, id, 2); v != zlclaim.VerdictHeld || err != nil || f.asked[asked] != string(writers[1]) {
			t.Fatalf("got %v, %v; asked %v", v, err, f.asked[asked:])
		}
	})
}

func TestDaemonWritesItselfWhenNoWriterReplies(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet, asker *Router, writers []zlunit.VM, id zlunit.RequestID) {
		for _, vm := range writers {
			f.silent[string(vm)] = true
		}
		if v, err := claim(asker, id, 1); v != zlclaim.VerdictGranted || err != nil {
			t.Fatalf("got %v, %v", v, err)
		}
	})
}

func TestStoreDownIsToldNotWorkedRound(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet, asker *Router, _ []zlunit.VM, id zlunit.RequestID) {
		f.store.down = true
		_, err := claim(asker, id, 1)
		if err == nil || !strings.Contains(err.Error(), "store") || len(f.asked) != 2 {
			t.Fatalf("got %v after asking %v", err, f.asked)
		}
	})
}

func TestAnswersAreRecalled(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet, asker *Router, _ []zlunit.VM, id zlunit.RequestID) {
		ref := zlclaim.Ref{
			ID:          id,
			Fingerprint: 5,
		}
		f.routers["b"].Answers.Add(ref, &zlquery.Answer{
			ID:      id,
			Version: 7,
		})
		if a := asker.FetchAnswer(t.Context(), "b", ref); a == nil || a.Version != 7 {
			t.Fatalf("got %+v", a)
		}
		other := ref
		other.Fingerprint++
		if a := asker.FetchAnswer(t.Context(), "b", other); a != nil {
			t.Fatalf("another request under the same id got %+v", a)
		}
		for _, holder := range []zlunit.VM{"c", "gone"} {
			if a := asker.FetchAnswer(t.Context(), holder, ref); a != nil {
				t.Fatalf("%s: got %+v", holder, a)
			}
		}
	})
}

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

// memoryStore is a zlclaim.Store in memory. All calls fail while down is set.
type memoryStore struct {
	objects map[zlclaim.Segment]map[string]zlclaim.Object
	// lastVersion is the version of the object written last, in any segment.
	lastVersion zlunit.ObjectVersion
	down        bool
}

func (m *memoryStore) downError() error {
	return &zlclaim.Error{
		Op:   "memory",
		Kind: zlclaim.KindStore,
		Err:  eris.New("store is down"),
	}
}

func (m *memoryStore) Changes(_ context.Context, s zlclaim.Segment, after zlunit.ObjectVersion) ([]zlclaim.Object, zlunit.ObjectVersion, error) {
	if m.down {
		return nil, 0, m.downError()
	}
	var out []zlclaim.Object
	for _, o := range m.objects[s] {
		if o.Version > after {
			out = append(out, o)
		}
	}
	return out, m.lastVersion, nil
}

func (m *memoryStore) Put(_ context.Context, s zlclaim.Segment, name string, ifVersion zlunit.ObjectVersion, value []byte) (zlunit.ObjectVersion, error) {
	if m.down {
		return 0, m.downError()
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
	m.lastVersion++
	m.objects[s][name] = zlclaim.Object{
		Name:    name,
		Version: m.lastVersion,
		Value:   value,
	}
	return m.lastVersion, nil
}

func (m *memoryStore) Delete(context.Context, zlclaim.Segment, string, zlunit.ObjectVersion) error {
	return m.downError()
}

// fleet is a set of routers that send requests to each other by name.
type fleet struct {
	store   *memoryStore
	routers map[string]*Router
	silent  map[string]bool
	// requested lists the receivers of all requests, in order.
	requested []string
}

// Request implements Peers. Daemons in silent never reply.
func (f *fleet) Request(ctx context.Context, addr, topic string, body []byte) ([]byte, error) {
	f.requested = append(f.requested, addr)
	if f.silent[addr] {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	reply, handled, err := f.routers[addr].HandleRequest(ctx, topic, body)
	if !handled {
		return nil, eris.Errorf("unknown topic %q", topic)
	}
	return reply, err
}

func newFleet(names ...string) *fleet {
	f := &fleet{
		store: &memoryStore{
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

// withFleet calls run in virtual time with the daemons a to d. The daemon sender is
// none of the writers of the segment of id.
func withFleet(t *testing.T, run func(t *testing.T, f *fleet, sender *Router, writers []zlunit.VM, id zlunit.RequestID)) {
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

// TestClaimsOfAllDaemonsMeet checks that two daemons that claim the same id send the
// claim to the same writer, so that only one of them is granted it.
func TestClaimsOfAllDaemonsMeet(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet, sender *Router, writers []zlunit.VM, id zlunit.RequestID) {
		first, err := claim(sender, id, 1)
		second, errSecond := claim(f.routers["d"], id, 2)
		if first != zlclaim.VerdictGranted || second != zlclaim.VerdictHeld || err != nil || errSecond != nil {
			t.Fatalf("got %v %v, %v %v; want granted and held without errors", first, err, second, errSecond)
		}
		if f.requested[0] != string(writers[0]) {
			t.Fatalf("got requests to %v, want the first of the writers %v", f.requested, writers)
		}
	})
}

// TestSilentWritersAreLeftOut checks that a writer that does not reply delays only one
// claim: the next one goes to the second writer directly.
func TestSilentWritersAreLeftOut(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet, sender *Router, writers []zlunit.VM, id zlunit.RequestID) {
		f.silent[string(writers[0])] = true
		start := time.Now()
		if v, err := claim(sender, id, 1); v != zlclaim.VerdictGranted || err != nil {
			t.Fatalf("got %v, %v, want the claim granted", v, err)
		}
		if waited := time.Since(start); waited < claimTimeout || waited > claimTimeout+100*time.Millisecond {
			t.Fatalf("got a wait of %v for the silent writer, want about %v", waited, claimTimeout)
		}
		before := len(f.requested)
		if v, err := claim(sender, id, 2); v != zlclaim.VerdictHeld || err != nil || f.requested[before] != string(writers[1]) {
			t.Fatalf("got %v, %v after requests to %v, want held after a request to the second writer", v, err, f.requested[before:])
		}
	})
}

// TestDaemonWritesItselfWhenNoWriterReplies checks that a daemon writes the segment
// itself if both writers are silent.
func TestDaemonWritesItselfWhenNoWriterReplies(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet, sender *Router, writers []zlunit.VM, id zlunit.RequestID) {
		for _, vm := range writers {
			f.silent[string(vm)] = true
		}
		if v, err := claim(sender, id, 1); v != zlclaim.VerdictGranted || err != nil {
			t.Fatalf("got %v, %v, want the claim granted", v, err)
		}
	})
}

// TestStoreErrorIsReturnedWithoutLocalWrite checks that an error of the store is
// returned once both writers have reported it, and that the daemon does not try to
// write the segment itself.
func TestStoreErrorIsReturnedWithoutLocalWrite(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet, sender *Router, _ []zlunit.VM, id zlunit.RequestID) {
		f.store.down = true
		_, err := claim(sender, id, 1)
		if err == nil || !strings.Contains(err.Error(), "store") || len(f.requested) != 2 {
			t.Fatalf("got error %v after requests to %v, want an error of the store after two requests", err, f.requested)
		}
	})
}

// TestAnswersAreFetchedFromTheirHolder checks that an answer is returned only for the
// same request and only by the daemon that has it.
func TestAnswersAreFetchedFromTheirHolder(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet, sender *Router, _ []zlunit.VM, id zlunit.RequestID) {
		ref := zlclaim.Ref{
			ID:          id,
			Fingerprint: 5,
		}
		f.routers["b"].Answers.Add(ref, &zlquery.Answer{
			ID:      id,
			Version: 7,
		})
		if a := sender.FetchAnswer(t.Context(), "b", ref); a == nil || a.Version != 7 {
			t.Fatalf("got answer %+v, want version 7", a)
		}
		other := ref
		other.Fingerprint++
		if a := sender.FetchAnswer(t.Context(), "b", other); a != nil {
			t.Fatalf("got answer %+v for another request under the same id, want none", a)
		}
		for _, holder := range []zlunit.VM{"c", "gone"} {
			if a := sender.FetchAnswer(t.Context(), holder, ref); a != nil {
				t.Fatalf("holder %s: got answer %+v, want none", holder, a)
			}
		}
	})
}

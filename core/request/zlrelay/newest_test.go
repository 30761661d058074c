package zlrelay

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
)

// meddler changes what is known while the first send is on its way to its first
// byte, as where a connection is made for it.
type meddler struct {
	mu      sync.Mutex
	change  func(e *zlregistry.Entry)
	started []zlunit.Upstream
	// stopped counts the first bytes that were not allowed.
	stopped int
	proof   string
}

func (m *meddler) Send(_ context.Context, e *zlregistry.Entry, c *Call) Reply {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.change != nil {
		m.change(e)
		m.change = nil
	}
	if !c.Start() {
		m.stopped++
		return &NotRun{
			Reason: zldecision.ReasonUnreached,
		}
	}
	m.started = append(m.started, e.ID)
	return &Whole{
		Status: http.StatusOK,
		Body:   make([]byte, recordSize),
		Proof:  m.proof,
	}
}

// What became known right before the first byte holds: a data centre out of
// service, a replica that left, one that started anew under its name.
func TestNewestViewIsAskedBeforeTheFirstByte(t *testing.T) {
	for name, change := range map[string]func(b *zlregistry.Book, e *zlregistry.Entry){
		"data centre out of service": func(b *zlregistry.Book, e *zlregistry.Entry) {
			b.SetOut(map[zlunit.DataCentre]bool{
				e.DataCentre: true,
			}, time.Now())
		},
		"replica gone": func(b *zlregistry.Book, e *zlregistry.Entry) {
			b.Apply([]zlregistry.Change{
				{
					ID: e.ID,
				},
			}, time.Now())
		},
		"replica started anew": func(b *zlregistry.Book, e *zlregistry.Entry) {
			next := e.Replica
			next.Born++
			b.Apply([]zlregistry.Change{
				{
					ID:      e.ID,
					Replica: &next,
				},
			}, time.Now())
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &meddler{}
				r := bench(m, singleRoute(false, 3))
				var all []zlregistry.Replica
				for i, dc := range []zlunit.DataCentre{"a", "b", "c"} {
					all = append(all, zlregistry.Replica{
						ID:         zlunit.Upstream([]string{"r0", "r1", "r2"}[i]),
						Service:    "s0",
						DataCentre: dc,
					})
				}
				r.Book.Replace(all, time.Now())
				var first zlunit.Upstream
				m.change = func(e *zlregistry.Entry) {
					first = e.ID
					change(r.Book, e)
				}
				a, ok := r.Serve(context.Background(), request("/one/x")).(*Served)
				r.Wait()
				if !ok || a.Whole.Status != http.StatusOK {
					t.Fatalf("answer %+v", a)
				}
				if m.stopped != 1 || len(m.started) != 1 || (name != "replica started anew" && m.started[0] == first) {
					t.Errorf("sent to %v, first chosen was %s", m.started, first)
				}
			})
		})
	}
}

// An answer without the replica's signature is no part of an answer.
func TestPartWithoutAProofDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &meddler{}
		r := bench(m, scatterRoute("all", []zlunit.Service{"s0", "s1"}, 50*time.Millisecond, 1, 0.5))
		a := r.Serve(context.Background(), request("/all/x"))
		r.Wait()
		if _, ok := a.(*Merged); ok {
			t.Errorf("answer %+v", a)
		}
	})
}

// Before the routes are known a request is refused as such, and never as one that
// has no route.
func TestWithoutATableNoRouteIsDenied(t *testing.T) {
	r := bench(&meddler{})
	r.Book = &zlregistry.Book{
		Timer: r.Timer,
	}
	a, ok := r.Serve(context.Background(), request("/one/x")).(*Refused)
	if !ok || a.Reason != zldecision.ReasonNoTable {
		t.Errorf("answer %+v", a)
	}
}

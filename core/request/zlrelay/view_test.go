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

// viewChanger is a Sender that changes the view of the replicas between the choice
// of a replica and the first byte, as can happen while a connection is made.
type viewChanger struct {
	mu      sync.Mutex
	change  func(e *zlregistry.Entry)
	started []zlunit.Upstream
	// denied counts the sends that Start did not allow.
	denied    int
	signature string
}

func (m *viewChanger) Send(_ context.Context, e *zlregistry.Entry, c *Call) Reply {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.change != nil {
		m.change(e)
		m.change = nil
	}
	if !c.Start() {
		m.denied++
		return &NotRun{
			Reason: zldecision.ReasonUnreached,
		}
	}
	m.started = append(m.started, e.ID)
	return &Response{
		Status:    http.StatusOK,
		Body:      make([]byte, recordSize),
		Signature: m.signature,
	}
}

// A change that becomes known right before the first byte must stop the send: the
// data centre is out of service, the replica is gone, or it was restarted under the
// same name. The view that the replica was chosen from does not show it.
func TestNewestViewIsCheckedBeforeFirstByte(t *testing.T) {
	for name, change := range map[string]func(registry *zlregistry.Registry, e *zlregistry.Entry){
		"data centre out of service": func(registry *zlregistry.Registry, e *zlregistry.Entry) {
			registry.SetOutOfService(map[zlunit.DataCentre]bool{
				e.DataCentre: true,
			}, time.Now())
		},
		"replica gone": func(registry *zlregistry.Registry, e *zlregistry.Entry) {
			registry.Apply([]zlregistry.Change{
				{
					ID: e.ID,
				},
			}, time.Now())
		},
		"replica restarted": func(registry *zlregistry.Registry, e *zlregistry.Entry) {
			next := e.Replica
			next.Incarnation++
			registry.Apply([]zlregistry.Change{
				{
					ID:      e.ID,
					Replica: &next,
				},
			}, time.Now())
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &viewChanger{}
				r := newTestRelay(m, singleRoute(false, 3))
				var all []zlregistry.Replica
				for i, dc := range []zlunit.DataCentre{"a", "b", "c"} {
					all = append(all, zlregistry.Replica{
						ID:         zlunit.Upstream([]string{"r0", "r1", "r2"}[i]),
						Service:    "s0",
						DataCentre: dc,
					})
				}
				r.Registry.Replace(all, time.Now())
				var first zlunit.Upstream
				m.change = func(e *zlregistry.Entry) {
					first = e.ID
					change(r.Registry, e)
				}
				a, ok := r.Serve(context.Background(), request("/one/x")).(*Served)
				r.Wait()
				if !ok || a.Response.Status != http.StatusOK {
					t.Fatalf("got answer %+v, want a served one with status 200", a)
				}
				if m.denied != 1 || len(m.started) != 1 || (name != "replica restarted" && m.started[0] == first) {
					t.Errorf("got %d denied sends and sends to %v, want one denied to %s and one to another replica or incarnation", m.denied, m.started, first)
				}
			})
		})
	}
}

// A part without the replica's signature must not be merged, since its origin is
// not proven.
func TestPartWithoutSignatureIsNotMerged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &viewChanger{}
		r := newTestRelay(m, scatterRoute("all", []zlunit.Service{"s0", "s1"}, 50*time.Millisecond, 1, 0.5))
		a := r.Serve(context.Background(), request("/all/x"))
		r.Wait()
		if _, ok := a.(*Merged); ok {
			t.Errorf("got merged answer %+v from unsigned parts, want none", a)
		}
	})
}

// Before the table is loaded, a request must be refused with ReasonNoTable, not
// denied with ReasonNoRoute, which the caller gets as status 404.
func TestRequestWithoutTableIsRefusedNotDenied(t *testing.T) {
	r := newTestRelay(&viewChanger{})
	r.Registry = &zlregistry.Registry{
		Timer: r.Timer,
	}
	a, ok := r.Serve(context.Background(), request("/one/x")).(*Refused)
	if !ok || a.Reason != zldecision.ReasonNoTable {
		t.Errorf("got answer %+v, want a refusal for %s", a, zldecision.ReasonNoTable)
	}
}

package zlrollout

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zltable"

	"github.com/fxamacker/cbor/v2"
)

// targetShare returns which part of many requests of all VMs goes to the given build.
func (f *fleet) targetShare(b zlunit.Build) float64 {
	n, sent := 0, 0
	for _, v := range f.vms {
		split := v.Split(docs)
		for range 2000 {
			g := GroupBaseline
			if split != nil {
				g = split.Choose(f.random.Float64())
				split.Sent(g, oldOne)
			}
			allowed, of := 0, 0
			for _, e := range f.replicas {
				if split == nil || split.Allows(e, g) {
					of++
					if e.Build == b {
						allowed++
					}
				}
			}
			if of > 0 && f.random.IntN(of) < allowed {
				n++
			}
			sent++
		}
	}
	return float64(n) / float64(sent)
}

// Each case guards against traffic for replicas without an order, or against a service
// without traffic when its replicas are replaced without an order.
func TestWithoutOrder(t *testing.T) {
	keep := func(n int) func(f *fleet) {
		return func(f *fleet) {
			kept := 0
			f.removeReplicas(func(b zlunit.Build) bool {
				if b == oldOne {
					kept++
				}
				return b == oldOne && kept > n
			})
		}
	}
	for _, tc := range []struct {
		name  string
		setup func(f *fleet)
		want  float64
		nil   bool
	}{
		{
			name:  "one build only costs nothing",
			setup: func(f *fleet) { f.removeReplicas(func(b zlunit.Build) bool { return b == newOne }) },
			nil:   true,
		},
		{
			name:  "new replicas beside all old ones get nothing",
			setup: func(*fleet) {},
		},
		{
			name:  "a new replica takes the place of one of four",
			setup: keep(3),
			want:  0.25,
		},
		{
			name:  "new replicas serve if no old one is left",
			setup: keep(0),
			want:  1,
		},
		{
			name: "the next replacement begins with the new build",
			setup: func(f *fleet) {
				keep(0)(f)
				f.run(2*baselineGrace, false)
				f.addReplicas("v3", 4)
			},
			want: 1,
		},
		{
			name: "a bad build gets nothing although an old replica is gone",
			setup: func(f *fleet) {
				f.put(newOne)
				f.object.Status = Status{
					State:  StateRolledBack,
					Target: newOne,
				}
				f.run(2*time.Second, false)
				keep(3)(f)
			},
		},
		{
			name: "a VM that starts late takes the target of the order for the new build",
			setup: func(f *fleet) {
				keep(2)(f)
				f.put(newOne)
				f.object.Status = Status{
					State:  StateRunning,
					Target: newOne,
					Share:  smallShare,
				}
				f.vms = f.vms[:1]
				f.boot(f.vms[0])
			},
			want: smallShare,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(1, 3, 4, 4)
				tc.setup(f)
				if split := f.vms[0].Split(docs); (split == nil) != tc.nil {
					t.Errorf("got split %v", split)
				}
				if got := f.targetShare(newOne); got < tc.want-0.01 || got > tc.want+0.01 {
					t.Errorf("got a share of %.3f at the new build, want %.3f", got, tc.want)
				}
			})
		})
	}
}

// Guards against all requests at one replica of the target when no old one is left early in
// an order.
func TestTargetAloneServesWithAllReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 1, 4, 10)
		f.put(newOne)
		f.object.Status = Status{
			State:  StateRunning,
			Target: newOne,
			Share:  smallShare,
		}
		f.tell(f.vms[0])
		f.removeReplicas(func(b zlunit.Build) bool { return b == oldOne })
		split := f.vms[0].Split(docs)
		n := 0
		for _, e := range f.replicas {
			if split.Allows(e, split.Choose(0)) {
				n++
			}
		}
		if n != 10 {
			t.Errorf("%d of 10 replicas may serve", n)
		}
	})
}

// Guards against calls, reports and splits where the deployment does not ask for roll-outs.
func TestDisabled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 2, 4, 4)
		for _, v := range f.vms {
			v.Settings.Enabled = false
			v.splits.Store(nil)
		}
		f.order()
		f.run(f.duration, true)
		if v := f.vms[0]; f.writes > 0 || v.Split(docs) != nil || len(v.Step(time.Now())) > 0 {
			t.Errorf("got %d writes, split %v", f.writes, v.Split(docs))
		}
	})
}

// Guards against reports that do not fit into a datagram, and against more traffic than
// control may use, with 36 orders, long names and four responses for each of them each 100 ms.
func TestReportsOfManyOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 70, 1, 1)
		v := f.vms[0]
		view := f.view()
		var orders []Order
		for i := range 36 {
			s := zlunit.Service(fmt.Sprintf("guild-finder-shard-%02d", i))
			view.Replicas[s] = view.Replicas[docs]
			orders = append(orders, Order{
				ID: OrderID{
					Service: s,
					Target:  newOne,
				},
				Duration: 34 * time.Second,
				Status: Status{
					State:  StateRunning,
					Target: newOne,
					Share:  smallShare,
				},
			})
		}
		v.SetReplicas(view)
		v.SetOrders(orders, time.Now())
		total := 0
		for i := range 200 {
			for j := range 4 * len(orders) {
				b := oldOne
				if i%20 == 0 {
					b = newOne
				}
				v.Record(orders[j/4].ID.Service, zltable.RouteName(fmt.Sprint("search-route-", j%4)), b, OutcomeGood, time.Millisecond)
			}
			for _, a := range v.Step(time.Now()) {
				r, ok := a.(*SendReport)
				if !ok {
					continue
				}
				data, err := cbor.Marshal(&r.Report)
				if err != nil || len(data) > 1100 {
					t.Fatalf("got a report of %d bytes, %v", len(data), err)
				}
				total += len(data) * len(r.To)
			}
			time.Sleep(100 * time.Millisecond)
		}
		t.Logf("%d bytes a second", total/20)
		if total/20 > reportByteRate {
			t.Errorf("got %d bytes a second", total/20)
		}
	})
}

// Guards against data races between sends and what changes the splits; it needs -race.
func TestConcurrentUse(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		f := newFleet(1, 2, 4, 4)
		f.order()
		f.run(2*time.Second, false)
		v := f.vms[0]
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() {
				for i := range 200 {
					if split := v.Split(docs); split != nil {
						g := split.Choose(float64(i) / 200)
						split.Allows(f.replicas[i%8], g)
						split.Sent(g, oldOne)
						v.Record(docs, "route", oldOne, OutcomeFailed, time.Millisecond)
						split.Ended(oldOne)
					}
				}
			})
		}
		for i := range 50 {
			v.SetReplicas(f.view())
			v.Step(time.Now())
			f.object.Status.Share = float64(i) / 50
			f.object.Revision.Number++
			f.tell(v)
		}
		wg.Wait()
	})
}

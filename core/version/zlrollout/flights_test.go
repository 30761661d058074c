package zlrollout

import (
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zltable"
)

// Guards against a completion while requests that were sent before the order, or before the
// service had a second build, still run at old replicas.
func TestRequestsFromBeforeTheOrderAreWaitedFor(t *testing.T) {
	for name, tc := range map[string]struct {
		timeout time.Duration
		send    bool
		want    bool
	}{
		"none":      {},
		"counted":   {send: true, want: true},
		"uncounted": {timeout: 9 * time.Second, want: true},
		"ended":     {timeout: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(1, 1, 4, 0)
				v := f.vms[0]
				view := f.view()
				view.Table = zltable.New(1, []zltable.Route{{
					Timeout: tc.timeout,
					Targets: []zltable.Target{{
						Service: docs,
					}},
				}}, nil, zltable.Limits{})
				if tc.timeout > 0 {
					v.SetReplicas(view)
				}
				f.addReplicas(newOne, 4)
				first := v.Split(docs)
				if tc.send {
					first.Sent(GroupBaseline, oldOne)
				}
				f.order()
				f.run(2*time.Second, false)
				// Withdrawn and given again, which replaces the split twice.
				order := *f.object
				v.SetOrders(nil, time.Now())
				v.SetOrders([]Order{order}, time.Now())
				f.run(2*time.Second, false)
				busy := func(vm zlunit.VM) bool {
					return v.service(docs).order.evidence.reporters[vm].busy
				}
				if got := busy(v.name); got != tc.want {
					t.Errorf("got busy %t, want %t", got, tc.want)
				}
				if tc.send {
					first.Ended(oldOne)
				}
				f.run(6*time.Second, false)
				if busy(v.name) {
					t.Error("busy although all requests have ended")
				}
			})
		})
	}
}

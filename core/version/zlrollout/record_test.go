package zlrollout

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against requests that wait while the controller compares the evidence: Record
// blocks forever if it needs the controller's lock. Also guards against outcomes that are
// lost, or counted for an order that began after them.
func TestRecordDoesNotNeedTheControllersLock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 1, 4, 4)
		v := f.vms[0]
		v.mu.Lock()
		v.Record(docs, "route", oldOne, OutcomeFailed, 0)
		v.mu.Unlock()
		f.put(newOne)
		f.tell(v)
		v.Record(docs, "route", newOne, OutcomeFailed, 0)
		v.Step(time.Now())
		want := Tally{
			Route:  "route",
			Target: Counts{Failed: 1},
		}
		if got := v.service(docs).order.tallies["route"]; got == nil || *got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	})
}

package zlfeed

import (
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/version/zlfollow"
)

func TestOneAsksForAll(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.mustHave(t, f.store.put())
		for _, v := range f.vms {
			v.mu.Lock()
			v.calls = 0
			v.mu.Unlock()
		}
		for range 5 {
			f.mustHave(t, f.store.put())
		}
		for _, v := range f.vms {
			v.mu.Lock()
			if v != f.first() && v.calls > 3 {
				t.Errorf("%s made %d calls in 15 s", v.member.VM, v.calls)
			}
			v.mu.Unlock()
		}
	})
}

// The VM that asks is killed or frozen, cut off from the others, or turned away
// by the store, right before a change. Tables wait for their replicas as long as they
// may, and no longer.
func TestNewsIsInForceWhoeverFails(t *testing.T) {
	for name, fail := range map[string]func(v *vm){
		"frozen":      func(v *vm) { v.set(&v.silent, true); v.set(&v.cut, true) },
		"silent":      func(v *vm) { v.set(&v.silent, true) },
		"turned away": func(v *vm) { v.set(&v.cut, true) },
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, true, func(t *testing.T, f *fleet) {
				first := f.first()
				fail(first)
				f.mustHave(t, f.store.put(), first)
				f.mustHave(t, f.store.put(), first)
			})
		})
	}
}

// A VM that the store turns away has the news from the others.
func TestVMWithoutTheStoreIsFed(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		for i, v := range f.vms {
			v.set(&v.cut, i%2 == 0)
		}
		time.Sleep(bound)
		f.mustHave(t, f.store.put())
	})
}

// A VM that no other reaches asks the store itself.
func TestVMWithoutTheOthersAsks(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		for _, v := range f.vms {
			v.set(&v.silent, true)
		}
		f.mustHave(t, f.store.put())
	})
}

// All VMs start at once, as after a loss of power: one asks, the others wait for
// it and do not even pulse.
func TestAllStartAndFewAsk(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		if n := f.askers(); n > 2 {
			t.Errorf("%d of %d VMs asked", n, fleetSize)
		}
		for _, v := range f.vms {
			v.mu.Lock()
			if v != f.first() && v.calls > v.lists {
				t.Errorf("%s made %d calls besides %d lists", v.member.VM, v.calls-v.lists, v.lists)
			}
			v.mu.Unlock()
		}
	})
}

// All VMs lost power and start at once; the census is read a moment later. Half of the
// first second is left for requests.
func TestAllServeInTheFirstSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(5*time.Millisecond, false)
		defer f.close()
		time.Sleep(500 * time.Millisecond)
		for _, v := range f.vms {
			if v.book.View().Table == nil {
				t.Errorf("%s cannot serve", v.member.VM)
			}
		}
	})
}

// The store is back for all: the first of the order brings the news to the
// others, whose own probe may be answered sooner than its.
func TestReturnOfTheStoreWakesFew(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.store.mu.Lock()
		f.store.refuses = true
		f.store.mu.Unlock()
		for range 5 {
			f.down(8 * time.Second)
			f.askers()
			f.up()
			f.mustHave(t, f.store.put())
			if n := f.askers(); n > 1 {
				t.Errorf("%d of %d VMs asked", n, fleetSize)
			}
		}
	})
}

// The store is back while the VM that asks for all is gone.
func TestReturnOfTheStoreWithoutTheFirst(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		first := f.first()
		f.down(8 * time.Second)
		first.set(&first.silent, true)
		first.set(&first.cut, true)
		f.up()
		f.mustHave(t, f.store.put(), first)
	})
}

// After an outage of the store the VMs do not all list at once.
func TestNoHerdAfterAnOutage(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.down(8 * time.Second)
		before := f.lists()
		f.up()
		f.mustHave(t, f.store.put())
		if n := f.lists() - before; n > 4*zlfollow.Topics {
			t.Errorf("%d lists after the outage, for %d VMs", n, fleetSize)
		}
	})
}

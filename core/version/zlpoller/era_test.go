//go:build !race

// These fleets have thousands of timers, with which the runtime of the race detector
// crashes more often (KNOWN-RED.txt); contrib/unit.sh runs them without it.

package zlpoller

import (
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/version/zlrevision"
	"zinnialock/core/version/zltable"
)

// goBack restores the revision of a copy in a new era; the table keeps its version if
// the operators wrote it again.
func (s *store) goBack(number zlrevision.Number) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision.Era++
	s.revision.Number = number
	close(s.changed)
	s.changed = make(chan struct{})
}

// Replays a store that goes back, twice in a row, in fleets of several sizes, with one
// VM cut off from the store: all VMs get the next table within the bound, and only few
// of them ask the store.
func TestFleetFollowsAStoreThatWentBack(t *testing.T) {
	for _, size := range []int{8, 65, 195} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleetOf(size, 0, false)
			f.store.mu.Lock()
			f.store.revision.Era = 1
			f.store.mu.Unlock()
			time.Sleep(2 * time.Second)
			var last zltable.Version
			for range 20 {
				last = f.store.put()
			}
			f.mustHave(t, last)
			cut := f.vms[size/2]
			cut.set(&cut.storeCut, true)
			for range 2 {
				before := f.lists()
				f.countPollers()
				f.store.goBack(3)
				last = f.store.put()
				f.mustHave(t, last)
				if n := f.lists() - before; n > 12 {
					t.Errorf("%d VMs: %d lists after the store went back, want 12 at most", size, n)
				}
				if n := f.countPollers(); n > 3 {
					t.Errorf("%d VMs: %d of them asked the store, want 3 at most", size, n)
				}
			}
			f.close()
		})
	}
}

// A VM that heard nothing of the new era, cut off from the store and its peers, follows
// once it hears its peers again, and its old state is nobody's news.
func TestVMThatMissedTheNewEra(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		late := f.vms[3]
		for range 10 {
			f.store.put()
		}
		time.Sleep(bound)
		late.set(&late.storeCut, true)
		late.set(&late.peersCut, true)
		f.store.goBack(2)
		next := f.store.put()
		f.mustHave(t, next, late)
		late.set(&late.peersCut, false)
		f.mustHave(t, next)
	})
}

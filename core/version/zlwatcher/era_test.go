package zlwatcher

import (
	"testing"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zltable"
)

const evacuated = zlunit.DataCentre("nashua")

func (s *fakeStore) listCount() int {
	_, lists := s.calls()
	return lists
}

// Replays a store that goes back by some seconds in which a table, a replica and a data
// centre out of service were written, and that gives out the same revisions again. What
// was in force stays so until it is written again; what is new is known within the
// bound; and the store is asked a few times only.
func TestStoreThatWentBack(t *testing.T) {
	for name, cutWatches := range map[string]bool{
		"watches are cut":  true,
		"watches hang on":  false,
		"and goes back on": true,
	} {
		t.Run(name, func(t *testing.T) {
			runWatcher(t, func(s *fakeStore, registry *zlregistry.Registry) {
				s.set(func() { s.era = 1 }, true)
				time.Sleep(2 * configBound)
				restore := s.copyState()
				s.put(TopicTable, "main", tableItem(2))
				s.put(TopicReplicas, "c", replicaItem("c", 1, false))
				s.put(TopicOutOfService, string(evacuated), &OutOfServiceItem{
					DataCentre: evacuated,
				})
				time.Sleep(configBound)
				before := s.listCount()
				restore(cutWatches)
				if name == "and goes back on" {
					time.Sleep(time.Second)
					restore(cutWatches)
				}
				// As many changes as were lost, so that the numbers of the revisions are
				// the same again.
				for _, id := range []string{"x", "y", "z"} {
					s.put(TopicReplicas, id, replicaItem(id, 1, false))
				}
				restored := time.Now()
				time.Sleep(configBound)
				if n := usable(registry); n < 5 {
					t.Errorf("%d replicas are known after the bound, want a, b and the three that are new", n)
				}
				for time.Since(restored) < outHold-time.Second {
					v := registry.Current()
					if v.Table.Version != zltable.Version(2) || !v.OutOfService[evacuated] {
						t.Fatalf("%v after the return: table %d, out of service %v; want what was in force before", time.Since(restored), v.Table.Version, v.OutOfService)
					}
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(outHold)
				v := registry.Current()
				if v.Table.Version != 2 || v.OutOfService[evacuated] || usable(registry) != 5 {
					t.Errorf("after the hold: table %d, out of service %v, %d replicas; want what the store lists now", v.Table.Version, v.OutOfService, usable(registry))
				}
				if n := s.listCount() - before; n > 4*NumTopics {
					t.Errorf("%d lists after the store went back, want at most four for each topic", n)
				}
			})
		})
	}
}

// A replica that reported draining in the lost seconds, or was removed in them, is not
// used again because an older entry came back.
func TestLostDrainIsKept(t *testing.T) {
	runWatcher(t, func(s *fakeStore, registry *zlregistry.Registry) {
		s.set(func() { s.era = 1 }, true)
		time.Sleep(configBound)
		restore := s.copyState()
		s.put(TopicReplicas, "a", replicaItem("a", 2, true))
		s.remove("b", &ReplicaItem{
			ID: "b",
		})
		time.Sleep(configBound)
		if n := usable(registry); n != 0 {
			t.Fatalf("%d replicas are usable before the store went back, want none", n)
		}
		restore(true)
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			if n := usable(registry); n != 0 {
				t.Fatalf("%d replicas are usable after the store went back, want none", n)
			}
		}
		s.put(TopicReplicas, "b", replicaItem("b", 3, false))
		time.Sleep(configBound)
		if n := usable(registry); n != 1 {
			t.Errorf("%d replicas are usable, want the one that wrote again", n)
		}
	})
}

// A delta from before the store went back must not be taken for one after it, and a peer
// of another era gets the whole topic.
func TestDeltasOfOtherErasDoNotMix(t *testing.T) {
	runWatcher(t, func(s *fakeStore, registry *zlregistry.Registry) {
		w := &Watcher{
			Timer:    registry.Timer,
			Registry: &zlregistry.Registry{Timer: registry.Timer},
			Store:    s,
		}
		full := &Delta{
			Full:  true,
			Items: []Item{replicaItem("a", 1, false)},
		}
		full.ToRevision.Era, full.ToRevision.Number = 2, 10
		w.ApplyPeerDelta(TopicReplicas, full)
		late := &Delta{
			Items: []Item{&ReplicaItem{ID: "a"}},
		}
		late.FromRevision.Era, late.FromRevision.Number = 1, 5
		late.ToRevision.Era, late.ToRevision.Number = 1, 50
		w.ApplyPeerDelta(TopicReplicas, late)
		if n := usable(w.Registry); n != 1 {
			t.Errorf("%d replicas after a delta of the era before, want 1", n)
		}
		next := full.ToRevision
		next.Era--
		if d := w.DeltaSince(TopicReplicas, next); d == nil || !d.Full {
			t.Errorf("got delta %+v for a peer of the era before, want the whole topic", d)
		}
	})
}

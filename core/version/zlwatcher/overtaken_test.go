package zlwatcher

import (
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zlrevision"
)

// overtakenChange is a change that another VM sends while the answer to a list from before
// it is on its way.
type overtakenChange struct {
	name  string
	topic Topic
	// write makes the change in the store and returns it.
	write func(s *fakeStore) Item
	// inForce reports whether the change is in force in the view, and holds whether it is
	// among the items that are handed to other VMs.
	inForce func(v *zlregistry.View) bool
	holds   func(items map[string]Item) bool
}

func overtakenChanges() []overtakenChange {
	mark := func(removed bool) *OutOfServiceItem {
		return &OutOfServiceItem{
			DataCentre: evacuated,
			Removed:    removed,
		}
	}
	put := func(t Topic, name string, i Item) func(s *fakeStore) Item {
		return func(s *fakeStore) Item {
			s.put(t, name, i)
			return i
		}
	}
	remove := func(t Topic, name string, i Item) func(s *fakeStore) Item {
		return func(s *fakeStore) Item {
			s.removeFrom(t, name, i)
			return i
		}
	}
	has := func(name string, want bool) func(items map[string]Item) bool {
		return func(items map[string]Item) bool {
			_, ok := items[name]
			return ok == want
		}
	}
	replicas := func(n int) func(v *zlregistry.View) bool {
		return func(v *zlregistry.View) bool {
			return len(v.Replicas["finder"]) == n
		}
	}
	return []overtakenChange{
		{
			name:  "data centre out of service",
			topic: TopicOutOfService,
			write: put(TopicOutOfService, string(evacuated), mark(false)),
			inForce: func(v *zlregistry.View) bool {
				return v.OutOfService[evacuated]
			},
			holds: has(string(evacuated), true),
		},
		{
			name:  "data centre in service again",
			topic: TopicOutOfService,
			write: remove(TopicOutOfService, "lowell", &OutOfServiceItem{
				DataCentre: "lowell",
				Removed:    true,
			}),
			inForce: func(v *zlregistry.View) bool {
				return !v.OutOfService["lowell"]
			},
			holds: has("lowell", false),
		},
		{
			name:    "replica added",
			topic:   TopicReplicas,
			write:   put(TopicReplicas, "c", replicaItem("c", 1, false)),
			inForce: replicas(3),
			holds:   has("c", true),
		},
		{
			name:    "replica removed",
			topic:   TopicReplicas,
			write:   remove(TopicReplicas, "b", &ReplicaItem{ID: "b"}),
			inForce: replicas(1),
			holds:   has("b", false),
		},
		{
			name:    "replica draining",
			topic:   TopicReplicas,
			write:   put(TopicReplicas, "b", replicaItem("b", 2, true)),
			inForce: replicas(1),
			holds: func(items map[string]Item) bool {
				return items["b"].(*ReplicaItem).Replica.Draining
			},
		},
		{
			name:  "table",
			topic: TopicTable,
			write: put(TopicTable, "main", tableItem(2)),
			inForce: func(v *zlregistry.View) bool {
				return v.Table.Version == 2
			},
			holds: func(items map[string]Item) bool {
				return items["table"].(*TableItem).Table.Version == 2
			},
		},
	}
}

// Guards against a VM that loses a change for good (review/1, EVAC): a list of the store
// that a newer delta of another VM overtook replaced it, and the newer revision was kept.
// Before the fix it failed for marks and replicas, with "in force: false".
func TestOvertakenListDoesNotUndoNewerDelta(t *testing.T) {
	for _, c := range overtakenChanges() {
		for name, restarted := range map[string]bool{
			"after a start":        true,
			"after a failed watch": false,
		} {
			t.Run(c.name+" "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					testOvertakenList(t, &c, restarted)
				})
			})
		}
	}
}

func testOvertakenList(t *testing.T, c *overtakenChange, restarted bool) {
	timer := &zltimer.Service{}
	s := newFakeStore()
	s.put(TopicTable, "main", tableItem(1))
	s.put(TopicReplicas, "a", replicaItem("a", 1, false))
	s.put(TopicReplicas, "b", replicaItem("b", 1, false))
	s.put(TopicOutOfService, "lowell", &OutOfServiceItem{
		DataCentre: "lowell",
	})
	done := make(chan struct{})
	w := &Watcher{
		Timer:    timer,
		Registry: &zlregistry.Registry{Timer: timer},
		Store:    s,
		Done:     done,
	}
	overtake := func(topic Topic) {
		if topic != c.topic {
			return
		}
		s.set(func() { s.onList = nil }, false)
		d := &Delta{
			Full: restarted,
		}
		s.mu.Lock()
		d.FromRevision = s.at()
		s.mu.Unlock()
		change := c.write(s)
		s.mu.Lock()
		d.ToRevision = s.at()
		if restarted {
			for _, i := range s.items[topic] {
				d.Items = append(d.Items, i)
			}
		} else {
			d.Items = append(d.Items, change)
		}
		s.mu.Unlock()
		if !w.ApplyPeerDelta(topic, d) {
			t.Errorf("the delta of the other VM does not join what this VM holds")
		}
	}
	if restarted {
		s.onList = overtake
	}
	ended := make(chan struct{})
	go func() {
		w.Run()
		close(ended)
	}()
	defer func() {
		close(done)
		<-ended
	}()
	time.Sleep(time.Second)
	if !restarted {
		s.set(func() { s.onList = overtake }, true)
	}
	for range 20 {
		time.Sleep(time.Second)
		items := map[string]Item{}
		for _, i := range w.DeltaSince(c.topic, zlrevision.Revision{}).Items {
			name, _ := key(i)
			items[name] = i
		}
		if v := w.Registry.View(); !c.inForce(v) || !c.holds(items) {
			t.Fatalf("in force: %v, handed to other VMs: %v; want the change of the other VM in both", c.inForce(v), c.holds(items))
		}
	}
}

// A delta of another VM that begins after what this VM holds would leave a gap, and is
// refused.
func TestDeltaBeyondWhatIsHeldIsRefused(t *testing.T) {
	timer := &zltimer.Service{}
	w := &Watcher{
		Timer:    timer,
		Registry: &zlregistry.Registry{Timer: timer},
	}
	revision := func(n zlrevision.Number) zlrevision.Revision {
		return zlrevision.Revision{
			Number: n,
		}
	}
	full := &Delta{
		ToRevision: revision(5),
		Full:       true,
		Items:      []Item{replicaItem("a", 1, false)},
	}
	beyond := &Delta{
		FromRevision: revision(7),
		ToRevision:   revision(9),
		Items:        []Item{replicaItem("b", 1, false)},
	}
	if w.ApplyPeerDelta(TopicReplicas, beyond) || !w.ApplyPeerDelta(TopicReplicas, full) || w.ApplyPeerDelta(TopicReplicas, beyond) {
		t.Error("got a delta with a gap applied, or a full one not")
	}
	if got := w.Revisions()[TopicReplicas]; got != revision(5) || usable(w.Registry) != 1 {
		t.Errorf("got revision %v and %d replicas, want 5 and 1", got, usable(w.Registry))
	}
}

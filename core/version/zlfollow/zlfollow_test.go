package zlfollow

import (
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zltable"
)

// configBound and contactWindow are the platform's own: news is in force within
// the first, and after trouble within both.
const (
	configBound   = 3 * time.Second
	contactWindow = 4 * time.Second
)

func version(n zltable.Version) *TableItem {
	return &TableItem{
		Table: zltable.New(n, nil, nil, zltable.Limits{}),
	}
}

func entry(id string, seq uint64, draining bool) *ReplicaItem {
	return &ReplicaItem{
		ID: zlunit.Upstream(id),
		Replica: &zlregistry.Replica{
			ID:       zlunit.Upstream(id),
			Service:  "finder",
			Address:  "a",
			Born:     1,
			Seq:      seq,
			Draining: draining,
		},
	}
}

func follow(t *testing.T, run func(s *fakeStore, b *zlregistry.Book)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		timer := &zltimer.Service{}
		s := newFakeStore()
		b := &zlregistry.Book{
			Timer: timer,
		}
		done := make(chan struct{})
		f := &Follower{
			Timer: timer,
			Book:  b,
			Store: s,
			Done:  done,
		}
		s.put(TopicTable, "main", version(1))
		s.put(TopicReplicas, "a", entry("a", 1, false))
		s.put(TopicReplicas, "b", entry("b", 1, false))
		ended := make(chan struct{})
		go func() {
			f.Run()
			close(ended)
		}()
		go timer.Subscribe(done, 250*time.Millisecond, 0, b.Expire)
		time.Sleep(time.Second)
		run(s, b)
		close(done)
		<-ended
	})
}

func usable(b *zlregistry.Book) int {
	return len(b.View().Replicas["finder"])
}

func TestNewsIsInForceInTime(t *testing.T) {
	follow(t, func(s *fakeStore, b *zlregistry.Book) {
		s.put(TopicTable, "main", version(2))
		s.put(TopicReplicas, "a", entry("a", 2, true))
		time.Sleep(configBound / 2)
		if v := b.View(); v.Table.Version != 2 || usable(b) != 1 {
			t.Fatalf("version %d, %d replicas", v.Table.Version, usable(b))
		}
	})
}

// The store hears changes while watches do not, drops them and cuts the
// watches.
func TestCutWatchIsFollowedByAList(t *testing.T) {
	follow(t, func(s *fakeStore, b *zlregistry.Book) {
		s.set(func() { s.deaf = true }, false)
		s.put(TopicTable, "main", version(2))
		s.put(TopicReplicas, "a", entry("a", 2, true))
		s.set(func() { s.deaf = false }, true)
		time.Sleep(configBound / 2)
		if v := b.View(); v.Table.Version != 2 || usable(b) != 1 {
			t.Fatalf("version %d, %d replicas", v.Table.Version, usable(b))
		}
	})
}

// A watch that begins right after others were cut is taken by a store that still
// drops its history, and hears nothing (guild-finder reshard-in-trouble --vary --seed
// 959063488592).
func TestWatchTakenAfterACutIsNotTrusted(t *testing.T) {
	follow(t, func(s *fakeStore, b *zlregistry.Book) {
		s.set(func() { s.deaf = true }, false)
		s.put(TopicTable, "main", version(2))
		s.set(func() { s.deaf, s.mute = false, true }, true)
		time.Sleep(100 * time.Millisecond)
		s.set(func() { s.mute = false }, false)
		s.put(TopicTable, "main", version(3))
		s.put(TopicReplicas, "a", entry("a", 2, true))
		time.Sleep(configBound)
		if v := b.View(); v.Table.Version != 3 || usable(b) != 1 {
			t.Fatalf("version %d, %d replicas", v.Table.Version, usable(b))
		}
	})
}

// A watch that was sent while the store was silent never returns.
func TestWatchTakenInAnOutageIsNotTrusted(t *testing.T) {
	follow(t, func(s *fakeStore, b *zlregistry.Book) {
		s.put(TopicTable, "main", version(2))
		s.put(TopicReplicas, "b", entry("b", 2, false))
		time.Sleep(rearmTable / 2)
		s.set(func() { s.swallow = true }, false)
		time.Sleep(4 * time.Second)
		s.set(func() { s.swallow = false }, false)
		time.Sleep(contactWindow)
		s.put(TopicTable, "main", version(3))
		s.put(TopicReplicas, "a", entry("a", 2, true))
		time.Sleep(configBound)
		if v := b.View(); v.Table.Version != 3 || usable(b) != 1 {
			t.Fatalf("version %d, %d replicas", v.Table.Version, usable(b))
		}
	})
}

func TestLostStoreIsOnlyPulsed(t *testing.T) {
	follow(t, func(s *fakeStore, _ *zlregistry.Book) {
		s.set(func() { s.down = true }, true)
		time.Sleep(2 * time.Second)
		pulses, lists := s.calls()
		time.Sleep(6 * time.Second)
		morePulses, moreLists := s.calls()
		if n := morePulses - pulses; n < 10 || n > 20 {
			t.Errorf("%d pulses in 6 s", n)
		}
		if n := moreLists - lists; n != 0 {
			t.Errorf("%d lists while the store is down", n)
		}
	})
}

// Entries lapse while the store is out and are back within two seconds of its
// return; what is still missing then is gone.
func TestEntriesMissingAfterAnOutageAreHeldForTwoSeconds(t *testing.T) {
	follow(t, func(s *fakeStore, b *zlregistry.Book) {
		s.set(func() { s.down = true }, true)
		time.Sleep(5 * time.Second)
		s.remove(TopicReplicas, "a", &ReplicaItem{
			ID: "a",
		})
		s.remove(TopicReplicas, "b", &ReplicaItem{
			ID: "b",
		})
		s.set(func() { s.down = false }, false)
		time.Sleep(time.Second)
		if usable(b) != 2 {
			t.Fatalf("%d replicas a second after the return, want both", usable(b))
		}
		s.put(TopicReplicas, "b", entry("b", 9, false))
		time.Sleep(configBound)
		if usable(b) != 1 {
			t.Fatalf("%d replicas, want the one that came back", usable(b))
		}
	})
}

func TestOldEntriesChangeNothing(t *testing.T) {
	follow(t, func(s *fakeStore, b *zlregistry.Book) {
		s.put(TopicReplicas, "a", entry("a", 5, true))
		time.Sleep(time.Second)
		s.put(TopicReplicas, "a", entry("a", 4, false))
		time.Sleep(time.Second)
		if usable(b) != 1 {
			t.Fatalf("%d replicas after an old entry of a leaving one", usable(b))
		}
		s.remove(TopicReplicas, "b", &ReplicaItem{
			ID: "b",
		})
		time.Sleep(time.Second)
		s.put(TopicReplicas, "b", entry("b", 1, false))
		time.Sleep(time.Second)
		if usable(b) != 0 {
			t.Fatalf("%d replicas after a late entry of one that is gone", usable(b))
		}
	})
}

func TestVersionsOnlyGrow(t *testing.T) {
	follow(t, func(s *fakeStore, b *zlregistry.Book) {
		s.put(TopicTable, "main", version(5))
		time.Sleep(time.Second)
		s.put(TopicTable, "main", version(3))
		time.Sleep(time.Second)
		if v := b.View().Table.Version; v != 5 {
			t.Fatalf("version %d", v)
		}
	})
}

// fedAlways says that other VMs bring the news.
type fedAlways struct{}

func (fedAlways) Fed(bool) bool { return true }

func (fedAlways) MayAsk() bool { return false }

func (fedAlways) Settled() time.Time { return time.Time{} }

func (fedAlways) Regained() {}

// A VM that the store turns away while others feed it takes a removal at once:
// the outage is only its own (guild-finder trouble-1 --seed 12).
func TestVMThatIsFedHoldsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timer := &zltimer.Service{}
		s := newFakeStore()
		s.down = true
		done := make(chan struct{})
		f := &Follower{
			Timer: timer,
			Book: &zlregistry.Book{
				Timer: timer,
			},
			Store: s,
			Feed:  fedAlways{},
			Done:  done,
		}
		ended := make(chan struct{})
		go func() {
			f.Run()
			close(ended)
		}()
		f.Offer(TopicReplicas, &Delta{
			To:    1,
			Full:  true,
			Items: []Item{entry("a", 1, false), entry("b", 1, false)},
		})
		synctest.Wait()
		f.lose("pulse", errDown)
		time.Sleep(5 * time.Second)
		f.Offer(TopicReplicas, &Delta{
			From: 1,
			To:   2,
			Items: []Item{&ReplicaItem{
				ID: "a",
			}},
		})
		if n := usable(f.Book); n != 1 {
			t.Errorf("%d replicas after one was removed", n)
		}
		close(done)
		<-ended
	})
}

// A new life is cold only for as long as its entry says: a VM that learns many at
// once, after it was cut off, must not take them all for cold.
func TestNewLifeIsColdAsItsEntrySays(t *testing.T) {
	follow(t, func(s *fakeStore, b *zlregistry.Book) {
		warm, cold := entry("c", 1, false), entry("d", 1, false)
		cold.Replica.ColdFor = 3 * time.Second
		s.put(TopicReplicas, "c", warm)
		s.put(TopicReplicas, "d", cold)
		time.Sleep(time.Second)
		for _, e := range b.View().Replicas["finder"] {
			if e.Cold(time.Now()) != (e.ID == "d") {
				t.Errorf("%s cold: %v", e.ID, e.Cold(time.Now()))
			}
		}
		time.Sleep(3 * time.Second)
		for _, e := range b.View().Replicas["finder"] {
			if e.Cold(time.Now()) {
				t.Errorf("%s still cold", e.ID)
			}
		}
	})
}

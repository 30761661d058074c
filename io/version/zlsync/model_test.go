package zlsync

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlhistory"
	"zinnialock/core/version/zlobject"
	"zinnialock/core/version/zlsettings"
)

// fleetModel drives daemons and editors against a platform that fails in every
// way, and knows what was accepted.
type fleetModel struct {
	p         *fakePlatform
	daemons   []*Follower
	highest   []zlobject.Rank
	backups   []snapshot
	old       []zlobject.Item
	seq       int
	accepted  map[zlhistory.FieldPath]int
	nonces    []zlhistory.Nonce
	uncertain map[zlhistory.FieldPath][]int
}

const modelDaemons = 4

func newModel() *fleetModel {
	m := &fleetModel{
		p:         newFake(),
		highest:   make([]zlobject.Rank, modelDaemons),
		accepted:  map[zlhistory.FieldPath]int{},
		uncertain: map[zlhistory.FieldPath][]int{},
	}
	for range modelDaemons {
		m.daemons = append(m.daemons, newFollower(m.p))
	}
	return m
}

func (m *fleetModel) place(t *rapid.T) zlhistory.FieldPath {
	return zlhistory.FieldPath{
		Path: rapid.SampledFrom([]string{"guild", "guild/lowell"}).Draw(t, "path"),
		Key:  rapid.SampledFrom([]string{"deadline", "viewAge", "enoughAfter"}).Draw(t, "key"),
	}
}

// edit makes one edit with a value of its own and notes its outcome.
func (m *fleetModel) edit(t *rapid.T, p zlhistory.FieldPath, seq int, mu *sync.Mutex) {
	ctx, cancel := within(3 * time.Second)
	defer cancel()
	value := fmt.Sprintf("%dms", 1000+seq)
	got, err := newEditor(m.p).Edit(ctx, &Settings, setting("ann", p.Path, p.Key, value))
	mu.Lock()
	defer mu.Unlock()
	switch {
	case err == nil:
		m.accepted[p] = seq
		m.nonces = append(m.nonces, got.Nonce)
	case kindOf(err) == KindUnknown:
		m.uncertain[p] = append(m.uncertain[p], seq)
	case kindOf(err) == KindInvalid || kindOf(err) == "":
		t.Fatalf("edit: %v", err)
	}
}

// Edit makes one edit, perhaps with lost replies.
func (m *fleetModel) Edit(t *rapid.T) {
	lost := rapid.IntRange(0, 2).Draw(t, "lost")
	m.p.set(func() {
		m.p.loseReplies = lost
	})
	var mu sync.Mutex
	m.seq++
	m.edit(t, m.place(t), m.seq, &mu)
	m.p.set(func() {
		m.p.loseReplies = 0
	})
}

// Race makes two edits at once.
func (m *fleetModel) Race(t *rapid.T) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	m.p.set(func() {
		m.p.latency = 5 * time.Millisecond
	})
	for _, p := range []zlhistory.FieldPath{m.place(t), m.place(t)} {
		m.seq++
		seq := m.seq
		wg.Go(func() {
			m.edit(t, p, seq, &mu)
		})
	}
	wg.Wait()
	m.p.set(func() {
		m.p.latency = 0
	})
}

// Outage makes an edit during which the platform goes down for a while.
func (m *fleetModel) Outage(t *rapid.T) {
	m.p.set(func() {
		m.p.latency = 5 * time.Millisecond
	})
	at := rapid.IntRange(0, 20).Draw(t, "at")
	long := rapid.IntRange(1, 5000).Draw(t, "long")
	lost := rapid.IntRange(0, 1).Draw(t, "lost")
	m.p.set(func() {
		m.p.loseReplies = lost
	})
	time.AfterFunc(time.Duration(at)*time.Millisecond, func() {
		m.p.setDown(true)
	})
	time.AfterFunc(time.Duration(at+long)*time.Millisecond, func() {
		m.p.setDown(false)
	})
	var mu sync.Mutex
	m.seq++
	m.edit(t, m.place(t), m.seq, &mu)
	time.Sleep(6 * time.Second)
	m.p.set(func() {
		m.p.latency = 0
		m.p.loseReplies = 0
	})
}

func (m *fleetModel) daemon(t *rapid.T) int {
	return rapid.IntRange(0, modelDaemons-1).Draw(t, "daemon")
}

// Poll lets one daemon hear the platform.
func (m *fleetModel) Poll(t *rapid.T) {
	_ = m.daemons[m.daemon(t)].Poll(context.Background(), 0)
}

// Recheck lets one daemon read the records in full, and repair.
func (m *fleetModel) Recheck(t *rapid.T) {
	f := m.daemons[m.daemon(t)]
	f.init()
	_ = f.recheck(context.Background())
	f.repairs.Wait()
}

// Gossip lets two daemons exchange news.
func (m *fleetModel) Gossip(t *rapid.T) {
	a, b := m.daemons[m.daemon(t)], m.daemons[m.daemon(t)]
	_, give := a.Store().Compare(b.Store().Ranks())
	b.Take(give)
	m.old = append(m.old, give...)
}

// OldNews brings a daemon something it may long have passed.
func (m *fleetModel) OldNews(t *rapid.T) {
	if len(m.old) == 0 {
		t.Skip("none yet")
	}
	m.daemons[m.daemon(t)].Take([]zlobject.Item{rapid.SampledFrom(m.old).Draw(t, "item")})
}

// Stale makes reads answer from an older state, or ends that.
func (m *fleetModel) Stale(*rapid.T) {
	now := m.p.backup().objects
	m.p.set(func() {
		if m.p.stale == nil {
			m.p.stale = now
		} else {
			m.p.stale = nil
		}
	})
}

// holdsAll reports whether daemon i has every accepted edit.
func (m *fleetModel) holdsAll(i int) bool {
	item, ok := m.daemons[i].Store().Get(Settings.key())
	if !ok {
		return len(m.nonces) == 0
	}
	log := item.Decoded.(*zlsettings.Tree).History
	for _, nonce := range m.nonces {
		if !log.Has(nonce) {
			return false
		}
	}
	return true
}

// Restart replaces a daemon by one that knows nothing, unless it is the last to
// hold every accepted edit.
func (m *fleetModel) Restart(t *rapid.T) {
	at := m.daemon(t)
	for i := range m.daemons {
		if i != at && m.holdsAll(i) {
			m.daemons[at] = newFollower(m.p)
			m.highest[at] = zlobject.Rank{}
			return
		}
	}
	t.Skip("the last that knows")
}

// Backup keeps the platform's state.
func (m *fleetModel) Backup(*rapid.T) {
	m.backups = append(m.backups, m.p.backup())
}

// Restore takes the platform back to an older state, if some daemon holds
// every accepted edit: without one they could not come back.
func (m *fleetModel) Restore(t *rapid.T) {
	known := false
	for i := range m.daemons {
		known = known || m.holdsAll(i)
	}
	if len(m.backups) == 0 || !known {
		t.Skip("nothing to restore")
	}
	// Versions are given anew after a restore. A read from before it would
	// match a write after it, which no conditional write can tell apart.
	m.p.set(func() {
		m.p.stale = nil
	})
	m.p.restore(m.backups[rapid.IntRange(0, len(m.backups)-1).Draw(t, "backup")])
}

// Check is the invariant: what a daemon holds only gets newer.
func (m *fleetModel) Check(t *rapid.T) {
	for i, f := range m.daemons {
		item, ok := f.Store().Get(Settings.key())
		if !ok {
			continue
		}
		if item.Rank.Less(m.highest[i]) {
			t.Fatalf("daemon %d went back from %v to %v", i, m.highest[i], item.Rank)
		}
		m.highest[i] = item.Rank
		if f.Views.Load().Tree != item.Decoded {
			t.Fatalf("daemon %d: another tree is in force than the one it holds", i)
		}
	}
}

// converge ends all faults and lets the daemons work.
func (m *fleetModel) converge(t *rapid.T) {
	m.p.set(func() {
		m.p.stale = nil
		m.p.down = false
	})
	for range 3 {
		for _, f := range m.daemons {
			// The second poll lists anew if the first found a restored platform.
			_ = f.Poll(context.Background(), 0)
			_ = f.Poll(context.Background(), 0)
			if err := f.recheck(context.Background()); err != nil {
				t.Fatalf("recheck: %v", err)
			}
			f.repairs.Wait()
			m.Check(t)
		}
	}
	m.checkConverged(t)
}

func (m *fleetModel) checkConverged(t *rapid.T) {
	var first zlunit.Serial
	for i, f := range m.daemons {
		tree := f.Views.Load().Tree
		if i == 0 {
			first = tree.Serial
		}
		if tree.Serial != first {
			t.Fatalf("daemon %d is at serial %d, daemon 0 at %d", i, tree.Serial, first)
		}
		for p, seq := range m.accepted {
			if !m.allowed(tree.Value(p), p, seq) {
				t.Fatalf("daemon %d: %v is %v, accepted was %d, uncertain %v", i, p, tree.Value(p), seq, m.uncertain[p])
			}
		}
	}
}

func (m *fleetModel) allowed(value any, p zlhistory.FieldPath, seq int) bool {
	for _, s := range append([]int{seq}, m.uncertain[p]...) {
		if value == fmt.Sprintf("%dms", 1000+s) {
			return true
		}
	}
	return false
}

// bubble hides T.Deadline, which may not be called in virtual time.
type bubble struct {
	rapid.TB
}

func TestAcceptedEditsAreNeverLostAndVersionsOnlyGrow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{t}, func(t *rapid.T) {
			m := newModel()
			t.Repeat(rapid.StateMachineActions(m))
			m.converge(t)
		})
	})
}

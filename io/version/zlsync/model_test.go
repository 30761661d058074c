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

// fleetModel runs daemons and editors against a platform with outages, lost
// replies, stale reads and restores, and records which edits were accepted. rapid
// calls its exported methods in random order.
type fleetModel struct {
	platform     *fakePlatform
	daemons      []*Watcher
	highestRanks []zlobject.Rank
	backups      []snapshot
	oldItems     []zlobject.Item
	seq          int
	// accepted holds the last accepted edit of each field, nonces those of all.
	accepted map[zlhistory.FieldPath]int
	nonces   []zlhistory.Nonce
	// uncertain holds the edits that may have taken effect.
	uncertain map[zlhistory.FieldPath][]int
}

const modelDaemons = 4

func newModel() *fleetModel {
	m := &fleetModel{
		platform:     newFakePlatform(),
		highestRanks: make([]zlobject.Rank, modelDaemons),
		accepted:     map[zlhistory.FieldPath]int{},
		uncertain:    map[zlhistory.FieldPath][]int{},
	}
	for range modelDaemons {
		m.daemons = append(m.daemons, newWatcher(m.platform))
	}
	return m
}

func (m *fleetModel) drawField(t *rapid.T) zlhistory.FieldPath {
	return zlhistory.FieldPath{
		Path: rapid.SampledFrom([]string{"guild", "guild/lowell"}).Draw(t, "path"),
		Key:  rapid.SampledFrom([]string{"deadline", "viewAge", "enoughAfter"}).Draw(t, "key"),
	}
}

// edit makes one edit with a unique value and records its outcome.
func (m *fleetModel) edit(t *rapid.T, p zlhistory.FieldPath, seq int, mu *sync.Mutex) {
	ctx, cancel := withTimeout(3 * time.Second)
	defer cancel()
	value := fmt.Sprintf("%dms", 1000+seq)
	got, err := newEditor(m.platform).Edit(ctx, &Settings, setting("ann", p.Path, p.Key, value))
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

// Edit makes one edit, whose replies may be lost.
func (m *fleetModel) Edit(t *rapid.T) {
	lost := rapid.IntRange(0, 2).Draw(t, "lost")
	m.platform.withLock(func() {
		m.platform.loseReplies = lost
	})
	var mu sync.Mutex
	m.seq++
	m.edit(t, m.drawField(t), m.seq, &mu)
	m.platform.withLock(func() {
		m.platform.loseReplies = 0
	})
}

// Race makes two edits at once.
func (m *fleetModel) Race(t *rapid.T) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	m.platform.withLock(func() {
		m.platform.latency = 5 * time.Millisecond
	})
	for _, p := range []zlhistory.FieldPath{m.drawField(t), m.drawField(t)} {
		m.seq++
		seq := m.seq
		wg.Go(func() {
			m.edit(t, p, seq, &mu)
		})
	}
	wg.Wait()
	m.platform.withLock(func() {
		m.platform.latency = 0
	})
}

// Outage makes an edit during which the platform has an outage.
func (m *fleetModel) Outage(t *rapid.T) {
	m.platform.withLock(func() {
		m.platform.latency = 5 * time.Millisecond
	})
	at := rapid.IntRange(0, 20).Draw(t, "at")
	long := rapid.IntRange(1, 5000).Draw(t, "long")
	lost := rapid.IntRange(0, 1).Draw(t, "lost")
	m.platform.withLock(func() {
		m.platform.loseReplies = lost
	})
	time.AfterFunc(time.Duration(at)*time.Millisecond, func() {
		m.platform.setDown(true)
	})
	time.AfterFunc(time.Duration(at+long)*time.Millisecond, func() {
		m.platform.setDown(false)
	})
	var mu sync.Mutex
	m.seq++
	m.edit(t, m.drawField(t), m.seq, &mu)
	time.Sleep(6 * time.Second)
	m.platform.withLock(func() {
		m.platform.latency = 0
		m.platform.loseReplies = 0
	})
}

func (m *fleetModel) drawDaemon(t *rapid.T) int {
	return rapid.IntRange(0, modelDaemons-1).Draw(t, "daemon")
}

// Poll makes one daemon poll the platform.
func (m *fleetModel) Poll(t *rapid.T) {
	_ = m.daemons[m.drawDaemon(t)].Poll(context.Background(), 0)
}

// Recheck makes one daemon read all records, and repair them.
func (m *fleetModel) Recheck(t *rapid.T) {
	w := m.daemons[m.drawDaemon(t)]
	w.init()
	_ = w.recheck(context.Background())
	w.repairs.Wait()
}

// Gossip passes from one daemon to another the items that it lacks.
func (m *fleetModel) Gossip(t *rapid.T) {
	a, b := m.daemons[m.drawDaemon(t)], m.daemons[m.drawDaemon(t)]
	_, give := a.Store().Compare(b.Store().Ranks())
	b.ApplyItems(give)
	m.oldItems = append(m.oldItems, give...)
}

// OldItem gives a daemon an item that may be older than the one it holds.
func (m *fleetModel) OldItem(t *rapid.T) {
	if len(m.oldItems) == 0 {
		t.Skip("no item was exchanged yet")
	}
	m.daemons[m.drawDaemon(t)].ApplyItems([]zlobject.Item{rapid.SampledFrom(m.oldItems).Draw(t, "item")})
}

// Stale makes reads return the present state from now on, so that they become
// stale, or ends that.
func (m *fleetModel) Stale(*rapid.T) {
	currentObjects := m.platform.backup().objects
	m.platform.withLock(func() {
		if m.platform.stale == nil {
			m.platform.stale = currentObjects
		} else {
			m.platform.stale = nil
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

// Restart replaces a daemon by one without any object, unless it is the last that
// holds every accepted edit.
func (m *fleetModel) Restart(t *rapid.T) {
	at := m.drawDaemon(t)
	for i := range m.daemons {
		if i != at && m.holdsAll(i) {
			m.daemons[at] = newWatcher(m.platform)
			m.highestRanks[at] = zlobject.Rank{}
			return
		}
	}
	t.Skip("no other daemon holds every accepted edit")
}

// Backup saves the platform's state.
func (m *fleetModel) Backup(*rapid.T) {
	m.backups = append(m.backups, m.platform.backup())
}

// Restore resets the platform to an older state, if some daemon holds every
// accepted edit: otherwise they could not be recovered.
func (m *fleetModel) Restore(t *rapid.T) {
	recoverable := false
	for i := range m.daemons {
		recoverable = recoverable || m.holdsAll(i)
	}
	if len(m.backups) == 0 || !recoverable {
		t.Skip("no backup, or no daemon that holds every accepted edit")
	}
	// Versions are reused after a restore. A conditional write can't detect that
	// the version of a read before the restore belongs to another state.
	m.platform.withLock(func() {
		m.platform.stale = nil
	})
	m.platform.restore(m.backups[rapid.IntRange(0, len(m.backups)-1).Draw(t, "backup")])
}

// Check checks the invariant: the rank of what a daemon holds only grows.
func (m *fleetModel) Check(t *rapid.T) {
	for i, w := range m.daemons {
		item, ok := w.Store().Get(Settings.key())
		if !ok {
			continue
		}
		if item.Rank.Less(m.highestRanks[i]) {
			t.Fatalf("daemon %d: rank fell from %v to %v", i, m.highestRanks[i], item.Rank)
		}
		m.highestRanks[i] = item.Rank
		if w.Views.Load().Tree != item.Decoded {
			t.Fatalf("daemon %d: the tree in force is not the one it holds", i)
		}
	}
}

// converge ends all faults, runs the daemons and checks that they agree.
func (m *fleetModel) converge(t *rapid.T) {
	m.platform.withLock(func() {
		m.platform.stale = nil
		m.platform.down = false
	})
	for range 3 {
		for _, w := range m.daemons {
			// The second poll lists all objects if the first detected a restore.
			_ = w.Poll(context.Background(), 0)
			_ = w.Poll(context.Background(), 0)
			if err := w.recheck(context.Background()); err != nil {
				t.Fatalf("recheck: %v", err)
			}
			w.repairs.Wait()
			m.Check(t)
		}
	}
	m.checkConverged(t)
}

func (m *fleetModel) checkConverged(t *rapid.T) {
	var first zlunit.Serial
	for i, w := range m.daemons {
		tree := w.Views.Load().Tree
		if i == 0 {
			first = tree.Serial
		}
		if tree.Serial != first {
			t.Fatalf("daemon %d: got serial %d, want %d as daemon 0 has", i, tree.Serial, first)
		}
		for p, seq := range m.accepted {
			if !m.allowed(tree.Value(p), p, seq) {
				t.Fatalf("daemon %d: %v: got %v, want accepted %d or one of uncertain %v", i, p, tree.Value(p), seq, m.uncertain[p])
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

// noDeadline hides T.Deadline, which must not be called in a synctest bubble.
type noDeadline struct {
	rapid.TB
}

func TestAcceptedEditsAreNeverLostAndVersionsOnlyGrow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(t *rapid.T) {
			m := newModel()
			t.Repeat(rapid.StateMachineActions(m))
			m.converge(t)
		})
	})
}

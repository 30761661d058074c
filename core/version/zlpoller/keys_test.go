package zlpoller

import (
	"slices"
	"testing"
	"time"

	"zinnialock/core/version/zltable"
)

// revokeTimeout is how long after the last confirmation a VM still relies on keys.
const revokeTimeout = 5 * time.Second

// reliesOn reports whether a VM holds the table of a version and its confirmation is recent.
func (v *vm) reliesOn(version zltable.Version) bool {
	at := v.watcher.TableConfirmedAt()
	if byPeers := v.policy.HeldConfirmedAt(); byPeers.After(at) {
		at = byPeers
	}
	table := v.registry.Current().Table
	return table != nil && table.Version == version && !at.IsZero() && time.Since(at) <= revokeTimeout
}

// A key that was taken must not be accepted past the time-out at any VM, in contact or not, nor
// while one returns from a partition; a VM that peers keep up to date must not refuse.
func TestTakenKeyIsNotReliedOn(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		withoutStore, alone, restarted := f.vms[0], f.vms[1], f.build(membersOf(fleetSize + 1)[fleetSize])
		withoutStore.set(&withoutStore.storeCut, true)
		for _, v := range []*vm{alone, restarted} {
			v.set(&v.storeCut, true)
			v.set(&v.peersCut, true)
		}
		restarted.policy.SetMembers(membersOf(fleetSize))
		go restarted.watcher.Run()
		defer close(restarted.done)
		all := append(slices.Clone(f.vms), restarted)
		old := f.vms[0].registry.View().Table.Version
		taken := time.Now()
		version := f.store.put()
		for time.Since(taken) < 20*time.Second {
			time.Sleep(50 * time.Millisecond)
			since := time.Since(taken)
			if since > 12*time.Second {
				for _, v := range []*vm{alone, restarted} {
					v.set(&v.storeCut, false)
					v.set(&v.peersCut, false)
				}
			}
			for _, v := range all {
				isOut := v == alone || v == restarted
				if since > revokeTimeout && v.reliesOn(old) || since > bound && !isOut && !v.reliesOn(version) {
					t.Errorf("%s: after %v: relies on the old table %v, on the new one %v", v.member.VM, since, v.reliesOn(old), v.reliesOn(version))
					return
				}
			}
			if since < revokeTimeout-time.Second && !alone.reliesOn(old) {
				t.Errorf("the VM that is cut off refuses after %v already", since)
			}
			if since < 12*time.Second && (restarted.reliesOn(old) || restarted.reliesOn(version)) {
				t.Error("a VM that started without contact relies on a table")
			}
		}
		for _, v := range all {
			if !v.reliesOn(version) {
				t.Errorf("%s: does not rely on the new table after its return", v.member.VM)
			}
		}
	})
}

package zlwatcher

import (
	"testing"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zlrevision"
	"zinnialock/core/version/zltable"
)

// A peer of a build that knows no organisations drops them from the tables that it passes on.
// Its table must not let all callers in; the store's may.
func TestPeerOfABuildWithoutOrganisations(t *testing.T) {
	timer := &zltimer.Service{}
	w := &Watcher{
		Timer: timer,
		Registry: &zlregistry.Registry{
			Timer: timer,
		},
	}
	organisations := []zltable.Organisation{{
		Name: "a",
		Keys: []zltable.KeyDigest{zltable.DigestKey("k")},
	}}
	delta := func(n zlrevision.Number, list []zltable.Organisation) *Delta {
		return &Delta{
			ToRevision: zlrevision.Revision{
				Number: n,
			},
			FromRevision: zlrevision.Revision{
				Number: n - 1,
			},
			Full: n == 1,
			Items: []Item{&TableItem{
				Table: zltable.New(zltable.Version(n), nil, nil, zltable.Limits{}).WithOrganisations(list),
			}},
		}
	}
	needsKeys := func(step string, want bool) {
		t.Helper()
		if got := w.Registry.Current().KeyTable().NeedsKeys(); got != want {
			t.Errorf("%s: got needs keys %v, want %v", step, got, want)
		}
	}
	w.ApplyPeerDelta(TopicTable, delta(1, nil))
	needsKeys("start", false)
	w.DropTableWithoutKeys(zlrevision.Revision{
		Number: 1,
	})
	if w.Revisions()[TopicTable] != (zlrevision.Revision{}) || !w.ApplyPeerDelta(TopicTable, delta(1, organisations)) {
		t.Error("the same revision with organisations was not taken")
	}
	needsKeys("same revision of another peer", true)
	if w.ApplyPeerDelta(TopicTable, delta(2, nil)) {
		t.Error("a table without organisations was taken from a peer")
	}
	needsKeys("later revision of a peer", true)
	w.applyDelta(TopicTable, delta(2, nil), timer.Now(), true)
	needsKeys("later revision of the store", false)
	for n := zlrevision.Number(3); n < 9; n++ {
		w.applyDelta(TopicTable, delta(n, organisations), timer.Now(), true)
	}
	if d := w.DeltaSince(TopicTable, zlrevision.Revision{Number: 1}); d.Full || len(d.Items) != 1 {
		t.Errorf("got %d tables for a peer, full %v, want the newest only", len(d.Items), d.Full)
	}
}

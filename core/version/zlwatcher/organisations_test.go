package zlwatcher

import (
	"testing"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zlrevision"
	"zinnialock/core/version/zltable"
)

// tableDelta returns a delta with the table of a version, with one organisation or none. The
// first one is the whole topic.
func tableDelta(n zlrevision.Number, hasOrganisation bool) *Delta {
	var list []zltable.Organisation
	if hasOrganisation {
		list = []zltable.Organisation{{Name: "a"}}
	}
	return &Delta{
		FromRevision: zlrevision.Revision{Number: n - 1},
		ToRevision:   zlrevision.Revision{Number: n},
		Full:         n == 1,
		Items: []Item{&TableItem{
			Table: zltable.New(zltable.Version(n), nil, nil, zltable.Limits{}).WithOrganisations(list),
		}},
	}
}

// A peer of a build that knows no organisations drops them from the tables that it passes on.
// Its table must not let all callers in; the store's may. Kept deltas hold one table.
func TestPeerOfABuildWithoutOrganisations(t *testing.T) {
	timer := &zltimer.Service{}
	w := &Watcher{
		Timer:    timer,
		Registry: &zlregistry.Registry{Timer: timer},
	}
	check := func(step string, got, want, needsKeys bool) {
		if got != want || w.Registry.Current().KeyTable().NeedsKeys() != needsKeys {
			t.Errorf("%s: got taken %v, needs keys %v, want %v, %v", step, got, !needsKeys, want, needsKeys)
		}
	}
	check("start", w.ApplyPeerDelta(TopicTable, tableDelta(1, false)), true, false)
	w.DropTableWithoutKeys(zlrevision.Revision{Number: 1})
	check("another peer has organisations", w.ApplyPeerDelta(TopicTable, tableDelta(1, true)), true, true)
	check("a peer drops them", w.ApplyPeerDelta(TopicTable, tableDelta(2, false)), false, true)
	check("the store has none", w.applyDelta(TopicTable, tableDelta(2, false), timer.Now(), true), true, false)
	check("the store has some", w.applyDelta(TopicTable, tableDelta(3, true), timer.Now(), true), true, true)
	check("and later", w.applyDelta(TopicTable, tableDelta(4, true), timer.Now(), true), true, true)
	if d := w.DeltaSince(TopicTable, zlrevision.Revision{Number: 1}); d.Full || len(d.Items) != 1 {
		t.Errorf("got %d tables for a peer, full %v, want the newest only", len(d.Items), d.Full)
	}
}

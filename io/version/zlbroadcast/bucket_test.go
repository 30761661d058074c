package zlbroadcast

import (
	"fmt"
	"net"
	"net/http/httptest"
	"testing"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlrevision"
	"zinnialock/core/version/zltable"
	"zinnialock/core/version/zlwatcher"
)

// organisationsDelta returns a table of 5,000 organisations with two keys each, of which the
// first key of one is that of the version.
func organisationsDelta(version zltable.Version) *zlwatcher.Delta {
	list := make([]zltable.Organisation, 5000)
	for i := range list {
		list[i] = zltable.Organisation{
			Name: zlunit.Organisation(fmt.Sprintf("organisation-%05d", i)),
			Keys: []zltable.KeyDigest{zltable.DigestKey(fmt.Sprintf("first-%d", i)), zltable.DigestKey(fmt.Sprintf("second-%d", i))},
			Rate: float64(i%40) + 0.5,
		}
	}
	list[77].Keys[0] = zltable.DigestKey(fmt.Sprintf("of-%d", version))
	return &zlwatcher.Delta{
		Full: true,
		ToRevision: zlrevision.Revision{
			Number: zlrevision.Number(version),
		},
		Items: []zlwatcher.Item{&zlwatcher.TableItem{
			Table: zltable.New(version, nil, nil, zltable.Limits{}).WithOrganisations(list),
		}},
	}
}

// A change of one key must reach the other VMs with all other keys, and without sending the
// whole table to each of them, which takes longer than a change may over a thin link. Hashes
// that cannot be read get the whole table; a part must not be taken for it.
func TestKeyChangeIsFetched(t *testing.T) {
	pair := newPair(t)
	from, to := pair[0], pair[1]
	for version := zltable.Version(1); version <= 2; version++ {
		from.Watcher.ApplyPeerDelta(zlwatcher.TopicTable, organisationsDelta(version))
		if err := to.fetchTopic(from.Address, zlwatcher.TopicTable, to.Watcher.Revisions()[zlwatcher.TopicTable]); err != nil {
			t.Fatal(err)
		}
		held, got, sent := from.Watcher.HeldTable(), to.Watcher.HeldTable(), len(from.replies[zlwatcher.TopicTable].last[true].data)
		if got.Version != version || got.Keys() != 10000 || got.ChangeFrom(held) != nil || version == 2 && sent > 8<<10 {
			t.Errorf("version %d: got version %d, change %+v, %d bytes", version, got.Version, got.ChangeFrom(held), sent)
		}
		t.Logf("version %d: %d bytes", version, sent)
	}
	partial := toWire(organisationsDelta(3)).without(bucketQuery(to.Watcher.HeldTable()))
	to.handle(&message{Update: partial}, &net.UDPAddr{})
	if got := to.Watcher.HeldTable().Version; got != 2 || len(partial.Table.Organisations) > 200 || partial.Table.complete(nil) == nil {
		t.Errorf("got version %d by a datagram with %d organisations", got, len(partial.Table.Organisations))
	}
	w := httptest.NewRecorder()
	if from.serveFetch(w, httptest.NewRequest("GET", fetchPath+"0?have=0&buckets=%21x", nil)); w.Body.Len() < 10000*32 {
		t.Errorf("got status %d, %d bytes, want the whole table", w.Code, w.Body.Len())
	}
}

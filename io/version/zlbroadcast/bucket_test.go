package zlbroadcast

import (
	"fmt"
	"net"
	"net/http/httptest"
	"net/url"
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
		first := fmt.Sprintf("first-%d", i)
		if i == 77 {
			first = fmt.Sprintf("of-%d", version)
		}
		list[i] = zltable.Organisation{
			Name:  zlunit.Organisation(fmt.Sprintf("organisation-%05d", i)),
			Keys:  []zltable.KeyDigest{zltable.DigestKey(first), zltable.DigestKey(fmt.Sprintf("second-%d", i))},
			Rate:  float64(i%40) + 0.5,
			Burst: 10,
		}
	}
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
// whole table to each of them, which takes longer than a change may over a thin link.
func TestKeyChangeIsFetched(t *testing.T) {
	pair := newPair(t)
	pair[0].Watcher.ApplyPeerDelta(zlwatcher.TopicTable, organisationsDelta(1))
	for version := zltable.Version(1); version <= 2; version++ {
		if err := pair[1].fetchTopic(pair[0].Address, zlwatcher.TopicTable, pair[1].Watcher.Revisions()[zlwatcher.TopicTable]); err != nil {
			t.Fatal(err)
		}
		got := pair[1].Watcher.HeldTable()
		if got == nil || got.Version != version || len(got.Organisations) != 5000 || got.ChangeFrom(pair[0].Watcher.HeldTable()) != nil {
			t.Fatalf("version %d: got a table that differs: %+v", version, got.ChangeFrom(pair[0].Watcher.HeldTable()))
		}
		sent := len(pair[0].encoded[zlwatcher.TopicTable].data)
		t.Logf("version %d: %d bytes", version, sent)
		if version == 2 && sent > 8<<10 {
			t.Errorf("got %d bytes for one key", sent)
		}
		pair[0].Watcher.ApplyPeerDelta(zlwatcher.TopicTable, organisationsDelta(2))
	}
}

// What leaves organisations out must not be taken for the whole table, and hashes of any form
// must not end the process.
func TestPartialTableIsNotWhole(t *testing.T) {
	b := newPair(t)[0]
	b.Watcher.ApplyPeerDelta(zlwatcher.TopicTable, organisationsDelta(1))
	partial := toWire(organisationsDelta(2)).without(bucketQuery(b.Watcher.HeldTable()))
	if len(partial.Table.Organisations) > 200 || partial.Table.complete(nil) == nil {
		t.Errorf("got %d organisations, completed without a base", len(partial.Table.Organisations))
	}
	b.handle(&message{
		VM:     "vm1",
		Update: partial,
	}, &net.UDPAddr{})
	if got := b.Watcher.HeldTable(); got.Version != 1 {
		t.Errorf("got version %d by a datagram with a part of a table", got.Version)
	}
	for _, query := range []string{"x", "!", string(make([]byte, 3000))} {
		w := httptest.NewRecorder()
		b.serveFetch(w, httptest.NewRequest("GET", fetchPath+"0?have=0&buckets="+url.QueryEscape(query), nil))
		if w.Code != 200 || w.Body.Len() < 5000*32 {
			t.Errorf("%q: got status %d, %d bytes, want the whole table", query, w.Code, w.Body.Len())
		}
	}
	// A VM that started with the table of a build that knows no organisations fetches it again.
	other := newPair(t)[1]
	without := organisationsDelta(1)
	without.Items[0] = &zlwatcher.TableItem{
		Table: zltable.New(1, nil, nil, zltable.Limits{}),
	}
	other.Watcher.ApplyPeerDelta(zlwatcher.TopicTable, without)
	m := &message{
		VM:            "vm1",
		Organisations: true,
	}
	m.setRevisions(b.Watcher.Revisions())
	other.handle(m, &net.UDPAddr{})
	if got := other.Watcher.Revisions()[zlwatcher.TopicTable]; got != (zlrevision.Revision{}) {
		t.Errorf("got revision %v of a table without organisations, want none", got)
	}
}

// BenchmarkKeyChange applies a change of one key of 5,000 organisations as a VM that is updated
// by a peer does.
func BenchmarkKeyChange(b *testing.B) {
	base := organisationsDelta(1).Items[0].(*zlwatcher.TableItem).Table
	changed := organisationsDelta(2)
	query := bucketQuery(base)
	b.Run("sender", func(b *testing.B) {
		for b.Loop() {
			var e encodedDelta
			if _, _, err := e.encode(changed, query); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("receiver", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			d := toWire(changed).without(bucketQuery(base))
			if err := d.Table.complete(base); err != nil || fromWire(d) == nil {
				b.Fatal(err)
			}
		}
	})
}

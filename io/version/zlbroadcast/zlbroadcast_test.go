package zlbroadcast

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"zinnialock/core/process/zlquarantine"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlpoller"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zlrevision"
	"zinnialock/core/version/zltable"
	"zinnialock/core/version/zlwatcher"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

var errNoStore = errors.New("no store")

// noStore fails every call, so that all updates come from the other VM.
type noStore struct{}

func (noStore) Probe(context.Context) (zlrevision.Era, error) { return 0, errNoStore }

func (noStore) List(context.Context, zlwatcher.Topic, string) (*zlwatcher.Page, error) {
	return nil, errNoStore
}

func (noStore) Watch(context.Context, zlwatcher.Topic, zlrevision.Revision, time.Duration) (*zlwatcher.Page, error) {
	return nil, errNoStore
}

// newPair starts the Broadcasters of two VMs on loopback ports in this process; they
// stop at the end of the test.
func newPair(t *testing.T) [2]*Broadcaster {
	t.Helper()
	return newPairIn(t, [2]zlunit.DataCentre{})
}

// newPairIn is newPair with the data centres of the two VMs.
func newPairIn(t *testing.T, dataCentres [2]zlunit.DataCentre) [2]*Broadcaster {
	t.Helper()
	var broadcasters [2]*Broadcaster
	var members []zlpoller.Member
	done := make(chan struct{})
	for i := range broadcasters {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		members = append(members, zlpoller.Member{
			VM:         zlunit.VM(fmt.Sprintf("vm%d", i)),
			DataCentre: dataCentres[i],
			Address:    l.Addr().String(),
		})
		_ = l.Close()
	}
	ended := make(chan struct{}, len(broadcasters))
	for i := range broadcasters {
		timer := &zltimer.Service{}
		watcher := &zlwatcher.Watcher{
			Timer: timer,
			Registry: &zlregistry.Registry{
				Timer: timer,
			},
			Store: noStore{},
			Done:  done,
		}
		policy := &zlpoller.Policy{
			Timer:       timer,
			Self:        members[i],
			UpdateBound: 3 * time.Second,
			Revisions:   watcher.Revisions,
		}
		policy.SetMembers(members)
		broadcasters[i] = &Broadcaster{
			Address:    members[i].Address,
			VM:         members[i].VM,
			Timer:      timer,
			PollPolicy: policy,
			Watcher:    watcher,
			Quarantine: &zlquarantine.Ledger{
				Timer: timer,
			},
			Done: done,
		}
		broadcasters[i].Quarantine.OnReport = broadcasters[i].SendCrashReport
		if err := broadcasters[i].Open(); err != nil {
			t.Fatal(err)
		}
	}
	for _, b := range broadcasters {
		go func() {
			b.Run()
			ended <- struct{}{}
		}()
	}
	t.Cleanup(func() {
		close(done)
		for range broadcasters {
			<-ended
		}
	})
	return broadcasters
}

func eventually(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for range 2000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("condition not met within 10 s: %s", condition)
}

func replicasDelta(n int) *zlwatcher.Delta {
	d := &zlwatcher.Delta{
		ToRevision: zlrevision.Revision{
			Number: zlrevision.Number(n),
		},
		Full: true,
	}
	for i := range n {
		id := zlunit.Upstream(fmt.Sprintf("replica-%d", i))
		d.Items = append(d.Items, &zlwatcher.ReplicaItem{
			ID: id,
			Replica: &zlregistry.Replica{
				ID:          id,
				Service:     "s",
				Address:     "10.0.0.1:80",
				Incarnation: 3,
			},
		})
	}
	return d
}

// An update larger than a datagram is dropped from the message, so the other VM
// gets it only by a fetch.
func TestSmallUpdateArrivesByDatagramAndLargeOneIsFetched(t *testing.T) {
	for _, n := range []int{1, 500} {
		t.Run(fmt.Sprintf("%d replicas", n), func(t *testing.T) {
			broadcasters := newPair(t)
			d := replicasDelta(n)
			broadcasters[0].Watcher.ApplyPeerDelta(zlwatcher.TopicReplicas, d)
			broadcasters[0].SendUpdate(zlwatcher.TopicReplicas, d)
			eventually(t, "the other VM has all replicas", func() bool {
				return len(broadcasters[1].Watcher.Registry.View().Replicas["s"]) == n
			})
		})
	}
}

func TestTableArrivesComplete(t *testing.T) {
	broadcasters := newPair(t)
	route := zltable.Route{
		Name:      "r",
		Host:      "h",
		Prefix:    "/p/",
		Timeout:   time.Second,
		Shards:    []zlunit.Service{"s1", "s2"},
		Objective: 100 * time.Millisecond,
	}
	d := &zlwatcher.Delta{
		ToRevision: zlrevision.Revision{
			Number: 9,
		},
		Full: true,
		Items: []zlwatcher.Item{&zlwatcher.TableItem{
			Table: zltable.New(5, []zltable.Route{route}, []zltable.Service{{
				Name:        "s1",
				Connections: 31,
			}}, zltable.Limits{
				BodyBytes: 7,
			}),
		}},
	}
	broadcasters[0].Watcher.ApplyPeerDelta(zlwatcher.TopicTable, d)
	broadcasters[0].SendUpdate(zlwatcher.TopicTable, d)
	eventually(t, "the other VM has a table", func() bool {
		return broadcasters[1].Watcher.Registry.View().Table != nil
	})
	table := broadcasters[1].Watcher.Registry.View().Table
	got, ok := table.Match("h", "/p/x")
	if !ok || got.Objective != route.Objective || len(got.Shards) != 2 || table.Services["s1"].Connections != 31 ||
		table.Limits.BodyBytes != 7 || table.Version != 5 {
		t.Fatalf("got table %+v with route %+v, want both as sent", table, got)
	}
}

// A datagram that can't be decoded must not end the receiving loop.
func TestMalformedDatagramsAreIgnored(t *testing.T) {
	broadcasters := newPair(t)
	conn, err := net.Dial("udp4", broadcasters[0].Address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		_ = conn.Close()
	}()
	for _, data := range []string{"", "x", "\xa1\x01", "\xbf\xff\xff"} {
		if _, err := conn.Write([]byte(data)); err != nil {
			t.Fatal(err)
		}
	}
	d := replicasDelta(1)
	broadcasters[1].Watcher.ApplyPeerDelta(zlwatcher.TopicReplicas, d)
	broadcasters[1].SendUpdate(zlwatcher.TopicReplicas, d)
	eventually(t, "update arrives after the malformed datagrams", func() bool {
		return len(broadcasters[0].Watcher.Registry.View().Replicas["s"]) == 1
	})
}

func FuzzMessage(f *testing.F) {
	f.Add([]byte{0xa1, 0x01, 0x61, 0x61})
	f.Fuzz(func(_ *testing.T, data []byte) {
		var m message
		if decoder.Unmarshal(data, &m) == nil && m.Update != nil {
			fromWire(m.Update)
		}
	})
}

// A name that could not be resolved once must be looked up again for the next message.
func TestUnresolvedAddressIsNotRemembered(t *testing.T) {
	b := &Broadcaster{
		peerAddrs: map[string]*net.UDPAddr{},
	}
	if addr := b.resolve("127.0.0.1:no-such-service"); addr != nil {
		t.Fatalf("got address %v for an unknown service", addr)
	}
	if len(b.peerAddrs) != 0 {
		t.Fatalf("got cached addresses %v, want none", b.peerAddrs)
	}
}

// Replays a large table after a change: it is sent compressed, a tenth of its size, and
// encoded once for all VMs that fetch it. A VM that accepts no compression gets it plain.
func TestLargeUpdateIsSentCompressed(t *testing.T) {
	const routes, shards = 400, 50
	list := make([]zltable.Route, routes)
	for i := range list {
		list[i] = zltable.Route{
			Name:   zltable.RouteName(fmt.Sprintf("route-%d", i)),
			Host:   "host.example",
			Prefix: fmt.Sprintf("/prefix%d/", i),
		}
		for s := range shards {
			list[i].Shards = append(list[i].Shards, zlunit.Service(fmt.Sprintf("shard-%d", s)))
		}
	}
	d := &zlwatcher.Delta{
		Full: true,
		ToRevision: zlrevision.Revision{
			Number: 9,
		},
		Items: []zlwatcher.Item{&zlwatcher.TableItem{
			Table: zltable.New(5, list, nil, zltable.Limits{}),
		}},
	}
	b := newPair(t)[0]
	b.Watcher.ApplyPeerDelta(zlwatcher.TopicTable, d)
	fetch := func(accept string) (data []byte, encoding string) {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodGet, fetchPath+"0?have=0", nil)
		r.Header.Set("Accept-Encoding", accept)
		b.serveFetch(w, r)
		return w.Body.Bytes(), w.Header().Get("Content-Encoding")
	}
	plain, encoding := fetch("")
	if encoding != "" || len(plain) == 0 {
		t.Fatalf("got %d bytes with encoding %q, want a plain delta", len(plain), encoding)
	}
	zipped, encoding := fetch("gzip")
	if encoding != "gzip" || len(zipped) > len(plain)/10 {
		t.Errorf("got %d bytes with encoding %q for %d bytes, want a tenth, compressed", len(zipped), encoding, len(plain))
	}
	first := b.replies[zlwatcher.TopicTable].last[true].data
	if again, _ := fetch("gzip"); len(again) == 0 || &b.replies[zlwatcher.TopicTable].last[true].data[0] != &first[0] {
		t.Error("the delta was encoded again for the same fetch")
	}
}

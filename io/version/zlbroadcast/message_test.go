package zlbroadcast

import (
	"net"
	"net/url"
	"testing"

	"zinnialock/core/process/zlquarantine"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/version/zlpoller"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zlrevision"
	"zinnialock/core/version/zlwatcher"

	"github.com/fxamacker/cbor/v2"
)

// A message between builds with and without eras keeps its numbers; the era is missing.
func TestErasInMessages(t *testing.T) {
	for _, era := range []zlrevision.Era{0, 7} {
		var revisions [zlwatcher.NumTopics]zlrevision.Revision
		for i := range revisions {
			revisions[i] = zlrevision.Revision{
				Era:    era,
				Number: zlrevision.Number(i + 1),
			}
		}
		sent := &message{
			VM: "vm",
		}
		sent.setRevisions(revisions)
		data, err := cbor.Marshal(sent)
		if err != nil {
			t.Fatal(err)
		}
		var received message
		if err := decoder.Unmarshal(data, &received); err != nil {
			t.Fatal(err)
		}
		if got := received.heartbeat().Revisions; got != revisions {
			t.Errorf("era %d: got revisions %v, want %v", era, got, revisions)
		}
		// The message as a build without eras reads and writes it.
		var earlier struct {
			Revisions [zlwatcher.NumTopics]uint64 `cbor:"3,keyasint"`
		}
		if err := decoder.Unmarshal(data, &earlier); err != nil || earlier.Revisions != [zlwatcher.NumTopics]uint64{1, 2, 3} {
			t.Errorf("era %d: a build without eras reads %v, error %v", era, earlier.Revisions, err)
		}
	}
	for query, want := range map[string]zlrevision.Revision{
		"have=5":       {Number: 5},
		"have=5&era=2": {Era: 2, Number: 5},
	} {
		values, err := url.ParseQuery(query)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := parseRevision(values); err != nil || got != want {
			t.Errorf("%s: got revision %v, error %v, want %v", query, got, err, want)
		}
	}
	for _, query := range []string{"", "have=x", "have=1&era=x"} {
		values, err := url.ParseQuery(query)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := parseRevision(values); err == nil {
			t.Errorf("%q: got revision %v, want an error", query, got)
		}
	}
}

// A datagram of any content must neither end the process nor stop the receiver.
func FuzzDatagram(f *testing.F) {
	m := &message{
		VM:       "vm",
		Update:   toWire(replicasDelta(2)),
		Eras:     []zlrevision.Era{1},
		Sequence: 7,
	}
	data, err := cbor.Marshal(m)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0xa1, 0x01})
	f.Fuzz(func(_ *testing.T, data []byte) {
		timer := &zltimer.Service{}
		watcher := &zlwatcher.Watcher{
			Timer: timer,
			Registry: &zlregistry.Registry{
				Timer: timer,
			},
		}
		policy := &zlpoller.Policy{
			Timer:     timer,
			Revisions: watcher.Revisions,
		}
		b := &Broadcaster{
			VM:           "own",
			Timer:        timer,
			PollPolicy:   policy,
			Watcher:      watcher,
			fetchSources: make(chan string, 1),
			Quarantine: &zlquarantine.Ledger{
				Timer: timer,
			},
		}
		var received message
		if err := decoder.Unmarshal(data, &received); err != nil {
			return
		}
		policy.ForwardTargets(received.VM, received.Sequence)
		b.handle(&received, &net.UDPAddr{
			IP:   net.IPv4(127, 0, 0, 1),
			Port: 1,
		})
		for i, r := range watcher.Revisions() {
			watcher.DeltaSince(zlwatcher.Topic(i), zlrevision.Revision{
				Era: r.Era,
			})
		}
	})
}

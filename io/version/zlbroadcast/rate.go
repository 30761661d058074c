package zlbroadcast

import (
	"net"

	"zinnialock/core/process/zlsharedrate"
	"zinnialock/core/process/zlunit"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// SendRate sends a message on shared rates to one VM. It does not block; a lost one is made
// up for by the protocol of zlsharedrate.
func (b *Broadcaster) SendRate(to zlsharedrate.Member, m *zlsharedrate.Message) {
	addr := b.resolve(to.Address)
	if addr == nil {
		return
	}
	data, err := cbor.Marshal(&message{
		VM:           b.VM,
		AgeMicros:    -1,
		Rate:         m,
		RateReceiver: receiverOf(to.VM),
	})
	if err != nil {
		b.recordFailure(err)
		return
	}
	b.rateBytes.Add(int64(len(data)))
	_, _ = b.socket.WriteToUDP(data, addr)
}

// RateBytes returns how many bytes SendRate sent.
func (b *Broadcaster) RateBytes() int64 {
	return b.rateBytes.Load()
}

// receiverOf identifies the receiver of a message on shared rates: builds that don't know
// these messages pass them on to other VMs, which must not take them.
func receiverOf(vm zlunit.VM) uint32 {
	return uint32(xxhash.Sum64String(string(vm)))
}

// handleRate takes a message on shared rates if it is for this VM.
func (b *Broadcaster) handleRate(m *message, from *net.UDPAddr) {
	if b.OnRate != nil && m.RateReceiver == receiverOf(b.VM) {
		b.OnRate(zlsharedrate.Member{
			VM:      m.VM,
			Address: from.String(),
		}, m.Rate)
	}
}

// reportPeer reports the sender of a message that is not on shared rates.
func (b *Broadcaster) reportPeer(m *message, from *net.UDPAddr) {
	if b.OnPeer != nil {
		b.OnPeer(zlsharedrate.Member{
			VM:      m.VM,
			Address: from.String(),
		})
	}
}

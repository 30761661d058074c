package zlbroadcast

import (
	"net"

	"zinnialock/core/version/zlpoller"
	"zinnialock/core/version/zlwatcher"

	"github.com/fxamacker/cbor/v2"
)

// SendUpdate sends an update of the store to the other VMs. One that doesn't fit a
// datagram is announced by its revision, and the others fetch it.
func (b *Broadcaster) SendUpdate(t zlwatcher.Topic, d *zlwatcher.Delta) {
	b.sendHeartbeat(t, d)
}

// sendHealthReports sends this VM's reports of slow or failing replicas and of services that
// are short of places.
func (b *Broadcaster) sendHealthReports() {
	m := &message{
		VM:            b.VM,
		AgeMicros:     -1,
		HealthReports: b.HealthReports(),
	}
	if b.ShortServices != nil {
		m.Short = b.ShortServices()
	}
	if len(m.HealthReports) > 0 || len(m.Short) > 0 {
		b.send(m)
	}
}

// sendHeartbeat sends the revisions that the store confirmed, and d if it isn't
// nil. Without a recent confirmation it sends d alone, or nothing.
func (b *Broadcaster) sendHeartbeat(t zlwatcher.Topic, d *zlwatcher.Delta) {
	at := b.Watcher.ConfirmedAt()
	age := b.Timer.Now().Sub(at)
	if at.IsZero() || age > maxConfirmationAge {
		if d == nil {
			return
		}
		age = -1
	}
	m := &message{
		VM:        b.VM,
		AgeMicros: age.Microseconds(),
	}
	m.setRevisions(b.Watcher.Revisions())
	m.Organisations = b.Watcher.NeedsKeys()
	if age < 0 {
		m.AgeMicros = -1
	}
	if d != nil {
		m.Topic = t
		m.Update = toWire(d)
	}
	if d == nil {
		m.Crash = b.quarantineReport()
	}
	b.send(m)
}

// send sends a message to the VMs of the data centre.
func (b *Broadcaster) send(m *message) {
	m.Sequence = b.sequence.Add(1)
	b.sendGroups(m, b.PollPolicy.Groups(m.Sequence))
}

// sendAll sends a message to the VMs of all data centres.
func (b *Broadcaster) sendAll(m *message) {
	m.Sequence = b.sequence.Add(1)
	b.sendGroups(m, b.PollPolicy.AllGroups(m.Sequence))
}

func (b *Broadcaster) sendGroups(m *message, groups []zlpoller.Group) {
	data, err := cbor.Marshal(m)
	if err == nil && len(data) > maxDatagramBytes && m.Update != nil {
		m.Update = nil
		data, err = cbor.Marshal(m)
	}
	if err != nil {
		b.recordFailure(err)
		return
	}
	for _, g := range groups {
		b.sendTo(g.Forwarder, data)
	}
}

func (b *Broadcaster) sendTo(member zlpoller.Member, data []byte) {
	if addr := b.resolve(member.Address); addr != nil {
		// The next heartbeat makes up for a lost datagram.
		_, _ = b.socket.WriteToUDP(data, addr)
	}
}

func (b *Broadcaster) resolve(address string) *net.UDPAddr {
	b.mu.Lock()
	defer b.mu.Unlock()
	addr, ok := b.peerAddrs[address]
	if ok {
		return addr
	}
	addr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		// Not cached: the next message tries again.
		return nil
	}
	b.peerAddrs[address] = addr
	return addr
}

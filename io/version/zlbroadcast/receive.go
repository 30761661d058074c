package zlbroadcast

import (
	"net"

	"zinnialock/core/version/zlwatcher"

	"github.com/rotisserie/eris"
)

func (b *Broadcaster) receive() {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := b.socket.ReadFromUDP(buffer)
		if err != nil {
			if !b.closed() {
				b.recordFailure(err)
			}
			return
		}
		var m message
		if err := decoder.Unmarshal(buffer[:n], &m); err != nil {
			b.recordFailure(eris.Wrapf(err, "decode datagram from %v", from))
			continue
		}
		if !m.Ask && !m.Reply && !m.Direct && m.Rate == nil {
			for _, member := range b.PollPolicy.ForwardTargets(m.VM, m.Sequence) {
				b.sendTo(member, buffer[:n])
			}
		}
		b.handle(&m, from)
	}
}

// handleReports takes in what a VM reports of replicas and services, and reports whether the
// message is only for that.
func (b *Broadcaster) handleReports(m *message) bool {
	if len(m.Short) > 0 && b.OnShortServices != nil {
		b.OnShortServices(m.Short)
	}
	if len(m.HealthReports) > 0 && b.OnHealthReports != nil {
		b.OnHealthReports(m.VM, m.HealthReports)
	}
	return len(m.Short) > 0 || len(m.HealthReports) > 0
}

func (b *Broadcaster) handle(m *message, from *net.UDPAddr) {
	if m.Rate != nil {
		b.handleRate(m, from)
		return
	}
	if b.handleRollout(m) || b.Quarantine != nil && b.handleCrash(m, from) {
		return
	}
	isPartial := m.Update != nil && m.Update.Table != nil && len(m.Update.Table.Kept) > 0
	if m.Update != nil && !isPartial && m.Topic >= 0 && int(m.Topic) < zlwatcher.NumTopics {
		b.Watcher.ApplyPeerDelta(m.Topic, fromWire(m.Update))
	}
	b.reportPeer(m, from)
	if b.handleReports(m) {
		return
	}
	beat := m.heartbeat()
	if m.Organisations {
		b.Watcher.DropTableWithoutKeys(beat.Revisions[zlwatcher.TopicTable])
	}
	if b.PollPolicy.HandleHeartbeat(beat) {
		select {
		case b.fetchSources <- from.String():
		default:
		}
	}
}

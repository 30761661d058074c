package zlpeer

import (
	"context"
	"sync"

	"github.com/quic-go/quic-go"
)

// Traffic counts the bytes and packets of the QUIC layer between this daemon and
// others.
type Traffic struct {
	SentBytes       uint64 `json:"sentBytes"`
	ReceivedBytes   uint64 `json:"receivedBytes"`
	SentPackets     uint64 `json:"sentPackets"`
	ReceivedPackets uint64 `json:"receivedPackets"`
	// Connections is the number of open connections.
	Connections int `json:"connections"`
}

func (t *Traffic) add(s quic.ConnectionStats) {
	t.SentBytes += s.BytesSent
	t.ReceivedBytes += s.BytesReceived
	t.SentPackets += s.PacketsSent
	t.ReceivedPackets += s.PacketsReceived
}

// trafficMeter sums the traffic of open and ended connections.
type trafficMeter struct {
	mu    sync.Mutex
	live  map[*quic.Conn]bool
	ended Traffic
}

// track includes the traffic of conn, while it is open and after it ended.
func (m *trafficMeter) track(conn *quic.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.live == nil {
		m.live = map[*quic.Conn]bool{}
	}
	m.live[conn] = true
	context.AfterFunc(conn.Context(), func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.live, conn)
		m.ended.add(conn.ConnectionStats())
	})
}

// open returns the open connections.
func (m *trafficMeter) open() []*quic.Conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*quic.Conn, 0, len(m.live))
	for conn := range m.live {
		out = append(out, conn)
	}
	return out
}

// Traffic returns the totals since Run.
func (n *Node) Traffic() Traffic {
	n.meter.mu.Lock()
	defer n.meter.mu.Unlock()
	out := n.meter.ended
	for conn := range n.meter.live {
		out.add(conn.ConnectionStats())
	}
	out.Connections = len(n.meter.live)
	return out
}

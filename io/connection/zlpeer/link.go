package zlpeer

import (
	"context"
	"net"
	"sync"

	"github.com/quic-go/quic-go"
)

// link is the connection to one daemon, dialled anew when it broke.
type link struct {
	addr string

	mu   sync.Mutex
	conn *quic.Conn
}

func (l *link) get(ctx context.Context, n *Node) (*quic.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && l.conn.Context().Err() == nil {
		return l.conn, nil
	}
	addr, err := net.ResolveUDPAddr("udp", l.addr)
	if err != nil {
		return nil, err
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := n.transport.Dial(dialCtx, addr, n.TLS, quicConfig())
	if err != nil {
		return nil, err
	}
	n.meter.watch(conn)
	l.conn = conn
	return conn, nil
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		_ = l.conn.CloseWithError(0, "closing")
	}
}

func listenUDP(address string) (*net.UDPConn, error) {
	addr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp", addr)
}

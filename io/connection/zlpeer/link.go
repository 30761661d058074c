package zlpeer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

// redialBackoff is the time after a failed dial in which further ones fail at once
// with the same error.
const redialBackoff = 100 * time.Millisecond

// link is the connection to one daemon, which is dialled again after it ended.
// Concurrent users of the link share one dial.
type link struct {
	addr string

	// mu guards the fields below.
	mu           sync.Mutex
	conn         *quic.Conn
	dial         *dial
	dialErr      error
	dialFailedAt time.Time
}

// dial is a handshake in progress; conn and err are set before done is closed.
type dial struct {
	done chan struct{}
	conn *quic.Conn
	err  error
}

// get returns the connection, and dials it if there is none.
func (l *link) get(ctx context.Context, n *Node) (*quic.Conn, error) {
	l.mu.Lock()
	if l.conn != nil && l.conn.Context().Err() == nil {
		defer l.mu.Unlock()
		return l.conn, nil
	}
	if l.dialErr != nil && time.Since(l.dialFailedAt) < redialBackoff {
		defer l.mu.Unlock()
		return nil, eris.Wrap(l.dialErr, "not redialled during backoff")
	}
	d := l.dial
	if d == nil {
		d = &dial{
			done: make(chan struct{}),
		}
		l.dial = d
		n.spawn(func() {
			l.runDial(n, d)
		})
	}
	l.mu.Unlock()
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *link) runDial(n *Node, d *dial) {
	d.conn, d.err = l.handshake(n)
	l.mu.Lock()
	l.dial = nil
	l.dialErr = d.err
	if d.err == nil {
		l.conn = d.conn
		n.meter.track(d.conn)
	} else {
		l.dialFailedAt = time.Now()
	}
	l.mu.Unlock()
	close(d.done)
}

func (l *link) handshake(n *Node) (*quic.Conn, error) {
	addr, err := net.ResolveUDPAddr("udp", l.addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	stop := context.AfterFunc(n.ctx, cancel)
	defer stop()
	return n.transport.Dial(ctx, addr, n.TLS, quicConfig())
}

func listenUDP(address string) (*net.UDPConn, error) {
	addr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp", addr)
}

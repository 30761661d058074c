package zlpeer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

// redialPause is how long a failed dial stands for those that follow.
const redialPause = 100 * time.Millisecond

// link is the connection to one daemon, dialled anew when it broke. One dial
// serves all who wait for it.
type link struct {
	addr string

	mu       sync.Mutex
	conn     *quic.Conn
	dial     *dial
	failed   error
	failedAt time.Time
}

// dial is a handshake under way.
type dial struct {
	done chan struct{}
	conn *quic.Conn
	err  error
}

func (l *link) get(ctx context.Context, n *Node) (*quic.Conn, error) {
	l.mu.Lock()
	if l.conn != nil && l.conn.Context().Err() == nil {
		defer l.mu.Unlock()
		return l.conn, nil
	}
	if l.failed != nil && time.Since(l.failedAt) < redialPause {
		defer l.mu.Unlock()
		return nil, eris.Wrap(l.failed, "dialled a moment ago")
	}
	d := l.dial
	if d == nil {
		d = &dial{
			done: make(chan struct{}),
		}
		l.dial = d
		n.spawn(func() {
			l.run(n, d)
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

func (l *link) run(n *Node, d *dial) {
	d.conn, d.err = l.handshake(n)
	l.mu.Lock()
	l.dial = nil
	l.failed = d.err
	if d.err == nil {
		l.conn = d.conn
		n.meter.watch(d.conn)
	} else {
		l.failedAt = time.Now()
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

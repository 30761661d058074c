package zlfakeupstream

import (
	"net"
	"sync"
	"time"
)

// cappedListener closes connections beyond the cap at once and delays new ones
// by their cost.
type cappedListener struct {
	net.Listener
	upstream *Upstream
}

// Accept implements net.Listener.
func (l *cappedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.upstream.admit(conn); c != nil {
			return c, nil
		}
		_ = conn.Close()
	}
}

func (u *Upstream) admit(conn net.Conn) net.Conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	l := u.life
	if len(l.conns) >= int(u.Settings.Connections) {
		u.counts.RefusedConns++
		return nil
	}
	c := &countedConn{
		Conn:     conn,
		upstream: u,
		life:     l,
		cost:     time.Duration(u.Settings.ConnectMs * float64(time.Millisecond)),
	}
	l.conns[c] = true
	u.counts.Connects++
	u.counts.PeakConnections = max(u.counts.PeakConnections, len(l.conns))
	return c
}

// countedConn pays the cost of a new connection before its first read.
type countedConn struct {
	net.Conn
	upstream *Upstream
	life     *life
	cost     time.Duration
	once     sync.Once
}

// Read implements net.Conn.
func (c *countedConn) Read(data []byte) (int, error) {
	c.once.Do(func() {
		time.Sleep(c.cost)
	})
	return c.Conn.Read(data)
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.upstream.mu.Lock()
	delete(c.life.conns, c)
	c.upstream.mu.Unlock()
	return c.Conn.Close()
}

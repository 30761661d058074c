package zlfakeupstream

import (
	"net"
	"sync"
	"time"
)

// cappedListener closes connections beyond Settings.Connections at once and
// adds the set-up cost Settings.ConnectMs to each one it accepts.
type cappedListener struct {
	net.Listener
	upstream *Upstream
}

// Accept implements net.Listener. It returns the next connection within the
// limit.
func (l *cappedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.upstream.admitConn(conn); c != nil {
			return c, nil
		}
		_ = conn.Close()
	}
}

// admitConn registers a connection with the current incarnation, or returns nil
// if the connection limit is reached.
func (u *Upstream) admitConn(conn net.Conn) net.Conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	inc := u.current
	if len(inc.conns) >= int(u.Settings.Connections) {
		u.counts.RefusedConns++
		return nil
	}
	c := &countedConn{
		Conn:        conn,
		upstream:    u,
		incarnation: inc,
		setupCost:   time.Duration(u.Settings.ConnectMs * float64(time.Millisecond)),
	}
	inc.conns[c] = true
	u.counts.Connects++
	u.counts.PeakConnections = max(u.counts.PeakConnections, len(inc.conns))
	return c
}

// countedConn delays its first read by the set-up cost of a connection and
// belongs to the incarnation that accepted it.
type countedConn struct {
	net.Conn
	upstream    *Upstream
	incarnation *incarnation
	setupCost   time.Duration
	firstRead   sync.Once
}

// Read implements net.Conn; the first call sleeps for the set-up cost.
func (c *countedConn) Read(data []byte) (int, error) {
	c.firstRead.Do(func() {
		time.Sleep(c.setupCost)
	})
	return c.Conn.Read(data)
}

// Close implements net.Conn and frees the place under the connection limit.
func (c *countedConn) Close() error {
	c.upstream.mu.Lock()
	delete(c.incarnation.conns, c)
	c.upstream.mu.Unlock()
	return c.Conn.Close()
}

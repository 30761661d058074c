package zlfakeupstream

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// Load is what the load endpoint reports.
type Load struct {
	Load float64 `json:"load"`
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (u *Upstream) serveLoad(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	l := Load{
		Load: u.Settings.ReportedLoad,
	}
	u.mu.Unlock()
	reply(w, l)
}

func (u *Upstream) serveCounts(w http.ResponseWriter, _ *http.Request) {
	reply(w, u.Counts())
}

// serveSettings takes a JSON object of the settings to change.
func (u *Upstream) serveSettings(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	next := u.Settings
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&next); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	next.Name = u.Settings.Name
	next.Service = u.Settings.Service
	u.Settings = next
}

func (u *Upstream) serveCold(_ http.ResponseWriter, r *http.Request) {
	u.GoCold(r.URL.Query().Get("restart") == "true")
}

func (u *Upstream) serveLeave(http.ResponseWriter, *http.Request) {
	u.Leave()
}

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
	if len(u.conns) >= int(u.Settings.Connections) {
		u.counts.RefusedConns++
		return nil
	}
	u.conns[conn] = true
	u.counts.PeakConnections = max(u.counts.PeakConnections, len(u.conns))
	return &countedConn{
		Conn:     conn,
		upstream: u,
		cost:     time.Duration(u.Settings.ConnectMs * float64(time.Millisecond)),
	}
}

// countedConn pays the cost of a new connection before its first read.
type countedConn struct {
	net.Conn
	upstream *Upstream
	cost     time.Duration
}

// Read implements net.Conn.
func (c *countedConn) Read(data []byte) (int, error) {
	if c.cost > 0 {
		time.Sleep(c.cost)
		c.cost = 0
	}
	return c.Conn.Read(data)
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.upstream.mu.Lock()
	delete(c.upstream.conns, c.Conn)
	c.upstream.mu.Unlock()
	return c.Conn.Close()
}

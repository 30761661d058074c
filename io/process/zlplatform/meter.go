package zlplatform

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Meter counts the calls to the platform and their bytes on the wire. The zero
// value is ready for use, and all methods may be called concurrently.
type Meter struct {
	calls    atomic.Uint64
	sent     atomic.Uint64
	received atomic.Uint64
}

// MeterTotals holds the counts of a Meter since its start.
type MeterTotals struct {
	// Calls counts HTTP requests, failed ones included.
	Calls uint64 `json:"calls"`
	// SentBytes and ReceivedBytes count the bytes on the connections, with HTTP headers.
	SentBytes     uint64 `json:"sentBytes"`
	ReceivedBytes uint64 `json:"receivedBytes"`
}

// Totals returns the counts so far.
func (m *Meter) Totals() MeterTotals {
	return MeterTotals{
		Calls:         m.calls.Load(),
		SentBytes:     m.sent.Load(),
		ReceivedBytes: m.received.Load(),
	}
}

// dialTimeout bounds the time to connect to the platform.
const dialTimeout = 2 * time.Second

// NewHTTP returns an HTTP client whose requests and bytes are counted by m.
func (m *Meter) NewHTTP() *http.Client {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
	}
	return &http.Client{
		Transport: &meteredTransport{
			meter: m,
			Transport: &http.Transport{
				MaxResponseHeaderBytes: maxReplyHeadBytes,
				DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
					conn, err := dialer.DialContext(ctx, network, address)
					if err != nil {
						return nil, err
					}
					return &meteredConn{
						Conn:  conn,
						meter: m,
					}, nil
				},
			},
		},
	}
}

// meteredTransport counts requests.
type meteredTransport struct {
	*http.Transport
	meter *Meter
}

// RoundTrip implements http.RoundTripper.
func (t *meteredTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.meter.calls.Add(1)
	return t.Transport.RoundTrip(r)
}

// meteredConn counts bytes.
type meteredConn struct {
	net.Conn
	meter *Meter
}

// Read implements net.Conn.
func (c *meteredConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.meter.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.meter.sent.Add(uint64(n))
	return n, err
}

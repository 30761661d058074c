// Package zlproxy is a TCP proxy on the loopback interface for fault injection in
// tests: it forwards connections to a target and delays, blocks (in one direction
// or both), resets or refuses them on request. It knows nothing of the protocol.
package zlproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Faults holds the faults that a proxy injects; the zero value is none.
type Faults struct {
	// Delay is added to each chunk of data, in both directions.
	Delay time.Duration
	// MuteTo holds back the data to the target. Connections stay open, and the
	// data is forwarded when MuteTo ends.
	MuteTo bool
	// MuteFrom does the same with the data from the target.
	MuteFrom bool
	// Refuse resets new connections; open ones stay.
	Refuse bool
}

// Proxy forwards connections to Target. Target must be set before Run; after it
// the methods may be called concurrently.
type Proxy struct {
	// Target is the TCP address that connections are forwarded to.
	Target string

	listener   net.Listener
	goroutines sync.WaitGroup
	ctx        context.Context
	cancel     context.CancelFunc

	mu     sync.Mutex
	faults Faults
	// faultsChanged is closed and replaced when the faults change.
	faultsChanged chan struct{}
	conns         map[*pipe]struct{}
}

// pipe is an accepted connection and the connection to the target that it is
// forwarded to.
type pipe struct {
	client *net.TCPConn
	target *net.TCPConn
}

// Run starts to accept connections on a free port of the loopback interface, and
// returns; Close ends it.
func (p *Proxy) Run() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "proxy: listen")
	}
	p.listener = l
	p.conns = map[*pipe]struct{}{}
	p.faultsChanged = make(chan struct{})
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.goroutines.Go(p.accept)
	return nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string {
	return p.listener.Addr().String()
}

// SetFaults replaces the injected faults, for open connections too.
func (p *Proxy) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	close(p.faultsChanged)
	p.faultsChanged = make(chan struct{})
}

// OpenConnections returns the number of connections that are being forwarded.
func (p *Proxy) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// Reset breaks all open connections with a TCP reset to both ends.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.reset()
	}
}

// Close stops the proxy, resets its connections and waits for its goroutines.
func (p *Proxy) Close() {
	p.cancel()
	_ = p.listener.Close()
	p.Reset()
	p.goroutines.Wait()
}

// reset closes both connections without lingering, so that the kernel sends a RST.
func (c *pipe) reset() {
	_ = c.client.SetLinger(0)
	_ = c.target.SetLinger(0)
	_ = c.client.Close()
	_ = c.target.Close()
}

// currentFaults returns the faults and a channel that is closed when they change.
func (p *Proxy) currentFaults() (Faults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.faultsChanged
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		client := conn.(*net.TCPConn)
		if f, _ := p.currentFaults(); f.Refuse {
			_ = client.SetLinger(0)
			_ = client.Close()
			continue
		}
		p.goroutines.Go(func() {
			p.serve(client)
		})
	}
}

// serve forwards one connection until both directions have ended.
func (p *Proxy) serve(client *net.TCPConn) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(p.ctx, "tcp", p.Target)
	if err != nil {
		// The client sees a reset, as from the closed port of the target itself.
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	c := &pipe{
		client: client,
		target: conn.(*net.TCPConn),
	}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	if p.ctx.Err() != nil {
		c.reset()
	}
	var directions sync.WaitGroup
	directions.Go(func() {
		p.forward(c.target, c.client, func(f Faults) bool { return f.MuteTo })
	})
	directions.Go(func() {
		p.forward(c.client, c.target, func(f Faults) bool { return f.MuteFrom })
	})
	directions.Wait()
	_ = c.client.Close()
	_ = c.target.Close()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// chunkBytes is the size of the buffer for each direction.
const chunkBytes = 16 << 10

// forward copies one direction. The end of the stream closes the write side of dst;
// a read error resets it.
func (p *Proxy) forward(dst, src *net.TCPConn, muted func(Faults) bool) {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := src.Read(buffer)
		if n > 0 {
			if !p.awaitForward(muted) {
				return
			}
			if _, err := dst.Write(buffer[:n]); err != nil {
				_ = src.Close()
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			if p.awaitForward(muted) {
				_ = dst.CloseWrite()
			}
			return
		case err != nil:
			_ = dst.SetLinger(0)
			_ = dst.Close()
			return
		}
	}
}

// awaitForward waits while the direction is muted, and then for the delay. It
// reports false if the proxy is closed.
func (p *Proxy) awaitForward(muted func(Faults) bool) bool {
	for {
		f, changed := p.currentFaults()
		if !muted(f) {
			return p.sleep(f.Delay)
		}
		select {
		case <-changed:
		case <-p.ctx.Done():
			return false
		}
	}
}

// sleep waits for d and reports false if the proxy is closed.
func (p *Proxy) sleep(d time.Duration) bool {
	if d <= 0 {
		return p.ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.ctx.Done():
		return false
	}
}

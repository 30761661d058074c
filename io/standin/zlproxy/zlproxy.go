// Package zlproxy is a loopback proxy for connections over TCP that misbehaves on
// request: it delays, resets, silences connections or cuts one way of them.
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

// Mood is how a proxy treats its connections.
type Mood struct {
	// Delay is added to each piece of data, either way.
	Delay time.Duration
	// MuteTo and MuteFrom hold back what goes to the target and what comes from
	// it; connections stay open. Both together silence them.
	MuteTo   bool
	MuteFrom bool
	// Refuse resets new connections.
	Refuse bool
}

// Proxy passes connections to Target on. Target must be set before Run.
type Proxy struct {
	Target string

	listener net.Listener
	group    sync.WaitGroup
	ctx      context.Context
	end      context.CancelFunc

	mu    sync.Mutex
	mood  Mood
	turn  chan struct{}
	conns map[*pipe]struct{}
}

// pipe is a connection and the one that it is passed on to.
type pipe struct {
	from *net.TCPConn
	to   *net.TCPConn
}

// Run listens on a free port of the loopback interface and returns.
func (p *Proxy) Run() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "proxy")
	}
	p.listener = l
	p.conns = map[*pipe]struct{}{}
	p.turn = make(chan struct{})
	p.ctx, p.end = context.WithCancel(context.Background())
	p.group.Go(p.accept)
	return nil
}

// Address is where it listens.
func (p *Proxy) Address() string {
	return p.listener.Addr().String()
}

// Set changes the mood, also of open connections.
func (p *Proxy) Set(m Mood) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mood = m
	close(p.turn)
	p.turn = make(chan struct{})
}

// Open is how many connections are passed on now.
func (p *Proxy) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// Reset breaks all open connections, with a reset either way.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.reset()
	}
}

// Close ends it and all its connections.
func (p *Proxy) Close() {
	p.end()
	_ = p.listener.Close()
	p.Reset()
	p.group.Wait()
}

func (c *pipe) reset() {
	_ = c.from.SetLinger(0)
	_ = c.to.SetLinger(0)
	_ = c.from.Close()
	_ = c.to.Close()
}

func (p *Proxy) state() (Mood, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mood, p.turn
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		from := conn.(*net.TCPConn)
		if m, _ := p.state(); m.Refuse {
			_ = from.SetLinger(0)
			_ = from.Close()
			continue
		}
		p.group.Go(func() {
			p.serve(from)
		})
	}
}

func (p *Proxy) serve(from *net.TCPConn) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(p.ctx, "tcp", p.Target)
	if err != nil {
		// The caller sees what the target's closed port would show.
		_ = from.SetLinger(0)
		_ = from.Close()
		return
	}
	c := &pipe{
		from: from,
		to:   conn.(*net.TCPConn),
	}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	if p.ctx.Err() != nil {
		c.reset()
	}
	var ways sync.WaitGroup
	ways.Go(func() {
		p.pass(c.to, c.from, func(m Mood) bool { return m.MuteTo })
	})
	ways.Go(func() {
		p.pass(c.from, c.to, func(m Mood) bool { return m.MuteFrom })
	})
	ways.Wait()
	_ = c.from.Close()
	_ = c.to.Close()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// pieceMost is how much is passed on at once, in bytes.
const pieceMost = 16 << 10

// pass copies one way. An end is passed on as an end, a break as a break.
func (p *Proxy) pass(dst, src *net.TCPConn, muted func(Mood) bool) {
	buffer := make([]byte, pieceMost)
	for {
		n, err := src.Read(buffer)
		if n > 0 {
			if !p.hold(muted) {
				return
			}
			if _, err := dst.Write(buffer[:n]); err != nil {
				_ = src.Close()
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			if p.hold(muted) {
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

// hold waits while the way is muted, and then for the delay; it reports false
// once the proxy ends.
func (p *Proxy) hold(muted func(Mood) bool) bool {
	for {
		m, turn := p.state()
		if !muted(m) {
			return p.sleep(m.Delay)
		}
		select {
		case <-turn:
		case <-p.ctx.Done():
			return false
		}
	}
}

func (p *Proxy) sleep(d time.Duration) bool {
	if d <= 0 {
		return p.ctx.Err() == nil
	}
	alarm := time.NewTimer(d)
	defer alarm.Stop()
	select {
	case <-alarm.C:
		return true
	case <-p.ctx.Done():
		return false
	}
}

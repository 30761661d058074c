package zlconnlimit

import (
	"errors"
	"net"
	"time"

	"zinnialock/core/connection/zlreadbudget"
)

// Listen returns a listener that accepts the connections of inner once they have a whole
// head. It ends when inner does and, if inner was closed, no connection without a first
// whole head is left; Close of the Limiter closes these.
func (l *Limiter) Listen(inner net.Listener) net.Listener {
	l.limitSockets(inner)
	l.mu.Lock()
	l.conns = map[*Conn]struct{}{}
	l.notify()
	l.mu.Unlock()
	ln := &listener{
		Listener: inner,
		limiter:  l,
		ready:    make(chan *Conn),
		ended:    make(chan struct{}),
	}
	go ln.run()
	go ln.runSweep()
	return ln
}

type listener struct {
	net.Listener
	limiter *Limiter
	ready   chan *Conn
	// ended is closed after err was set.
	ended chan struct{}
	err   error
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.ready:
		return c, nil
	case <-l.ended:
		return nil, l.err
	}
}

// Close implements net.Listener. It also closes the connections without a first whole
// head, which a server that closes its listener doesn't serve any more.
func (l *listener) Close() error {
	err := l.Listener.Close()
	l.limiter.Close()
	return err
}

func (l *listener) run() {
	defer close(l.ended)
	for {
		raw, err := l.Listener.Accept()
		if err == nil {
			l.admit(raw)
			continue
		}
		if temporary, ok := err.(interface{ Temporary() bool }); !ok || !temporary.Temporary() {
			l.err = err
			break
		}
		// No descriptor is left, for example.
		l.limiter.mu.Lock()
		l.limiter.evict()
		l.limiter.mu.Unlock()
		time.Sleep(acceptRetryDelay)
	}
	if errors.Is(l.err, net.ErrClosed) {
		l.limiter.wait(func() bool {
			return l.limiter.first == 0
		})
	}
}

func (l *listener) runSweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.ended:
			return
		case now := <-ticker.C:
			l.limiter.sweep(now)
		}
	}
}

// wait waits until done returns true, which is called with mu held, or the limiter is
// closed.
func (l *Limiter) wait(done func() bool) {
	for {
		l.mu.Lock()
		ended := l.closed || done()
		changed := l.changed
		l.mu.Unlock()
		if ended {
			return
		}
		<-changed
	}
}

// admit takes a connection when there is room for it.
func (l *listener) admit(raw net.Conn) {
	limiter := l.limiter
	limiter.wait(func() bool {
		limiter.full = limiter.MaxConns > 0 && len(limiter.conns) >= limiter.MaxConns && !limiter.evict()
		return !limiter.full
	})
	c := &Conn{
		Conn:    raw,
		limiter: limiter,
		head: zlreadbudget.Reservation{
			Budget: limiter.Heads,
		},
		request: zlreadbudget.Reservation{
			Budget: limiter.Requests,
		},
	}
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	if limiter.closed {
		_ = raw.Close()
		return
	}
	limiter.conns[c] = struct{}{}
	limiter.first++
	c.enterLocked(stateNew)
	go l.awaitHead(c)
}

// awaitHead passes a connection on once it has a whole head.
func (l *listener) awaitHead(c *Conn) {
	_, err := c.gather(nil)
	if err == nil {
		// Close of the Limiter must not meet a connection whose request is passed on.
		l.limiter.mu.Lock()
		c.passed = true
		l.limiter.mu.Unlock()
		select {
		case l.ready <- c:
		case <-l.ended:
			err = net.ErrClosed
		}
	}
	if err != nil {
		_ = c.Close()
	}
	l.limiter.mu.Lock()
	defer l.limiter.mu.Unlock()
	l.limiter.first--
	l.limiter.notify()
}

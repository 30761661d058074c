package main

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// proxy stands between the relays of a zone and the store. It passes everything on, except
// on connections that it has made silent: these stay open and carry nothing any more.
type proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	links map[*link]struct{}
}

// link is one connection of a relay to the store.
type link struct {
	proxy        *proxy
	relay, store net.Conn
	// silent is closed when the connection goes silent.
	silent chan struct{}
	// request is the last request line that the relay sent, at askedAt; waiting is set until
	// the store's next byte.
	request string
	askedAt time.Time
	waiting bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{
		target:   target,
		listener: l,
		links:    map[*link]struct{}{},
	}
	go p.run()
	return p, nil
}

func (p *proxy) address() string {
	return p.listener.Addr().String()
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.closeAll()
	}
}

func (l *link) closeAll() {
	_ = l.relay.Close()
	_ = l.store.Close()
}

func (p *proxy) run() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		s, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = c.Close()
			continue
		}
		l := &link{
			proxy:  p,
			relay:  c,
			store:  s,
			silent: make(chan struct{}),
		}
		p.mu.Lock()
		p.links[l] = struct{}{}
		p.mu.Unlock()
		go l.copyFrom(c, s, true)
		go l.copyFrom(s, c, false)
	}
}

// copyFrom passes bytes on until the connection ends or goes silent.
func (l *link) copyFrom(from, to net.Conn, request bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-l.silent:
			if err != nil {
				_ = from.Close()
				return
			}
			// What is sent on a silent connection is lost.
			continue
		default:
		}
		if err != nil {
			l.closeAll()
			l.proxy.mu.Lock()
			delete(l.proxy.links, l)
			l.proxy.mu.Unlock()
			return
		}
		l.proxy.mu.Lock()
		if request {
			line, _, _ := bytes.Cut(buffer[:n], []byte("\r\n"))
			l.request, l.askedAt, l.waiting = string(line), time.Now(), true
		} else {
			l.waiting = false
		}
		l.proxy.mu.Unlock()
		if _, err := to.Write(buffer[:n]); err != nil {
			continue
		}
	}
}

// silence makes all connections silent that are open now, and returns how many.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for l := range p.links {
		select {
		case <-l.silent:
		default:
			close(l.silent)
			n++
		}
	}
	return n
}

package main

import (
	"math/rand"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// The modes of a link.
const (
	linkOpen int32 = iota
	// linkSilent holds all bytes back, and new connections too.
	linkSilent
	// linkReset resets open and new connections.
	linkReset
	// linkFlaky delays bytes and resets some connections.
	linkFlaky
)

// link is the path from one machine to the other side; its proxies have the same mode.
type link struct {
	mode  atomic.Int32
	mu    sync.Mutex
	conns map[*net.TCPConn]bool
	addrs map[string]string
	ip    string
}

func (l *link) set(mode int32) {
	l.mode.Store(mode)
	if mode != linkReset {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	clear(l.conns)
}

// to returns the address of a proxy for an address.
func (l *link) to(address string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.addrs == nil {
		l.addrs = map[string]string{}
		l.conns = map[*net.TCPConn]bool{}
	}
	if a, ok := l.addrs[address]; ok {
		return a
	}
	ln, err := net.Listen("tcp", l.ip+":0")
	if err != nil {
		panic(err)
	}
	l.addrs[address] = ln.Addr().String()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.serve(c.(*net.TCPConn), address)
		}
	}()
	return l.addrs[address]
}

func (l *link) add(c *net.TCPConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
}

func (l *link) drop(c *net.TCPConn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

func (l *link) serve(c *net.TCPConn, address string) {
	l.add(c)
	defer l.drop(c)
	if l.mode.Load() == linkReset {
		_ = c.SetLinger(0)
		_ = c.Close()
		return
	}
	l.pass()
	raw, err := net.Dial("tcp", address)
	if err != nil {
		_ = c.SetLinger(0)
		_ = c.Close()
		return
	}
	o := raw.(*net.TCPConn)
	l.add(o)
	defer l.drop(o)
	var group sync.WaitGroup
	group.Add(2)
	go l.copy(&group, o, c)
	go l.copy(&group, c, o)
	group.Wait()
}

// pass waits while the link is silent.
func (l *link) pass() {
	for l.mode.Load() == linkSilent {
		time.Sleep(5 * time.Millisecond)
	}
	if l.mode.Load() == linkFlaky {
		time.Sleep(time.Duration(rand.Intn(60)) * time.Millisecond)
	}
}

func (l *link) copy(group *sync.WaitGroup, to, from *net.TCPConn) {
	defer group.Done()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.pass()
		if l.mode.Load() == linkFlaky && rand.Intn(15) == 0 {
			_ = to.SetLinger(0)
			_ = from.SetLinger(0)
			_ = to.Close()
			_ = from.Close()
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.SetLinger(0)
				_ = from.Close()
				return
			}
		}
		if err != nil {
			// A reset goes on as a reset, and an end as an end.
			if ne, ok := err.(net.Error); err.Error() != "EOF" || ok && ne.Timeout() {
				_ = to.SetLinger(0)
			}
			_ = to.Close()
			return
		}
	}
}

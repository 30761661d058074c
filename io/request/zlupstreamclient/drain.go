package zlupstreamclient

import "zinnialock/core/process/zlunit"

// Drain closes the idle connections to an upstream and reports whether no
// connection is left, idle or in use. It is meant for an upstream that gets no
// further requests, and is called repeatedly until it returns true.
func (c *Caller) Drain(name zlunit.Upstream) bool {
	c.mu.Lock()
	p, ok := c.pools[name]
	c.mu.Unlock()
	if !ok {
		return true
	}
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, conn := range idle {
		conn.closeGracefully()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.open) == 0
}

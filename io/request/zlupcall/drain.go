package zlupcall

import "zinnialock/core/process/zlunit"

// Drain closes the idle connections to an upstream and reports whether none is
// left. It is for an upstream that nothing is sent to any more.
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
		conn.retire()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.open) == 0
}

package zlgate

import (
	"time"

	"zinnialock/core/process/zlunit"
)

// Conn is the gate's record of one connection. Every connection starts out
// unproven, and no more than the cold limit of them may be: a new connection
// may lead to a process that started a moment ago. All methods may be called
// on nil, which does nothing.
type Conn struct {
	gate    *Gate
	phase   connPhase
	proven  bool
	process zlunit.Process
	idle    time.Time
	busy    bool
	broken  bool
	// dead tells that the gate no longer counts it as live.
	dead bool
}

type connPhase int

const (
	connDialing connPhase = iota
	connOpen
	connClosed
)

// idleLong is how long a connection must have been idle for its end to be
// taken for the upstream's idle timeout and not for a restart.
const idleLong = 5 * time.Second

// drainedWait is the wait after a drained upstream's last connection ended.
const drainedWait = time.Second

// Dial reserves a new connection, or returns nil while none may be made.
func (g *Gate) Dial() *Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.reserved >= int(g.limits.Connections) || g.unproven >= int(g.limits.Cold) {
		return nil
	}
	g.reserved++
	g.unproven++
	return &Conn{
		gate: g,
	}
}

// Opened tells that the connection was made.
func (c *Conn) Opened() {
	if c == nil {
		return
	}
	g := c.gate
	g.mu.Lock()
	if c.phase != connDialing {
		g.mu.Unlock()
		return
	}
	c.phase = connOpen
	c.idle = g.Timer.Now()
	g.live++
	// Without an identity, a restart while there was no connection would go
	// unnoticed.
	blind := g.process == "" && g.live == 1 && g.state != StateDraining
	switch {
	case blind && g.state == StateCold:
		g.resetEvidence()
	case blind, g.state == StateGone:
		g.toll = 1
		g.chill(CauseReconnected)
	}
	g.unlock(g.wake(nil))
}

// Failed tells that the connection could not be made.
func (c *Conn) Failed() {
	if c == nil {
		return
	}
	g := c.gate
	g.mu.Lock()
	c.forget()
	if g.live == 0 {
		g.vanish()
	}
	g.unlock(g.trim(nil))
}

// Busy tells that the connection carries a request, or no longer does.
func (c *Conn) Busy(busy bool) {
	if c == nil {
		return
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.busy = busy
	c.idle = c.gate.Timer.Now()
}

// Broken tells that the upstream ended the connection.
func (c *Conn) Broken() {
	if c == nil {
		return
	}
	g := c.gate
	g.mu.Lock()
	if c.phase != connOpen || c.broken {
		g.mu.Unlock()
		return
	}
	c.broken = true
	c.die()
	g.lost(c)
	g.unlock(g.wake(g.trim(nil)))
}

// lost decides what an ended connection says of the upstream.
func (g *Gate) lost(c *Conn) {
	timedOut := !c.busy && g.Timer.Now().Sub(c.idle) >= idleLong
	if timedOut && g.live > 0 {
		return
	}
	if g.state == StateGone {
		return
	}
	if g.state == StateDraining {
		g.endDrain()
		return
	}
	g.toll = 1
	g.chill(CauseBroken)
}

// endDrain tries a drained upstream soon, once, after its last connection
// ended: the next process may be there.
func (g *Gate) endDrain() {
	if g.live == 0 && g.backoff == drainBackoff {
		g.retryAt = g.Timer.Now().Add(drainedWait)
		g.backoff++
	}
}

// Closed tells that the connection is gone, whoever ended it.
func (c *Conn) Closed() {
	if c == nil {
		return
	}
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.phase == connOpen {
		c.die()
	}
	c.forget()
}

// Ending tells that this side has ended the connection and waits for the
// upstream to do so too.
func (c *Conn) Ending() {
	if c == nil {
		return
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.phase == connOpen {
		c.die()
	}
}

func (c *Conn) die() {
	if !c.dead {
		c.dead = true
		c.gate.live--
	}
}

func (c *Conn) forget() {
	if c.phase == connClosed {
		return
	}
	c.phase = connClosed
	c.gate.reserved--
	if !c.proven {
		c.gate.unproven--
	}
}

// identify learns which process answered on c. A late answer of a process that
// another one has replaced changes nothing.
func (g *Gate) identify(c *Conn, process zlunit.Process) {
	if process == "" {
		return
	}
	if c != nil && c.process == process {
		return
	}
	if c != nil {
		c.process = process
	}
	if g.process == process {
		return
	}
	known := g.process != ""
	g.process = process
	if known {
		g.toll = 1
		g.chill(CauseNewProcess)
	}
}

// Prove tells that the upstream answered on c, and as which process.
func (c *Conn) Prove(process zlunit.Process) {
	if c == nil {
		return
	}
	g := c.gate
	g.mu.Lock()
	g.identify(c, process)
	if !c.proven {
		c.proven = true
		if c.phase != connClosed {
			g.unproven--
		}
	}
	g.unlock(g.wake(g.trim(nil)))
}

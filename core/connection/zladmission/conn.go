package zladmission

import (
	"time"

	"zinnialock/core/process/zlunit"
)

// Conn is the gate's record of one connection. Each connection starts out as
// unproven, and there are never more unproven ones than the cold limit, since
// a new connection may lead to a process that has just started. On a nil Conn,
// all methods do nothing.
type Conn struct {
	gate  *Gate
	phase connPhase
	// proven: the upstream answered on the connection.
	proven bool
	// process is the identity that the upstream gave on it, if any.
	process zlunit.Process
	// idleSince is when the connection last began or ended a request.
	idleSince time.Time
	busy      bool
	broken    bool
	// dead: the connection no longer counts as live.
	dead bool
}

type connPhase int

const (
	connDialing connPhase = iota
	connOpen
	connClosed
)

// minIdleTimeout is how long a connection must have been idle for its end to
// be taken for an idle timeout of the upstream and not for a restart.
const minIdleTimeout = 5 * time.Second

// redialAfterDrain is the wait before a dial after the last connection to a
// draining upstream ended.
const redialAfterDrain = time.Second

// Dial reserves a new connection. It returns nil while no more are allowed.
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

// Opened notes that the connection was established.
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
	c.idleSince = g.Timer.Now()
	g.live++
	// If the upstream has no process identity, a restart while there was no
	// connection would go unnoticed.
	mayHaveRestarted := g.process == "" && g.live == 1 && g.state != StateDraining
	switch {
	case mayHaveRestarted && g.state == StateCold:
		g.resetEvidence()
	case mayHaveRestarted, g.state == StateGone:
		g.rampFactor = 1
		g.enterCold(CauseReconnected)
	}
	g.unlock(g.grantWaiting(nil))
}

// DialFailed notes that the connection could not be established.
func (c *Conn) DialFailed() {
	if c == nil {
		return
	}
	g := c.gate
	g.mu.Lock()
	c.release()
	if g.live == 0 {
		g.enterGone()
	}
	g.unlock(g.refuseHopeless(nil))
}

// SetBusy notes whether the connection carries a request.
func (c *Conn) SetBusy(busy bool) {
	if c == nil {
		return
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.busy = busy
	c.idleSince = c.gate.Timer.Now()
}

// PeerClosed notes that the upstream ended the connection.
func (c *Conn) PeerClosed() {
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
	c.markDead()
	g.connLost(c)
	g.unlock(g.grantWaiting(g.refuseHopeless(nil)))
}

// connLost changes the state by what the end of a connection says about the
// upstream. The caller holds mu.
func (g *Gate) connLost(c *Conn) {
	timedOut := !c.busy && g.Timer.Now().Sub(c.idleSince) >= minIdleTimeout
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
	g.rampFactor = 1
	g.enterCold(CauseBroken)
}

// endDrain schedules one early retry after the last connection to a draining
// upstream ended, when its next process may be up.
func (g *Gate) endDrain() {
	if g.live == 0 && g.backoff == minDrainBackoff {
		g.retryAt = g.Timer.Now().Add(redialAfterDrain)
		g.backoff++
	}
}

// Closed notes that the connection is closed, whichever side ended it.
func (c *Conn) Closed() {
	if c == nil {
		return
	}
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.phase == connOpen {
		c.markDead()
	}
	c.release()
}

// MarkClosing notes that this side has ended the connection and waits for the
// upstream to close it.
func (c *Conn) MarkClosing() {
	if c == nil {
		return
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.phase == connOpen {
		c.markDead()
	}
}

// markDead stops counting the connection as live. The caller holds mu.
func (c *Conn) markDead() {
	if !c.dead {
		c.dead = true
		c.gate.live--
	}
}

// release frees the place of the connection. The caller holds mu.
func (c *Conn) release() {
	if c.phase == connClosed {
		return
	}
	c.phase = connClosed
	c.gate.reserved--
	if !c.proven {
		c.gate.unproven--
	}
}

// identify notes which process answered on c, and makes the gate cold if that
// is a new one. A late answer from a process that was already replaced changes
// nothing. The caller holds mu.
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
	restarted := g.process != ""
	g.process = process
	if restarted {
		g.rampFactor = 1
		g.enterCold(CauseNewProcess)
	}
}

// MarkProven notes that the upstream answered on c, and the process identity that
// it gave, if any.
func (c *Conn) MarkProven(process zlunit.Process) {
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
	g.unlock(g.grantWaiting(g.refuseHopeless(nil)))
}

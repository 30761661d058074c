package zlsharedrate

import (
	"math"
	"slices"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
)

// client holds the tokens of one key that this VM may use, and the requests that wait.
type client struct {
	batches []batch
	waiters []waiter
	ask     *openAsk
	// late holds when questions were asked that were given up; a late answer still
	// counts.
	late map[uint32]time.Time
	// rate is the average of the requests a second as of usedAt.
	rate   float64
	usedAt time.Time
	// denyUntil is until when requests are denied without a question, tokenAt when the
	// keeper expects a token, and refill how many a second then.
	denyUntil time.Time
	tokenAt   time.Time
	refill    float64
	// backlogEnd is when the last refused caller is advised to retry.
	backlogEnd time.Time
}

// batch is a number of tokens that expire together.
type batch struct {
	tokens  int
	expires time.Time
}

// waiter is a request that waits for a token.
type waiter struct {
	ticket Ticket
	since  time.Time
	done   func(v Verdict)
}

// openAsk is a question to a keeper.
type openAsk struct {
	sequence uint32
	to       zlunit.VM
	sentAt   time.Time
	// tried are the VMs that were asked for the same requests.
	tried []zlunit.VM
}

// Take takes a token and calls done with the result, at once or when messages brought it.
// It returns a ticket for Cancel.
func (n *Node) Take(key Key, now time.Time, done func(v Verdict)) Ticket {
	n.advance(now)
	c, ok := n.clients[key]
	if !ok {
		c = &client{
			late: map[uint32]time.Time{},
		}
		n.clients[key] = c
	}
	c.rate = c.demand(now) + 1/demandTime.Seconds()
	c.usedAt = now
	if len(c.waiters) == 0 {
		if token, ok := n.takeToken(key, c); ok {
			done(Verdict{
				Granted: true,
				Token:   token,
			})
			return 0
		}
		if now.Before(c.denyUntil) {
			n.deny(c, done)
			return 0
		}
	}
	n.tickets++
	n.busy[key] = struct{}{}
	c.waiters = append(c.waiters, waiter{
		ticket: n.tickets,
		since:  now,
		done:   done,
	})
	if c.ask == nil {
		n.ask(key, c, nil)
	}
	return n.tickets
}

// Return gives back a token that was not used; another request may use it until it expires.
// A returned token that lived on, or went back into a bucket that has refilled meanwhile,
// would let requests that are refused again and again collect more than the limit. Tokens
// from before a pause of the process have expired, since pauseTime is longer than their life.
func (n *Node) Return(key Key, t Token, now time.Time) {
	n.advance(now)
	c, ok := n.clients[key]
	if !ok || zltimer.Remaining(now, t.expires) <= 0 {
		return
	}
	i := slices.IndexFunc(c.batches, func(b batch) bool {
		return b.expires.Equal(t.expires)
	})
	if i < 0 {
		i = 0
		c.batches = slices.Insert(c.batches, i, batch{
			expires: t.expires,
		})
	}
	c.batches[i].tokens++
	n.serveWaiters(key, c)
}

// Cancel removes a request that does not wait any more; its done is not called.
func (n *Node) Cancel(key Key, t Ticket) {
	if c, ok := n.clients[key]; ok {
		c.waiters = slices.DeleteFunc(c.waiters, func(w waiter) bool {
			return w.ticket == t
		})
	}
}

// demand returns the average of the requests a second.
func (c *client) demand(now time.Time) float64 {
	return c.rate * math.Exp(-now.Sub(c.usedAt).Seconds()/demandTime.Seconds())
}

// takeToken takes a token that has not expired, by either clock, or one of the own bucket.
func (n *Node) takeToken(key Key, c *client) (Token, bool) {
	if t, ok := n.takeHeld(c); ok {
		return t, true
	}
	return Token{
		expires: n.now.Add(min(batchTime, n.TokenLife)),
	}, n.takeOwn(key, false)
}

// takeHeld takes a token of a batch.
func (n *Node) takeHeld(c *client) (Token, bool) {
	c.batches = slices.DeleteFunc(c.batches, func(b batch) bool {
		return b.tokens == 0 || zltimer.Remaining(n.now, b.expires) <= 0
	})
	if len(c.batches) == 0 {
		return Token{}, false
	}
	c.batches[0].tokens--
	return Token{
		expires: c.batches[0].expires,
	}, true
}

// ask asks the first keeper that is not silent or tried, and decides without one if there
// is none.
func (n *Node) ask(key Key, c *client, tried []zlunit.VM) {
	c.ask = nil
	if !n.knowsVMs() {
		// The VMs are not known yet; stepClient decides.
		return
	}
	for _, vm := range n.candidates(key, n.Self.DataCentre) {
		if n.isSilent(vm) || slices.Contains(tried, vm) || len(tried) >= maxTries {
			continue
		}
		n.sequence++
		c.ask = &openAsk{
			sequence: n.sequence,
			to:       vm,
			sentAt:   n.now,
			tried:    append(tried, vm),
		}
		demand := c.demand(n.now)
		batch := min(math.Ceil(demand*batchTime.Seconds()), math.Floor(demand*n.TokenLife.Seconds()))
		tokens := max(len(c.waiters), int(batch))
		to := n.addressed(vm, nil)
		to.Asks = append(to.Asks, Ask{
			Key:      key,
			Sequence: n.sequence,
			Amount:   milliTokens(tokens) * tokenUnit,
		})
		return
	}
	n.decideAlone(key, c)
}

// decideAlone decides all that wait by this VM's own share: no keeper can be reached. What
// it grants can't be returned: a grant by chance took less than a token.
func (n *Node) decideAlone(key Key, c *client) {
	l, _ := n.Limit(key)
	c.refill = l.Rate / float64(max(n.total, 1))
	for _, w := range c.takeWaiters() {
		if n.takeOwn(key, true) {
			w.done(Verdict{
				Granted: true,
			})
			continue
		}
		c.tokenAt = n.now.Add(maxDenyTime)
		n.deny(c, func(v Verdict) {
			v.NoKeeper = n.total == 0
			w.done(v)
		})
	}
}

func (c *client) takeWaiters() []waiter {
	list := c.waiters
	c.waiters = nil
	return list
}

// handleAnswer takes tokens of a keeper, or its denial.
func (n *Node) handleAnswer(from zlunit.VM, g *Answer) {
	if n.handleLoan(from, g) {
		return
	}
	c, ok := n.clients[g.Key]
	if !ok {
		return
	}
	sentAt, isLate := c.late[g.Sequence]
	current := c.ask != nil && c.ask.sequence == g.Sequence
	switch {
	case current:
		sentAt = c.ask.sentAt
		c.ask = nil
	case isLate:
		delete(c.late, g.Sequence)
	default:
		return
	}
	if tokens := int(g.Amount / tokenUnit); tokens > 0 {
		c.batches = append(c.batches, batch{
			tokens:  tokens,
			expires: sentAt.Add(n.TokenLife),
		})
	} else if current {
		n.handleDenial(c, g)
	}
	n.serveWaiters(g.Key, c)
}

// handleDenial denies the requests that wait.
func (n *Node) handleDenial(c *client, g *Answer) {
	wait := time.Duration(min(g.WaitMillis, uint32(maxRetryAfter.Milliseconds()))) * time.Millisecond
	c.refill = g.Refill.tokens()
	c.tokenAt = n.now.Add(wait)
	c.denyUntil = n.now.Add(min(max(wait, minDenyTime), maxDenyTime))
	for _, w := range c.takeWaiters() {
		n.deny(c, w.done)
	}
}

// serveWaiters gives the tokens to the requests in their order, and asks for the others.
func (n *Node) serveWaiters(key Key, c *client) {
	for len(c.waiters) > 0 {
		token, ok := n.takeHeld(c)
		if !ok {
			break
		}
		w := c.waiters[0]
		c.waiters = c.waiters[1:]
		w.done(Verdict{
			Granted: true,
			Token:   token,
		})
	}
	if len(c.waiters) > 0 && c.ask == nil {
		n.ask(key, c, nil)
	}
}

// deny denies a request. The advice is when there will be a token for it after those that
// were promised to others.
func (n *Node) deny(c *client, done func(v Verdict)) {
	at := c.backlogEnd
	if at.Before(c.tokenAt) {
		at = c.tokenAt
	}
	if at.Before(n.now) {
		at = n.now
	}
	wait := min(at.Sub(n.now), maxRetryAfter)
	if wait < maxRetryAfter {
		c.backlogEnd = at.Add(time.Duration(float64(time.Second) / max(c.refill, 1/maxRetryAfter.Seconds())))
	}
	wait = max(wait, time.Millisecond)
	done(Verdict{
		RetryAfter: wait + time.Duration(n.Random()*retryJitter*float64(wait)),
	})
}

// stepClient asks the next VM after an answer that is late, and forgets a key that is not
// used.
func (n *Node) stepClient(key Key, c *client) {
	for sequence, at := range c.late {
		if n.now.Sub(at) > n.TokenLife {
			delete(c.late, sequence)
		}
	}
	if a := c.ask; a != nil && n.now.Sub(a.sentAt) >= answerTime {
		c.late[a.sequence] = a.sentAt
		n.missed(a.to)
		n.ask(key, c, a.tried)
	}
	if c.ask == nil && len(c.waiters) > 0 {
		if n.knowsVMs() {
			n.ask(key, c, nil)
		} else if n.now.Sub(c.waiters[0].since) >= maxTries*answerTime {
			n.decideAlone(key, c)
		}
	}
	if len(c.waiters) == 0 && c.ask == nil && n.now.Sub(c.usedAt) > maxRetryAfter && !n.now.Before(c.backlogEnd) {
		delete(n.clients, key)
	}
}

package zlrollout

import (
	"sync"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zltable"
)

// maxPending is how many outcomes may wait until they are counted. At 36 orders of 1,000
// requests a second 3,600 come between two calls of Step, if one VM sends them all.
const maxPending = 10_000

// response is the outcome of one send, as given to Record.
type response struct {
	service zlunit.Service
	route   zltable.RouteName
	build   zlunit.Build
	outcome Outcome
	took    time.Duration
}

// pending holds the outcomes that are not counted yet. The zero value is ready for use.
type pending struct {
	mu   sync.Mutex
	list []response
}

// add keeps an outcome and reports whether too many wait.
func (p *pending) add(r *response) (full bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = append(p.list, *r)
	return len(p.list) >= maxPending
}

// take returns the outcomes and forgets them.
func (p *pending) take() []response {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.list
	p.list = nil
	return list
}

// Record notes the outcome of a send to a replica of build b. Took is the time to the
// response, or 0 if that is not comparable, as for a replica that was cold. It must not be
// called for requests that the replica refused unrun or that this VM cancelled.
//
// The outcome is counted at the next call that takes the controller's lock, which Step holds
// for as long as it tests the evidence.
func (c *Controller) Record(s zlunit.Service, route zltable.RouteName, b zlunit.Build, o Outcome, took time.Duration) {
	if !c.Settings.Enabled {
		return
	}
	full := c.pending.add(&response{
		service: s,
		route:   route,
		build:   b,
		outcome: o,
		took:    took,
	})
	if full {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.countPending()
	}
}

// countPending counts the outcomes that wait, with the orders that were in force when they
// came. The caller holds mu and changes nothing before.
func (c *Controller) countPending() {
	for _, r := range c.pending.take() {
		if s := c.services[r.service]; s != nil {
			s.record(r.route, r.build, r.outcome, r.took)
		}
	}
}

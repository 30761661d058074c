package zlrollout

import (
	"maps"
	"slices"
	"strings"
	"time"

	"zinnialock/core/process/zlunit"
)

const (
	// memoryTime is how long an outcome is remembered after its order is gone, far longer
	// than the store goes back; maxMemories limits how many are.
	memoryTime  = time.Hour
	maxMemories = 1000
)

// SetOrders takes all orders that the store holds, as it or a peer confirmed them at the
// given time. States of the store must be passed in their order.
func (c *Controller) SetOrders(orders []Order, at time.Time) {
	if !c.Settings.Enabled {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.init()
	if at.After(now) || now.Sub(at) > c.configApply() {
		at = now
	}
	present := map[zlunit.Service]bool{}
	unreadable := map[OrderID]Kind{}
	for i := range orders {
		o := &orders[i]
		err := o.validate()
		if err == nil && present[o.ID.Service] {
			err = &Error{
				Op:   "read order",
				Kind: KindTwoOrders,
			}
		}
		if err != nil {
			unreadable[o.ID] = err.Kind
			if c.unreadable[o.ID] != err.Kind {
				c.record("unreadable", string(o.ID.Target)+": "+err.Error(), o.ID.Service)
			}
			continue
		}
		present[o.ID.Service] = true
		c.setOrder(c.service(o.ID.Service), o, at, now)
	}
	c.unreadable = unreadable
	for _, s := range slices.Clone(c.ordered) {
		if !present[s.name] {
			c.withdraw(s)
		}
	}
	c.forget(now)
	c.updateSplits(now)
}

// setOrder takes an order as the store holds it. The caller holds mu.
func (c *Controller) setOrder(s *service, latest *Order, at, now time.Time) {
	if s.order != nil && latest.Revision.Before(s.order.latest.Revision) {
		return
	}
	key := latest.ID.Key()
	if s.order == nil || s.order.key != key {
		what := "ordered"
		if s.order != nil {
			what = "changed"
		} else {
			c.ordered = append(c.ordered, s)
			slices.SortFunc(c.ordered, func(a, b *service) int {
				return strings.Compare(string(a.name), string(b.name))
			})
		}
		s.begin(newOrder(latest, at), now)
		c.note(s, what, string(latest.ID.Target)+" in "+latest.Duration.String())
		if state := latest.status().State; state != "" {
			c.note(s, string(state), latest.status().name())
		}
	} else {
		if s.order.latest.Duration != latest.Duration {
			s.order.times = newSchedule(latest.ID, latest.Duration)
		}
		if s.update(latest, now) {
			c.note(s, string(latest.status().State), latest.status().name())
		}
	}
	c.settleOutcome(s, now)
}

// settleOutcome compares the store's status of the order with what is remembered of it.
// The caller holds mu.
func (c *Controller) settleOutcome(s *service, now time.Time) {
	o := s.order
	status, revision := o.latest.status(), o.latest.Revision
	if status.State.Final() {
		// Also if another outcome is remembered: the platform acts on what the store holds.
		if o.outcome != status.State || !o.stored {
			s.end(status.State, true, now)
		}
		c.remember(o.key, memory{
			state:    status.State,
			revision: revision,
			at:       now,
		})
		return
	}
	m, known := c.memories[o.key]
	switch {
	case !known:
	case m.revision.Era != revision.Era || revision.Before(m.revision):
		// The store went back.
		if o.outcome != m.state {
			s.end(m.state, true, now)
		}
	default:
		// Within an era a final status is only undone by a new order for the same target.
		delete(c.memories, o.key)
		if o.stored {
			s.begin(newOrder(&o.latest, now), now)
			c.note(s, "ordered", string(o.id.Target)+" again")
		}
	}
}

// remember keeps an outcome. The caller holds mu.
func (c *Controller) remember(key OrderKey, m memory) {
	if _, known := c.memories[key]; !known && len(c.memories) >= maxMemories {
		oldest := key
		for k := range c.memories {
			if oldest == key || c.memories[k].at.Before(c.memories[oldest].at) {
				oldest = k
			}
		}
		delete(c.memories, oldest)
	}
	c.memories[key] = m
}

// forget drops old outcomes. The caller holds mu.
func (c *Controller) forget(now time.Time) {
	inForce := map[OrderKey]bool{}
	for _, s := range c.ordered {
		inForce[s.order.key] = true
	}
	maps.DeleteFunc(c.memories, func(key OrderKey, m memory) bool {
		return !inForce[key] && now.Sub(m.at) > memoryTime
	})
}

// withdraw ends an order whose object is gone. The caller holds mu.
func (c *Controller) withdraw(s *service) {
	c.note(s, "withdrawn", string(s.order.id.Target))
	s.order = nil
	s.split = nil
	// Without the object, builds are distinguished by the baseline alone.
	clear(s.bad)
	clear(s.retired)
	c.ordered = slices.DeleteFunc(c.ordered, func(other *service) bool {
		return other == s
	})
}

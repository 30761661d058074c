package zlrollout

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zlroster"
	"zinnialock/core/version/zltable"

	"github.com/cespare/xxhash/v2"
)

const (
	// The platform's defaults of the settings.
	defaultMaxExposure = 0.1
	defaultConfigApply = 5 * time.Second
	// refreshSplits is the time between updates of the splits, which depend on which
	// replicas are cold.
	refreshSplits = time.Second
	// defaultRequestTime is taken as the longest time of a request on a route without a
	// timeout, where the caller's deadline decides. It is chosen, not measured.
	defaultRequestTime = 5 * time.Second
)

// Controller follows the orders of all services on one VM. Exported fields must be set
// before use; the methods may be called concurrently.
type Controller struct {
	Self     zlunit.VM
	Settings Settings
	Timer    *zltimer.Service
	// Sink receives decisions and changes of what is known; may be nil.
	Sink zldecision.Sink

	// splits is replaced whenever a split is added or removed.
	splits atomic.Pointer[map[zlunit.Service]*Split]
	// pending has a lock of its own, which is never held for long.
	pending pending

	mu       sync.Mutex
	start    int64
	members  []zlunit.VM
	rankings map[zlunit.Service][]zlunit.VM
	services map[zlunit.Service]*service
	// table is the one that the services' longest requests were last taken from.
	table *zltable.Table
	// ordered holds the services with an order, by name.
	ordered  []*service
	memories map[OrderKey]memory
	// unreadable holds the orders that were noted as unreadable.
	unreadable map[OrderID]Kind
	splitsAt   time.Time
	// interval is the time between two reports on an order.
	interval time.Duration
}

// init prepares the maps, counts the outcomes that wait and returns the time. The caller
// holds mu.
func (c *Controller) init() time.Time {
	now := c.Timer.Now()
	if c.services == nil {
		c.start = now.UnixMilli()
		c.services = map[zlunit.Service]*service{}
		c.rankings = map[zlunit.Service][]zlunit.VM{}
		c.memories = map[OrderKey]memory{}
		if c.members == nil {
			c.members = []zlunit.VM{c.Self}
		}
	}
	c.countPending()
	return now
}

// service returns the state of a service. The caller holds mu.
func (c *Controller) service(name zlunit.Service) *service {
	s := c.services[name]
	if s == nil {
		s = &service{
			name:    name,
			counts:  map[zlunit.Build]int{},
			bad:     map[zlunit.Build]bool{},
			retired: map[zlunit.Build]bool{},
			medians: map[zltable.RouteName]*median{},
		}
		c.services[name] = s
	}
	return s
}

// SetMembers sets the VMs in the VM count.
func (c *Controller) SetMembers(vms []zlunit.VM) {
	if !c.Settings.Enabled {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	c.members = slices.Clone(vms)
	if !slices.Contains(c.members, c.Self) {
		c.members = append(c.members, c.Self)
	}
	clear(c.rankings)
}

// ranking returns the VMs in the order in which they decide on the service's orders. The
// caller holds mu.
func (c *Controller) ranking(s *service) []zlunit.VM {
	list, ok := c.rankings[s.name]
	if !ok {
		list = zlroster.Rank(zlroster.KeyOf(string(s.name)), c.members)
		c.rankings[s.name] = list
	}
	return list
}

// SetReplicas takes the replicas of each service. It must be called for each view.
func (c *Controller) SetReplicas(v *zlregistry.View) {
	if !c.Settings.Enabled {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.init()
	c.noteTimeouts(v.Table)
	for name, list := range v.Replicas {
		c.service(name).setReplicas(list, now)
	}
	for name, s := range c.services {
		if _, ok := v.Replicas[name]; !ok {
			s.setReplicas(nil, now)
		}
	}
	c.updateSplits(now)
}

// noteTimeouts takes the longest time of a request to each service from a table. It never
// falls, since requests under earlier tables may be in flight. The caller holds mu.
func (c *Controller) noteTimeouts(t *zltable.Table) {
	if t == nil || t == c.table {
		return
	}
	c.table = t
	for i := range t.Routes {
		r := &t.Routes[i]
		longest := r.Timeout
		if longest <= 0 {
			longest = defaultRequestTime
		}
		for _, target := range r.Targets {
			s := c.service(target.Service)
			s.longest = max(s.longest, longest)
		}
		for _, name := range r.Shards {
			s := c.service(name)
			s.longest = max(s.longest, longest)
		}
	}
}

// updateSplits brings all splits up to date. The caller holds mu.
func (c *Controller) updateSplits(now time.Time) {
	c.splitsAt = now
	for _, s := range c.services {
		s.expireBaseline(now)
		c.updateSplit(s, now)
	}
}

// updateSplit brings the split of one service up to date. The caller holds mu.
func (c *Controller) updateSplit(s *service, now time.Time) {
	s.updateSplit(c, now)
	if s.split == c.Split(s.name) {
		return
	}
	next := map[zlunit.Service]*Split{}
	if old := c.splits.Load(); old != nil {
		maps.Copy(next, *old)
	}
	if s.split == nil {
		delete(next, s.name)
	} else {
		next[s.name] = s.split
	}
	c.splits.Store(&next)
}

// newSplit returns the split of a service. VMs begin at different quotas, so that those
// with few sends do not all expose the target at once.
func (c *Controller) newSplit(s *service) *Split {
	b := string(c.Self) + "/" + string(s.name)
	if s.order != nil {
		b += "/" + string(s.order.id.Target)
	}
	return &Split{
		flights: &s.flights,
		next:    float64(xxhash.Sum64String(b)>>11) / (1 << 53),
	}
}

// Split returns how the requests of a service are divided, or nil if any replica may get
// them. It takes no lock, so it may be called for each send.
func (c *Controller) Split(s zlunit.Service) *Split {
	splits := c.splits.Load()
	if splits == nil {
		return nil
	}
	return (*splits)[s]
}

// Step returns what is to be written and sent now. It is to be called each 100 ms.
func (c *Controller) Step(now time.Time) []Action {
	if !c.Settings.Enabled {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	if now.Sub(c.splitsAt) >= refreshSplits {
		c.updateSplits(now)
	}
	actions := c.reports(now)
	for _, s := range c.ordered {
		actions = append(actions, c.decide(s, now)...)
	}
	return actions
}

// HandleReport takes a report of another VM.
func (c *Controller) HandleReport(r *Report, now time.Time) {
	if !c.Settings.Enabled || r.VM == c.Self {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	for i := range r.Verdicts {
		c.handleVerdict(&r.Verdicts[i], now)
	}
	for _, key := range r.Leads {
		if s := c.find(key); s != nil {
			s.order.addLeader(r.VM)
		}
	}
	for i := range r.Evidence {
		e := &r.Evidence[i]
		s := c.find(e.Order)
		if s == nil {
			continue
		}
		if s.running() {
			s.order.evidence.take(r.VM, r.Start, e, now)
			if !s.order.isBehind(e.Percent, now) {
				continue
			}
		}
		s.order.decision.replyTo(r.VM)
	}
}

// find returns the service whose order in force has the given key, or nil. The caller
// holds mu.
func (c *Controller) find(key OrderKey) *service {
	for _, s := range c.ordered {
		if s.order.key == key {
			return s
		}
	}
	return nil
}

// handleVerdict takes an outcome that another VM knows. The caller holds mu.
func (c *Controller) handleVerdict(v *Verdict, now time.Time) {
	s := c.find(v.Order)
	if s == nil {
		return
	}
	o := s.order
	if v.State == StateRunning && v.Stored && s.running() {
		o.reportedShare = max(o.reportedShare, float64(v.Percent)/100)
		c.updateSplit(s, now)
	}
	if !v.State.Final() {
		return
	}
	if o.stored || o.outcome == v.State || (!v.Stored && (o.outcome.Final() || v.State != StateRolledBack)) {
		return
	}
	s.end(v.State, v.Stored, now)
	c.note(s, "verdict", string(v.State)+" "+string(s.order.id.Target))
	c.updateSplit(s, now)
}

// HandleWrite takes the store's answer to a WriteStatus: the object as the store holds it
// after a write or a failed condition, or nil if the call failed. Calling it is optional;
// without it the result is known once SetOrders shows it.
func (c *Controller) HandleWrite(id OrderID, latest *Order, now time.Time) {
	if !c.Settings.Enabled {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	s := c.services[id.Service]
	if s == nil || s.order == nil || s.order.key != id.Key() {
		return
	}
	if latest == nil {
		s.order.decision.issuedAt = now.Add(failedWriteRetry - writeRetry)
		return
	}
	if latest.validate() != nil {
		return
	}
	c.setOrder(s, latest, now, now)
	if d := &s.order.decision; d.issued == latest.status() {
		// Reported at once: the platform acts on an outcome before VMs read it, and the time at
		// a share is short if VMs begin it orderLag apart.
		d.verdicts = 1
	}
	c.updateSplit(s, now)
}

// maxExposure returns the setting or its default.
func (c *Controller) maxExposure() float64 {
	if c.Settings.MaxExposure <= 0 {
		return defaultMaxExposure
	}
	return c.Settings.MaxExposure
}

// configApply returns the setting or its default.
func (c *Controller) configApply() time.Duration {
	if c.Settings.ConfigApply <= 0 {
		return defaultConfigApply
	}
	return c.Settings.ConfigApply
}

// note records an event of the service's order.
func (c *Controller) note(s *service, what, name string) {
	c.record(what, name, s.name)
}

// record records an event.
func (c *Controller) record(what, name string, service zlunit.Service) {
	if c.Sink != nil {
		c.Sink.Record(&zldecision.Belief{
			Topic:   "rollout",
			Name:    name,
			What:    what,
			Service: service,
		})
	}
}

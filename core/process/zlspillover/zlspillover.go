// Package zlspillover decides for each service which share of its requests is sent to
// replicas in other data centres. Each VM decides alone, from the requests that it
// sends itself. The load that it answers: the replicas of the VM's data centre are too
// few or too slow for the load there, while those of another data centre are not, also
// when the load moves between data centres in waves.
//
// For each data centre the expected time of a request is the recent time to a reply,
// plus what refusals cost. While a remote data centre is faster than the own one by
// more than a margin, its share rises in proportion to the difference; once it is not,
// the share falls. So the shares settle where sending more would gain callers nothing,
// and nothing is sent to a data centre that is short of capacity itself.
package zlspillover

import (
	"sync"
	"time"

	"zinnialock/core/process/zlunit"
)

const (
	// beginShare, ceaseShare and changeShare bound the log: a service begins to leave at
	// beginShare and ceases below ceaseShare, and a change is reported from changeShare
	// on, at most once in changeInterval.
	beginShare     = 0.05
	ceaseShare     = 0.02
	changeShare    = 0.25
	changeInterval = 2 * time.Second
)

// Controller holds the shares of all services. The exported fields must be set before
// use; the methods are safe for concurrent use.
type Controller struct {
	// Home is the data centre of this VM.
	Home zlunit.DataCentre
	// OnChange is called when a service begins or ceases to leave its data centre, or
	// its share changed by much. It must not block; nil means that no part needs the change.
	OnChange func(Change)

	mu       sync.Mutex
	services map[zlunit.Service]*service
	// roundTrips are the shortest measured round trips.
	roundTrips map[zlunit.DataCentre]time.Duration
}

// ChangeKind is what a Change reports.
type ChangeKind string

// The kinds of changes.
const (
	// ChangeBegins: the service begins to leave its data centre.
	ChangeBegins ChangeKind = "begins"
	// ChangeCeases: the service ceases to leave its data centre.
	ChangeCeases ChangeKind = "ceases"
	// ChangeShare: the share changed by changeShare or more.
	ChangeShare ChangeKind = "share"
)

// Change reports that a share changed by much.
type Change struct {
	Service zlunit.Service
	Kind    ChangeKind
	// Share is the share of the requests that leave the data centre.
	Share float64
	// Preferred is the remote data centre with the greatest share, and so with the most
	// free capacity as seen from here; empty without one.
	Preferred zlunit.DataCentre
}

// Query asks where one request should go.
type Query struct {
	Service zlunit.Service
	// Remotes are the other data centres with a replica that can serve.
	Remotes []zlunit.DataCentre
	// Waiting is how many requests wait for a free place at the service.
	Waiting int
	// InFlight is how many requests of this VM are in flight at the least busy replica
	// of the own data centre.
	InFlight int
	// Draw, in [0, 1), is random.
	Draw float64
}

// Choose returns the data centre that the request should go to.
func (c *Controller) Choose(now time.Time, q *Query) zlunit.DataCentre {
	c.mu.Lock()
	s := c.serviceFor(q.Service)
	s.waiting = q.Waiting
	for _, x := range s.sites {
		x.available = false
	}
	for _, dc := range q.Remotes {
		s.siteFor(dc).available = true
	}
	change, changed := c.step(now, q.Service, s)
	chosen := c.Home
	sum := 0.0
	for _, dc := range q.Remotes {
		sum += s.siteFor(dc).shareWith(q.InFlight)
	}
	draw := q.Draw * max(sum/maxShare, 1)
	for _, dc := range q.Remotes {
		if draw -= s.siteFor(dc).shareWith(q.InFlight); draw < 0 {
			chosen = dc
			break
		}
	}
	c.mu.Unlock()
	if changed && c.OnChange != nil {
		c.OnChange(change)
	}
	return chosen
}

// ObserveServed adds the time to a reply of a data centre, and its size in bytes.
func (c *Controller) ObserveServed(now time.Time, name zlunit.Service, dc zlunit.DataCentre, took time.Duration, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.serviceFor(name)
	s.siteFor(dc).addServed(now, took.Seconds(), s.usualAt(c, dc))
	if s.bytes == 0 {
		s.bytes = float64(bytes)
	}
	s.bytes += bytesWeight * (float64(bytes) - s.bytes)
}

// ObserveGivenUp adds a request whose reply was not awaited; the reply would have taken
// longer than waited.
func (c *Controller) ObserveGivenUp(now time.Time, name zlunit.Service, dc zlunit.DataCentre, waited time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.serviceFor(name)
	if x := s.siteFor(dc); waited.Seconds() > x.latency {
		x.addServed(now, waited.Seconds(), s.usualAt(c, dc))
	}
}

// ObserveRefused adds a refusal for lack of room.
func (c *Controller) ObserveRefused(now time.Time, name zlunit.Service, dc zlunit.DataCentre) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.serviceFor(name)
	s.siteFor(dc).addRefused(now, s.usualAt(c, dc))
}

// ObserveRoundTrip adds a measured round trip to a data centre.
func (c *Controller) ObserveRoundTrip(dc zlunit.DataCentre, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d, ok := c.roundTrips[dc]; ok && d <= took {
		return
	}
	if c.roundTrips == nil {
		c.roundTrips = map[zlunit.DataCentre]time.Duration{}
	}
	c.roundTrips[dc] = took
}

// Share returns the share of a service's requests that leave the data centre, and the
// remote data centre with the greatest share.
func (c *Controller) Share(name zlunit.Service) (float64, zlunit.DataCentre) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.services[name]
	if !ok {
		return 0, ""
	}
	return s.share(), s.preferred()
}

// Shares returns the shares of all services that requests were sent to.
func (c *Controller) Shares() map[zlunit.Service]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make(map[zlunit.Service]float64, len(c.services))
	for name, s := range c.services {
		list[name] = s.share()
	}
	return list
}

// Forget drops the services for which keep returns false.
func (c *Controller) Forget(keep func(zlunit.Service) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.services {
		if !keep(name) {
			delete(c.services, name)
		}
	}
}

func (c *Controller) serviceFor(name zlunit.Service) *service {
	s, ok := c.services[name]
	if !ok {
		if c.services == nil {
			c.services = map[zlunit.Service]*service{}
		}
		s = &service{
			home:  &site{},
			sites: map[zlunit.DataCentre]*site{},
		}
		s.sites[c.Home] = s.home
		c.services[name] = s
	}
	return s
}

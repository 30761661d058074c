package main

import (
	"errors"
	"strings"
	"time"
)

const (
	// contactWindow and applyTime are the bounds contact_window_ms and config_apply_ms.
	contactWindow = 4 * time.Second
	applyTime     = 3 * time.Second
)

func init() {
	scenes["silent-watch"] = silentWatch
}

// silentWatch lets the open connections of all relays to the store go silent, several
// times; new ones work. Each time the operator then moves a route to another service.
func silentWatch(w *world) (bool, error) {
	const (
		rounds   = 5
		work     = 20 * time.Millisecond
		slots    = 6
		betweens = 9 * time.Second
		settle   = 5 * time.Second
		first    = 7
	)
	services := []string{"guild-rolls", "school-rentals"}
	for _, service := range services {
		for _, zone := range zones {
			if _, err := w.addReplica("i-"+service+"-"+zone, service, zone, slots, work); err != nil {
				return false, err
			}
		}
	}
	now := config{
		version:  first,
		lookup:   services[0],
		services: services,
		warmupS:  3,
	}
	w.write(now)
	proxies := map[string]*proxy{}
	for _, zone := range zones {
		p, err := newProxy(w.store.address)
		if err != nil {
			return false, err
		}
		w.closers = append(w.closers, p.close)
		proxies[zone] = p
	}
	err := w.startRelays([]int{3, 2, 2}, guild, func(zone string) string {
		return proxies[zone].address()
	})
	if err != nil {
		return false, err
	}
	traffic := w.startStream(&stream{
		host:     host,
		path:     lookupPath,
		perS:     20,
		deadline: 8 * time.Second,
	})
	time.Sleep(settle)
	var changes []change
	for i := range rounds {
		if !proxies[zones[0]].awaitWatch() {
			return false, errors.New("no watch of the configuration was seen")
		}
		c := change{
			silentAt: time.Now(),
			old:      now.lookup,
		}
		if w.trouble {
			for _, zone := range zones {
				w.note("%d open connections of the relays of %s to the store go silent", proxies[zone].silence(), zone)
			}
		}
		time.Sleep(50 * time.Millisecond)
		now.version += 5
		now.lookup = services[(i+1)%len(services)]
		c.acknowledged = w.write(now)
		changes = append(changes, c)
		time.Sleep(betweens)
	}
	sent := traffic.end()
	late := 0
	for i := range changes {
		end := time.Now()
		if i+1 < len(changes) {
			end = changes[i+1].silentAt
		}
		late += w.countStale(&changes[i], sent, end)
	}
	return late > 0, nil
}

// change is a version of the configuration that moves a route away from a service.
type change struct {
	silentAt     time.Time
	acknowledged time.Time
	old          string
}

// countStale returns how many requests were sent later than config_apply_ms after the
// acknowledgement, to machines in touch, and run by the old service.
func (w *world) countStale(c *change, sent map[string]attempt, end time.Time) int {
	from := c.acknowledged.Add(applyTime)
	if inTouch := c.silentAt.Add(contactWindow); inTouch.After(from) {
		from = inTouch
	}
	machines := map[string]int{}
	late, last := 0, time.Duration(0)
	for _, r := range w.replicas {
		if r.service != c.old {
			continue
		}
		for _, a := range r.arrived() {
			s, ok := sent[a.id]
			if ok && s.sent.After(from) && s.sent.Before(end) {
				late++
				machines[s.relay.name]++
				last = max(last, s.sent.Sub(c.acknowledged))
			}
		}
	}
	w.noteAt(c.acknowledged, "of the requests that were sent later than %.3f s after this acknowledgement, to machines in touch, %d were run by the old service, the last one sent %.3f s after it: %v", from.Sub(c.acknowledged).Seconds(), late, last.Seconds(), machines)
	return late
}

// awaitWatch waits until a watch of the configuration has just begun.
func (p *proxy) awaitWatch() bool {
	const young, longest = 500 * time.Millisecond, 12 * time.Second
	for end := time.Now().Add(longest); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if p.hasWatch(young) {
			return true
		}
	}
	return false
}

// hasWatch reports whether a watch of the configuration waits that began at most so long
// ago.
func (p *proxy) hasWatch(young time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		isWatch := strings.Contains(l.request, "/config?") && strings.Contains(l.request, "watch=")
		if age := time.Since(l.askedAt); isWatch && l.waiting && age < young && age > young/10 {
			return true
		}
	}
	return false
}

package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// playOutage: the store is down for 0.2 s, in which the machines that follow it begin to wait
// for changes. A configuration 5 s later is not seen.
func playOutage(w *world) (bool, error) {
	const (
		applyBound    = 3 * time.Second
		contactWindow = 4 * time.Second
		outage        = 200 * time.Millisecond
		// nextWatch is the time from a change to the next wait for changes, and probe the
		// time between two calls by which a machine finds out whether the store answers.
		nextWatch = 800 * time.Millisecond
		probe     = 503 * time.Millisecond
	)
	zones := []string{"nashua", "lowell", "worcester"}
	for _, z := range zones {
		for range 2 {
			if _, err := w.addMachine(z); err != nil {
				return false, err
			}
			for _, s := range []string{"guild-rolls", "school-rentals"} {
				if _, err := w.addReplica(s, z, 6, 20*time.Millisecond, 0); err != nil {
					return false, err
				}
			}
		}
	}
	services := []string{"guild-rolls", "school-rentals"}
	change := func(version int, service string, timeout int) time.Time {
		at := w.store.put("config", "main", config(version, []map[string]any{
			route("cert", "/cert/", "idempotent", service, timeout, 500),
		}, services, nil))
		w.rec.line("version %d is acknowledged: %s, %d ms", version, service, timeout)
		return at
	}
	change(7, "guild-rolls", 8000)
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	done := make(chan struct{})
	var group sync.WaitGroup
	type origin struct {
		m  *machine
		at time.Time
	}
	var mu sync.Mutex
	sent := map[string]origin{}
	for _, m := range w.machines {
		c := newClient(m)
		group.Add(1)
		go pace(done, 20, &group, func(i int) {
			id := fmt.Sprintf("%s-%d", m.name, i)
			at := time.Now()
			mu.Lock()
			sent[id] = origin{m: m, at: at}
			mu.Unlock()
			got := c.do(id, "GET", "front.example", "/cert/"+id, "", 8*time.Second, nil)
			w.rec.quiet("sent %s at %.3f, answered %d %v", id, at.Sub(w.rec.start).Seconds(), got.status, got.err)
		})
	}
	time.Sleep(5 * time.Second)
	var poller *machine
	for _, m := range w.machines {
		if w.store.watches("config", m.name) {
			poller = m
			w.rec.line("%s follows the store for %s", m.name, m.zone)
		}
	}
	if poller == nil {
		return false, errors.New("no machine follows the store")
	}
	// The first change comes at a time at which the next wait begins between two probes.
	last := w.store.probedAt(poller.name)
	for w.store.probedAt(poller.name).Equal(last) {
		time.Sleep(time.Millisecond)
	}
	first := w.store.probedAt(poller.name).Add(2*probe + probe/2 - nextWatch)
	time.Sleep(time.Until(first))
	change(9, "guild-rolls", 7500)
	down := first.Add(nextWatch - outage/2)
	if w.trouble {
		w.store.goDown(down, outage)
	}
	time.Sleep(time.Until(down.Add(outage + contactWindow + time.Second)))
	acked := change(12, "school-rentals", 7500)
	time.Sleep(16 * time.Second)
	close(done)
	group.Wait()
	broken, inTime := 0, 0
	latest := acked
	via := map[string]int{}
	for _, r := range w.ledger.all() {
		o := sent[r.id]
		if r.service != "guild-rolls" || o.at.Before(acked) {
			continue
		}
		if o.at.Before(acked.Add(applyBound)) {
			inTime++
			continue
		}
		broken++
		via[o.m.name]++
		if o.at.After(latest) {
			latest = o.at
		}
	}
	w.rec.line("sent after version 12 and run as only version 9 allows: %d within %v, %d later, the last sent after %.1f s; by machine %v",
		inTime, applyBound, broken, latest.Sub(acked).Seconds(), via)
	return broken > 0, nil
}

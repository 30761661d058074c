package main

import (
	"fmt"
	"time"
)

func init() {
	scenes["first-sends"] = firstSends
}

// firstSends ends all replicas of one shard. Others take their place under new ids, cold,
// as the store shows before they take requests. There are ten relays: the seven machines
// of the site and its three spare ones.
func firstSends(w *world) (bool, error) {
	const (
		warmupPerS = 2
		cold       = 3 * time.Second
		down       = 4500 * time.Millisecond
	)
	services, replicas, err := w.addShards("bench-desk", 4)
	if err != nil {
		return false, err
	}
	w.write(config{
		version:    7,
		shards:     services,
		services:   services,
		warmupPerS: warmupPerS,
		warmupS:    cold.Seconds(),
	})
	err = w.startRelays([]int{4, 3, 3}, guild, func(string) string {
		return w.store.address
	})
	if err != nil {
		return false, err
	}
	traffic := w.startStream(&stream{
		host:     host,
		path:     tracePath,
		perS:     14,
		deadline: 2 * time.Second,
	})
	var ended, next []*replica
	for _, r := range replicas {
		if r.service == services[0] {
			ended = append(ended, r)
		}
	}
	time.Sleep(3 * time.Second)
	if w.trouble {
		for _, r := range ended {
			r.crash()
		}
		w.note("the replicas of %s end", services[0])
		time.Sleep(down)
		for _, r := range ended {
			w.store.remove("servers", r.id, 0)
			n := &replica{
				world:   w,
				id:      r.id + "-2",
				service: r.service,
				zone:    r.zone,
				slots:   make(chan struct{}, cap(r.slots)),
				work:    r.work,
			}
			w.replicas = append(w.replicas, n)
			next = append(next, n)
			port, err := w.freePort()
			if err != nil {
				return false, err
			}
			if err := n.startAt(fmt.Sprintf("127.0.0.1:%d", port), cold); err != nil {
				return false, err
			}
		}
		w.note("others take their place, cold for %v; the store has it", cold)
	}
	time.Sleep(8 * time.Second)
	broken := w.checkCold(next, traffic.end(), warmupPerS)
	w.note("%d of %d replicas got more than allowed", broken, len(next))
	return broken > 0, nil
}

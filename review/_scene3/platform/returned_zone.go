package main

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"time"
)

func init() {
	scenes["returned-zone"] = returnedZone
}

// returnedZone takes a zone out of service and back several times. The zone's replicas
// become cold shortly before it comes back, and write so to the store before the operator
// removes the evacuation.
func returnedZone(w *world) (bool, error) {
	const (
		warmupPerS = 4
		cold       = 3 * time.Second
		out        = 5 * time.Second
		shortly    = 200 * time.Millisecond
		in         = 5 * time.Second
		spread     = time.Second
		rounds     = 7
		zone       = "nashua"
		// A cold replica crashes at five times what it tolerates.
		maxCold = 5 * warmupPerS
		orders  = "order-desk"
	)
	services, replicas, err := w.addShards("bench-desk", 4)
	if err != nil {
		return false, err
	}
	desk, err := w.addOrderDesk(orders, maxCold)
	if err != nil {
		return false, err
	}
	replicas = append(replicas, desk...)
	w.write(config{
		version:    7,
		shards:     services,
		orders:     orders,
		services:   append([]string{orders}, services...),
		warmupPerS: warmupPerS,
		warmupS:    cold.Seconds(),
	})
	err = w.startRelays([]int{3, 2, 2}, guild, func(string) string {
		return w.store.address
	})
	if err != nil {
		return false, err
	}
	traffic := w.startStream(&stream{
		host:     host,
		path:     tracePath,
		perS:     20,
		deadline: 2 * time.Second,
	})
	orderTraffic := w.startStream(&stream{
		method:   http.MethodPost,
		host:     host,
		path:     orderPath,
		perS:     30,
		deadline: 8 * time.Second,
	})
	var returned []*replica
	for _, r := range replicas {
		if r.zone == zone {
			returned = append(returned, r)
		}
	}
	time.Sleep(2 * time.Second)
	for range rounds {
		at := w.store.put("evacuations", zone, map[string]any{})
		w.noteAt(at, "%s is out of service", zone)
		for _, r := range returned {
			if err := r.revive(cold); err != nil {
				return false, err
			}
		}
		time.Sleep(out - shortly)
		if w.trouble {
			for _, r := range returned {
				r.turnCold(cold)
			}
			w.note("the replicas of %s are cold for %v; the store has it", zone, cold)
		}
		time.Sleep(shortly)
		if code, _ := w.store.remove("evacuations", zone, 0); code == http.StatusOK {
			w.note("%s is back in service", zone)
		}
		// The rounds meet the watches of the relays at different moments.
		time.Sleep(in + rand.N(spread))
	}
	sent, sentOrders := traffic.end(), orderTraffic.end()
	lost := w.countLost(sentOrders)
	maps.Copy(sent, sentOrders)
	broken := w.checkCold(returned, sent, warmupPerS)
	w.note("%d requests that may run once were lost", lost)
	w.note("%d of %d replicas of %s got more than allowed", broken, len(returned), zone)
	return broken > 0, nil
}

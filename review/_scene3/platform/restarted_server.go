package main

import (
	"net/http"
	"time"
)

func init() {
	scenes["restarted-server"] = restartedServer
}

// restartedServer ends all replicas of one service, which start again a moment later under
// their ids and addresses, cold. Each writes its entry at its start, before it takes
// requests.
func restartedServer(w *world) (bool, error) {
	const (
		warmupPerS = 4
		cold       = 3 * time.Second
		down       = 2 * time.Second
		rounds     = 4
		// A cold replica crashes at five times what it tolerates.
		maxCold = 5 * warmupPerS
		orders  = "order-desk"
	)
	services, _, err := w.addShards("bench-desk", 4)
	if err != nil {
		return false, err
	}
	ended, err := w.addOrderDesk(orders, maxCold)
	if err != nil {
		return false, err
	}
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
	time.Sleep(3 * time.Second)
	for range rounds {
		if w.trouble {
			for _, r := range ended {
				r.crash()
			}
			w.note("the replicas of %s end", orders)
		}
		time.Sleep(down)
		if w.trouble {
			for _, r := range ended {
				if err := r.startAt(r.address, cold); err != nil {
					return false, err
				}
			}
			w.note("the replicas of %s are back, cold for %v; the store has it", orders, cold)
		}
		time.Sleep(7 * time.Second)
	}
	_, sent := traffic.end(), orderTraffic.end()
	lost := w.countLost(sent)
	broken := w.checkCold(ended, sent, warmupPerS)
	w.note("%d requests that may run once were lost", lost)
	w.note("%d of %d replicas of %s got more than allowed", broken, len(ended), orders)
	return broken > 0, nil
}

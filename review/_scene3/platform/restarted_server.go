package main

import "time"

func init() {
	scenes["restarted-server"] = restartedServer
}

// restartedServer ends all replicas of one shard, which start again a moment later under
// their ids and addresses, cold. Each writes its entry at its start, before it takes
// requests.
func restartedServer(w *world) (bool, error) {
	const (
		warmupPerS = 4
		cold       = 4 * time.Second
		down       = 2 * time.Second
		rounds     = 4
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
	var ended []*replica
	for _, r := range replicas {
		if r.service == services[0] {
			ended = append(ended, r)
		}
	}
	time.Sleep(3 * time.Second)
	for range rounds {
		if w.trouble {
			for _, r := range ended {
				r.crash()
			}
			w.note("the replicas of %s end", services[0])
		}
		time.Sleep(down)
		if w.trouble {
			for _, r := range ended {
				if err := r.startAt(r.address, cold); err != nil {
					return false, err
				}
			}
			w.note("the replicas of %s are back, cold for %v; the store has it", services[0], cold)
		}
		time.Sleep(7 * time.Second)
	}
	broken := w.checkCold(ended, traffic.end(), warmupPerS)
	w.note("%d of %d replicas of %s got more than allowed", broken, len(ended), services[0])
	return broken > 0, nil
}

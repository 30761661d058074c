package main

import (
	"fmt"
	"sync"
	"time"
)

// playKeys is a trial and no case (see REPORT-2.md): a configuration cuts the index into another set of shards and adds a key.
func playKeys(w *world) (bool, error) {
	const regressionSlack = 250 * time.Millisecond
	zones := []string{"nashua", "lowell", "worcester"}
	var before, after []string
	for i := range 4 {
		before = append(before, fmt.Sprintf("batch%d", i))
		after = append(after, fmt.Sprintf("pulp%d", i))
	}
	w.contracts = `,"tenants","quota"`
	w.bounds = "fail_closed = false\nrevoke_timeout_ms = 5000\nquota_window_s = 5\nquota_overage = 0.1\nquota_slack = 20\n"
	for _, z := range zones {
		if _, err := w.addMachine(z); err != nil {
			return false, err
		}
		for _, s := range before {
			if _, err := w.addReplica(s, z, 4, 5*time.Millisecond, 0); err != nil {
				return false, err
			}
		}
	}
	old := []map[string]any{{"name": "first", "api_keys": []string{"key-of-first"}, "rate_per_s": 0, "burst": 0, "priority": 1}}
	both := append(old, map[string]any{"name": "second", "api_keys": []string{"key-of-second"}, "rate_per_s": 0, "burst": 0, "priority": 1})
	w.store.put("config", "main", config(7, []map[string]any{gather("trace", "/trace/", before, 600, 100, 0.75)}, before, old))
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	done := make(chan struct{})
	var group sync.WaitGroup
	var mu sync.Mutex
	type origin struct {
		at  time.Time
		m   *machine
		key string
	}
	sent := map[string]origin{}
	for _, m := range w.machines {
		c := newClient(m)
		for _, key := range []string{"key-of-first", "key-of-second"} {
			group.Add(1)
			go pace(done, 20, &group, func(i int) {
				id := fmt.Sprintf("%s-%s-%d", m.name, key, i)
				mu.Lock()
				sent[id] = origin{at: time.Now(), m: m, key: key}
				mu.Unlock()
				got := c.do(id, "GET", "front.example", "/trace/"+id, "", 600*time.Millisecond, map[string]string{"X-Credential": key})
				w.rec.quiet("sent %s, answered %d %v", id, got.status, got.err)
			})
		}
	}
	time.Sleep(4 * time.Second)
	shards := before
	if w.trouble {
		shards = after
		for _, z := range zones {
			for _, s := range after {
				if _, err := w.addReplica(s, z, 4, 5*time.Millisecond, 3*time.Second); err != nil {
					return false, err
				}
			}
		}
		w.rec.line("the replicas of the next set of shards have started")
		time.Sleep(2 * time.Second)
	}
	w.store.put("config", "main", config(8, []map[string]any{gather("trace", "/trace/", shards, 600, 100, 0.75)}, append(before, after...), both))
	w.rec.line("version 8 is acknowledged")
	time.Sleep(8 * time.Second)
	close(done)
	group.Wait()
	newer := map[string]bool{}
	for _, s := range shards {
		newer[s] = true
	}
	effect := map[*machine]time.Time{}
	for _, r := range w.ledger.all() {
		o := sent[r.id]
		if o.key == "key-of-second" && (effect[o.m].IsZero() || r.at.Before(effect[o.m])) {
			effect[o.m] = r.at
		}
	}
	broken := 0
	last := map[*machine]time.Time{}
	for _, r := range w.ledger.all() {
		o := sent[r.id]
		if e := effect[o.m]; !e.IsZero() && o.at.After(e.Add(regressionSlack)) && !newer[r.service] {
			broken++
			last[o.m] = r.at
		}
	}
	for _, m := range w.machines {
		w.rec.line("%s: a replica saw version 8 at %.3f; the last run at the old shards that was sent %v later or more is at %.3f", m.name,
			effect[m].Sub(w.rec.start).Seconds(), regressionSlack, last[m].Sub(w.rec.start).Seconds())
	}
	w.rec.line("%d runs as only version 7 allows", broken)
	return broken > 0, nil
}

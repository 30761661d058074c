package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playJoin: a third machine is added, and the answer to the write of its entry is lost.
// Later the tenant is hot for a while.
func playJoin(w *world) (bool, error) {
	q := newQuota(w)
	for _, z := range []string{"nashua", "lowell"} {
		if err := q.addSite(z, 4); err != nil {
			return false, err
		}
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	for _, m := range w.machines {
		q.press(m, 2)
	}
	// The machines list each other three times, and then each 15 to 19.5 s.
	ready := time.Now()
	for _, m := range w.machines {
		for w.store.listedAt("zinnialockDaemons", m.name).Before(ready) {
			if time.Since(ready) > 25*time.Second {
				return false, fmt.Errorf("%s does not list the machines", m.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	added, err := w.addMachine("worcester")
	if err != nil {
		return false, err
	}
	lost := false
	var mu sync.Mutex
	w.store.lose = func(c *call) bool {
		mu.Lock()
		defer mu.Unlock()
		if !w.trouble || lost || c.vm != added.name || c.method != http.MethodPost {
			return false
		}
		lost = true
		return true
	}
	if err := w.run(added, false); err != nil {
		return false, err
	}
	if !w.awaitReady(added, 5*time.Second) {
		return false, fmt.Errorf("%s is not ready", added.name)
	}
	// The usual load stays as it is; the new machine gets its part of the hot one.
	q.clients[added] = newClient(added)
	time.Sleep(4500 * time.Millisecond)
	q.heat()
	return q.verdict()
}

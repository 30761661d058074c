package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// answers counts the answers by status.
type answers struct {
	mu     sync.Mutex
	counts map[string]int
}

func (a *answers) add(what string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.counts == nil {
		a.counts = map[string]int{}
	}
	a.counts[what]++
}

func (a *answers) String() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return fmt.Sprint(a.counts)
}

var requestNumber atomic.Int64

// load sends a GET to a VM each interval until stop is closed. The id of each request begins
// with the VM's name.
func load(v *vm, host, path string, interval time.Duration, a *answers, stop <-chan struct{}, group *sync.WaitGroup) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	group.Go(func() {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			group.Go(func() {
				id := fmt.Sprintf("%s.%d", v.name, requestNumber.Add(1))
				req, err := http.NewRequest(http.MethodGet, "http://"+v.frontend+path+id, nil)
				if err != nil {
					return
				}
				req.Host = host
				req.Header.Set("X-Request-Id", id)
				req.Header.Set("X-Deadline-Ms", "2000")
				resp, err := client.Do(req)
				if err != nil {
					a.add("no answer")
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				a.add(resp.Status[:3])
			})
		}
	})
}

// awaitReady waits until a VM is ready.
func awaitReady(v *vm, limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + v.ready + "/api/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

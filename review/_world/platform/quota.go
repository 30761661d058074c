package main

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"syscall"
	"time"
)

const (
	quotaRate   = 100.0
	quotaBurst  = 20.0
	quotaWindow = 5 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 20.0
	quotaTenant = "kami770"
	quotaKey    = "k22xp4zhpfd4n8hkcaac"
	// quotaUsual is what the tenant usually asks of all machines, a second: its limit is 1.6
	// times that. While it is hot it asks hotFactor times as much, for hotTime.
	quotaUsual = quotaRate / 1.6
	hotFactor  = 7.5
	hotTime    = 6500 * time.Millisecond
)

// quota plays a tenant that asks for more than its limit at each machine.
type quota struct {
	w     *world
	done  chan struct{}
	group sync.WaitGroup
	mu    sync.Mutex
	sent  map[string]time.Time
	// machines are those that the tenant asks, clients their clients.
	clients map[*machine]*client
}

func newQuota(w *world) *quota {
	w.contracts = `,"tenants","quota"`
	w.bounds = "fail_closed = false\nrevoke_timeout_ms = 5000\nquota_window_s = 5\nquota_overage = 0.1\nquota_slack = 20\n"
	w.store.put("config", "main", config(7, []map[string]any{
		route("order", "/order/", "idempotent", "ledger-sync", 5000, 1000),
	}, []string{"ledger-sync"}, []map[string]any{{
		"name": quotaTenant, "api_keys": []string{quotaKey}, "rate_per_s": quotaRate, "burst": quotaBurst, "priority": 1,
	}}))
	return &quota{w: w, done: make(chan struct{}), sent: map[string]time.Time{}, clients: map[*machine]*client{}}
}

// addSite adds a machine and replicas to a zone.
func (q *quota) addSite(zone string, replicas int) error {
	if _, err := q.w.addMachine(zone); err != nil {
		return err
	}
	for range replicas {
		if _, err := q.w.addReplica("ledger-sync", zone, 6, 5*time.Millisecond, 0); err != nil {
			return err
		}
	}
	return nil
}

// press lets the tenant ask a machine as usual, if there are n.
func (q *quota) press(m *machine, n int) {
	q.clients[m] = newClient(m)
	q.ask(m, "usual", quotaUsual/float64(n), q.done)
}

// ask lets the tenant ask a machine so often a second until done is closed.
func (q *quota) ask(m *machine, name string, perSecond float64, done chan struct{}) {
	c := q.clients[m]
	q.group.Add(1)
	go pace(done, perSecond, &q.group, func(i int) {
		id := fmt.Sprintf("%s-%s-%d", m.name, name, i)
		q.mu.Lock()
		q.sent[id] = time.Now()
		q.mu.Unlock()
		got := c.do(id, "GET", "front.example", "/order/"+id, "", 5*time.Second, map[string]string{"X-Credential": quotaKey})
		q.w.rec.quiet("sent %s, answered %d %v", id, got.status, got.err)
	})
}

// heat lets the tenant ask hotFactor times its usual, in sum, for hotTime.
func (q *quota) heat() {
	q.w.rec.line("the tenant asks %.1f times its usual", hotFactor)
	done := make(chan struct{})
	for m := range q.clients {
		q.ask(m, "hot", quotaUsual*(hotFactor-1)/float64(len(q.clients)), done)
	}
	time.Sleep(hotTime)
	close(done)
	q.w.rec.line("the tenant asks its usual")
	time.Sleep(time.Second)
}

// verdict ends the requests and reports whether more of them ran than the limit allows.
func (q *quota) verdict() (bool, error) {
	close(q.done)
	q.group.Wait()
	runs := q.w.ledger.all()
	sort.Slice(runs, func(i, j int) bool { return runs[i].at.Before(runs[j].at) })
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOver) + quotaSlack
	most, over := 0, 0
	var worst time.Time
	begin := 0
	for end := range runs {
		for runs[end].at.Sub(runs[begin].at) >= quotaWindow {
			begin++
		}
		n := 0
		for _, r := range runs[begin : end+1] {
			if !q.sent[r.id].Before(runs[begin].at) {
				n++
			}
		}
		if float64(n) > allowed {
			over++
		}
		if n > most {
			most, worst = n, runs[begin].at
		}
	}
	q.w.rec.line("%d requests of the tenant ran; at most %d in %v, from %.1f s on; allowed are %.0f; %d windows above that",
		len(runs), most, quotaWindow, worst.Sub(q.w.rec.start).Seconds(), allowed, over)
	return float64(most) > allowed, nil
}

// restart stops a machine as in planned work and starts it again.
func (w *world) restart(m *machine) error {
	_ = m.cmd.Process.Signal(syscall.SIGTERM)
	w.rec.line("SIGTERM to %s", m.name)
	select {
	case <-m.exited:
	case <-time.After(6 * time.Second):
		_ = m.cmd.Process.Kill()
		<-m.exited
	}
	time.Sleep(500 * time.Millisecond)
	if err := w.run(m, false); err != nil {
		return err
	}
	if !w.awaitReady(m, 5*time.Second) {
		return fmt.Errorf("%s is not ready", m.name)
	}
	return nil
}

// awaitList waits until a machine lists the machines, which it does each 15 to 19.5 s.
func (w *world) awaitList(m *machine) error {
	began := time.Now()
	for w.store.listedAt("zinnialockDaemons", m.name).Before(began) {
		if time.Since(began) > 25*time.Second {
			return fmt.Errorf("%s does not list the machines", m.name)
		}
		time.Sleep(20 * time.Millisecond)
	}
	w.rec.line("%s listed the machines", m.name)
	return nil
}

// playQuota: one of two machines is stopped and started again as in planned work, while lists
// that may be stale are some seconds old. Later the tenant is hot for a while.
func playQuota(w *world) (bool, error) {
	w.store.lag = 5 * time.Second
	q, err := twoMachines(w)
	if err != nil {
		return false, err
	}
	// The machine that stays does not list again before the removal shows in a list.
	if err := w.awaitList(w.machines[0]); err != nil {
		return false, err
	}
	if w.trouble {
		if err := w.restart(w.machines[1]); err != nil {
			return false, err
		}
	}
	return q.heatAfterList()
}

// playWithdraw: one of two machines is stopped and started again as in planned work. The
// answer to the removal of its entry is lost, and the removal is done 5 s later.
func playWithdraw(w *world) (bool, error) {
	q, err := twoMachines(w)
	if err != nil {
		return false, err
	}
	if err := w.awaitList(w.machines[0]); err != nil {
		return false, err
	}
	if w.trouble {
		w.store.late = func(c *call) time.Duration {
			if c.method == http.MethodDelete {
				return 5 * time.Second
			}
			return 0
		}
	}
	if err := w.restart(w.machines[1]); err != nil {
		return false, err
	}
	return q.heatAfterList()
}

// twoMachines starts two machines that a tenant asks as usual.
func twoMachines(w *world) (*quota, error) {
	q := newQuota(w)
	for _, z := range []string{"nashua", "worcester"} {
		if err := q.addSite(z, 3); err != nil {
			return nil, err
		}
	}
	if err := w.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(10 * time.Second)
	for _, m := range w.machines {
		q.press(m, 2)
	}
	return q, nil
}

// heatAfterList makes the tenant hot after the first machine has listed the machines.
func (q *quota) heatAfterList() (bool, error) {
	if err := q.w.awaitList(q.w.machines[0]); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	q.heat()
	return q.verdict()
}

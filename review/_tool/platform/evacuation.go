package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

var cases = map[string]func(trouble bool) bool{
	"evacuation": evacuation,
}

var zones = []string{"nashua", "lowell", "worcester"}

// fleet is a small deployment.
type fleet struct {
	store    *store
	vms      []*vm
	replicas []*replica
	ran      *arrivals
	answers  *answers
	// addresses holds the address of the store for each VM.
	addresses map[string]string
}

// routes is the operator's configuration: one query over all shards, one for one replica.
func routes(version int, shards []string) map[string]any {
	var services []map[string]any
	for _, s := range append(append([]string(nil), shards...), "rolls") {
		services = append(services, map[string]any{
			"name": s, "health_check_path": "/health", "max_connections": 60, "protocol": "h1",
			"tls": false, "warmup_s": 3.0, "warmup_per_s": 0.0,
		})
	}
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{
				"name": "r-all", "hostname": "all.example", "path_prefix": "/all/", "type": "idempotent",
				"timeout_ms": 1500, "target_latency_ms": 120, "priority": 1, "gather": shards,
				"max_attempts": 2, "top_k": 5, "min_success_ratio": 0.75,
			},
			{
				"name": "r-one", "hostname": "one.example", "path_prefix": "/one/", "type": "idempotent",
				"timeout_ms": 1500, "target_latency_ms": 500, "priority": 2, "service": "rolls", "max_attempts": 2,
			},
			{
				"name": "r-post", "hostname": "post.example", "path_prefix": "/post/", "type": "non_idempotent",
				"timeout_ms": 1500, "target_latency_ms": 500, "priority": 2, "service": "rolls", "max_attempts": 2,
			},
		},
		"services": services,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	}
}

// newFleet starts a deployment with the given VMs in each zone, and waits until it is ready.
func newFleet(perZone []int) *fleet {
	f := &fleet{store: newStore(), ran: &arrivals{}, answers: &answers{}, addresses: map[string]string{}}
	shards := []string{"shard-a", "shard-b", "shard-c", "shard-d"}
	for _, service := range append(append([]string(nil), shards...), "rolls") {
		for _, zone := range zones {
			x := newReplica(fmt.Sprintf("i-%s-%s", service, zone), service, zone, 8*time.Millisecond, f.ran)
			f.replicas = append(f.replicas, x)
			f.store.put("servers", x.id, x.entry("ready", 1))
		}
	}
	f.store.put("config", "main", routes(7, shards))
	n := 0
	for z, zone := range zones {
		for i := range perZone[z] {
			n++
			name := fmt.Sprintf("frontend-%s-%d", zone, i+1)
			f.addresses[name] = f.store.serveFor(name)
			v := newVM(name, zone, n, f.addresses[name])
			f.vms = append(f.vms, v)
		}
	}
	for _, v := range f.vms {
		v.start()
	}
	for _, v := range f.vms {
		if !awaitReady(v, 15*time.Second) {
			cannotRun("%s is not ready", v.name)
		}
	}
	return f
}

func (f *fleet) vm(name string) *vm {
	for _, v := range f.vms {
		if v.name == name {
			return v
		}
	}
	return nil
}

const (
	// loadTime is how long callers are served before the first round.
	loadTime = 4 * time.Second
	// rounds is how often the case is tried.
	rounds = 7
	// lastStart is how long after the case began a round may begin.
	lastStart = 87 * time.Second
	// downTime is how long a VM is down in a restart.
	downTime = 1500 * time.Millisecond
	// slowTimes is how many times as long as usual the slow store's answers take at most, and
	// slowTime for how long it is slow after the evacuation.
	slowTimes = 60
	slowTime  = 2500 * time.Millisecond
	// maxOperatorDelay is the time within which the operator writes once the VM is back.
	maxOperatorDelay = 10 * time.Millisecond
	// contactWindow and evacuationBound are contact_window_ms and evacuation_ms of the site.
	contactWindow   = 4 * time.Second
	evacuationBound = 5 * time.Second
	// maxStretch is max_stretch_ms of the site.
	maxStretch = 12 * time.Second
	margin     = 500 * time.Millisecond
	// watchTime is for how long requests in the zone are counted.
	watchTime = time.Second
	// restTime is the time between two rounds.
	restTime = 500 * time.Millisecond
)

// evacuation: a VM is stopped and started as planned, the store is slow when it returns, and an
// operator evacuates the VM's zone at that time.
func evacuation(trouble bool) bool {
	f := newFleet([]int{3, 2, 2})
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, v := range f.vms {
		load(v, "all.example", "/all/", 100*time.Millisecond, f.answers, stop, &group)
		load(v, "one.example", "/one/", 100*time.Millisecond, f.answers, stop, &group)
	}
	time.Sleep(loadTime)
	broken := false
	for round := 1; round <= rounds && !broken && time.Since(began) < lastStart; round++ {
		broken = f.evacuationRound(round, trouble)
	}
	close(stop)
	group.Wait()
	say("answers by status: %v; %d requests were run by replicas", f.answers, len(f.ran.all()))
	return broken
}

func (f *fleet) evacuationRound(round int, trouble bool) bool {
	v := f.vm([]string{"frontend-nashua-1", "frontend-lowell-2", "frontend-worcester-1"}[round%len(zones)])
	zone := v.zone
	say("round %d: SIGTERM to %s", round, v.name)
	v.signal(syscall.SIGTERM)
	select {
	case <-v.exited:
	case <-time.After(7 * time.Second):
		cannotRun("%s did not end within its grace period", v.name)
	}
	time.Sleep(downTime)
	// The operator evacuates the VM's zone as the VM returns.
	returned := make(chan string, 100)
	f.store.setOnList(func(name, kind string, stale bool) {
		if kind == "evacuations" && !stale && name == v.name {
			select {
			case returned <- name:
			default:
			}
		}
	})
	if trouble {
		say("round %d: the store is slow: its answers take up to %d times as long as usual", round, slowTimes)
		f.store.setSlow(usualDelay, slowTimes*usualDelay)
	}
	v.writeSettings(f.addresses[v.name], false)
	v.start()
	say("round %d: %s is started again", round, v.name)
	select {
	case <-returned:
		say("round %d: %s lists what is evacuated", round, v.name)
		time.Sleep(time.Duration(rand.Float64() * float64(maxOperatorDelay)))
	case <-time.After(time.Second):
	}
	f.store.put("evacuations", zone, map[string]any{})
	accepted := time.Now()
	say("round %d: the evacuation of %s is accepted by the store", round, zone)
	if trouble {
		time.Sleep(slowTime)
		f.store.setSlow(0, 0)
		say("round %d: the store is as fast as usual", round)
	}
	// The VM has run and the store has been stable for contactWindow by then, and the time that
	// the rule allows is over.
	due := time.Now().Add(contactWindow)
	if by := accepted.Add(evacuationBound); by.After(due) {
		due = by
	}
	time.Sleep(time.Until(due.Add(margin)))
	broken := f.countInZone(round, zone, accepted)
	if broken {
		// Beyond any time by which an unstable store may stretch the bound.
		time.Sleep(time.Until(accepted.Add(evacuationBound + maxStretch + margin)))
		broken = f.countInZone(round, zone, accepted)
	}
	f.store.remove("evacuations", zone)
	say("round %d: the evacuation of %s is taken back", round, zone)
	time.Sleep(restTime)
	return broken
}

// countInZone reports whether replicas of an evacuated zone run requests.
func (f *fleet) countInZone(round int, zone string, acked time.Time) bool {
	from := time.Now()
	time.Sleep(watchTime)
	counts := map[string]int{}
	var late []arrival
	for _, a := range f.ran.all() {
		if a.replica.zone != zone || a.at.Before(from) {
			continue
		}
		name, _, _ := strings.Cut(a.request, ".")
		late = append(late, a)
		counts[name]++
	}
	say("round %d: requests run in %s from %.1f s after the acceptance on, for 1 s, by VM: %v", round, zone, from.Sub(acked).Seconds(), counts)
	for _, a := range late[:min(len(late), 20)] {
		say("round %d: %s was run by %s %.3f s after the acceptance", round, a.request, a.replica.id, a.at.Sub(acked).Seconds())
	}
	return len(late) > 0
}

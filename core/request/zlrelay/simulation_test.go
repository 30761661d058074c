package zlrelay

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"zinnialock/core/process/zlbalancer"
	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zltable"
)

// The simulation of the replay tests: data centres, VMs, and shards of replicas
// with slots, a queue and pauses. It runs under virtual time.
const (
	simVMs          = 6
	simShards       = 6
	simSlots        = 2
	simQueue        = 12
	pauseLength     = 120 * time.Millisecond
	pausePeriod     = 3 * time.Second
	dataCentreDelay = 500 * time.Microsecond
	callerTransit   = 6 * time.Millisecond
	budgetShare     = 0.2
	budgetBurst     = 52
	callerDeadline  = 600 * time.Millisecond
)

var dataCentres = []zlunit.DataCentre{"press-hall", "drying-loft", "town-hall"}

// simReplica is one simulated replica. The fields after mu are guarded by it; the
// others do not change.
type simReplica struct {
	entry      *zlregistry.Entry
	pausePhase time.Duration

	mu           sync.Mutex
	free         int
	queue        []chan struct{}
	slowdown     float64
	refuseShare  float64
	unresponsive bool
	random       *rand.Rand
}

// finishAt returns when work that starts at t ends, given the periodic pauses.
func (r *simReplica) finishAt(t, work time.Duration) time.Duration {
	for {
		into := (t + r.pausePhase) % pausePeriod
		if into < pauseLength {
			t += pauseLength - into
			continue
		}
		left := pausePeriod - into
		if work <= left {
			return t + work
		}
		work -= left
		t += left
	}
}

type outcome int

const (
	outcomeRan outcome = iota
	outcomeRefused
	outcomeCancelled
)

// serve queues one request and runs it in a slot.
func (r *simReplica) serve(ctx context.Context, started time.Time, work time.Duration) outcome {
	r.mu.Lock()
	switch {
	case r.unresponsive:
		r.mu.Unlock()
		<-ctx.Done()
		return outcomeCancelled
	case r.random.Float64() < r.refuseShare, len(r.queue) >= simQueue:
		r.mu.Unlock()
		return outcomeRefused
	case r.free > 0:
		r.free--
		r.mu.Unlock()
	default:
		granted := make(chan struct{})
		r.queue = append(r.queue, granted)
		r.mu.Unlock()
		select {
		case <-granted:
		case <-ctx.Done():
			r.leaveQueue(granted)
			return outcomeCancelled
		}
	}
	defer r.release()
	r.mu.Lock()
	work = time.Duration(float64(work) * r.slowdown)
	r.mu.Unlock()
	now := time.Since(started)
	return sleep(ctx, r.finishAt(now, work)-now)
}

func sleep(ctx context.Context, d time.Duration) outcome {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return outcomeRan
	case <-ctx.Done():
		return outcomeCancelled
	}
}

// leaveQueue gives up a place in the queue, or releases the slot that was granted
// in the meantime.
func (r *simReplica) leaveQueue(granted chan struct{}) {
	r.mu.Lock()
	for i, t := range r.queue {
		if t == granted {
			r.queue = append(r.queue[:i], r.queue[i+1:]...)
			r.mu.Unlock()
			return
		}
	}
	r.mu.Unlock()
	r.release()
}

func (r *simReplica) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.queue) > 0 {
		close(r.queue[0])
		r.queue = r.queue[1:]
		return
	}
	r.free++
}

// simulation is one run of a scenario.
type simulation struct {
	started  time.Time
	random   *rand.Rand
	mu       sync.Mutex
	replicas map[zlunit.Upstream]*simReplica
	view     *zlregistry.View
	routes   []zltable.Route
	// arrivals counts what arrived for each request and shard, and secondSends
	// all arrivals beyond the first.
	arrivals    map[string]int
	secondSends int
	vms         int
	relays      []*Relay
	baseline    bool
}

// queryKinds holds the kinds of requests: an urgent one with more work, and a less
// urgent one with less.
var queryKinds = []struct {
	share float64
	work  time.Duration
}{
	{0.75, 11 * time.Millisecond},
	{0.25, 3800 * time.Microsecond},
}

func newSimulation(seed uint64, baseline bool) *simulation {
	w := &simulation{
		started:  time.Now(),
		random:   rand.New(rand.NewPCG(seed, 1)),
		replicas: map[zlunit.Upstream]*simReplica{},
		arrivals: map[string]int{},
		baseline: baseline,
		vms:      simVMs,
	}
	var shards []zlunit.Service
	var services []zltable.Service
	entries := map[zlunit.Service][]*zlregistry.Entry{}
	for s := range simShards {
		name := zlunit.Service(fmt.Sprintf("shard%d", s))
		shards = append(shards, name)
		services = append(services, zltable.Service{
			Name:        name,
			Connections: 25,
		})
		for _, dc := range dataCentres {
			e := &zlregistry.Entry{
				Replica: zlregistry.Replica{
					ID:         zlunit.Upstream(fmt.Sprintf("%s-%s", name, dc)),
					Service:    name,
					DataCentre: dc,
				},
			}
			entries[name] = append(entries[name], e)
			w.replicas[e.ID] = &simReplica{
				entry:      e,
				pausePhase: time.Duration(w.random.Int64N(int64(pausePeriod))),
				free:       simSlots,
				slowdown:   1,
				random:     rand.New(rand.NewPCG(seed, uint64(len(w.replicas)))),
			}
		}
	}
	w.routes = []zltable.Route{
		scatterRoute("lot", shards, 100*time.Millisecond, 1, 0.8),
		scatterRoute("germ", shards, 50*time.Millisecond, 2, 0.6),
	}
	w.view = &zlregistry.View{
		Table:      zltable.New(1, w.routes, services, zltable.Limits{}),
		Replicas:   entries,
		ReplicasAt: w.started,
	}
	w.startVMs()
	return w
}

func scatterRoute(name string, shards []zlunit.Service, objective time.Duration, priority int, minCoverage float64) zltable.Route {
	return zltable.Route{
		Name:        zltable.RouteName(name),
		Host:        "h",
		Prefix:      "/" + name + "/",
		Idempotent:  true,
		Timeout:     callerDeadline,
		Objective:   objective,
		Attempts:    2,
		Priority:    priority,
		Shards:      shards,
		MaxRecords:  10,
		MinCoverage: minCoverage,
	}
}

// startVMs starts or restarts all VMs, without any state of earlier ones.
func (w *simulation) startVMs() {
	w.relays = nil
	for i := range w.vms {
		timer := &zltimer.Service{}
		registry := &zlregistry.Registry{
			Timer: timer,
		}
		var all []zlregistry.Replica
		for _, list := range w.view.Replicas {
			for _, e := range list {
				all = append(all, e.Replica)
			}
		}
		registry.SetTable(w.view.Table, time.Now(), time.Time{})
		registry.Replace(all, time.Now())
		draw := lockedRandom(uint64(i), 2)
		placer := &zlbalancer.Placer{
			Settings: zlbalancer.Settings{
				Home: dataCentres[i%len(dataCentres)],
			},
			Random: draw,
		}
		placer.SetVMCount(w.vms)
		w.relays = append(w.relays, &Relay{
			Timer:    timer,
			Registry: registry,
			Placer:   placer,
			Sender: &simSender{
				sim:  w,
				home: dataCentres[i%len(dataCentres)],
			},
			Settings: Settings{
				BudgetShare:  budgetShare,
				BudgetBurst:  budgetBurst,
				BudgetWindow: 10 * time.Second,
			},
			BudgetSince: time.Now(),
			Random:      draw,
		})
	}
}

// simSender implements Sender for one VM.
type simSender struct {
	sim  *simulation
	home zlunit.DataCentre
}

func (s *simSender) Send(ctx context.Context, e *zlregistry.Entry, c *Call) Reply {
	if !c.Start() {
		return &NotRun{
			Reason: zldecision.ReasonOutOfService,
		}
	}
	w := s.sim
	w.countArrival(e, c)
	if e.DataCentre != s.home {
		time.Sleep(2 * dataCentreDelay)
	}
	switch w.replicas[e.ID].serve(ctx, w.started, workOf(c)) {
	case outcomeRan:
		record := make([]byte, recordSize)
		binary.BigEndian.PutUint64(record, uint64(len(e.ID)))
		return &Response{
			Status:    http.StatusOK,
			Body:      record,
			Signature: string(e.ID),
		}
	case outcomeRefused:
		return &NotRun{
			Reason:  zldecision.ReasonRefused,
			Arrived: true,
		}
	default:
		return &Unknown{
			Reason: zldecision.ReasonConnectionBroken,
		}
	}
}

// workOf returns the work of a request, which its body holds in units of 200 us.
func workOf(c *Call) time.Duration {
	return time.Duration(c.Request.Message.Body[0]) * 200 * time.Microsecond
}

// countArrival counts a request that reached a replica.
func (w *simulation) countArrival(e *zlregistry.Entry, c *Call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := string(c.Request.ID) + "/" + string(e.Service)
	if w.arrivals[key]++; w.arrivals[key] > 1 {
		w.secondSends++
	}
}

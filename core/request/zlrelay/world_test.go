package zlrelay

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlplace"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zltable"
)

// The world of the replay tests: data centres, VMs, and shards of replicas with
// slots, a queue and pauses. All of it runs under virtual time.
const (
	worldVMs      = 6
	worldShards   = 6
	worldSlots    = 2
	worldQueue    = 12
	pauseLength   = 120 * time.Millisecond
	pausePeriod   = 3 * time.Second
	farWay        = 500 * time.Microsecond
	callerWays    = 6 * time.Millisecond
	budgetShare   = 0.2
	budgetSlack   = 52
	worldDeadline = 600 * time.Millisecond
)

var dataCentres = []zlunit.DataCentre{"press-hall", "drying-loft", "town-hall"}

// replica is one simulated replica. Its plain fields are set before the run or
// under mu.
type replica struct {
	entry *zlregistry.Entry
	phase time.Duration

	mu     sync.Mutex
	free   int
	queue  []chan struct{}
	factor float64
	shed   float64
	dark   bool
	random *rand.Rand
}

// finish is when work that begins at t ends, given the pauses.
func (r *replica) finish(t, work time.Duration) time.Duration {
	for {
		into := (t + r.phase) % pausePeriod
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
	ran outcome = iota
	refused
	cut
)

// serve runs one request.
func (r *replica) serve(ctx context.Context, started time.Time, work time.Duration) outcome {
	r.mu.Lock()
	switch {
	case r.dark:
		r.mu.Unlock()
		<-ctx.Done()
		return cut
	case r.random.Float64() < r.shed, len(r.queue) >= worldQueue:
		r.mu.Unlock()
		return refused
	case r.free > 0:
		r.free--
		r.mu.Unlock()
	default:
		turn := make(chan struct{})
		r.queue = append(r.queue, turn)
		r.mu.Unlock()
		select {
		case <-turn:
		case <-ctx.Done():
			r.leave(turn)
			return cut
		}
	}
	defer r.release()
	r.mu.Lock()
	work = time.Duration(float64(work) * r.factor)
	r.mu.Unlock()
	now := time.Since(started)
	return sleep(ctx, r.finish(now, work)-now)
}

func sleep(ctx context.Context, d time.Duration) outcome {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ran
	case <-ctx.Done():
		return cut
	}
}

// leave gives up a place in the queue, or hands on the turn that came meanwhile.
func (r *replica) leave(turn chan struct{}) {
	r.mu.Lock()
	for i, t := range r.queue {
		if t == turn {
			r.queue = append(r.queue[:i], r.queue[i+1:]...)
			r.mu.Unlock()
			return
		}
	}
	r.mu.Unlock()
	r.release()
}

func (r *replica) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.queue) > 0 {
		close(r.queue[0])
		r.queue = r.queue[1:]
		return
	}
	r.free++
}

// world is one run.
type world struct {
	started  time.Time
	random   *rand.Rand
	mu       sync.Mutex
	replicas map[zlunit.Upstream]*replica
	view     *zlregistry.View
	routes   []zltable.Route
	// extras counts arrivals beyond the first at each shard.
	arrivals map[string]int
	extras   int
	relays   []*Relay
	plain    bool
}

// kinds are the requests of the world: one urgent with more work, one less so.
var kinds = []struct {
	share float64
	work  time.Duration
}{
	{0.75, 11 * time.Millisecond},
	{0.25, 3800 * time.Microsecond},
}

func newWorld(seed uint64, plain bool) *world {
	w := &world{
		started:  time.Now(),
		random:   rand.New(rand.NewPCG(seed, 1)),
		replicas: map[zlunit.Upstream]*replica{},
		arrivals: map[string]int{},
		plain:    plain,
	}
	var shards []zlunit.Service
	var services []zltable.Service
	entries := map[zlunit.Service][]*zlregistry.Entry{}
	for s := range worldShards {
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
			w.replicas[e.ID] = &replica{
				entry:  e,
				phase:  time.Duration(w.random.Int64N(int64(pausePeriod))),
				free:   worldSlots,
				factor: 1,
				random: rand.New(rand.NewPCG(seed, uint64(len(w.replicas)))),
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
	w.boot()
	return w
}

func scatterRoute(name string, shards []zlunit.Service, objective time.Duration, priority int, least float64) zltable.Route {
	return zltable.Route{
		Name:       zltable.RouteName(name),
		Host:       "h",
		Prefix:     "/" + name + "/",
		Idempotent: true,
		Timeout:    worldDeadline,
		Objective:  objective,
		Attempts:   2,
		Priority:   priority,
		Shards:     shards,
		Top:        10,
		LeastShare: least,
	}
}

// boot starts all VMs anew, with nothing remembered.
func (w *world) boot() {
	w.relays = nil
	for i := range worldVMs {
		timer := &zltimer.Service{}
		book := &zlregistry.Book{
			Timer: timer,
		}
		var all []zlregistry.Replica
		for _, list := range w.view.Replicas {
			for _, e := range list {
				all = append(all, e.Replica)
			}
		}
		book.SetTable(w.view.Table, time.Now(), time.Time{})
		book.Replace(all, time.Now())
		random := rand.New(rand.NewPCG(uint64(i), 2))
		var mu sync.Mutex
		draw := func() float64 {
			mu.Lock()
			defer mu.Unlock()
			return random.Float64()
		}
		placer := &zlplace.Placer{
			Settings: zlplace.Settings{
				Home: dataCentres[i%len(dataCentres)],
			},
			Random: draw,
		}
		placer.SetVMs(worldVMs)
		w.relays = append(w.relays, &Relay{
			Timer:  timer,
			Book:   book,
			Placer: placer,
			Sender: &worldSender{
				world: w,
				home:  dataCentres[i%len(dataCentres)],
			},
			Settings: Settings{
				BudgetShare:  budgetShare,
				BudgetSlack:  budgetSlack,
				BudgetWindow: 10 * time.Second,
			},
			Since:  time.Now(),
			Random: draw,
		})
	}
}

// worldSender implements Sender for one VM.
type worldSender struct {
	world *world
	home  zlunit.DataCentre
}

func (s *worldSender) Send(ctx context.Context, e *zlregistry.Entry, c *Call) Reply {
	if !c.Start() {
		return &NotRun{
			Reason: zldecision.ReasonOutOfService,
		}
	}
	w := s.world
	w.arrived(e, c)
	if e.DataCentre != s.home {
		time.Sleep(2 * farWay)
	}
	switch w.replicas[e.ID].serve(ctx, w.started, workOf(c)) {
	case ran:
		record := make([]byte, recordSize)
		binary.BigEndian.PutUint64(record, uint64(len(e.ID)))
		return &Whole{
			Status: http.StatusOK,
			Body:   record,
			Proof:  string(e.ID),
		}
	case refused:
		return &NotRun{
			Reason:  zldecision.ReasonRefused,
			Arrived: true,
		}
	default:
		return &Broken{
			Reason: zldecision.ReasonBroken,
		}
	}
}

// workOf is the work that a request brings, drawn from its id.
func workOf(c *Call) time.Duration {
	return time.Duration(c.Request.Message.Body[0]) * 200 * time.Microsecond
}

func (w *world) arrived(e *zlregistry.Entry, c *Call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := string(c.Request.ID) + "/" + string(e.Service)
	if w.arrivals[key]++; w.arrivals[key] > 1 {
		w.extras++
	}
}

package zlrelay

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlpeerbalancer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/process/zluplink"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zltable"
)

// pathState is what happens to the sends of one VM.
type pathState int32

const (
	pathsWork pathState = iota
	pathsHang
	pathsReset
	pathsRefuse
)

// forwardFleet is a number of VMs with the same replicas, each with paths of its own.
type forwardFleet struct {
	vms []*forwardVM
	// work is how long a replica works on a request.
	work time.Duration

	mu sync.Mutex
	// runs counts what replicas ran, by request and service, and arrivals what reached
	// them, by service.
	runs     map[string]int
	arrivals map[zlunit.Service]int
	// requests counts those that were sent, by route.
	requests map[zltable.RouteName]int
	done     chan struct{}
}

// end ends the probes.
func (f *forwardFleet) end() {
	close(f.done)
	time.Sleep(time.Second)
}

// forwardVM is one VM: its relay, the Sender and Connector of it, and what serves the
// forwards to it.
type forwardVM struct {
	fleet *forwardFleet
	relay *Relay
	paths atomic.Int32
	// dark is set while the VM answers no other VM; forwards counts what it served.
	dark     atomic.Bool
	forwards atomic.Int64
	// stall is how long the VM shows no sign of life after it has received a forward.
	stall atomic.Int64
}

// newForwardFleet returns a fleet; end must be called at the end of the test.
func newForwardFleet(n, shards int, routes ...zltable.Route) *forwardFleet {
	f := &forwardFleet{
		work:     12 * time.Millisecond,
		runs:     map[string]int{},
		arrivals: map[zlunit.Service]int{},
		requests: map[zltable.RouteName]int{},
		done:     make(chan struct{}),
	}
	var peers []zlpeerbalancer.Peer
	for i := range n {
		peers = append(peers, zlpeerbalancer.Peer{
			VM:         zlunit.VM(fmt.Sprint(i)),
			DataCentre: dataCentres[i%len(dataCentres)],
			Address:    fmt.Sprint(i),
		})
	}
	for i := range n {
		vm := &forwardVM{
			fleet: f,
		}
		r := newTestRelayOf(shards, vm, routes...)
		random := rand.New(rand.NewPCG(uint64(i), 7))
		var mu sync.Mutex
		r.Random = func() float64 {
			mu.Lock()
			defer mu.Unlock()
			return random.Float64()
		}
		r.Placer.SetVMCount(n)
		r.VM = peers[i].VM
		r.Connector = vm
		r.Forwarder = vm
		r.Peers = &zlpeerbalancer.Balancer{
			Home:   peers[i].DataCentre,
			Random: r.Random,
		}
		r.Peers.SetPeers(append(append([]zlpeerbalancer.Peer(nil), peers[:i]...), peers[i+1:]...))
		r.Uplink = &zluplink.Tracker{
			Timer: r.Timer,
			Replicas: func() int {
				return 3 * shards
			},
			Probe:  r.Probe,
			OnLost: r.WakeAll,
		}
		vm.relay = r
		f.vms = append(f.vms, vm)
		go r.Uplink.Run(f.done)
	}
	return f
}

// Send implements Sender.
func (vm *forwardVM) Send(ctx context.Context, e *zlregistry.Entry, c *Call) Reply {
	unreached := &NotRun{
		Reason: zldecision.ReasonUnreached,
	}
	broken := &Unknown{
		Reason: zldecision.ReasonConnectionBroken,
	}
	switch pathState(vm.paths.Load()) {
	case pathsRefuse:
		sleep(ctx, time.Millisecond)
		return unreached
	case pathsHang:
		if vm.relay.randomFloat() < 0.5 {
			<-ctx.Done()
			return unreached
		}
		c.Start()
		<-ctx.Done()
		return broken
	case pathsReset:
		if !c.Start() {
			return unreached
		}
		sleep(ctx, time.Millisecond)
		return broken
	default:
	}
	if !c.Start() {
		return unreached
	}
	f := vm.fleet
	f.mu.Lock()
	f.arrivals[e.Service]++
	f.runs[string(c.Request.ID)+" "+string(e.Service)]++
	f.mu.Unlock()
	if sleep(ctx, f.work) == outcomeCancelled {
		return broken
	}
	vm.relay.Uplink.Connected()
	return &Response{
		Status:    200,
		Body:      bytes.Repeat([]byte(e.Service)[1:], recordSize)[:recordSize],
		Signature: string(e.ID),
	}
}

// Connect implements Connector.
func (vm *forwardVM) Connect(ctx context.Context, _ *zlregistry.Entry) bool {
	switch pathState(vm.paths.Load()) {
	case pathsWork:
		sleep(ctx, time.Millisecond)
		vm.relay.Uplink.Connected()
		return true
	case pathsHang:
		<-ctx.Done()
	default:
		sleep(ctx, time.Millisecond)
	}
	return false
}

// Forward implements Forwarder.
func (vm *forwardVM) Forward(ctx context.Context, to zlpeerbalancer.Peer, c *ForwardCall) ForwardReply {
	var i int
	_, _ = fmt.Sscan(to.Address, &i)
	target := vm.fleet.vms[i]
	if !c.Start() {
		return &NoReply{}
	}
	if target.dark.Load() || sleep(ctx, time.Millisecond) == outcomeCancelled {
		<-ctx.Done()
		return &NoReply{
			MayHaveRun: true,
		}
	}
	target.forwards.Add(1)
	if sleep(ctx, time.Duration(target.stall.Load())) == outcomeCancelled {
		return &NoReply{
			MayHaveRun: true,
		}
	}
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		for {
			c.Alive()
			select {
			case <-ended:
				return
			case <-time.After(ForwardInterval):
			}
		}
	}()
	f := *c.Forward
	req := c.Forward.Request
	f.Request = &Request{
		ID:       req.ID,
		Message:  req.Message,
		Received: req.Received,
		Deadline: req.Deadline,
		Transit:  req.Transit + ForwardTransit,
	}
	reply := target.relay.ServeForward(ctx, &f)
	if sleep(ctx, time.Millisecond) == outcomeCancelled {
		return &NoReply{
			MayHaveRun: true,
		}
	}
	return reply
}

// tally counts how requests ended.
type tally struct {
	mu                  sync.Mutex
	all, served, inTime int
}

func (y *tally) add(a Answer, took, objective time.Duration) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.all++
	switch a.(type) {
	case *Merged, *Served:
		y.served++
		if took <= objective {
			y.inTime++
		}
	default:
	}
}

// load sends requests of one route to a VM until the given time, and tallies those that are
// sent from a time on.
func (f *forwardFleet) load(group *sync.WaitGroup, vm int, route *zltable.Route, every time.Duration, until, from time.Time, y *tally) {
	random := rand.New(rand.NewPCG(uint64(vm), 99))
	group.Go(func() {
		for n := 0; time.Now().Before(until); n++ {
			time.Sleep(time.Duration((0.5 + random.Float64()) * float64(every)))
			req := request(route.Prefix + "x")
			req.ID = zlunit.RequestID(fmt.Sprintf("%s-%d-%d", route.Name, vm, n))
			f.mu.Lock()
			f.requests[route.Name]++
			f.mu.Unlock()
			group.Go(func() {
				sent := time.Now()
				a := f.vms[vm].relay.Serve(context.Background(), req)
				if !sent.Before(from) {
					y.add(a, time.Since(sent), route.Objective)
				}
			})
		}
	})
}

func forwardRoutes(shards int) []zltable.Route {
	var services []zlunit.Service
	for i := range shards {
		services = append(services, zlunit.Service(fmt.Sprintf("s%d", i)))
	}
	all := scatterRoute("all", services, 120*time.Millisecond, 2, 0.89)
	all.Attempts = 2
	return []zltable.Route{all, singleRoute(true, 2)}
}

func (y *tally) check(t *testing.T, what string, share float64) {
	t.Helper()
	if y.all == 0 || float64(y.inTime) < share*float64(y.all) {
		t.Errorf("%s: %d of %d served, %d in time, want a share of %.2f", what, y.served, y.all, y.inTime, share)
	}
}

// checkBudget checks that second sends stayed within the limit of one window, in which the
// whole test lies.
func (f *forwardFleet) checkBudget(t *testing.T) {
	t.Helper()
	s := f.vms[0].relay.Settings
	n := f.requests["all"]
	limit := n + int(s.BudgetShare*float64(n)+s.BudgetBurst)
	for service, arrivals := range f.arrivals {
		if service != "s0" && arrivals > limit {
			t.Errorf("%s: %d arrivals for %d requests, want %d at most", service, arrivals, n, limit)
		}
	}
}

package zlrelay

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zlbalancer"
	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zltable"
)

// shortage is a replay of 75 organisations of different sizes. After a calm time the replicas
// become slower, and one or all organisations send more.
type shortage struct {
	name string
	// hot is the place by size of the hot organisation, rise how many times its usual rate it
	// sends, and kind the index of the only kind of its requests then, or -1.
	hot  int
	rise float64
	kind int
	// allRise is how many times their usual rates all send, and slowdown that of the replicas.
	allRise  float64
	slowdown float64
	// retryShare is the share of the hot organisation's callers that repeat at once, hotVMs is
	// how many of the VMs they reach.
	retryShare float64
	vms        int
	hotVMs     int
	// minAll is how many of all requests must be served.
	minAll float64
}

const (
	shortageOrganisations = 75
	shortageRate          = 190.0
	calmTime              = 20 * time.Second
	shortageTime          = 40 * time.Second
	// manyVMs is as many as a deployment with so many requests has.
	manyVMs = 66
)

var shortages = []shortage{
	{name: "large hot organisation", rise: 7.5, kind: -1, allRise: 1, slowdown: 3, vms: simVMs, hotVMs: simVMs},
	{name: "middling hot organisation", hot: 10, rise: 7.5, kind: -1, allRise: 1, slowdown: 3, vms: simVMs, hotVMs: simVMs},
	{name: "one kind of request", rise: 7.5, kind: 0, allRise: 1, slowdown: 3, vms: simVMs, hotVMs: simVMs},
	{name: "callers that repeat at once", rise: 7.5, kind: -1, allRise: 1, slowdown: 3, retryShare: 1, vms: simVMs, hotVMs: simVMs},
	{name: "many VMs", rise: 7.5, kind: -1, allRise: 1, slowdown: 2.4, vms: manyVMs, hotVMs: manyVMs},
	{name: "many VMs, hot at four", rise: 7.5, kind: -1, allRise: 1, slowdown: 2.4, vms: manyVMs, hotVMs: 4},
	{name: "mild", rise: 7.5, kind: -1, allRise: 1, slowdown: 2, vms: simVMs, hotVMs: simVMs, minAll: 0.93},
	{name: "all organisations", rise: 1, kind: -1, allRise: 2, slowdown: 3, vms: simVMs, hotVMs: simVMs},
}

// tellShortages passes the VMs' reports of short services on as zlbroadcast does.
func (w *simulation) tellShortages() {
	for i := 0; time.Since(w.started) < calmTime+shortageTime; i++ {
		time.Sleep(500 * time.Millisecond / time.Duration(len(w.relays)))
		self := w.relays[i%len(w.relays)]
		list := self.Placer.ShortServices(time.Now())
		for _, r := range w.relays {
			if r != self {
				r.Placer.AddShortages(list, time.Now())
			}
		}
	}
}

// run replays the shortage and returns the statistics of each organisation in it.
func (p *shortage) run(t *testing.T) []scenarioStats {
	t.Helper()
	stats := make([]scenarioStats, shortageOrganisations)
	synctest.Test(t, func(*testing.T) {
		const seed = 7
		w := newSimulation(seed, false)
		var names []zlunit.Organisation
		var weights []float64
		var callers []*scenario
		vms := make([]int, p.vms)
		for vm := range vms {
			vms[vm] = vm
		}
		sum := 0.0
		for i := range shortageOrganisations {
			names = append(names, zlunit.Organisation(fmt.Sprintf("o%02d", i)))
			weights = append(weights, 1/math.Pow(float64(i+1), 0.6))
			sum += weights[i]
			key := zltable.DigestKey(string(names[i]))
			callers = append(callers, &scenario{
				vms: vms,
				key: &key,
			})
		}
		callers[p.hot].vms = vms[:p.hotVMs]
		w.view.Table = w.view.Table.WithOrganisations(organisationsOf(names...))
		w.vms = p.vms
		w.startVMs()
		var group sync.WaitGroup
		for i, c := range callers {
			group.Go(func() {
				random := rand.New(rand.NewPCG(seed, uint64(i)))
				for n := 0; time.Since(w.started) < calmTime+shortageTime; n++ {
					isHot := i == p.hot && time.Since(w.started) > calmTime
					rate, kind, into := shortageRate*weights[i]/sum, -1, &scenarioStats{}
					if time.Since(w.started) > calmTime {
						rate, into = rate*p.allRise, &stats[i]
					}
					if isHot {
						rate, kind = rate*p.rise, p.kind
					}
					time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
					if kind < 0 && random.Float64() > queryKinds[0].share {
						kind = 1
					}
					kind = max(kind, 0)
					work := byte(float64(queryKinds[kind].work/(200*time.Microsecond)) * (0.6 + 0.8*random.Float64()))
					callerRandom := rand.New(rand.NewPCG(uint64(i), uint64(n)))
					group.Go(func() {
						w.runCaller(into, c, kind, c.vms[callerRandom.IntN(len(c.vms))], fmt.Sprintf("%s-%d", names[i], n), work, isHot && callerRandom.Float64() < p.retryShare, callerRandom)
					})
				}
			})
		}
		group.Go(w.tellShortages)
		time.Sleep(calmTime)
		w.each(func(_ int, r *simReplica) {
			r.slowdown = p.slowdown
		})
		group.Wait()
		for _, r := range w.relays {
			r.Wait()
		}
		synctest.Wait()
	})
	return stats
}

func meanOf(list []float64) (mean float64) {
	for _, x := range list {
		mean += x / float64(len(list))
	}
	return mean
}

// TestShortageIsShared guards against a hot organisation that takes the capacity of the
// others: the worst tenth of organisations must be served 0.9 as often as all, and none less
// than a quarter as often.
func TestShortageIsShared(t *testing.T) {
	for _, p := range shortages {
		t.Run(p.name, func(t *testing.T) {
			stats := p.run(t)
			var shares []float64
			served, requests := 0, 0
			for i := range stats {
				s := &stats[i]
				shares = append(shares, shareOf(s.inTime, s.requests))
				served += s.inTime
				requests += s.requests
			}
			whole, hot := shareOf(served, requests), shares[p.hot]
			small := meanOf(shares[len(shares)-25:])
			slices.Sort(shares)
			worst, minWorst := meanOf(shares[:len(shares)/10+1]), 0.9
			if p.rise == 1 {
				// None is hot: the worst tenth is that of chance, as by arrival alone.
				minWorst = 0.72
			}
			t.Logf("served %.3f of %d, worst tenth %.3f (%.2f of the whole), worst %.3f, hot %.3f, small %.3f", whole, requests, worst, worst/whole, shares[0], hot, small)
			if whole < p.minAll || worst < minWorst*whole || shares[0] < 0.25*whole {
				t.Errorf("got %.3f served, the worst tenth %.3f, the worst %.3f, want %.2f, and %.2f and 0.25 of all", whole, worst, shares[0], p.minAll, minWorst)
			}
		})
	}
}

// Guards against a hot organisation's callers that wait for a refusal, or whose requests to one
// service take the place of others that wait; those of others wait as before.
func TestHotCallerIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newKeyRelay("hot", "small")
		r.Placer.SetVMCount(30)
		for i := range 10 {
			r.shares.Account(zlunit.Organisation(fmt.Sprintf("o%d", i))).Use(time.Now(), 10)
		}
		r.shares.Account("hot").Use(time.Now(), 100)
		view := r.Registry.Current()
		var flights []*zlbalancer.Flight
		for range 8 {
			if len(flights) == 3 {
				flights[0].Done(time.Now(), zlbalancer.OutcomeGivenUp, 0, 0)
				flights = flights[1:]
			}
			p, _ := r.Placer.Place(view, time.Now(), &zlbalancer.PlacementRequest{Service: "s0"})
			flights = append(flights, p.Flight)
		}
		r.Placer.Wait(time.Now(), &zlbalancer.Waiter{
			Service: "s0",
			Turn:    zlbalancer.Turn{Account: r.shares.Account("o1")},
			Notify:  func() {},
		})
		for _, tt := range []struct {
			key    string
			reason zldecision.Reason
			atOnce bool
		}{{"hot", zldecision.ReasonOverShare, true}, {"small", zldecision.ReasonNoRoom, false}} {
			req := request("/one/x")
			key := zltable.DigestKey(tt.key)
			req.Key = &key
			began := time.Now()
			a, ok := r.Serve(context.Background(), req).(*Refused)
			if !ok || a.Reason != tt.reason || a.RetryAfter <= 0 || (time.Since(began) == 0) != tt.atOnce {
				t.Errorf("%s: got answer %+v after %v, want reason %s, at once: %v", tt.key, a, time.Since(began), tt.reason, tt.atOnce)
			}
		}
	})
}

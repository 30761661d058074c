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
	// minWorst is how often the worst tenth of organisations must be served, as a share of
	// how often all are.
	minWorst float64
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
	{name: "large hot organisation", rise: 7.5, kind: -1, allRise: 1, slowdown: 3, vms: simVMs, hotVMs: simVMs, minWorst: 0.9},
	{name: "middling hot organisation", hot: 10, rise: 7.5, kind: -1, allRise: 1, slowdown: 3, vms: simVMs, hotVMs: simVMs, minWorst: 0.9},
	{name: "one kind of request", rise: 7.5, kind: 0, allRise: 1, slowdown: 3, vms: simVMs, hotVMs: simVMs, minWorst: 0.9},
	{name: "callers that repeat at once", rise: 7.5, kind: -1, allRise: 1, slowdown: 3, retryShare: 1, vms: simVMs, hotVMs: simVMs, minWorst: 0.9},
	{name: "many VMs", rise: 7.5, kind: -1, allRise: 1, slowdown: 2.4, vms: manyVMs, hotVMs: manyVMs, minWorst: 0.9},
	{name: "many VMs, hot at four", rise: 7.5, kind: -1, allRise: 1, slowdown: 2.4, vms: manyVMs, hotVMs: 4, minWorst: 0.9},
	// None is hot: the worst tenth is that of chance, and no worse than by arrival alone.
	{name: "all organisations", rise: 1, kind: -1, allRise: 2, slowdown: 3, vms: simVMs, hotVMs: simVMs, minWorst: 0.72},
}

// tellShortages passes the VMs' reports of short services on as zlbroadcast does.
func (w *simulation) tellShortages(group *sync.WaitGroup) {
	const period = 500 * time.Millisecond
	for i, r := range w.relays {
		group.Go(func() {
			time.Sleep(period * time.Duration(i) / time.Duration(len(w.relays)))
			for ; time.Since(w.started) < calmTime+shortageTime; time.Sleep(period) {
				list := r.Placer.ShortServices(time.Now())
				for _, other := range w.relays {
					if other != r {
						other.Placer.AddShortages(list, time.Now())
					}
				}
			}
		})
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
		sum := 0.0
		for i := range shortageOrganisations {
			names = append(names, zlunit.Organisation(fmt.Sprintf("o%02d", i)))
			weights = append(weights, 1/math.Pow(float64(i+1), 0.6))
			sum += weights[i]
			key := zltable.DigestKey(string(names[i]))
			reached := p.vms
			if i == p.hot {
				reached = p.hotVMs
			}
			c := &scenario{
				key: &key,
			}
			for vm := range reached {
				c.vms = append(c.vms, vm)
			}
			callers = append(callers, c)
		}
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
					atOnce := isHot && random.Float64() < p.retryShare
					callerRandom := rand.New(rand.NewPCG(uint64(i), uint64(n)))
					group.Go(func() {
						w.runCaller(into, c, kind, c.vms[callerRandom.IntN(len(c.vms))], fmt.Sprintf("%s-%d", names[i], n), work, atOnce, callerRandom)
					})
				}
			})
		}
		group.Go(func() { w.tellShortages(&group) })
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
			small := 0.0
			for _, s := range shares[len(shares)-25:] {
				small += s / 25
			}
			slices.Sort(shares)
			worst := 0.0
			for _, s := range shares[:len(shares)/10+1] {
				worst += s / float64(len(shares)/10+1)
			}
			t.Logf("served %.3f of %d, worst tenth %.3f (%.2f of the whole), worst %.3f, hot %.3f, small %.3f", whole, requests, worst, worst/whole, shares[0], hot, small)
			if worst < p.minWorst*whole || shares[0] < 0.25*whole {
				t.Errorf("got the worst tenth served %.3f and the worst %.3f, want at least %.2f and 0.25 of %.3f", worst, shares[0], p.minWorst, whole)
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
		for step := range 400 {
			at := time.Now().Add(time.Duration(step-400) * 100 * time.Millisecond)
			for i := range 10 {
				name := zlunit.Organisation(fmt.Sprintf("o%d", i))
				r.shares.Account(name).Use(at, 1)
			}
			if step > 370 {
				r.shares.Account("hot").Use(at, 10)
			}
		}
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

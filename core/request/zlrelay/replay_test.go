package zlrelay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zltable"
)

// scenario is a load pattern together with faults of replicas or VMs.
type scenario struct {
	name string
	// rate returns the requests per second at time t.
	rate func(t time.Duration) float64
	// onlyRequestKind is the index of the only kind of requests; -1 means all kinds.
	onlyRequestKind int
	// vms holds the VMs that callers can reach; key is that of their organisation.
	vms []int
	key *zltable.KeyDigest
	// setup changes the simulation before the run; during runs alongside it.
	setup  func(w *simulation)
	during func(w *simulation)
	// immediateRetryShare is the share of callers that ignore Retry-After.
	immediateRetryShare float64
	// minScore is the least score of this version, and minGain how far it must
	// be above that of the baseline.
	minScore float64
	minGain  float64
}

const (
	usualRate = 180.0
	runTime   = 6 * time.Second
)

func steadyRate(time.Duration) float64 {
	return usualRate
}

// burstRate returns a rate that is x times the usual one for a while.
func burstRate(x float64, length time.Duration) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if t > time.Second && t < time.Second+length {
			return x * usualRate
		}
		return usualRate
	}
}

// each calls f for every replica, in a fixed order.
func (w *simulation) each(f func(i int, r *simReplica)) {
	i := 0
	for s := range simShards {
		for _, dc := range dataCentres {
			r := w.replicas[zlunit.Upstream(fmt.Sprintf("shard%d-%s", s, dc))]
			r.mu.Lock()
			f(i, r)
			r.mu.Unlock()
			i++
		}
	}
}

var allVMs = []int{0, 1, 2, 3, 4, 5}

// scenarios lists what TestReplay runs. The scores required are those of the
// service targets: 0.95 in normal operation, 0.8 in the worst seconds of days with
// faults, 0.5 in the worst case.
var scenarios = []scenario{
	{
		name:            "pauses on all shards",
		rate:            steadyRate,
		onlyRequestKind: -1,
		vms:             allVMs,
		minScore:        0.95,
		minGain:         0.1,
	},
	{
		name:            "burst of 1.7 for 3 s",
		rate:            burstRate(1.7, 3*time.Second),
		onlyRequestKind: -1,
		vms:             allVMs,
		minScore:        0.95,
		minGain:         0.1,
	},
	{
		name:            "burst of 1.7 for 10 s",
		rate:            burstRate(1.7, 10*time.Second),
		onlyRequestKind: -1,
		vms:             allVMs,
		minScore:        0.95,
		minGain:         0.1,
	},
	{
		name:            "burst of 3 for 3 s",
		rate:            burstRate(3, 3*time.Second),
		onlyRequestKind: -1,
		vms:             allVMs,
		minScore:        0.8,
		minGain:         0.1,
	},
	{
		name:            "burst of 4 for 4 s, above the capacity of the replicas",
		rate:            burstRate(4, 4*time.Second),
		onlyRequestKind: -1,
		vms:             allVMs,
		minScore:        0.5,
		minGain:         0.1,
	},
	{
		name:            "one data centre only",
		rate:            burstRate(1.7, 10*time.Second),
		onlyRequestKind: -1,
		vms:             []int{0, 3},
		minScore:        0.95,
		minGain:         0.1,
	},
	{
		name:            "the less urgent kind only",
		rate:            burstRate(3, 10*time.Second),
		onlyRequestKind: 1,
		vms:             allVMs,
		minScore:        0.8,
		minGain:         0.1,
	},
	{
		name:            "half of the replicas unresponsive",
		rate:            steadyRate,
		onlyRequestKind: -1,
		vms:             allVMs,
		setup: func(w *simulation) {
			w.each(func(i int, r *simReplica) {
				r.unresponsive = i%2 == 0
			})
		},
		minScore: 0.5,
		minGain:  0.2,
	},
	{
		name:            "a third of the replicas eight times slower",
		rate:            steadyRate,
		onlyRequestKind: -1,
		vms:             allVMs,
		setup: func(w *simulation) {
			w.each(func(i int, r *simReplica) {
				if i%3 == 0 {
					r.slowdown = 8
				}
			})
		},
		minScore: 0.8,
		minGain:  0.2,
	},
	{
		name:            "a third of the replicas refuses half",
		rate:            steadyRate,
		onlyRequestKind: -1,
		vms:             allVMs,
		setup: func(w *simulation) {
			w.each(func(i int, r *simReplica) {
				if i%3 == 0 {
					r.refuseShare = 0.5
				}
			})
		},
		minScore: 0.8,
		minGain:  0.2,
	},
	{
		name:                "callers that retry at once",
		rate:                burstRate(4, 4*time.Second),
		onlyRequestKind:     -1,
		vms:                 allVMs,
		immediateRetryShare: 0.5,
		minScore:            0.5,
		minGain:             0.1,
	},
	{
		name:            "all VMs restarted",
		rate:            steadyRate,
		onlyRequestKind: -1,
		vms:             allVMs,
		during: func(w *simulation) {
			time.Sleep(2 * time.Second)
			w.mu.Lock()
			w.startVMs()
			w.mu.Unlock()
		},
		minScore: 0.9,
		minGain:  0.1,
	},
}

// scenarioStats sums up a run. The score of an answer is its weight (2 for the
// urgent kind, 1 for the other) times the square of the share of shards merged,
// times 1 if it is within the objective, 0.55 if it is within the objective of a
// retry after an early refusal, and 0.1 if it is late.
type scenarioStats struct {
	mu              sync.Mutex
	maxScore        float64
	score           float64
	inTime          int
	late            int
	refused         int
	failed          int
	coverageSquared float64
	requests        int
}

func (s *scenarioStats) String() string {
	return fmt.Sprintf("score %.3f, in objective %.3f, late %.3f, coverage squared %.3f, refused %.3f, failed %.3f",
		s.score/s.maxScore, shareOf(s.inTime, s.requests), shareOf(s.late, s.requests), s.coverageSquared/float64(max(s.inTime+s.late, 1)),
		shareOf(s.refused, s.requests), shareOf(s.failed, s.requests))
}

func shareOf(n, of int) float64 {
	return float64(n) / float64(max(of, 1))
}

// runCaller simulates one caller, which retries once after a refusal.
func (w *simulation) runCaller(stats *scenarioStats, p *scenario, kind, vm int, id string, work byte, retriesAtOnce bool, random *rand.Rand) {
	objective := w.routes[kind].Objective
	weight := 2.0 - float64(kind)
	began := time.Now()
	deadline := began.Add(callerDeadline)
	credit, share := 0.0, 0.0
	wasRefused := false
	outcome := &stats.failed
	for attemptNo := range 2 {
		start := time.Now()
		a := w.send(kind, vm, fmt.Sprintf("%s-%d", id, attemptNo), work, deadline, p.key)
		took := time.Since(start) + callerTransit
		if m, ok := a.(*Merged); ok {
			share = float64(len(m.Signatures)) / simShards
			credit, outcome = 0.1, &stats.late
			if took <= objective && (attemptNo == 0 || wasRefused) {
				credit, outcome = 1, &stats.inTime
				if attemptNo > 0 {
					credit = 0.55
				}
			}
			break
		}
		refused, ok := a.(*Refused)
		if !ok {
			break
		}
		wasRefused = took <= objective/4
		outcome = &stats.refused
		if attemptNo == 0 && !retriesAtOnce {
			time.Sleep(min(refused.RetryAfter, time.Until(deadline)/3))
		}
		vm = p.vms[random.IntN(len(p.vms))]
	}
	stats.mu.Lock()
	defer stats.mu.Unlock()
	stats.requests++
	stats.maxScore += weight
	stats.score += weight * credit * share * share
	stats.coverageSquared += share * share
	*outcome++
}

func (w *simulation) send(kind, vm int, id string, work byte, deadline time.Time, key *zltable.KeyDigest) Answer {
	req := &Request{
		ID:  zlunit.RequestID(id),
		Key: key,
		Message: &Message{
			Method: "GET",
			Host:   "h",
			Path:   w.routes[kind].Prefix,
			Body:   []byte{work},
		},
		Received: time.Now(),
		Deadline: deadline,
		Transit:  callerTransit,
	}
	if w.baseline {
		return w.serveBaseline(kind, req)
	}
	w.mu.Lock()
	relay := w.relays[vm]
	w.mu.Unlock()
	return relay.Serve(context.Background(), req)
}

// serveBaseline is the baseline for comparison: it asks a random replica of each
// shard, makes no second sends and waits for all parts until the deadline.
func (w *simulation) serveBaseline(kind int, req *Request) Answer {
	ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
	defer cancel()
	var group sync.WaitGroup
	var mu sync.Mutex
	merged := &Merged{}
	for _, s := range w.routes[kind].Shards {
		list := w.view.Replicas[s]
		w.mu.Lock()
		e := list[w.random.IntN(len(list))]
		w.mu.Unlock()
		group.Go(func() {
			sender := &simSender{
				sim:  w,
				home: e.DataCentre,
			}
			reply := sender.Send(ctx, e, &Call{
				Request: req,
				Start:   func() bool { return true },
			})
			if resp, ok := reply.(*Response); ok {
				mu.Lock()
				merged.Signatures = append(merged.Signatures, resp.Signature)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	if float64(len(merged.Signatures)) < w.routes[kind].MinCoverage*simShards {
		return &Failed{}
	}
	return merged
}

// runScenario runs a scenario and returns its statistics and the number of second
// sends.
func runScenario(t *testing.T, p *scenario, baseline bool) (result *scenarioStats, secondSends int) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		const seed = 7
		w := newSimulation(seed, baseline)
		if p.setup != nil {
			p.setup(w)
		}
		stats := &scenarioStats{}
		random := rand.New(rand.NewPCG(seed, 3))
		var group sync.WaitGroup
		if p.during != nil {
			group.Go(func() { p.during(w) })
		}
		for n := 0; time.Since(w.started) < runTime; n++ {
			gap := random.ExpFloat64() / p.rate(time.Since(w.started))
			time.Sleep(time.Duration(gap * float64(time.Second)))
			kind := p.onlyRequestKind
			if kind < 0 {
				kind = 0
				if random.Float64() > queryKinds[0].share {
					kind = 1
				}
			}
			work := byte(float64(queryKinds[kind].work/(200*time.Microsecond)) * (0.6 + 0.8*random.Float64()))
			vm := p.vms[random.IntN(len(p.vms))]
			retriesAtOnce := random.Float64() < p.immediateRetryShare
			callerRandom := rand.New(rand.NewPCG(seed, uint64(n)))
			group.Go(func() {
				w.runCaller(stats, p, kind, vm, fmt.Sprintf("r%d", n), work, retriesAtOnce, callerRandom)
			})
		}
		group.Wait()
		for _, r := range w.relays {
			r.Wait()
		}
		synctest.Wait()
		result, secondSends = stats, w.secondSends
	})
	return result, secondSends
}

// TestReplay runs each scenario with this version and with the baseline. It guards
// against changes of placement, hedging or admission that make answers late or
// incomplete under load or faults, or that exceed the limit on second sends.
func TestReplay(t *testing.T) {
	for i := range scenarios {
		p := &scenarios[i]
		t.Run(p.name, func(t *testing.T) {
			got, secondSends := runScenario(t, p, false)
			baseline, _ := runScenario(t, p, true)
			t.Logf("this version: %v", got)
			t.Logf("baseline:     %v", baseline)
			score, baselineScore := got.score/got.maxScore, baseline.score/baseline.maxScore
			if score < p.minScore {
				t.Errorf("got score %.3f, want at least %.2f", score, p.minScore)
			}
			if score < baselineScore+p.minGain {
				t.Errorf("got score %.3f and baseline score %.3f, want at least %.2f more than the baseline", score, baselineScore, p.minGain)
			}
			if maxSecondSends := simShards * (budgetShare*float64(2*got.requests) + budgetBurst); float64(secondSends) > maxSecondSends {
				t.Errorf("got %d second sends, want at most %.0f", secondSends, maxSecondSends)
			}
		})
	}
}

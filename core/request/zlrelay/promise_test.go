package zlrelay

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlplace"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zltable"

	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	goleak.VerifyTestMain(m, goleak.Cleanup(os.Exit))
}

// behaviour is what a replica does with one send.
type behaviour int

const (
	answers behaviour = iota
	answersLate
	fails
	refuses
	misdirects
	breaks
	hangs
	cannotBeReached
	hangsBeforeSending
	behaviours
)

// scripted sends as a list of behaviours says, and keeps what ran.
type scripted struct {
	mu     sync.Mutex
	script []behaviour
	// mayRun counts, for each service, sends that a replica may have run, and
	// arrivals all that reached one; replicas tells which.
	mayRun   map[zlunit.Service]int
	arrivals map[zlunit.Service]int
	replicas map[zlunit.Upstream]int
	running  int
}

func newScripted(script []behaviour) *scripted {
	return &scripted{
		script:   script,
		mayRun:   map[zlunit.Service]int{},
		arrivals: map[zlunit.Service]int{},
		replicas: map[zlunit.Upstream]int{},
	}
}

func (s *scripted) next() behaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.script) == 0 {
		return answers
	}
	b := s.script[0]
	s.script = s.script[1:]
	return b
}

func (s *scripted) note(e *zlregistry.Entry, runs bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals[e.Service]++
	if runs {
		s.mayRun[e.Service]++
		s.replicas[e.ID]++
	}
}

func (s *scripted) Send(ctx context.Context, e *zlregistry.Entry, c *Call) Reply {
	s.mu.Lock()
	s.running++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	b := s.next()
	unreached := &NotRun{
		Reason: zldecision.ReasonUnreached,
	}
	switch b {
	case cannotBeReached:
		return unreached
	case hangsBeforeSending:
		<-ctx.Done()
		c.Start()
		return unreached
	default:
	}
	if !c.Start() {
		return unreached
	}
	s.note(e, b != refuses && b != misdirects)
	broken := &Broken{
		Reason: zldecision.ReasonBroken,
	}
	wait := 5 * time.Millisecond
	switch b {
	case answersLate:
		wait = 90 * time.Millisecond
	case hangs:
		wait = time.Hour
	default:
	}
	if sleep(ctx, wait) == cut {
		return broken
	}
	whole := &Whole{
		Status: http.StatusOK,
		Body:   bytes.Repeat([]byte{byte(len(e.ID))}, recordSize),
		Proof:  string(e.ID),
	}
	switch b {
	case fails:
		whole.Status = http.StatusInternalServerError
		return whole
	case refuses:
		return &NotRun{
			Reason:  zldecision.ReasonRefused,
			Arrived: true,
		}
	case misdirects:
		return &NotRun{
			Reason:  zldecision.ReasonWrongReplica,
			Arrived: true,
		}
	case breaks:
		return broken
	default:
		return whole
	}
}

// bench is a relay over services of three replicas each.
func bench(sender Sender, routes ...zltable.Route) *Relay {
	return benchOf(5, sender, routes...)
}

// benchOf has services s0, s1 and so on, of three replicas each.
func benchOf(n int, sender Sender, routes ...zltable.Route) *Relay {
	timer := &zltimer.Service{}
	book := &zlregistry.Book{
		Timer: timer,
	}
	var services []zltable.Service
	var all []zlregistry.Replica
	for s := range n {
		name := zlunit.Service(fmt.Sprintf("s%d", s))
		services = append(services, zltable.Service{
			Name:        name,
			Connections: 30,
		})
		for i := range 3 {
			all = append(all, zlregistry.Replica{
				ID:      zlunit.Upstream(fmt.Sprintf("%s-%d", name, i)),
				Service: name,
			})
		}
	}
	book.SetTable(zltable.New(1, routes, services, zltable.Limits{}), time.Now())
	book.Replace(all, time.Now())
	placer := &zlplace.Placer{}
	placer.SetVMs(1)
	return &Relay{
		Timer:  timer,
		Book:   book,
		Placer: placer,
		Sender: sender,
		Settings: Settings{
			BudgetShare:  0.2,
			BudgetSlack:  50,
			BudgetWindow: 10 * time.Second,
		},
		Since: time.Now().Add(-time.Minute),
	}
}

func singleRoute(idempotent bool, attempts int) zltable.Route {
	return zltable.Route{
		Name:       "one",
		Host:       "h",
		Prefix:     "/one/",
		Idempotent: idempotent,
		Timeout:    time.Second,
		Objective:  100 * time.Millisecond,
		Attempts:   attempts,
		Targets: []zltable.Target{{
			Service: "s0",
			Weight:  1,
		}},
	}
}

func request(path string) *Request {
	return &Request{
		ID: "r",
		Message: &Message{
			Method: "GET",
			Host:   "h",
			Path:   path,
		},
		Received: time.Now(),
		Deadline: time.Now().Add(2 * time.Second),
	}
}

func drawScript(t *rapid.T) []behaviour {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) behaviour {
		return behaviour(rapid.IntRange(0, int(behaviours)-1).Draw(t, "behaviour"))
	}), 0, 12).Draw(t, "script")
}

// Whatever replicas do: a request that is not idempotent may run once at most,
// others at most on as many replicas as allowed, and a refusal has not run.
func TestRunsAndRefusals(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := drawScript(rt)
		idempotent := rapid.Bool().Draw(rt, "idempotent")
		attempts := rapid.IntRange(1, 3).Draw(rt, "attempts")
		synctest.Test(t, func(*testing.T) {
			s := newScripted(script)
			r := bench(s, singleRoute(idempotent, attempts))
			began := time.Now()
			a := r.Serve(context.Background(), request("/one/x"))
			took := time.Since(began)
			r.Wait()
			ran := s.mayRun["s0"]
			if most := allowed(idempotent, attempts); ran > most {
				rt.Fatalf("may have run %d times, at most %d", ran, most)
			}
			switch a.(type) {
			case *Refused:
				if ran > 0 {
					rt.Fatalf("refused, and may have run %d times", ran)
				}
			case *Served:
			case *Failed:
			default:
				rt.Fatalf("answer %T", a)
			}
			if took > time.Second+10*time.Millisecond {
				rt.Fatalf("took %v, the route allows a second", took)
			}
			if s.running != 0 {
				rt.Fatalf("%d sends go on", s.running)
			}
		})
	})
}

func allowed(idempotent bool, attempts int) int {
	if !idempotent {
		return 1
	}
	return attempts
}

// Whatever replicas do: an answer over all shards names each part once, counts
// what is missing and has as many parts as a success needs.
func TestMergedAnswers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := drawScript(rt)
		least := rapid.SampledFrom([]float64{0.2, 0.6, 0.8, 1}).Draw(rt, "least")
		synctest.Test(t, func(*testing.T) {
			s := newScripted(script)
			shards := []zlunit.Service{"s0", "s1", "s2", "s3", "s4"}
			route := scatterRoute("all", shards, 100*time.Millisecond, 1, least)
			r := bench(s, route)
			a := r.Serve(context.Background(), request("/all/x"))
			r.Wait()
			for service, n := range s.mayRun {
				if n > route.Attempts {
					rt.Fatalf("%s may have run it %d times", service, n)
				}
			}
			m, ok := a.(*Merged)
			if !ok {
				return
			}
			seen := map[string]bool{}
			for _, p := range m.Proofs {
				if seen[p[:2]] {
					rt.Fatalf("two parts of %s", p[:2])
				}
				seen[p[:2]] = true
			}
			if len(m.Proofs)+m.Missing != len(shards) {
				rt.Fatalf("%d parts and %d missing of %d", len(m.Proofs), m.Missing, len(shards))
			}
			if float64(len(m.Proofs))/float64(len(shards)) < least {
				rt.Fatalf("%d parts of %d are too few", len(m.Proofs), len(shards))
			}
			if len(m.Records) != recordSize*len(m.Proofs) {
				rt.Fatalf("%d bytes of records for %d parts", len(m.Records), len(m.Proofs))
			}
		})
	})
}

// A caller who leaves ends the work at the replicas at once.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScripted([]behaviour{hangs, hangs, hangs})
		r := bench(s, singleRoute(true, 2))
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, cancel)
		if a := r.Serve(ctx, request("/one/x")); a != nil {
			t.Fatalf("answer %T for a caller who left", a)
		}
		synctest.Wait()
		if s.running != 0 {
			t.Fatalf("%d sends go on", s.running)
		}
	})
}

// A replica that cannot be reached costs no second send: nothing arrived.
func TestUnreachedReplicasCostNoBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScripted([]behaviour{hangsBeforeSending, cannotBeReached})
		r := bench(s, singleRoute(false, 1))
		before := r.window("s0").Left(time.Now())
		if _, ok := r.Serve(context.Background(), request("/one/x")).(*Served); !ok {
			t.Fatal("not served by the third replica")
		}
		r.Wait()
		if left := r.window("s0").Left(time.Now()); left < before {
			t.Fatalf("%.1f second sends left of %.1f", left, before)
		}
	})
}

// What cannot be served is refused at once, not run.
func TestRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScripted(nil)
		route := singleRoute(true, 2)
		route.Targets[0].Service = "none"
		r := bench(s, route)
		began := time.Now()
		a := r.Serve(context.Background(), request("/one/x"))
		refused, ok := a.(*Refused)
		if !ok || refused.Reason != zldecision.ReasonNoReplica {
			t.Fatalf("answer %#v", a)
		}
		if took := time.Since(began); took > 0 {
			t.Fatalf("held for %v", took)
		}
		if most := time.Duration(float64(2*time.Second) * backShare); refused.RetryAfter <= 0 || refused.RetryAfter > most {
			t.Fatalf("Retry-After %v of 2 s left", refused.RetryAfter)
		}
	})
}

// Each service has its share of the requests after few of them.
func TestSplitsFollowTheWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := singleRoute(true, 2)
		route.Targets = []zltable.Target{
			{
				Service: "s0",
				Weight:  70,
			},
			{
				Service: "s1",
				Weight:  30,
			},
		}
		s := newScripted(nil)
		r := bench(s, route)
		for range 50 {
			r.Serve(context.Background(), request("/one/x"))
		}
		if n := s.arrivals["s0"]; n < 34 || n > 36 {
			t.Fatalf("%d of 50 for a weight of 70 in 100", n)
		}
	})
}

func TestGreatestRecords(t *testing.T) {
	record := func(b byte) []byte {
		return bytes.Repeat([]byte{b}, recordSize)
	}
	got := greatest([][]byte{
		append(record(3), 9, 9, 9),
		append(record(7), record(3)...),
		nil,
	}, 3)
	want := append(append(record(7), record(3)...), record(3)...)
	if !bytes.Equal(got, want) {
		t.Fatalf("got %v", got)
	}
}

// An answer that lacks a part goes out in time for the caller's way, also where
// the caller made its connection for it.
func TestAnswerLeavesTimeForTheWay(t *testing.T) {
	for _, way := range []time.Duration{6 * time.Millisecond, 12 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			s := newScripted([]behaviour{hangs, answers, answers, answers, answers, hangs})
			route := scatterRoute("all", []zlunit.Service{"s0", "s1", "s2", "s3", "s4"}, 50*time.Millisecond, 1, 0.8)
			r := bench(s, route)
			req := request("/all/x")
			req.OnTheWay = way
			began := time.Now()
			m, ok := r.Serve(context.Background(), req).(*Merged)
			took := time.Since(began)
			r.Wait()
			if !ok || m.Missing != 1 {
				t.Fatalf("answer %+v", m)
			}
			if took+way > route.Objective {
				t.Errorf("out after %v, with ways of %v past the objective", took, way)
			}
		})
	}
}

// A VM with a fifth of a processor is still busy with the parts of another request
// when the time to answer comes: the answer goes out sooner by that, and no later
// than a tenth and a half of the objective before its end.
func TestWeakVMAnswersSooner(t *testing.T) {
	for _, c := range []struct {
		shards int
		cores  float64
		before time.Duration
	}{
		{
			shards: 5,
			cores:  0.8,
			before: 4 * time.Millisecond,
		},
		{
			shards: 40,
			cores:  0.2,
			before: 9 * time.Millisecond,
		},
		{
			shards: 40,
			cores:  0.01,
			before: 18 * time.Millisecond,
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			script := []behaviour{hangs}
			var shards []zlunit.Service
			for i := range c.shards {
				shards = append(shards, zlunit.Service(fmt.Sprintf("s%d", i)))
				script = append(script, answers)
			}
			script[len(script)-1] = hangs
			route := scatterRoute("all", shards, 120*time.Millisecond, 1, 0.8)
			r := benchOf(c.shards, newScripted(script), route)
			r.Settings.Cores = c.cores
			began := time.Now()
			m, ok := r.Serve(context.Background(), request("/all/x")).(*Merged)
			took := time.Since(began)
			r.Wait()
			if !ok || m.Missing != 1 {
				t.Fatalf("answer %+v", m)
			}
			if took+c.before != route.Objective {
				t.Errorf("%d shards, %g cores: out after %v, want %v before the objective", c.shards, c.cores, took, c.before)
			}
		})
	}
}

// A request that finds no room is refused within a quarter of the objective, the
// caller's way included.
func TestRefusalIsEarlyForTheCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScripted([]behaviour{hangs, hangs, hangs})
		route := scatterRoute("all", []zlunit.Service{"s0"}, 100*time.Millisecond, 1, 1)
		r := bench(s, route)
		// One connection to each of the three replicas is this VM's share.
		r.Placer.SetVMs(30)
		ctx, cancel := context.WithCancel(context.Background())
		for range 3 {
			go r.Serve(ctx, request("/all/x"))
			synctest.Wait()
		}
		const way = 12 * time.Millisecond
		req := request("/all/x")
		req.OnTheWay = way
		began := time.Now()
		a, ok := r.Serve(context.Background(), req).(*Refused)
		if took := time.Since(began); !ok || a.Reason != zldecision.ReasonNoRoom || took+way > route.Objective/4 {
			t.Errorf("answer %+v after %v", a, took)
		}
		cancel()
		r.Wait()
		synctest.Wait()
	})
}

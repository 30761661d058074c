package zlrelay

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zltable"

	"pgregory.net/rapid"
)

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

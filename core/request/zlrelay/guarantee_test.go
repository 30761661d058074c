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

// Whatever the replicas do, a request that is not idempotent runs at most once, an
// idempotent one at most as often as the route allows, and a refused one never.
// A retry after an unproven failure would break this.
func TestRunsAndRefusals(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := drawScript(rt)
		idempotent := rapid.Bool().Draw(rt, "idempotent")
		attempts := rapid.IntRange(1, 3).Draw(rt, "attempts")
		synctest.Test(t, func(*testing.T) {
			s := newScripted(script)
			r := newTestRelay(s, singleRoute(idempotent, attempts))
			began := time.Now()
			a := r.Serve(context.Background(), request("/one/x"))
			took := time.Since(began)
			r.Wait()
			ran := s.mayRun["s0"]
			if most := maxRuns(idempotent, attempts); ran > most {
				rt.Fatalf("request may have run %d times, want at most %d", ran, most)
			}
			switch a.(type) {
			case *Refused:
				if ran > 0 {
					rt.Fatalf("refused request may have run %d times, want 0", ran)
				}
			case *Served:
			case *Failed:
			default:
				rt.Fatalf("got answer of type %T, want *Served, *Refused or *Failed", a)
			}
			if took > time.Second+10*time.Millisecond {
				rt.Fatalf("answer took %v, want at most the route's timeout of 1 s", took)
			}
			if s.running != 0 {
				rt.Fatalf("got %d sends still running after the answer, want 0", s.running)
			}
		})
	})
}

func maxRuns(idempotent bool, attempts int) int {
	if !idempotent {
		return 1
	}
	return attempts
}

// Whatever the replicas do, a merged answer holds each part once, counts the missing
// ones and has as many parts as the route requires. A hedge that is answered as well
// as the first send must not be merged twice.
func TestMergedAnswers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := drawScript(rt)
		minCoverage := rapid.SampledFrom([]float64{0.2, 0.6, 0.8, 1}).Draw(rt, "least")
		synctest.Test(t, func(*testing.T) {
			s := newScripted(script)
			shards := []zlunit.Service{"s0", "s1", "s2", "s3", "s4"}
			route := scatterRoute("all", shards, 100*time.Millisecond, 1, minCoverage)
			r := newTestRelay(s, route)
			a := r.Serve(context.Background(), request("/all/x"))
			r.Wait()
			for service, n := range s.mayRun {
				if n > route.Attempts {
					rt.Fatalf("service %s may have run the request %d times, want at most %d", service, n, route.Attempts)
				}
			}
			m, ok := a.(*Merged)
			if !ok {
				return
			}
			seen := map[string]bool{}
			for _, p := range m.Signatures {
				if seen[p[:2]] {
					rt.Fatalf("got two parts of shard %s, want one", p[:2])
				}
				seen[p[:2]] = true
			}
			if len(m.Signatures)+m.Missing != len(shards) {
				rt.Fatalf("got %d parts and %d missing, want %d in total", len(m.Signatures), m.Missing, len(shards))
			}
			if float64(len(m.Signatures))/float64(len(shards)) < minCoverage {
				rt.Fatalf("got %d parts of %d, want a share of at least %.1f", len(m.Signatures), len(shards), minCoverage)
			}
			if len(m.Records) != recordSize*len(m.Signatures) {
				rt.Fatalf("got %d bytes of records for %d parts, want %d", len(m.Records), len(m.Signatures), recordSize*len(m.Signatures))
			}
		})
	})
}

// The sends to replicas must be cancelled when the caller disconnects, so that
// replicas do not work for an answer that is not read.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScripted([]behaviour{hangs, hangs, hangs})
		r := newTestRelay(s, singleRoute(true, 2))
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, cancel)
		if a := r.Serve(ctx, request("/one/x")); a != nil {
			t.Fatalf("got answer of type %T for a caller that disconnected, want nil", a)
		}
		synctest.Wait()
		if s.running != 0 {
			t.Fatalf("got %d sends still running after the caller disconnected, want 0", s.running)
		}
	})
}

// A send to a replica that cannot be reached must not be charged to the budget of
// second sends, since nothing arrived; an outage would use up the budget otherwise.
func TestUnreachedReplicasCostNoBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScripted([]behaviour{hangsBeforeSending, cannotBeReached})
		r := newTestRelay(s, singleRoute(false, 1))
		before := r.window("s0").Left(time.Now())
		if _, ok := r.Serve(context.Background(), request("/one/x")).(*Served); !ok {
			t.Fatal("request was not served by the third replica after two unreachable ones")
		}
		r.Wait()
		if left := r.window("s0").Left(time.Now()); left < before {
			t.Fatalf("got a budget of %.1f second sends, want at least the %.1f from before", left, before)
		}
	})
}

// A request to a service without replicas must be refused at once, with a
// Retry-After that the caller can honour, rather than wait for a replica.
func TestNoReplicaIsRefusedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScripted(nil)
		route := singleRoute(true, 2)
		route.Targets[0].Service = "none"
		r := newTestRelay(s, route)
		began := time.Now()
		a := r.Serve(context.Background(), request("/one/x"))
		refused, ok := a.(*Refused)
		if !ok || refused.Reason != zldecision.ReasonNoReplica {
			t.Fatalf("got answer %#v, want a refusal for %s", a, zldecision.ReasonNoReplica)
		}
		if took := time.Since(began); took > 0 {
			t.Fatalf("refusal took %v, want 0", took)
		}
		if most := time.Duration(float64(2*time.Second) * retryAfterShare); refused.RetryAfter <= 0 || refused.RetryAfter > most {
			t.Fatalf("got Retry-After %v with 2 s left, want more than 0 and at most %v", refused.RetryAfter, most)
		}
	})
}

// Each target must get its share after few requests. A random choice by weight has
// the share only on average.
func TestTargetsFollowWeights(t *testing.T) {
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
		r := newTestRelay(s, route)
		for range 50 {
			r.Serve(context.Background(), request("/one/x"))
		}
		if n := s.arrivals["s0"]; n < 34 || n > 36 {
			t.Fatalf("got %d of 50 requests for a weight of 70 in 100, want 34 to 36", n)
		}
	})
}

func TestGreatestRecords(t *testing.T) {
	record := func(b byte) []byte {
		return bytes.Repeat([]byte{b}, recordSize)
	}
	got := topRecords([][]byte{
		append(record(3), 9, 9, 9),
		append(record(7), record(3)...),
		nil,
	}, 3)
	want := append(append(record(7), record(3)...), record(3)...)
	if !bytes.Equal(got, want) {
		t.Fatalf("got records %v, want %v", got, want)
	}
}

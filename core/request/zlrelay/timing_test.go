package zlrelay

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlunit"
)

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

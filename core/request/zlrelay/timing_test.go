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

// A partial answer must reach the caller within the objective, so it is sent earlier
// by the network transit, which is longer if the caller opens a new connection.
func TestPartialAnswerLeavesTimeForTransit(t *testing.T) {
	for _, transit := range []time.Duration{6 * time.Millisecond, 12 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			s := newScripted([]behaviour{hangs, answers, answers, answers, answers, hangs})
			route := scatterRoute("all", []zlunit.Service{"s0", "s1", "s2", "s3", "s4"}, 50*time.Millisecond, 1, 0.8)
			r := newTestRelay(s, route)
			req := request("/all/x")
			req.Transit = transit
			began := time.Now()
			m, ok := r.Serve(context.Background(), req).(*Merged)
			took := time.Since(began)
			r.Wait()
			if !ok || m.Missing != 1 {
				t.Fatalf("got answer %+v, want a merged one with 1 missing part", m)
			}
			if took+transit > route.Objective {
				t.Errorf("answer sent after %v with a transit of %v, want both within the objective of %v", took, transit, route.Objective)
			}
		})
	}
}

// A VM with a fifth of a core may still be busy with the parts of another request
// when an answer is due, and the answer would be late. It must send a partial answer
// earlier by that work, but at most 15 % of the objective before its end.
func TestWeakVMSendsPartialAnswerEarlier(t *testing.T) {
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
			r := newTestRelayOf(c.shards, newScripted(script), route)
			r.Settings.Cores = c.cores
			began := time.Now()
			m, ok := r.Serve(context.Background(), request("/all/x")).(*Merged)
			took := time.Since(began)
			r.Wait()
			if !ok || m.Missing != 1 {
				t.Fatalf("got answer %+v, want a merged one with 1 missing part", m)
			}
			if took+c.before != route.Objective {
				t.Errorf("%d shards, %g cores: answer sent after %v, want %v before the end of the objective of %v", c.shards, c.cores, took, c.before, route.Objective)
			}
		})
	}
}

// A request without capacity at the replicas must be refused within a quarter of the
// objective including the network transit; a later refusal does not count as early.
func TestRefusalWithinQuarterOfObjective(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScripted([]behaviour{hangs, hangs, hangs})
		route := scatterRoute("all", []zlunit.Service{"s0"}, 100*time.Millisecond, 1, 1)
		r := newTestRelay(s, route)
		// One connection to each of the three replicas is this VM's share.
		r.Placer.SetVMCount(30)
		ctx, cancel := context.WithCancel(context.Background())
		for range 3 {
			go r.Serve(ctx, request("/all/x"))
			synctest.Wait()
		}
		const transit = 12 * time.Millisecond
		req := request("/all/x")
		req.Transit = transit
		began := time.Now()
		a, ok := r.Serve(context.Background(), req).(*Refused)
		if took := time.Since(began); !ok || a.Reason != zldecision.ReasonNoRoom || took+transit > route.Objective/4 {
			t.Errorf("got answer %+v after %v with a transit of %v, want a refusal for %s within %v", a, took, transit, zldecision.ReasonNoRoom, route.Objective/4)
		}
		cancel()
		r.Wait()
		synctest.Wait()
	})
}

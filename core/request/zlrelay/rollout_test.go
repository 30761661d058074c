package zlrelay

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zlrollout"
	"zinnialock/core/version/zltable"
)

// divide gives a replica of the service s0 a second version.
func divide(r *Relay) {
	r.Registry.Apply([]zlregistry.Change{{
		ID: "s0-0",
		Replica: &zlregistry.Replica{
			ID:      "s0-0",
			Service: "s0",
			Build:   "v2",
		},
	}}, time.Now())
	controller := &zlrollout.Controller{
		Timer: r.Timer,
		Settings: zlrollout.Settings{
			Enabled: true,
		},
	}
	controller.SetReplicas(r.Registry.View())
	r.Placer.Splits = controller.Split
}

// Guards against a slow version whose responses are never counted, since second sends to
// the other one are answered first, and against outcomes of sends that did not run.
func TestOutcomesOfDividedService(t *testing.T) {
	const slow = zlrollout.Outcome(-1)
	for name, c := range map[string]struct {
		script []behaviour
		want   []zlrollout.Outcome
	}{
		"failed":      {[]behaviour{fails, answers}, []zlrollout.Outcome{zlrollout.OutcomeFailed, zlrollout.OutcomeGood}},
		"did not run": {[]behaviour{cannotBeReached, answers}, []zlrollout.Outcome{zlrollout.OutcomeGood}},
		"overtaken":   {[]behaviour{hangs, answers}, []zlrollout.Outcome{zlrollout.OutcomeGood, slow}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				route := singleRoute(true, 2)
				// A second send is made after 80 ms and answered after 85; a send is slow for
				// certain after 87.5 ms.
				route.Objective = 200 * time.Millisecond
				r := newTestRelay(newScripted(c.script), route)
				divide(r)
				// Sends pass on their outcomes concurrently.
				var mu sync.Mutex
				var got []zlrollout.Outcome
				r.OnOutcome = func(_ zlunit.Service, _ zltable.RouteName, _ zlunit.Build, o zlrollout.Outcome, took time.Duration) {
					if o == zlrollout.OutcomeGood && took > 3*25*time.Millisecond {
						o = slow
					}
					mu.Lock()
					defer mu.Unlock()
					got = append(got, o)
				}
				r.Serve(context.Background(), request("/one/x"))
				r.Wait()
				if !slices.Equal(got, c.want) {
					t.Errorf("got outcomes %v, want %v", got, c.want)
				}
			})
		})
	}
}

// Guards against a caller that waits until the outcome of its request is counted, which
// shares a lock with the comparison of the evidence.
func TestCallerDoesNotWaitForTheEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRelay(newScripted([]behaviour{answers}), singleRoute(true, 2))
		divide(r)
		answered := make(chan struct{})
		r.OnOutcome = func(zlunit.Service, zltable.RouteName, zlunit.Build, zlrollout.Outcome, time.Duration) {
			<-answered
		}
		got := r.Serve(context.Background(), request("/one/x"))
		close(answered)
		r.Wait()
		if _, ok := got.(*Served); !ok {
			t.Errorf("got %+v", got)
		}
	})
}

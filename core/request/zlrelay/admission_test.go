package zlrelay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zlbalancer"
	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlunit"
)

// Guards against a request that waits for one shard after another and then polls without
// a pause: it kept the time of the shard that it no longer waited for.
func TestAdmissionWaitsForTheShardThatBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := scatterRoute("all", []zlunit.Service{"s0", "s1"}, time.Second, 1, 1)
		r := newTestRelay(newScripted(nil), route)
		r.Placer.SetVMCount(30)
		view := r.Registry.Current()
		flights := map[zlunit.Service][]*zlbalancer.Flight{}
		for _, s := range route.Shards {
			for range 3 {
				placement, result := r.Placer.Place(view, time.Now(), &zlbalancer.PlacementRequest{
					Service: s,
				})
				if result != zlbalancer.Placed {
					t.Fatalf("got result %d of Place, want Placed", result)
				}
				flights[s] = append(flights[s], placement.Flight)
			}
		}
		x := r.start(context.Background(), view, &route, request("/all/x"))
		defer x.cancelAll()
		x.setLatencies(time.Now())
		x.step(time.Now())
		flights["s1"][0].Done(time.Now(), zlbalancer.OutcomeGivenUp, 0, 0)
		for range 5 {
			time.Sleep(placementRetryInterval)
			now := time.Now()
			if a := x.step(now); a != nil {
				t.Fatalf("got answer %+v, want a request that waits", a)
			}
			if next := x.nextWakeup(); !next.After(now) {
				t.Fatalf("the next step is due at once (%v ago), want it after a pause", now.Sub(next))
			}
		}
		if n := r.Placer.Waiting("s1"); n != 0 {
			t.Errorf("got %d requests waiting for the shard that has capacity, want none", n)
		}
	})
}

// A request that no replica has room for is refused for that reason, not for a rate limit
// that none of them named, also if its timer is late.
func TestRefusalWithoutRateLimitsIsForNoRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := scatterRoute("all", []zlunit.Service{"s0"}, 100*time.Millisecond, 1, 1)
		r := newTestRelay(newScripted(nil), route)
		r.Placer.SetVMCount(30)
		view := r.Registry.Current()
		for range 3 {
			if _, result := r.Placer.Place(view, time.Now(), &zlbalancer.PlacementRequest{
				Service: "s0",
			}); result != zlbalancer.Placed {
				t.Fatalf("got result %d of Place, want Placed", result)
			}
		}
		x := r.start(context.Background(), view, &route, request("/all/x"))
		defer x.cancelAll()
		x.setLatencies(time.Now())
		time.Sleep(time.Until(x.placementDeadline) + time.Millisecond)
		if a, ok := x.step(time.Now()).(*Refused); !ok || a.Reason != zldecision.ReasonNoRoom {
			t.Errorf("got answer %+v, want a refusal for want of room", a)
		}
	})
}

package zlbalancer

import (
	"testing"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zlrollout"
)

// rollOut adds a replica of a new version and orders it, at the given share.
func (r *fixture) rollOut(share float64) {
	c := &zlrollout.Controller{
		Self:  "vm",
		Timer: &zltimer.Service{},
		Settings: zlrollout.Settings{
			Enabled: true,
		},
	}
	for _, e := range r.view.Replicas["finder"] {
		e.Build = "v1"
	}
	c.SetReplicas(r.view)
	r.view.Replicas["finder"] = append(r.view.Replicas["finder"], &zlregistry.Entry{
		Replica: zlregistry.Replica{
			ID:         "new",
			Service:    "finder",
			DataCentre: home,
			Build:      "v2",
		},
	})
	c.SetReplicas(r.view)
	var o zlrollout.Order
	o.ID.Service, o.ID.Target, o.Duration = "finder", "v2", time.Minute
	o.Status.State, o.Status.Target, o.Status.Share = zlrollout.StateRunning, "v2", share
	c.SetOrders([]zlrollout.Order{o}, time.Now())
	r.Splits = c.Split
}

// Guards against a new version that gets more than its share, by hedges or because its
// replica is idle or nearer than the old ones, and against one that gets nothing.
func TestNewVersionGetsItsShare(t *testing.T) {
	for _, c := range []struct {
		share    float64
		min, max int
	}{{0, 0, 0}, {0.05, 40, 60}, {1, 1000, 1000}} {
		for _, healthyOnly := range []bool{false, true} {
			r := newFixture()
			r.rollOut(c.share)
			got := 0
			for range 1000 {
				r.now = r.now.Add(usualLatency)
				placement, result := r.Place(r.view, r.now, &PlacementRequest{
					Service:     "finder",
					HealthyOnly: healthyOnly,
				})
				if result != Placed {
					t.Fatalf("share %g: got result %d, want Placed", c.share, result)
				}
				if placement.Entry.ID == "new" {
					got++
				}
				r.done(placement, usualLatency, OutcomeServed)
			}
			if got < c.min || got > c.max {
				t.Errorf("share %g: got %d of 1000 sends at the new version, want %d to %d", c.share, got, c.min, c.max)
			}
		}
	}
}

// Guards against a request that fails although an old replica can serve it, and against
// one that goes to the new version since all old replicas were tried.
func TestOldVersionStandsIn(t *testing.T) {
	r := newFixture()
	r.rollOut(1)
	placement, result := r.Place(r.view, r.now, &PlacementRequest{
		Service: "finder",
		Skip:    []zlunit.Upstream{"new"},
	})
	if result != Placed || placement.Entry.Build != "v1" {
		t.Errorf("without the new replica: got result %d, want a place at an old one", result)
	}
	r = newFixture()
	r.rollOut(0)
	w := &PlacementRequest{
		Service: "finder",
		Skip:    []zlunit.Upstream{"at-" + zlunit.Upstream(home), "at-nashua", "at-worcester"},
	}
	if _, result := r.Place(r.view, r.now, w); result != NoReplica {
		t.Errorf("after all old replicas: got result %d, want NoReplica", result)
	}
	if n := r.Available(r.view, r.now, "finder").Replicas; n != 3 {
		t.Errorf("got %d available replicas, want the old ones only", n)
	}
}

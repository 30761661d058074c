package zlbalancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zltable"
)

const (
	usualLatency = 10 * time.Millisecond
	home         = zlunit.DataCentre("lowell")
)

// fixture is a Placer and one service with a replica in each of three data
// centres.
type fixture struct {
	*Placer
	view *zlregistry.View
	now  time.Time
}

func newFixture() *fixture {
	r := &fixture{
		Placer: &Placer{
			Settings: Settings{
				Home:       home,
				ColdFactor: 1.5,
				ColdBurst:  5,
			},
			Random: rand.New(rand.NewPCG(1, 1)).Float64,
		},
		now: time.Unix(1000, 0),
	}
	r.SetVMCount(4)
	r.view = &zlregistry.View{
		Table: zltable.New(1, nil, []zltable.Service{{
			Name:        "finder",
			Connections: 24,
		}}, zltable.Limits{}),
		Replicas:     map[zlunit.Service][]*zlregistry.Entry{},
		OutOfService: map[zlunit.DataCentre]bool{},
	}
	for _, dc := range []zlunit.DataCentre{home, "nashua", "worcester"} {
		r.view.Replicas["finder"] = append(r.view.Replicas["finder"], &zlregistry.Entry{
			Replica: zlregistry.Replica{
				ID:         zlunit.Upstream("at-" + string(dc)),
				Service:    "finder",
				DataCentre: dc,
			},
		})
	}
	return r
}

func (r *fixture) place(t *testing.T) *Placement {
	t.Helper()
	placement, result := r.Place(r.view, r.now, &PlacementRequest{
		Service: "finder",
	})
	if result != Placed {
		t.Fatalf("got result %d of Place, want Placed", result)
	}
	placement.Flight.MarkSent(r.now)
	return placement
}

func (r *fixture) done(s *Placement, took time.Duration, outcome Outcome) {
	s.Flight.Done(r.now.Add(took), outcome, usualLatency, 0)
}

func TestHomeIsPreferredWhileItIsIdle(t *testing.T) {
	r := newFixture()
	first := r.place(t)
	if first.Remote {
		t.Fatal("first request: got a replica in another data centre, want the idle one at home")
	}
	if second := r.place(t); !second.Remote {
		t.Fatal("second request: got the replica at home with a request in flight, want an idle one in another data centre")
	}
}

// Guards against further requests at a paused replica: the first overdue
// request marks the replica, the senders of its other requests are notified,
// and nothing is placed there until something is answered.
func TestFirstOverdueRequestMarksPausedReplica(t *testing.T) {
	r := newFixture()
	nudged := 0
	var placements []*Placement
	for range 2 {
		placement, _ := r.Place(r.view, r.now, &PlacementRequest{
			Service: "finder",
			Skip:    []zlunit.Upstream{"at-nashua", "at-worcester"},
			Notify:  func() { nudged++ },
		})
		placements = append(placements, placement)
	}
	placements[0].Flight.MarkOverdue(r.now)
	if nudged != 1 || !placements[1].Flight.ReplicaOverdue() || placements[0].Flight.record.firstOverdue != placements[0].Flight {
		t.Fatalf("after one overdue request got %d nudges of the other one, want 1 and the replica marked as paused by the overdue request", nudged)
	}
	for range 6 {
		if s := r.place(t); !s.Remote {
			t.Fatal("got a request placed at the paused replica, want it in another data centre")
		}
	}
	r.done(placements[0], 150*time.Millisecond, OutcomeServed)
	r.done(placements[1], 150*time.Millisecond, OutcomeServed)
	r.now = r.now.Add(2 * time.Second)
	if s := r.place(t); s.Remote {
		t.Fatal("after the pause: got a remote replica, want the one at home")
	}
}

// Guards against losing requests to each replica of an unreachable data centre
// in turn: after unreachableThreshold overdue requests with no answer between
// them, its other replicas are avoided as well.
func TestUnreachableDataCentreIsAvoidedAsAWhole(t *testing.T) {
	r := newFixture()
	list := r.view.Replicas["finder"]
	for i := range 4 {
		e := *list[1]
		e.ID = zlunit.Upstream(fmt.Sprintf("more-%d", i))
		list = append(list, &e)
	}
	// Only remote replicas are left: five in the unreachable data centre, one
	// in the other.
	r.view.Replicas["finder"] = list[1:]
	unreachable := list[1].DataCentre
	overdue := 0
	for range 60 {
		s := r.place(t)
		if s.Entry.DataCentre != unreachable {
			r.done(s, usualLatency, OutcomeServed)
		} else {
			overdue++
			s.Flight.MarkOverdue(r.now)
			defer r.done(s, 400*time.Millisecond, OutcomeGivenUp)
		}
		r.now = r.now.Add(usualLatency / 2)
	}
	if overdue > unreachableThreshold+1 {
		t.Fatalf("got %d requests at the unreachable data centre, want at most %d", overdue, unreachableThreshold+1)
	}
}

// Guards against a replica that stays marked as paused for good: giving up the
// first overdue request clears the mark, so that the replica is tried again.
func TestEndOfOverdueRequestClearsPausedMark(t *testing.T) {
	r := newFixture()
	s := r.place(t)
	s.Flight.MarkOverdue(r.now)
	r.done(s, 400*time.Millisecond, OutcomeGivenUp)
	r.now = r.now.Add(3 * time.Second)
	if s := r.place(t); s.Remote || s.Overdue {
		t.Fatal("got the replica at home avoided or marked as paused after its overdue request ended, want it chosen and unmarked")
	}
}

// countAtHome places n requests, interval apart, and returns how many go to
// the replica at home. There each takes latency and ends with outcome; those
// of the other replicas are served in usualLatency.
func (r *fixture) countAtHome(t *testing.T, n int, interval, latency time.Duration, outcome Outcome) int {
	t.Helper()
	atHome := 0
	for range n {
		s := r.place(t)
		if s.Remote {
			r.done(s, usualLatency, OutcomeServed)
		} else {
			atHome++
			r.done(s, latency, outcome)
		}
		r.now = r.now.Add(interval)
	}
	return atHome
}

// Guards against a replica that fails at once, which has the shortest queue
// and would attract most requests.
func TestFastFailuresAttractNoTraffic(t *testing.T) {
	for _, outcome := range []Outcome{OutcomeFailed, OutcomeRefused} {
		if bad := newFixture().countAtHome(t, 300, usualLatency, time.Millisecond, outcome); bad > 30 {
			t.Errorf("outcome %d: got %d of 300 requests at the failing replica, want at most 30", outcome, bad)
		}
	}
}

// Guards against sending the usual share to a replica that takes eight times
// as long as the others.
func TestSlowReplicaGetsFewRequests(t *testing.T) {
	if slow := newFixture().countAtHome(t, 300, usualLatency, 8*usualLatency, OutcomeServed); slow > 40 {
		t.Fatalf("got %d of 300 requests at the slow replica, want at most 40", slow)
	}
}

// Guards against a second request to the address of a replica that is gone, where
// another service answers now: each such request costs the service a second send.
func TestNoSecondRequestToMovedAddress(t *testing.T) {
	if asked := newFixture().countAtHome(t, 200, 100*time.Millisecond, time.Millisecond, OutcomeMoved); asked != 1 {
		t.Fatalf("got %d requests in 20 s at the address of another replica, want 1", asked)
	}
}

// Guards against refusals that go on when a replica runs only two requests at
// once: the in-flight limit settles where few are refused, and the other
// requests wait in this process.
func TestRefusalsLowerTheInFlightLimit(t *testing.T) {
	r := newFixture()
	r.view.Replicas["finder"] = r.view.Replicas["finder"][:1]
	const replicaSlots = 2
	refused, served := 0, 0
	for range 200 {
		var placements []*Placement
		for {
			s, result := r.Place(r.view, r.now, &PlacementRequest{
				Service: "finder",
			})
			if result != Placed {
				break
			}
			s.Flight.MarkSent(r.now)
			placements = append(placements, s)
		}
		for i, s := range placements {
			if i < replicaSlots {
				served++
				r.done(s, usualLatency, OutcomeServed)
			} else {
				refused++
				r.done(s, time.Millisecond, OutcomeRefused)
			}
		}
		r.now = r.now.Add(usualLatency)
	}
	if refused*3 > served {
		t.Fatalf("got %d requests refused and %d served, want at most a third as many refused as served", refused, served)
	}
}

// Guards against sending a cold replica more than its rate when it is the only
// one: this VM stays below its share of what all VMs may send.
func TestColdReplicaGetsThisVMsShareOfTheRate(t *testing.T) {
	r := newFixture()
	entry := r.view.Replicas["finder"][0]
	entry.ColdUntil = r.now.Add(time.Minute)
	r.view.Replicas["finder"] = r.view.Replicas["finder"][:1]
	n := 0
	for range 1000 {
		s, result := r.Place(r.view, r.now, &PlacementRequest{
			Service: "finder",
		})
		if result == Placed {
			n++
			r.done(s, usualLatency, OutcomeServed)
		}
		r.now = r.now.Add(10 * time.Millisecond)
	}
	const seconds = 10
	if limit := int(r.Settings.ColdBurst) * seconds / r.VMCount(); n == 0 || n > limit {
		t.Fatalf("got %d requests in %d s from one of %d VMs at a cold replica, want from 1 to %d", n, seconds, r.VMCount(), limit)
	}
}

func TestDataCentreOutOfServiceGetsNothing(t *testing.T) {
	r := newFixture()
	r.view.OutOfService[home] = true
	for range 10 {
		if s := r.place(t); !s.Remote {
			t.Fatal("got a replica in a data centre that is out of service, want one elsewhere")
		}
	}
}

func TestWaitersAreServedByRankAndDueTime(t *testing.T) {
	r := newFixture()
	var order []string
	wait := func(name string, rank int, due time.Duration) *Waiter {
		w := &Waiter{
			Service: "finder",
			Turn: Turn{
				Priority: rank,
			},
			Due:    r.now.Add(due),
			Notify: func() { order = append(order, name) },
		}
		r.Wait(r.now, w)
		return w
	}
	late := wait("late", 1, time.Second)
	soon := wait("soon", 1, time.Millisecond)
	urgent := wait("urgent", 0, time.Minute)
	for _, w := range []*Waiter{urgent, soon, late} {
		r.done(r.place(t), usualLatency, OutcomeServed)
		r.Leave(w)
	}
	if len(order) != 3 || order[0] != "urgent" || order[1] != "soon" || order[2] != "late" {
		t.Fatalf("got waiters nudged in order %v, want urgent, soon, late", order)
	}
}

// Guards against every VM losing requests of its own to a slow replica when
// there are many VMs with few requests each. The replica is avoided once
// minReporters other VMs report it, and tried again when their reports lapse;
// fewer reports, as after a pause, are not enough.
func TestReplicaReportedByManyVMsIsAvoided(t *testing.T) {
	reporter := newFixture()
	for range 3 {
		s, _ := reporter.Place(reporter.view, reporter.now, &PlacementRequest{
			Service: "finder",
			Skip:    []zlunit.Upstream{"at-nashua", "at-worcester"},
		})
		s.Flight.MarkSent(reporter.now)
		reporter.done(s, 8*usualLatency, OutcomeServed)
		reporter.now = reporter.now.Add(usualLatency)
	}
	reports := reporter.HealthReports(reporter.now)
	if len(reports) != 1 || reports[0].Upstream != "at-lowell" {
		t.Fatalf("got reports %v, want one of at-lowell", reports)
	}
	r := newFixture()
	r.done(r.place(t), usualLatency, OutcomeServed)
	for n := range minReporters {
		if s := r.place(t); s.Remote {
			t.Fatalf("got the replica avoided after reports of %d VMs, want it chosen below %d", n, minReporters)
		} else {
			r.done(s, usualLatency, OutcomeServed)
		}
		r.AddReports(zlunit.VM(fmt.Sprintf("vm%d", n)), reports, r.now)
		r.AddReports(zlunit.VM(fmt.Sprintf("vm%d", n)), reports, r.now)
	}
	if s := r.place(t); !s.Remote {
		t.Fatalf("got the replica chosen after reports of %d VMs, want it avoided", minReporters)
	} else {
		r.done(s, usualLatency, OutcomeServed)
	}
	r.now = r.now.Add(reportLifetime + time.Millisecond)
	if s := r.place(t); s.Remote {
		t.Fatal("got the replica avoided after the reports lapsed, want it chosen")
	}
}

// A VM that does not know how many share the replicas must not use a share of its own:
// no request to cold replicas, and one connection to each replica.
func TestUnknownVMCountGrantsNoShare(t *testing.T) {
	r := newFixture()
	r.SetVMCount(0)
	for _, e := range r.view.Replicas["finder"] {
		e.ColdUntil = r.now.Add(time.Minute)
	}
	w := &PlacementRequest{
		Service: "finder",
	}
	if _, result := r.Place(r.view, r.now, w); result != AtLimit {
		t.Errorf("got result %d of Place with cold replicas only, want AtLimit", result)
	}
	service := r.view.Table.Services["finder"]
	if n := r.ConnectionShare(service); n != 1 || !r.IsScarce(service) {
		t.Errorf("got a share of %d connections, scarce %v, want 1, true", n, r.IsScarce(service))
	}
}

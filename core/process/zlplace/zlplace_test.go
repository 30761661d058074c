package zlplace

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
	usual = 10 * time.Millisecond
	home  = zlunit.DataCentre("lowell")
)

// rig is one service with a replica in each of three data centres.
type rig struct {
	*Placer
	view *zlregistry.View
	now  time.Time
}

func newRig() *rig {
	r := &rig{
		Placer: &Placer{
			Settings: Settings{
				Home:       home,
				ColdFactor: 1.5,
				ColdSlack:  5,
			},
			Random: rand.New(rand.NewPCG(1, 1)).Float64,
		},
		now: time.Unix(1000, 0),
	}
	r.SetVMs(4)
	r.view = &zlregistry.View{
		Table: zltable.New(1, nil, []zltable.Service{{
			Name:        "finder",
			Connections: 24,
		}}, zltable.Limits{}),
		Replicas: map[zlunit.Service][]*zlregistry.Entry{},
		Out:      map[zlunit.DataCentre]bool{},
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

func (r *rig) place(t *testing.T) *Spot {
	t.Helper()
	spot, result := r.Place(r.view, r.now, &Want{
		Service: "finder",
	})
	if result != Placed {
		t.Fatalf("not placed: %d", result)
	}
	spot.Flight.Sent(r.now)
	return spot
}

func (r *rig) done(s *Spot, took time.Duration, outcome Outcome) {
	s.Flight.Done(r.now.Add(took), outcome, usual, 0)
}

func TestHomeIsPreferredWhileItCostsNoLateness(t *testing.T) {
	r := newRig()
	first := r.place(t)
	if first.Far {
		t.Fatal("an idle replica at home was passed over")
	}
	if second := r.place(t); !second.Far {
		t.Fatal("a replica at home with work was preferred to idle ones elsewhere")
	}
}

// Pattern: a pause. The first overdue request marks the replica, its other
// requests are told, and nothing is placed there until something is answered.
func TestPauseIsRecognisedByTheFirstOverdueRequest(t *testing.T) {
	r := newRig()
	told := 0
	var spots []*Spot
	for range 2 {
		spot, _ := r.Place(r.view, r.now, &Want{
			Service: "finder",
			Skip:    []zlunit.Upstream{"at-nashua", "at-worcester"},
			Nudge:   func() { told++ },
		})
		spots = append(spots, spot)
	}
	spots[0].Flight.Overdue(r.now)
	if told != 1 || !spots[1].Flight.ReplicaOverdue() || spots[0].Flight.record.probe != spots[0].Flight {
		t.Fatalf("%d told", told)
	}
	for range 6 {
		if s := r.place(t); !s.Far {
			t.Fatal("placed at a paused replica")
		}
	}
	r.done(spots[0], 150*time.Millisecond, OutcomeServed)
	r.done(spots[1], 150*time.Millisecond, OutcomeServed)
	r.now = r.now.Add(2 * time.Second)
	if s := r.place(t); s.Far {
		t.Fatal("not placed at home after the pause")
	}
}

// Pattern: a data centre is cut off. After strikes against three of its replicas
// the others there are avoided as well, until one answers.
func TestCutDataCentreIsAvoidedAsAWhole(t *testing.T) {
	r := newRig()
	list := r.view.Replicas["finder"]
	for i := range 4 {
		e := *list[1]
		e.ID = zlunit.Upstream(fmt.Sprintf("more-%d", i))
		list = append(list, &e)
	}
	// Only replicas elsewhere are left: five in the one that is cut, one in
	// the other.
	r.view.Replicas["finder"] = list[1:]
	cut := list[1].DataCentre
	struck := 0
	for range 60 {
		s := r.place(t)
		if s.Entry.DataCentre != cut {
			r.done(s, usual, OutcomeServed)
		} else {
			struck++
			s.Flight.Overdue(r.now)
			defer r.done(s, 400*time.Millisecond, OutcomeGivenUp)
		}
		r.now = r.now.Add(usual / 2)
	}
	if struck > strikesMost+1 {
		t.Fatalf("%d requests went to the data centre that is cut", struck)
	}
}

// Pattern: a probe that is given up clears the mark, so that a replica without
// answers is tried again.
func TestProbeThatEndsClearsTheMark(t *testing.T) {
	r := newRig()
	s := r.place(t)
	s.Flight.Overdue(r.now)
	r.done(s, 400*time.Millisecond, OutcomeGivenUp)
	r.now = r.now.Add(3 * time.Second)
	if s := r.place(t); s.Far || s.Overdue {
		t.Fatal("still marked")
	}
}

// drawn counts how many of n requests, gap apart, go to the replica at home, where
// each takes so long and ends so; those of the others take what is usual.
func (r *rig) drawn(t *testing.T, n int, gap, took time.Duration, outcome Outcome) int {
	t.Helper()
	home := 0
	for range n {
		s := r.place(t)
		if s.Far {
			r.done(s, usual, OutcomeServed)
		} else {
			home++
			r.done(s, took, outcome)
		}
		r.now = r.now.Add(gap)
	}
	return home
}

// Pattern: a replica that fails at once has the shortest queue.
func TestFastFailuresDrawNoTraffic(t *testing.T) {
	for _, outcome := range []Outcome{OutcomeFailed, OutcomeRefused} {
		if bad := newRig().drawn(t, 300, usual, time.Millisecond, outcome); bad > 30 {
			t.Errorf("outcome %d: %d of 300 went to the failing replica", outcome, bad)
		}
	}
}

// Pattern: one replica takes eight times as long as the others.
func TestSlowReplicaGetsLittle(t *testing.T) {
	if slow := newRig().drawn(t, 300, usual, 8*usual, OutcomeServed); slow > 40 {
		t.Fatalf("%d of 300 went to the slow replica", slow)
	}
}

// Pattern: the address of a replica that is gone answers for another service;
// each request there counts against that service's second sends.
func TestMovedAddressIsNotAskedAgain(t *testing.T) {
	if asked := newRig().drawn(t, 200, 100*time.Millisecond, time.Millisecond, OutcomeMoved); asked != 1 {
		t.Fatalf("asked %d times in 20 s", asked)
	}
}

// Pattern: a replica refuses what its queue does not hold; the level settles
// where it refuses little, and all VMs' work waits at home instead.
func TestRefusalsLowerTheLevel(t *testing.T) {
	r := newRig()
	r.view.Replicas["finder"] = r.view.Replicas["finder"][:1]
	const bears = 2
	refused, served := 0, 0
	for range 200 {
		var spots []*Spot
		for {
			s, result := r.Place(r.view, r.now, &Want{
				Service: "finder",
			})
			if result != Placed {
				break
			}
			s.Flight.Sent(r.now)
			spots = append(spots, s)
		}
		for i, s := range spots {
			if i < bears {
				served++
				r.done(s, usual, OutcomeServed)
			} else {
				refused++
				r.done(s, time.Millisecond, OutcomeRefused)
			}
		}
		r.now = r.now.Add(usual)
	}
	if refused*3 > served {
		t.Fatalf("%d refused, %d served", refused, served)
	}
}

// Pattern: a cold replica is all there is; the sum over VMs stays below its
// bound.
func TestColdReplicaGetsItsShareOfTheRate(t *testing.T) {
	r := newRig()
	entry := r.view.Replicas["finder"][0]
	entry.ColdUntil = r.now.Add(time.Minute)
	r.view.Replicas["finder"] = r.view.Replicas["finder"][:1]
	n := 0
	for range 1000 {
		s, result := r.Place(r.view, r.now, &Want{
			Service: "finder",
		})
		if result == Placed {
			n++
			r.done(s, usual, OutcomeServed)
		}
		r.now = r.now.Add(10 * time.Millisecond)
	}
	const seconds = 10
	if most := int(r.Settings.ColdSlack) * seconds / r.VMs(); n == 0 || n > most {
		t.Fatalf("%d in %d s from one of %d VMs, at most %d", n, seconds, r.VMs(), most)
	}
}

func TestDataCentreOutOfServiceGetsNothing(t *testing.T) {
	r := newRig()
	r.view.Out[home] = true
	for range 10 {
		if s := r.place(t); !s.Far {
			t.Fatal("placed in a data centre that is out of service")
		}
	}
}

func TestWaitersAreServedByUrgencyAndDueTime(t *testing.T) {
	r := newRig()
	var order []string
	wait := func(name string, rank int, due time.Duration) *Waiter {
		w := &Waiter{
			Service: "finder",
			Rank:    rank,
			Due:     r.now.Add(due),
			Nudge:   func() { order = append(order, name) },
		}
		r.Wait(w)
		return w
	}
	late := wait("late", 1, time.Second)
	soon := wait("soon", 1, time.Millisecond)
	urgent := wait("urgent", 0, time.Minute)
	for _, w := range []*Waiter{urgent, soon, late} {
		r.done(r.place(t), usual, OutcomeServed)
		r.Leave(w)
	}
	if len(order) != 3 || order[0] != "urgent" || order[1] != "soon" || order[2] != "late" {
		t.Fatalf("woken in order %v", order)
	}
}

// Pattern: many VMs with few requests each and a slow replica. It is avoided when
// enough other VMs speak against it, and tried again when they no longer do; a
// few, as after a pause, are not enough.
func TestReplicaAgainstWhichManyVMsSpeak(t *testing.T) {
	bad := newRig()
	for range 3 {
		s, _ := bad.Place(bad.view, bad.now, &Want{
			Service: "finder",
			Skip:    []zlunit.Upstream{"at-nashua", "at-worcester"},
		})
		s.Flight.Sent(bad.now)
		bad.done(s, 8*usual, OutcomeServed)
		bad.now = bad.now.Add(usual)
	}
	said := bad.Opinions(bad.now)
	if len(said) != 1 || said[0].Upstream != "at-lowell" {
		t.Fatalf("opinions %v", said)
	}
	r := newRig()
	r.done(r.place(t), usual, OutcomeServed)
	for n := range reportersLeast {
		if s := r.place(t); s.Far {
			t.Fatalf("avoided after %d reports", n)
		} else {
			r.done(s, usual, OutcomeServed)
		}
		r.Hear(zlunit.VM(fmt.Sprintf("vm%d", n)), said, r.now)
		r.Hear(zlunit.VM(fmt.Sprintf("vm%d", n)), said, r.now)
	}
	if s := r.place(t); !s.Far {
		t.Fatal("not avoided though many VMs speak against it")
	} else {
		r.done(s, usual, OutcomeServed)
	}
	r.now = r.now.Add(reportTime + time.Millisecond)
	if s := r.place(t); s.Far {
		t.Fatal("not tried again")
	}
}

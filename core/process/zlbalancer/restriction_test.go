package zlbalancer

import (
	"testing"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
)

const leavingGrace = 3 * time.Second

// serveRound sends n requests, which the notice function may restrict, and returns how
// many each replica got.
func (r *fixture) serveRound(n int, notice func(*Placement)) map[zlunit.Upstream]int {
	sent := map[zlunit.Upstream]int{}
	for range n {
		placement, result := r.Place(r.view, r.now, &PlacementRequest{
			Service: "finder",
		})
		if result != Placed || !placement.Flight.MaySend(r.now) {
			continue
		}
		sent[placement.Entry.ID]++
		placement.Flight.MarkSent(r.now)
		if notice != nil {
			notice(placement)
		}
		r.done(placement, usualLatency, OutcomeServed)
	}
	return sent
}

// Replays a replica that leaves while the store lists it as ready, under another address
// and after a restored store lists it again: it gets nothing while others can serve.
func TestLeavingReplicaGetsNothing(t *testing.T) {
	r := newFixture()
	r.Settings.LeavingGrace = leavingGrace
	at := "at-" + zlunit.Upstream(home)
	r.serveRound(1, func(p *Placement) {
		p.Flight.MarkLeaving(r.now)
	})
	listed := r.view.Replicas["finder"]
	moved := *listed[0]
	moved.Address = "elsewhere"
	for name, entries := range map[string][]*zlregistry.Entry{
		"same entry":       listed,
		"another address":  {&moved, listed[1], listed[2]},
		"entry lost":       listed[1:],
		"entry came again": listed,
	} {
		r.view.Replicas["finder"] = entries
		r.now = r.now.Add(time.Second)
		r.Forget(r.view, r.now)
		if n := r.serveRound(20, nil)[at]; n > 0 {
			t.Errorf("%s: the leaving replica got %d of 20 requests, want none", name, n)
		}
	}
	restarted := *listed[0]
	restarted.Incarnation++
	r.view.Replicas["finder"] = []*zlregistry.Entry{&restarted, listed[1], listed[2]}
	if n := r.serveRound(20, nil)[at]; n == 0 {
		t.Error("a restarted replica got no request")
	}
}

// A shard all of whose replicas leave is served by them, but not beyond the grace.
func TestLeavingReplicasServeForTheGraceOnly(t *testing.T) {
	r := newFixture()
	r.Settings.LeavingGrace = leavingGrace
	r.serveRound(3, func(p *Placement) {
		p.Flight.MarkLeaving(r.now)
	})
	for range 2 {
		r.serveRound(3, func(p *Placement) {
			p.Flight.MarkLeaving(r.now)
		})
	}
	first := r.now
	r.now = first.Add(leavingGrace - time.Millisecond)
	if sent := r.serveRound(5, nil); len(sent) == 0 {
		t.Error("no replica served within the grace")
	}
	r.now = first.Add(leavingGrace)
	if sent := r.serveRound(5, nil); len(sent) > 0 {
		t.Errorf("got requests at %v after the grace, want none", sent)
	}
	if a := r.Available(r.view, r.now, "finder"); a.Replicas != 0 || !a.RetryAt.IsZero() {
		t.Errorf("got availability %+v, want none ever", a)
	}
}

// Replays replicas that shed load for some seconds, one of them and then all: each gets
// nothing until its time is over, and the first request then goes alone.
func TestBackoffIsKeptByAllRequests(t *testing.T) {
	const wait = 4 * time.Second
	r := newFixture()
	refuse := func(p *Placement) {
		p.Flight.BackOff(r.now, wait)
	}
	placed := r.place(t)
	refuse(placed)
	if placed.Flight.MaySend(r.now) {
		t.Error("a request that was placed before may still be sent")
	}
	r.done(placed, usualLatency, OutcomeUnreached)
	if sent := r.serveRound(40, nil); sent["at-lowell"] > 0 || sent["at-nashua"]+sent["at-worcester"] != 40 {
		t.Errorf("got requests at %v, want all 40 at the two other replicas", sent)
	}
	r.serveRound(1, refuse)
	r.serveRound(1, refuse)
	began := r.now
	for ; r.now.Before(began.Add(wait)); r.now = r.now.Add(100 * time.Millisecond) {
		if sent := r.serveRound(5, nil); len(sent) > 0 {
			t.Fatalf("%v after the refusals: got requests at %v, want none", r.now.Sub(began), sent)
		}
	}
	if _, result := r.Place(r.view, began, &PlacementRequest{
		Service: "finder",
	}); result != BackingOff {
		t.Errorf("got result %d of Place, want BackingOff", result)
	}
	a := r.Available(r.view, began, "finder")
	if until := a.RetryAt.Sub(began); a.Replicas != 0 || until < wait || until > wait+wait/5 {
		t.Errorf("got availability %+v, want a return after %v", a, wait)
	}
	r.now = began.Add(2 * wait)
	list := make([]*Placement, 0, 3)
	for range 6 {
		if p, result := r.Place(r.view, r.now, &PlacementRequest{
			Service: "finder",
		}); result == Placed {
			list = append(list, p)
		}
	}
	if len(list) != 3 {
		t.Errorf("got %d requests in flight right after the back-off, want one for each of 3 replicas", len(list))
	}
}

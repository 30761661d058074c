package zlspillover

import (
	"testing"
	"time"

	"zinnialock/core/process/zlunit"
)

const (
	ms   = time.Millisecond
	near = zlunit.DataCentre("nashua")
	far  = zlunit.DataCentre("worcester")
)

// fixture sends 10 requests/s to a service with 20 ms of work, each first at home and
// then at the other data centres.
type fixture struct {
	*Controller
	now     time.Time
	changes []Change
	// took is the time to a reply, and bytes the size of one.
	took  map[zlunit.DataCentre]time.Duration
	bytes int
}

func newFixture() *fixture {
	x := &fixture{now: time.Unix(1000, 0)}
	x.Controller = &Controller{
		Home:     "lowell",
		OnChange: func(c Change) { x.changes = append(x.changes, c) },
	}
	x.took = map[zlunit.DataCentre]time.Duration{
		"lowell": 20 * ms,
		near:     23 * ms,
		far:      23 * ms,
	}
	x.run(10*time.Second, near, far)
	return x
}

// run lets time pass, with the remotes that can serve.
func (x *fixture) run(d time.Duration, remotes ...zlunit.DataCentre) {
	for end := x.now.Add(d); x.now.Before(end); x.now = x.now.Add(100 * ms) {
		x.Choose(x.now, &Query{
			Service: "finder",
			Remotes: remotes,
		})
		for dc, took := range x.took {
			x.ObserveServed(x.now, "finder", dc, took, x.bytes)
		}
	}
}

// share returns the share, and checks the preferred data centre.
func (x *fixture) share(t *testing.T, preferred zlunit.DataCentre) float64 {
	t.Helper()
	share, dc := x.Share("finder")
	if dc != preferred {
		t.Errorf("got %q preferred at share %.2f, want %q", dc, share, preferred)
	}
	return share
}

// Guards against all or nothing: a greater shortage sends more, but not everything, to
// the data centre with free capacity and not to one that is short itself; and the log
// gets a line at the begin and the end, not for each step.
func TestShareFollowsShortage(t *testing.T) {
	x := newFixture()
	x.took["lowell"] = 32 * ms
	x.took[far] = 60 * ms
	x.run(3*time.Second, near, far)
	small := x.share(t, near)
	x.took["lowell"] = 40 * ms
	x.run(3*time.Second, near, far)
	if large := x.share(t, near); small < 0.05 || large < 2*small || large >= maxShare {
		t.Errorf("got shares %.2f and %.2f, want the greater one for the greater shortage", small, large)
	}
	x.took["lowell"] = 20 * ms
	x.run(20*time.Second, near, far)
	if share := x.share(t, ""); share != 0 || x.changes[0].Kind != ChangeBegins || x.changes[len(x.changes)-1].Kind != ChangeCeases || len(x.changes) > 6 {
		t.Errorf("got share %.2f after the shortage and changes %v, want 0, one begin, one end and few between", share, x.changes)
	}
}

// Guards against traffic to a data centre that refuses, or without a replica that can
// serve.
func TestNothingIsSentWhereNothingCanServe(t *testing.T) {
	x := newFixture()
	x.took["lowell"] = 40 * ms
	delete(x.took, near)
	for range 20 {
		x.ObserveRefused(x.now, "finder", near)
		x.run(100*ms, near)
	}
	if share := x.share(t, ""); share != 0 {
		t.Errorf("the other data centre refuses: got share %.2f, want 0", share)
	}
	x.run(8*time.Second, far)
	x.share(t, far)
	x.run(200 * ms)
	if share := x.share(t, ""); share != 0 {
		t.Errorf("no data centre can serve: got share %.2f, want 0", share)
	}
}

// Guards against large responses that leave for a small gain, and against their price
// outweighing a shortage.
func TestBytesBreakTies(t *testing.T) {
	for here, wantLeaves := range map[time.Duration]bool{31 * ms: false, 44 * ms: true} {
		x := newFixture()
		x.bytes = 8 << 20
		x.run(5*time.Second, far)
		x.took["lowell"] = here
		x.run(4*time.Second, far)
		large, _ := x.Share("finder")
		x.bytes = 0
		x.run(4*time.Second, far)
		if small, _ := x.Share("finder"); (large > 0) != wantLeaves || small == 0 {
			t.Errorf("%v here: got shares %.2f large and %.2f small, want the large to leave %v and the small ones", here, large, small, wantLeaves)
		}
	}
}

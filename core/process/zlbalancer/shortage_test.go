package zlbalancer

import (
	"slices"
	"testing"
	"time"

	"zinnialock/core/process/zlfairshare"
	"zinnialock/core/process/zlunit"
)

// hotLedger returns a ledger of ten organisations, of which one uses ten times as much as each
// of the others.
func hotLedger(now time.Time) *zlfairshare.Ledger {
	l := &zlfairshare.Ledger{}
	for _, name := range []zlunit.Organisation{"b", "c", "d", "e", "f", "g", "h", "i", "small"} {
		l.Account(name).Use(now, 10)
	}
	l.Account("hot").Use(now, 100)
	return l
}

// Guards against a hot organisation's returning callers that go before the first attempts of
// others, and against another order in a deployment without organisations.
func TestWaitersAreServedByShare(t *testing.T) {
	r := newFixture()
	l := hotLedger(r.now)
	for _, tt := range []struct {
		name     string
		accounts map[string]*zlfairshare.Account
		want     []string
	}{
		{"without organisations", nil, []string{"urgent", "hot", "late", "small"}},
		{"with organisations", map[string]*zlfairshare.Account{"hot": l.Account("hot"), "urgent": l.Account("hot"), "small": l.Account("small"), "late": l.Account("b")}, []string{"urgent", "late", "small", "hot"}},
	} {
		var got []string
		waiters := map[string]*Waiter{}
		for i, name := range []string{"small", "hot", "late", "urgent"} {
			w := &Waiter{
				Service: "finder",
				Turn:    Turn{Priority: min(1, 3-i), Account: tt.accounts[name], Returning: name == "hot"},
				Due:     r.now.Add(time.Duration(10-i) * time.Second),
				Notify:  func() { got = append(got, name) },
			}
			waiters[name] = w
			r.Wait(r.now, w)
		}
		if !r.MustWait(r.view, r.now, "finder", &waiters["hot"].Turn) || r.MustWait(r.view, r.now, "finder", &waiters["urgent"].Turn) {
			t.Errorf("%s: got a wrong answer to who must wait", tt.name)
		}
		for range waiters {
			r.done(r.place(t), usualLatency, OutcomeServed)
			r.Leave(waiters[got[len(got)-1]])
		}
		if !slices.Equal(got, tt.want) {
			t.Errorf("%s: got order %v, want %v", tt.name, got, tt.want)
		}
	}
}

// Guards against a hot organisation that uses all places at a VM where no others wait, and
// against one report, as after a pause, that takes places from it.
func TestShortageReportedByOthersLimitsPlaces(t *testing.T) {
	r := newFixture()
	hot := &Turn{Account: hotLedger(r.now).Account("hot")}
	place := func() (n int) {
		for {
			p, result := r.Place(r.view, r.now, &PlacementRequest{Service: "finder", Turn: hot})
			if result != Placed {
				return n
			}
			n++
			defer p.Flight.Done(r.now, OutcomeGivenUp, 0, 0)
		}
	}
	all := place()
	r.AddShortages([]zlunit.Service{"finder", "unknown"}, r.now)
	if n := place(); n != all {
		t.Errorf("got %d places after one report, want all %d", n, all)
	}
	r.AddShortages([]zlunit.Service{"finder"}, r.now.Add(toldMemory/4))
	if n := place(); n >= all || n == 0 {
		t.Errorf("got %d places after two reports, want some of %d", n, all)
	}
	if r.now = r.now.Add(2 * toldMemory); place() != all {
		t.Error("got fewer places after the reports lapsed, want all")
	}
	if list := r.ShortServices(r.now); len(list) > 0 {
		t.Errorf("got %v reported, want nothing that only others found", list)
	}
}

// Guards against a waiter of a hot organisation with the better priority that holds back the
// others, although it may use none of the free places, and is not woken when it may again.
func TestWaiterAtItsLimitOfPlacesHoldsBackNobody(t *testing.T) {
	r := newFixture()
	l := hotLedger(r.now)
	turns := map[string]*Turn{"hot": {Account: l.Account("hot")}, "small": {Account: l.Account("small"), Priority: 1}}
	woken := map[string]int{}
	waiters := map[string]*Waiter{}
	request := func(name string) *PlacementRequest {
		return &PlacementRequest{Service: "finder", Turn: turns[name], Waiter: waiters[name]}
	}
	r.queueFor("finder").markShort(r.now)
	var placed []*Placement
	for {
		p, result := r.Place(r.view, r.now, request("hot"))
		if result != Placed {
			break
		}
		placed = append(placed, p)
	}
	other, _ := r.Place(r.view, r.now, request("small"))
	for name, turn := range turns {
		waiters[name] = &Waiter{Service: "finder", Turn: *turn, Notify: func() { woken[name]++ }}
		r.Wait(r.now, waiters[name])
	}
	if r.MustWait(r.view, r.now, "finder", turns["small"]) || !r.HasCapacity(r.view, r.now, request("small")) || r.HasCapacity(r.view, r.now, request("hot")) {
		t.Error("got free places kept for a waiter that may use none")
	}
	for i, p := range []*Placement{other, placed[0]} {
		p.Flight.Done(r.now, OutcomeGivenUp, 0, 0)
		if woken["small"] != 1 || woken["hot"] != i {
			t.Errorf("got woken %v after %d places became free", woken, i+1)
		}
	}
}

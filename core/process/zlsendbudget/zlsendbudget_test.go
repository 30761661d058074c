package zlsendbudget

import (
	"flag"
	"os"
	"testing"
	"time"

	"zinnialock/core/process/zlunit"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

const length = 10 * time.Second

// Guards against more second sends in any window than the share of the
// requests of that window, or of one slice more that ends with it, plus the
// burst allowance.
func TestAnyWindowStaysWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		began := time.Unix(1000, 0)
		w := &Window{
			Length:     length,
			Share:      0.18,
			Burst:      5,
			BurstSince: began.Add(-length),
		}
		var requests, secondSends []time.Time
		now := began
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				for range rapid.IntRange(1, 30).Draw(t, "n") {
					w.Request(now)
					requests = append(requests, now)
				}
				continue
			}
			for w.Spend(now, 0) {
				secondSends = append(secondSends, now)
			}
		}
		for _, end := range secondSends {
			// The count may cover one slice more than the window.
			from := end.Add(-length - length/slices)
			allowed := 0.18*float64(within(requests, from, end)) + 5
			if n := within(secondSends, end.Add(-length), end); float64(n) > allowed {
				t.Fatalf("got %d second sends in a window, want at most %.1f", n, allowed)
			}
		}
	})
}

func within(list []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range list {
		if !at.Before(from) && !at.After(to) {
			n++
		}
	}
	return n
}

// Guards against a process that uses a full burst allowance after each
// restart: it does not know what its earlier incarnation used.
func TestBurstAllowanceGrowsFromTheStart(t *testing.T) {
	began := time.Unix(1000, 0)
	w := &Window{
		Length:     length,
		Burst:      10,
		BurstSince: began,
	}
	if w.Spend(began, 0) {
		t.Fatal("got a second send allowed right after the start, want none")
	}
	n := 0
	for w.Spend(began.Add(length/2), 0) {
		n++
	}
	if n != 5 {
		t.Fatalf("got %d second sends allowed after half a window, want 5 of 10", n)
	}
}

// Guards against a budget that expires in calm times: when many replicas turn
// slow, all that was not used in the last window is available at once.
func TestUnusedBudgetIsAvailableAtOnce(t *testing.T) {
	began := time.Unix(1000, 0)
	w := &Window{
		Length:     length,
		Share:      0.2,
		BurstSince: began,
	}
	now := began
	for range 300 {
		w.Request(now)
		now = now.Add(30 * time.Millisecond)
	}
	n := 0
	for w.Spend(now, 0) {
		n++
	}
	if n != 60 {
		t.Fatalf("got %d second sends allowed at once after 300 requests, want 60", n)
	}
	if w.Spend(now.Add(2*length), 0) {
		t.Fatal("got a second send allowed by the requests of a window that has passed, want none")
	}
}

// Guards against a reserve that is taken from the first reserveThreshold second
// sends: with 28 allowed, half of the other 20 are kept.
func TestReserveIsKeptBeyondTheThreshold(t *testing.T) {
	began := time.Unix(1000, 0)
	w := &Window{
		Length:     length,
		Burst:      28,
		BurstSince: began.Add(-length),
	}
	n := 0
	for w.Spend(began, 0.5) {
		n++
	}
	w.Refund(began)
	if n != 18 || w.Left(began) != 11 {
		t.Fatalf("got %d second sends with a reserve of half of 20, and %.0f left after one was returned, want 18 and 11", n, w.Left(began))
	}
}

// Guards against an organisation that uses up the second sends of the others, and against
// shares that leave a part of the budget unused by one that is alone.
func TestShortBudgetIsSharedByOrganisation(t *testing.T) {
	began := time.Unix(1000, 0)
	w := &Window{
		Length:     length,
		Burst:      20,
		BurstSince: began.Add(-length),
	}
	spend := func(o zlunit.Organisation, share float64, at time.Time) (n int) {
		for w.SpendOf(at, 0, o, share) {
			n++
		}
		return n
	}
	if n := spend("hot", 0.25, began); n != 10 {
		t.Errorf("got %d second sends of the hot organisation, want half of the budget", n)
	}
	if n := spend("small", 0.01, began); n != 1 {
		t.Errorf("got %d second sends of a small organisation, want 1", n)
	}
	if n := spend("large", 0.3, began); n != 6 {
		t.Errorf("got %d second sends of a large organisation, want its share", n)
	}
	w.RefundOf(began, "large")
	if n := spend("large", 0.3, began); n != 1 {
		t.Errorf("got %d second sends after a refund, want 1", n)
	}
	if n := spend("hot", 0.25, began.Add(2*length)); n != 10 || len(w.byOrganisation) != 1 {
		t.Errorf("got %d second sends and %d organisations in the next window, want 10, 1", n, len(w.byOrganisation))
	}
}

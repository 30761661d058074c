package zlspend

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

const length = 10 * time.Second

// In any window, second sends stay within the share of the requests of that
// window or one that ends with it, and the slack.
func TestAnyWindowKeepsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		began := time.Unix(1000, 0)
		w := &Window{
			Length: length,
			Share:  0.18,
			Slack:  5,
			Since:  began.Add(-length),
		}
		var requests, extras []time.Time
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
			for w.Take(now, 0) {
				extras = append(extras, now)
			}
		}
		for _, end := range extras {
			// The count may reach one slice further back than the window.
			from := end.Add(-length - length/slices)
			most := 0.18*float64(within(requests, from, end)) + 5
			if n := within(extras, end.Add(-length), end); float64(n) > most {
				t.Fatalf("%d second sends in a window that allows %.1f", n, most)
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

// A process that was just started does not know what its former life spent.
func TestSlackGrowsFromTheStart(t *testing.T) {
	began := time.Unix(1000, 0)
	w := &Window{
		Length: length,
		Slack:  10,
		Since:  began,
	}
	if w.Take(began, 0) {
		t.Fatal("a second send right after the start")
	}
	n := 0
	for w.Take(began.Add(length/2), 0) {
		n++
	}
	if n != 5 {
		t.Fatalf("%d second sends after half a window, want 5 of 10", n)
	}
}

// Pattern: many replicas turn slow after a calm time; what was not spent is
// there at once.
func TestWhatWasNotSpentIsThereAtOnce(t *testing.T) {
	began := time.Unix(1000, 0)
	w := &Window{
		Length: length,
		Share:  0.2,
		Since:  began,
	}
	now := began
	for range 300 {
		w.Request(now)
		now = now.Add(30 * time.Millisecond)
	}
	n := 0
	for w.Take(now, 0) {
		n++
	}
	if n != 60 {
		t.Fatalf("%d second sends at once for 300 requests, want 60", n)
	}
	if w.Take(now.Add(2*length), 0) {
		t.Fatal("the requests of a window that has passed still count")
	}
}

func TestReserve(t *testing.T) {
	began := time.Unix(1000, 0)
	w := &Window{
		Length: length,
		Slack:  28,
		Since:  began.Add(-length),
	}
	n := 0
	for w.Take(began, 0.5) {
		n++
	}
	w.Return(began)
	if n != 18 || w.Left(began) != 11 {
		t.Fatalf("%d taken with half of 20 reserved, %.0f left", n, w.Left(began))
	}
}

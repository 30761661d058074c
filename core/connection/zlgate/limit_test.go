package zlgate

import (
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
)

// closedLoop keeps a gate full for a time and returns the completions a
// second. The upstream takes service(n) for a request that arrives as the n-th
// in flight.
func closedLoop(slots zlunit.Slots, warmUp, measure time.Duration, service func(n int) time.Duration) float64 {
	g := &Gate{
		Timer: &zltimer.Service{},
	}
	g.SetLimits(Limits{
		Slots:       slots,
		Cold:        1,
		Connections: 100,
	})
	c := g.Dial()
	c.Opened()
	c.Prove("p")
	type running struct {
		r    *request
		ends time.Time
	}
	var open []running
	start := time.Now()
	done := 0
	for time.Since(start) < warmUp+measure {
		for {
			r := &request{}
			r.ticket.Deadline = time.Now().Add(time.Hour)
			r.ticket.Entrant = r
			g.Enter(&r.ticket)
			if !r.granted {
				g.Leave(&r.ticket)
				break
			}
			g.Start(&r.ticket, c)
			open = append(open, running{
				r:    r,
				ends: time.Now().Add(service(len(open) + 1)),
			})
		}
		first := 0
		for i := range open {
			if open[i].ends.Before(open[first].ends) {
				first = i
			}
		}
		time.Sleep(time.Until(open[first].ends))
		g.End(&open[first].r.ticket, OutcomeDone, "p")
		open = append(open[:first], open[first+1:]...)
		if time.Since(start) > warmUp {
			done++
		}
	}
	return float64(done) / measure.Seconds()
}

// TestLevelIsFound has an upstream that claims more slots than it has: beyond
// four in flight each takes longer by the square of the excess.
func TestLevelIsFound(t *testing.T) {
	const base = 10 * time.Millisecond
	thrash := func(n int) time.Duration {
		over := max(float64(n)/4, 1)
		return time.Duration(float64(base) * over * over)
	}
	synctest.Test(t, func(t *testing.T) {
		found := closedLoop(16, 15*time.Second, 10*time.Second, thrash)
		best := 4 / base.Seconds()
		fixed := 16 / thrash(16).Seconds()
		t.Logf("found %.0f/s, best %.0f/s, at all slots %.0f/s", found, best, fixed)
		if found < fixed*2 {
			t.Fatalf("found %.0f/s, at all slots %.0f/s", found, fixed)
		}
	})
}

// TestLevelReachesAllSlots has upstreams that are as good as their word, with
// service times that vary much.
func TestLevelReachesAllSlots(t *testing.T) {
	shapes := map[string]func(*rand.Rand) float64{
		"exponential": func(r *rand.Rand) float64 {
			return r.ExpFloat64()
		},
		"lognormal": func(r *rand.Rand) float64 {
			return math.Exp(r.NormFloat64() - 0.5)
		},
		"one in five ten times as long": func(r *rand.Rand) float64 {
			if r.IntN(5) == 0 {
				return 10
			}
			return 1
		},
	}
	for name, shape := range shapes {
		for _, slots := range []zlunit.Slots{1, 3, 12} {
			synctest.Test(t, func(t *testing.T) {
				r := rand.New(rand.NewPCG(1, 1))
				sum, n := 0.0, 0
				got := closedLoop(slots, 10*time.Second, 10*time.Second, func(int) time.Duration {
					x := 0.010 * shape(r)
					sum += x
					n++
					return time.Duration(x * float64(time.Second))
				})
				want := float64(slots) / (sum / float64(n))
				t.Logf("%s, %d slots: %.0f/s of %.0f/s", name, slots, got, want)
				if got < 0.9*want {
					t.Errorf("%s, %d slots: %.0f/s, want nine tenths of %.0f/s", name, slots, got, want)
				}
			})
		}
	}
}

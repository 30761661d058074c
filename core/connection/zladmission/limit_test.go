package zladmission

import (
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
)

// closedLoop keeps a gate at its limit for warmUp and then measure, and
// returns the completions per second of the latter. The upstream takes
// service(n) for a request that arrives as the n-th in flight.
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
	c.MarkProven("p")
	type running struct {
		r      *request
		endsAt time.Time
	}
	var open []running
	start := time.Now()
	done := 0
	for time.Since(start) < warmUp+measure {
		for {
			r := &request{}
			r.ticket.Deadline = time.Now().Add(time.Hour)
			r.ticket.Waiter = r
			g.Enter(&r.ticket)
			if !r.granted {
				g.Leave(&r.ticket)
				break
			}
			g.Start(&r.ticket, c)
			open = append(open, running{
				r:      r,
				endsAt: time.Now().Add(service(len(open) + 1)),
			})
		}
		first := 0
		for i := range open {
			if open[i].endsAt.Before(open[first].endsAt) {
				first = i
			}
		}
		time.Sleep(time.Until(open[first].endsAt))
		g.End(&open[first].r.ticket, OutcomeDone, "p")
		open = append(open[:first], open[first+1:]...)
		if time.Since(start) > warmUp {
			done++
		}
	}
	return float64(done) / measure.Seconds()
}

// Guards against overloading an upstream that claims more slots than it can
// use: beyond four in flight each request takes longer by the square of the
// excess. The gate must find a limit that serves at least twice as much as all
// slots in use.
func TestInFlightLimitSettlesBelowOverload(t *testing.T) {
	const base = 10 * time.Millisecond
	overloaded := func(n int) time.Duration {
		excess := max(float64(n)/4, 1)
		return time.Duration(float64(base) * excess * excess)
	}
	synctest.Test(t, func(t *testing.T) {
		got := closedLoop(16, 15*time.Second, 10*time.Second, overloaded)
		best := 4 / base.Seconds()
		allSlots := 16 / overloaded(16).Seconds()
		t.Logf("got %.0f/s, best %.0f/s, with all slots in use %.0f/s", got, best, allSlots)
		if got < allSlots*2 {
			t.Fatalf("got %.0f/s, want at least twice the %.0f/s with all slots in use", got, allSlots)
		}
	})
}

// Guards against a limit that stays too low since service times vary: the
// upstreams can use all their slots, and the gate must reach nine tenths of
// their throughput.
func TestInFlightLimitReachesAllSlots(t *testing.T) {
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
				t.Logf("%s, %d slots: got %.0f/s of %.0f/s", name, slots, got, want)
				if got < 0.9*want {
					t.Errorf("%s, %d slots: got %.0f/s, want at least nine tenths of %.0f/s", name, slots, got, want)
				}
			})
		}
	}
}

package zlplatform

import (
	"testing"
	"time"
)

// A lost reply is no lost platform; an outage is told once, and its end with how long
// it took.
func TestOutagesAreToldOnce(t *testing.T) {
	var r reach
	at := func(seconds float64) time.Time {
		return time.Unix(0, int64((1000+seconds)*float64(time.Second)))
	}
	for _, step := range []struct {
		at    float64
		out   bool
		turns bool
		took  time.Duration
	}{
		{at: 0},
		{at: 0.5, out: true},
		{at: 0.6},
		{at: 1.7, out: true, turns: true},
		{at: 2.7, out: true},
		{at: 9.7, out: true},
		{at: 11.7, turns: true, took: 10 * time.Second},
		{at: 11.8},
		{at: 11.9, out: true},
	} {
		got, turns := r.turn(at(step.at), step.out)
		if turns != step.turns || got.Out != step.took {
			t.Errorf("at %v s: %+v, %v", step.at, got, turns)
		}
	}
}

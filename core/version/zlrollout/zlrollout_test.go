package zlrollout

import (
	"testing"
	"testing/synctest"
	"time"
)

// part of the responses of the target that fail, from a time on.
func failing(f *fleet, share float64, when func(elapsed time.Duration, route int, load float64) bool) {
	f.respond = func(g Group, route int, load float64) (Outcome, time.Duration) {
		if g == GroupTarget && when(time.Since(f.start), route, load) && f.random.Float64() < share {
			return OutcomeFailed, 0
		}
		return OutcomeGood, 0
	}
}

func always(time.Duration, int, float64) bool {
	return true
}

// Each case guards against a wrong or late outcome of an order of 12 s in a fleet of 70 VMs
// with 100 requests a second, or against too many requests at a bad build.
func TestOutcomes(t *testing.T) {
	for _, tc := range []struct {
		name  string
		vms   int
		setup func(f *fleet)
		want  State
	}{
		{
			name:  "good",
			setup: func(*fleet) {},
			want:  StateCompleted,
		},
		{
			name:  "bad at once",
			setup: func(f *fleet) { failing(f, 0.4, always) },
			want:  StateRolledBack,
		},
		{
			name: "bad later",
			setup: func(f *fleet) {
				failing(f, 0.6, func(elapsed time.Duration, _ int, _ float64) bool {
					return elapsed > 6*time.Second
				})
			},
			want: StateRolledBack,
		},
		{
			name: "bad under load only",
			setup: func(f *fleet) {
				failing(f, 0.8, func(_ time.Duration, _ int, load float64) bool {
					return load > 3.5
				})
			},
			want: StateRolledBack,
		},
		{
			name: "bad on one route only",
			setup: func(f *fleet) {
				failing(f, 0.9, func(_ time.Duration, route int, _ float64) bool {
					return route == 2
				})
			},
			want: StateRolledBack,
		},
		{
			name: "slow only",
			setup: func(f *fleet) {
				f.respond = func(g Group, _ int, _ float64) (Outcome, time.Duration) {
					if g == GroupTarget && f.random.Float64() < 0.6 {
						return OutcomeGood, 60 * time.Millisecond
					}
					return OutcomeGood, 0
				}
			},
			want: StateRolledBack,
		},
		{
			name:  "good with few requests",
			setup: func(f *fleet) { f.rate = 1 },
			want:  StateCompleted,
		},
		{
			name: "good during a burst with a slow shard",
			setup: func(f *fleet) {
				f.respond = func(Group, int, float64) (Outcome, time.Duration) {
					elapsed := time.Since(f.start)
					burst := elapsed > 4*time.Second && elapsed < 7500*time.Millisecond
					switch x := f.random.Float64(); {
					case burst && x < 0.2, x < 0.01:
						return OutcomeFailed, 0
					case burst && x < 0.6:
						return OutcomeGood, 80 * time.Millisecond
					}
					return OutcomeGood, 0
				}
			},
			want: StateCompleted,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(10) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(seed, 70, 20, 20)
					tc.setup(f)
					f.run(5*time.Second, true)
					f.put(newOne, 1)
					f.total, f.target, f.bad = 0, 0, 0
					f.run(f.duration+6*time.Second, true)
					t.Logf("seed %d: total %d target %d bad %d late %d stopped %d writes %d %v at %v", seed, f.total, f.target, f.bad, f.late, f.stopped, f.writes, f.outcomes, f.endedAt)
					if len(f.outcomes) != 1 || f.outcomes[0] != tc.want {
						t.Errorf("seed %d: got outcomes %v, want %v", seed, f.outcomes, tc.want)
					}
				})
			}
		})
	}
}

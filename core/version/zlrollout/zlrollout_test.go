package zlrollout

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zlunit"

	"pgregory.net/rapid"
)

// failing makes a part of the target's responses fail under a condition.
func failing(f *fleet, share float64, when func(elapsed time.Duration, route int, load float64) bool) {
	f.isBad = true
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
				f.isBad = true
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
			for seed := range uint64(3) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(seed, 70, 20, 20)
					tc.setup(f)
					f.run(5*time.Second, true)
					f.order()
					f.run(f.duration+6*time.Second, true)
					f.check(t, tc.want)
					if f.endedAt > f.duration*95/100 {
						t.Errorf("seed %d: got the outcome after %v", seed, f.endedAt)
					}
				})
			}
		})
	}
}

// check compares the outcomes in the store and at each VM, and what the target got.
func (f *fleet) check(t rapid.TB, want ...State) {
	t.Helper()
	if !slices.Equal(f.outcomes, want) {
		t.Errorf("got outcomes %v, want %v", f.outcomes, want)
	}
	if len(want) > 0 {
		for _, v := range f.vms {
			if s := v.service(docs); !v.dead && s.order != nil && s.order.outcome != want[len(want)-1] {
				t.Errorf("%s: got outcome %q, want %q", v.name, s.order.outcome, want[len(want)-1])
			}
		}
	}
	f.checkBounds(t)
}

// checkBounds checks what must hold for a bad target, and that stopped replicas get nothing.
func (f *fleet) checkBounds(t rapid.TB) {
	t.Helper()
	if f.stopped > 0 {
		t.Errorf("got %d requests at old replicas after completion", f.stopped)
	}
	if f.late > 0 {
		t.Errorf("got %d requests at the target later than 5 s after the 50th bad response", f.late)
	}
	if f.isBad && float64(f.target) > 0.1*float64(f.total)+50 {
		t.Errorf("got %d of %d requests at a bad target", f.target, f.total)
	}
}

// Each case guards against two outcomes, a lost one or a late stop when VMs, links or the
// store fail halfway.
func TestFaults(t *testing.T) {
	for _, tc := range []struct {
		name string
		bad  bool
		run  func(t *testing.T, f *fleet)
		want []State
	}{
		{
			name: "two deciders race with different outcomes",
			run: func(_ *testing.T, f *fleet) {
				f.dropWrite = func(_ *vm, w *WriteStatus) bool {
					if w.Status.State == StateCompleted {
						v := f.decider(1)
						v.handleVerdict(&Verdict{
							Order: w.Order.ID.Key(),
							State: StateRolledBack,
						}, time.Now())
					}
					return false
				}
				f.run(f.duration+4*time.Second, true)
			},
			want: []State{StateCompleted},
		},
		{
			name: "the decider dies between decision and write",
			bad:  true,
			run: func(_ *testing.T, f *fleet) {
				f.dropWrite = func(v *vm, w *WriteStatus) bool {
					v.dead = v.dead || (w.Status.State == StateRolledBack && v == f.decider(0))
					return v.dead
				}
				f.run(f.duration, true)
			},
			want: []State{StateRolledBack},
		},
		{
			name: "the first two deciders are dead from the start",
			bad:  true,
			run: func(_ *testing.T, f *fleet) {
				f.decider(0).dead = true
				f.decider(1).dead = true
				f.run(f.duration, true)
			},
			want: []State{StateRolledBack},
		},
		{
			name: "a decider dies before completion",
			run: func(t *testing.T, f *fleet) {
				f.run(9*time.Second, true)
				f.decider(0).dead = true
				f.run(5*time.Second, true)
				if f.endedAt > f.duration {
					t.Errorf("got the outcome after %v", f.endedAt)
				}
			},
			want: []State{StateCompleted},
		},
		{
			name: "the store is away when the verdict falls",
			bad:  true,
			run: func(t *testing.T, f *fleet) {
				f.run(1500*time.Millisecond, true)
				f.away = true
				f.run(5*time.Second, true)
				before := f.target
				f.run(4*time.Second, true)
				if f.target > before {
					t.Errorf("got %d requests at the target after the verdict", f.target-before)
				}
				f.away = false
				f.set(f.object)
				f.run(4*time.Second, true)
			},
			want: []State{StateRolledBack},
		},
		{
			name: "the share does not grow while the store is away",
			run: func(t *testing.T, f *fleet) {
				f.run(4*time.Second, true)
				f.away = true
				f.run(f.duration, true)
				for _, v := range f.vms {
					if share := v.service(docs).order.appliedShare(); share > smallShare {
						t.Errorf("%s: got share %v", v.name, share)
					}
				}
			},
		},
		{
			name: "the store goes back to before the roll-back and the decider restarts",
			bad:  true,
			run: func(t *testing.T, f *fleet) {
				f.run(f.duration, true)
				f.goBack()
				f.boot(f.decider(0))
				before := f.target
				f.run(6*time.Second, true)
				if f.target > before+5 {
					t.Errorf("got %d requests at the target after the store went back", f.target-before)
				}
			},
			want: []State{StateRolledBack, StateRolledBack},
		},
		{
			name: "the store goes back to before the completion",
			run: func(_ *testing.T, f *fleet) {
				f.run(f.duration, true)
				f.goBack()
				f.boot(f.decider(0))
				f.run(6*time.Second, true)
			},
			want: []State{StateCompleted, StateCompleted},
		},
		{
			name: "the order is changed and changed back",
			run: func(_ *testing.T, f *fleet) {
				f.run(5*time.Second, true)
				f.put("v3")
				f.run(3*time.Second, true)
				f.put(newOne)
				f.run(f.duration, true)
			},
			want: []State{StateCompleted},
		},
		{
			name: "the same target is ordered again after its roll-back",
			bad:  true,
			run: func(_ *testing.T, f *fleet) {
				f.run(f.duration, true)
				f.put("v3")
				f.run(3*time.Second, true)
				f.respond, f.isBad = good, false
				f.addReplicas(newOne, 20)
				f.put(newOne)
				f.run(f.duration, true)
			},
			want: []State{StateRolledBack, StateCompleted},
		},
		{
			name: "the order is withdrawn",
			run: func(t *testing.T, f *fleet) {
				f.run(5*time.Second, true)
				f.set(nil)
				f.run(2*time.Second, true)
				before := f.target
				f.run(10*time.Second, true)
				if f.target > before {
					t.Errorf("got %d requests at the target without an order", f.target-before)
				}
			},
		},
		{
			name: "the target has no replicas",
			run: func(t *testing.T, f *fleet) {
				f.removeReplicas(func(b zlunit.Build) bool { return b == newOne })
				f.run(f.duration, true)
				if f.total < int(f.rate*f.duration.Seconds())-1 {
					t.Errorf("got %d requests served", f.total)
				}
			},
			want: []State{StateRolledBack},
		},
		{
			name: "all traffic is at the target already",
			run: func(_ *testing.T, f *fleet) {
				f.put(oldOne)
				f.run(f.duration, true)
			},
			want: []State{StateCompleted},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(1, 30, 20, 20)
				if tc.bad {
					failing(f, 0.5, always)
				}
				f.run(5*time.Second, true)
				f.order()
				tc.run(t, f)
				f.check(t, tc.want...)
			})
		})
	}
}

package zlsharedrate

import (
	"testing"
	"time"
)

// Guards against a VM that refuses all requests of limited organisations until it has a VM
// count, and against refusals that claim that the limit is reached.
func TestVMWithoutACountAsksThoseThatWrote(t *testing.T) {
	l := Limit{Rate: 100, Burst: 100}
	f := newFleet(t, 66, map[Key]Limit{key: l})
	counted := f.nodes[0]
	f.nodes[0] = &Node{
		Self:   counted.Self,
		Slack:  counted.Slack,
		Limit:  counted.Limit,
		Random: counted.Random,
	}
	granted, noKeeper, denied := 0, 0, 0
	ask := func() {
		f.nodes[0].Take(key, f.now, func(v Verdict) {
			switch {
			case v.Granted:
				granted++
				f.grants[key] = append(f.grants[key], f.now)
			case v.NoKeeper:
				noKeeper++
			default:
				denied++
			}
		})
		f.send(0)
	}
	every := func(d time.Duration, others func()) func() {
		return func() {
			others()
			if f.now.UnixNano()%int64(d) == 0 {
				ask()
			}
		}
	}
	f.run(5*time.Second, every(100*time.Millisecond, func() {}))
	if granted > 0 || noKeeper < 49 || denied > 0 {
		t.Errorf("got %d granted, %d without a keeper, %d denied before a message", granted, noKeeper, denied)
	}
	// Callers of other VMs use the limit, so that its keeper collects.
	others := f.poisson(40, func() int {
		return 1 + f.random.IntN(len(f.members)-1)
	})
	f.run(5*time.Second, others)
	granted, noKeeper, denied = 0, 0, 0
	f.run(time.Minute, every(100*time.Millisecond, others))
	if granted < 595 || denied > 0 {
		t.Errorf("got %d of 600 granted, %d without a keeper, %d denied at 0.5 of the limit", granted, noKeeper, denied)
	}
	f.checkWindows(l)
	t.Logf("got %d granted, %d without a keeper, %d denied", granted, noKeeper, denied)
}

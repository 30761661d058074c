package zluplink

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zltimer"
)

// round is how the sends to the first replicas of a VM fail in one round.
type round struct {
	failure Failure
	n       int
}

// rounds returns all sequences of the given length.
func rounds(length int) [][]round {
	if length == 0 {
		return [][]round{nil}
	}
	var out [][]round
	for _, f := range []Failure{FailureOverdue, FailureBroken, FailureUnconnected} {
		for _, n := range []int{1, 4, 6} {
			for _, rest := range rounds(length - 1) {
				out = append(out, append([]round{{
					failure: f,
					n:       n,
				}}, rest...))
			}
		}
	}
	return out
}

// Guards against a loss of all replicas that is never noticed: a VM that gets no answer from
// any of its six replicas finds that within 1 s, whatever happened before. After each of 819
// sequences of up to three rounds of failures new connections open and stay silent. Before
// the fix 520 of them failed.
func TestSilenceIsFoundAfterAnySequence(t *testing.T) {
	const replicas = 6
	missed := map[string]int{}
	all := 0
	for _, sequence := range slices.Concat(rounds(1), rounds(2), rounds(3)) {
		synctest.Test(t, func(*testing.T) {
			u := newUplink()
			u.Timer = &zltimer.Service{}
			u.Replicas = func() int { return replicas }
			u.reachable.Store(true)
			time.Sleep(time.Second)
			for _, r := range sequence {
				u.fail(r.n, u.send(replicas), r.failure)
				time.Sleep(100 * time.Millisecond)
			}
			lost := false
			for range 10 {
				u.fail(replicas, u.send(replicas), FailureOverdue)
				time.Sleep(100 * time.Millisecond)
				lost = lost || u.IsLost()
			}
			all++
			if !lost {
				missed[fmt.Sprint(sequence)]++
			}
		})
	}
	if len(missed) > 0 {
		t.Errorf("%d of %d sequences: no loss within 1 s of silence", len(missed), all)
	}
}

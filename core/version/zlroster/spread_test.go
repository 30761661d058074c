package zlroster

import (
	"fmt"
	"testing"

	"zinnialock/core/process/zlunit"
)

// TestSpreadOfHolders checks that each upstream has exactly one holder at the
// largest size that the design has to meet, and logs how evenly upstreams are
// spread over daemons.
func TestSpreadOfHolders(t *testing.T) {
	const daemons, upstreams = 165, 1000
	r := Roster{}
	for i := range daemons {
		r.Members = append(r.Members, Member{
			VM: zlunit.VM(fmt.Sprintf("vm-%d", i)),
		})
	}
	counts := map[zlunit.VM]int{}
	for i := range upstreams {
		holders := r.Holders(zlunit.Upstream(fmt.Sprintf("u-%d", i)))
		if len(holders) != 1 {
			t.Fatalf("got %d holders of an upstream, want 1", len(holders))
		}
		counts[holders[0]]++
	}
	largest := 0
	for _, n := range counts {
		largest = max(largest, n)
	}
	t.Logf("%d of %d daemons hold upstreams; upstreams of a daemon: mean %.1f, maximum %d", len(counts), daemons, float64(upstreams)/daemons, largest)
}

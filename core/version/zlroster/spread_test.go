package zlroster

import (
	"fmt"
	"testing"

	"zinnialock/core/process/zlunit"
)

// TestSpreadOfHolders prints how unevenly upstreams fall on the daemons of one
// data centre at the size to design for, and checks that each has one holder.
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
			t.Fatalf("%d holders, want 1", len(holders))
		}
		counts[holders[0]]++
	}
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	t.Logf("%d of %d daemons hold upstreams; mean %.1f, most %d", len(counts), daemons, float64(upstreams)/daemons, most)
}

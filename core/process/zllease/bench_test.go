package zllease

import (
	"fmt"
	"testing"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlroster"
)

// BenchmarkAdopt adopts a roster of 165 members with the changes of two days,
// the largest size that the design has to meet.
func BenchmarkAdopt(b *testing.B) {
	now := time.Unix(1000, 0)
	var r zlroster.Roster
	member := func(i, incarnation int) zlroster.Member {
		return zlroster.Member{
			VM:          zlunit.VM(fmt.Sprintf("nashua-%d", i)),
			Incarnation: zlunit.Incarnation(incarnation),
			Peer:        "10.0.0.1:7102",
		}
	}
	for i := range 165 {
		r.Members = append(r.Members, member(i, 1))
	}
	r.Epoch = 1
	for i := range 220 {
		r = r.With(member(i%165, i+2), now)
		r.Epoch++
	}
	var upstreams []zlunit.Upstream
	for i := range 1000 {
		upstreams = append(upstreams, zlunit.Upstream(fmt.Sprintf("finder-%d", i)))
	}
	self, _ := r.Member("nashua-7")
	for b.Loop() {
		t := &Leases{
			Self:        self.Key(),
			Lease:       DefaultLease,
			ClockError:  DefaultClockError,
			Unconfirmed: DefaultUnconfirmed,
		}
		t.Adopt(r, upstreams, now)
	}
}

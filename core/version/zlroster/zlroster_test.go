package zlroster

import (
	"fmt"
	"testing"
	"time"

	"zinnialock/core/process/zlunit"

	"github.com/smartystreets/goconvey/convey"
)

func rosterOf(n int) Roster {
	r := Roster{
		Epoch: 1,
	}
	for i := range n {
		r = r.With(Member{
			VM:          zlunit.VM(fmt.Sprintf("vm%d", i)),
			Incarnation: 1,
		}, time.Unix(0, 0))
		r.Epoch++
	}
	return r
}

func holders(r Roster) map[zlunit.Upstream]zlunit.VM {
	out := map[zlunit.Upstream]zlunit.VM{}
	for i := range 1000 {
		u := zlunit.Upstream(fmt.Sprintf("finder-%d", i))
		m, _ := r.Holder(u)
		out[u] = m.VM
	}
	return out
}

func TestHolders(t *testing.T) {
	convey.Convey("Given 20 members and 1000 upstreams", t, func() {
		r := rosterOf(20)
		before := holders(r)
		convey.Convey("each member holds between half and twice the mean number of upstreams", func() {
			count := map[zlunit.VM]int{}
			for _, vm := range before {
				count[vm]++
			}
			convey.So(len(count), convey.ShouldEqual, 20)
			for _, n := range count {
				convey.So(n, convey.ShouldBeBetween, 25, 100)
			}
		})
		convey.Convey("only the upstreams of a leaving or removed member get another holder", func() {
			leaving, _ := r.Member("vm3")
			departure := Departure{
				Member: leaving,
				Exit:   ExitDead,
			}
			leaving.State = StateLeaving
			for _, next := range []Roster{r.With(leaving, time.Unix(0, 0)), r.Without([]Departure{departure}, time.Unix(0, 0))} {
				for u, vm := range holders(next) {
					if before[u] == "vm3" {
						convey.So(vm, convey.ShouldNotEqual, zlunit.VM("vm3"))
					} else {
						convey.So(vm, convey.ShouldEqual, before[u])
					}
				}
			}
		})
	})
}

func TestEarlierReconstructsEachRoster(t *testing.T) {
	convey.Convey("Given a roster with members added, changed, replaced and removed", t, func() {
		r := Roster{
			Epoch: 1,
		}
		past := map[zlunit.ObjectVersion][]Member{}
		step := func(next Roster) {
			past[r.Epoch] = r.Members
			next.Epoch = r.Epoch + 1
			r = next
		}
		at := time.Unix(0, 0)
		member := func(vm zlunit.VM, incarnation zlunit.Incarnation, state State) Member {
			return Member{
				VM:          vm,
				Incarnation: incarnation,
				State:       state,
			}
		}
		step(r.With(member("a", 1, ""), at))
		step(r.With(member("b", 1, ""), at))
		step(r.With(member("a", 2, ""), at))
		step(r.With(member("b", 1, StateLeaving), at))
		step(r.Without([]Departure{{Member: member("b", 1, StateLeaving), Exit: ExitReleased}}, at))
		step(r.With(member("b", 3, ""), at))
		n := 0
		r.Earlier(func(e Roster) {
			n++
			convey.So(len(e.Members), convey.ShouldEqual, len(past[e.Epoch]))
			for _, m := range past[e.Epoch] {
				got, ok := e.Member(m.VM)
				convey.So(ok, convey.ShouldBeTrue)
				convey.So(got, convey.ShouldResemble, m)
			}
		})
		convey.So(n, convey.ShouldEqual, 6)
		convey.Convey("changes older than KeepPast are dropped at the next change", func() {
			next := r.With(member("c", 1, ""), at.Add(ChangeRetention))
			convey.So(len(next.Changes), convey.ShouldEqual, 1)
		})
		convey.Convey("no change is recorded if the record stays the same", func() {
			m, _ := r.Member("b")
			convey.So(len(r.With(m, at).Changes), convey.ShouldEqual, len(r.Changes))
		})
	})
}

func TestGuarantorsOnRing(t *testing.T) {
	convey.Convey("GuaranteedBy returns each member for all of its guarantors", t, func() {
		for n := 1; n <= 9; n++ {
			r := rosterOf(n)
			for _, m := range r.Members {
				guarantors := r.Guarantors(m.VM)
				convey.So(len(guarantors), convey.ShouldEqual, min(n-1, GuarantorsPerMember))
				for _, v := range guarantors {
					convey.So(v.VM, convey.ShouldNotEqual, m.VM)
					convey.So(r.GuaranteedBy(v.VM), convey.ShouldContain, m)
				}
			}
			convey.So(r.Guarantors("stranger"), convey.ShouldBeEmpty)
		}
	})
}

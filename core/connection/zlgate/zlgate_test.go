package zlgate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/request/zlquery"
)

func TestGateWarmsAndChills(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given a cold gate of 3 slots and a cold limit of 1", t, func() {
			g := &Gate{
				Timer: &zltimer.Service{},
			}
			g.SetLimits(Limits{
				Slots: 3,
				Cold:  1,
			})
			soon := time.Now().Add(time.Second)
			convey.So(g.Admit(context.Background(), soon), convey.ShouldEqual, zlquery.ReasonNone)
			convey.So(g.Admit(context.Background(), soon), convey.ShouldEqual, zlquery.ReasonDeadline)
			g.Release("p1")

			convey.Convey("successes widen it, and a new process narrows it again", func() {
				for range 30 {
					convey.So(g.Admit(context.Background(), time.Now().Add(time.Second)), convey.ShouldEqual, zlquery.ReasonNone)
					g.Release("p1")
				}
				state, limit, _ := g.Snapshot()
				convey.So(state, convey.ShouldEqual, StateWarm)
				convey.So(limit, convey.ShouldEqual, 3)
				convey.So(g.Admit(context.Background(), time.Now().Add(time.Second)), convey.ShouldEqual, zlquery.ReasonNone)
				g.Release("p2")
				state, _, _ = g.Snapshot()
				convey.So(state, convey.ShouldEqual, StateCold)
			})
		})
	})
}

func TestGateServesEarliestDeadlineFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &Gate{
			Timer: &zltimer.Service{},
		}
		g.SetLimits(Limits{
			Slots: 1,
			Cold:  1,
		})
		_ = g.Admit(context.Background(), time.Now().Add(time.Second))
		order := make(chan int, 2)
		for i, d := range []time.Duration{2 * time.Second, time.Second} {
			go func() {
				if g.Admit(context.Background(), time.Now().Add(d)) == zlquery.ReasonNone {
					order <- i
					g.Release("p")
				}
			}()
			synctest.Wait()
		}
		g.Release("p")
		if first := <-order; first != 1 {
			t.Fatalf("waiter %d went first, want the one due earlier", first)
		}
		<-order
	})
}

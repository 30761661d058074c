package zlgate

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"zinnialock/core/request/zlquery"
)

func TestQueueServesEarliestDeadlineFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(Limits{
			Slots: 1,
			Cold:  1,
		})
		running := h.enter(0, time.Hour)
		late := h.enter(0, 2*time.Second)
		early := h.enter(0, time.Second)
		h.gate.End(&running.ticket, OutcomeUnsent, "")
		if !early.granted || late.granted {
			t.Fatal("want the one due earlier first")
		}
	})
}

func TestQueueRefusesEarlyWhatCannotEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given one slot, a service time of 10 ms, and a busy upstream", t, func() {
			h := newHarness(Limits{
				Slots: 1,
				Cold:  1,
			})
			h.warm()
			running := h.enter(0, time.Hour)
			_ = h.gate.Start(&running.ticket, h.conn)

			convey.Convey("work due within less than the wait is refused at once, with advice", func() {
				r := h.enter(5, 15*time.Millisecond)
				convey.So(r.refusal, convey.ShouldEqual, zlquery.ReasonOverload)
				convey.So(r.after, convey.ShouldBeGreaterThan, 0)
			})
			convey.Convey("the least valuable of those in the way goes", func() {
				cheap := h.enter(1, 25*time.Millisecond)
				dear := h.enter(9, 26*time.Millisecond)
				convey.So(cheap.refusal, convey.ShouldEqual, zlquery.ReasonOverload)
				convey.So(dear.refusal, convey.ShouldEqual, zlquery.ReasonNone)
			})
			convey.Convey("the queue is bounded", func() {
				for i := range 2 * queuePerSlot {
					h.enter(Value(i), time.Hour)
				}
				convey.So(h.gate.Snapshot().Queued, convey.ShouldEqual, queuePerSlot)
				convey.So(h.enter(0, time.Hour).refusal, convey.ShouldEqual, zlquery.ReasonQueueFull)
			})
			convey.Convey("a cold turn refuses at once what can no longer end in time", func() {
				far := h.enter(0, time.Hour)
				h.conn.Busy(true)
				h.conn.Broken()
				convey.So(far.refusal, convey.ShouldEqual, zlquery.ReasonNone)
				convey.So(h.gate.Snapshot().Queued, convey.ShouldEqual, 1)
			})
		})
	})
}

func TestValueOrder(t *testing.T) {
	convey.Convey("Priority goes before rank, and rank before the query", t, func() {
		convey.So(ValueOf(6, RankHedge, "a"), convey.ShouldBeGreaterThan, ValueOf(5, RankFirst, "b"))
		convey.So(ValueOf(5, RankFirst, "a"), convey.ShouldBeGreaterThan, ValueOf(5, RankRetry, "b"))
		convey.So(ValueOf(5, RankRetry, "a"), convey.ShouldBeGreaterThan, ValueOf(5, RankHedge, "b"))
		convey.So(ValueOf(5, RankFirst, "a"), convey.ShouldEqual, ValueOf(5, RankFirst, "a"))
	})
}

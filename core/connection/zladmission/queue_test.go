package zladmission

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"zinnialock/core/request/zlquery"
)

// Guards against granting in order of arrival.
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
			t.Fatalf("got early granted %t, late granted %t, want true, false", early.granted, late.granted)
		}
	})
}

// Guards against keeping requests that cannot end before their deadline, and
// against an unbounded queue.
func TestQueueRefusesRequestsThatCannotEndInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given one slot, a service time of 10 ms, and a busy upstream", t, func() {
			h := newHarness(Limits{
				Slots: 1,
				Cold:  1,
			})
			h.warm()
			running := h.enter(0, time.Hour)
			_ = h.gate.Start(&running.ticket, h.conn)

			convey.Convey("a request with a deadline before its expected end is refused at once, with a retry-after", func() {
				r := h.enter(5, 15*time.Millisecond)
				convey.So(r.refusal, convey.ShouldEqual, zlquery.ReasonOverload)
				convey.So(r.retryAfter, convey.ShouldBeGreaterThan, 0)
			})
			convey.Convey("of the requests that make one late, the least valuable is refused", func() {
				cheap := h.enter(1, 25*time.Millisecond)
				valuable := h.enter(9, 26*time.Millisecond)
				convey.So(cheap.refusal, convey.ShouldEqual, zlquery.ReasonOverload)
				convey.So(valuable.refusal, convey.ShouldEqual, zlquery.ReasonNone)
			})
			convey.Convey("the queue has at most queuePerSlot requests per slot", func() {
				for i := range 2 * queuePerSlot {
					h.enter(Value(i), time.Hour)
				}
				convey.So(h.gate.Snapshot().Queued, convey.ShouldEqual, queuePerSlot)
				convey.So(h.enter(0, time.Hour).refusal, convey.ShouldEqual, zlquery.ReasonQueueFull)
			})
			convey.Convey("when the upstream turns cold, a waiting request that can still end in time is kept", func() {
				waiting := h.enter(0, time.Hour)
				h.conn.SetBusy(true)
				h.conn.PeerClosed()
				convey.So(waiting.refusal, convey.ShouldEqual, zlquery.ReasonNone)
				convey.So(h.gate.Snapshot().Queued, convey.ShouldEqual, 1)
			})
		})
	})
}

func TestValueOrdersByPriorityRankAndQuery(t *testing.T) {
	convey.Convey("Priority goes before rank, and rank before the query", t, func() {
		convey.So(ValueOf(6, RankHedge, "a"), convey.ShouldBeGreaterThan, ValueOf(5, RankFirst, "b"))
		convey.So(ValueOf(5, RankFirst, "a"), convey.ShouldBeGreaterThan, ValueOf(5, RankRetry, "b"))
		convey.So(ValueOf(5, RankRetry, "a"), convey.ShouldBeGreaterThan, ValueOf(5, RankHedge, "b"))
		convey.So(ValueOf(5, RankFirst, "a"), convey.ShouldEqual, ValueOf(5, RankFirst, "a"))
	})
}

package zladmission

import (
	"flag"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// request is a Waiter that notes the decision about its ticket.
type request struct {
	ticket     Ticket
	granted    bool
	refusal    zlquery.Reason
	retryAfter time.Duration
	conn       *Conn
}

func (r *request) Granted() {
	r.granted = true
}

func (r *request) Refused(reason zlquery.Reason, retryAfter time.Duration) {
	r.refusal = reason
	r.retryAfter = retryAfter
}

// harness drives one gate from one goroutine, over one connection at a time.
type harness struct {
	gate *Gate
	conn *Conn
}

func newHarness(l Limits) *harness {
	h := &harness{
		gate: &Gate{
			Name:  "u",
			Timer: &zltimer.Service{},
		},
	}
	if l.Connections == 0 {
		l.Connections = 100
	}
	h.gate.SetLimits(l)
	return h
}

// enter asks for admission with a deadline after wait.
func (h *harness) enter(value Value, wait time.Duration) *request {
	r := &request{}
	r.ticket.Value = value
	r.ticket.Deadline = time.Now().Add(wait)
	r.ticket.Waiter = r
	h.gate.Enter(&r.ticket)
	return r
}

// connect returns the open connection, and makes one if there is none yet.
func (h *harness) connect() *Conn {
	if h.conn == nil {
		h.conn = h.gate.Dial()
		h.conn.Opened()
		h.conn.MarkProven("p1")
	}
	return h.conn
}

// serve runs n requests one after the other, each with a service time of d.
func (h *harness) serve(n int, d time.Duration) {
	for range n {
		r := h.enter(0, time.Hour)
		if !r.granted || h.gate.Start(&r.ticket, h.connect()) != zlquery.ReasonNone {
			panic("request not admitted to an idle gate")
		}
		time.Sleep(d)
		h.gate.End(&r.ticket, OutcomeDone, "p1")
	}
}

// warm runs requests until the gate is warm.
func (h *harness) warm() {
	for h.gate.Snapshot().State != StateWarm {
		h.serve(1, 10*time.Millisecond)
	}
}

// Guards against a gate that misses the restart of its upstream, or that takes
// other events for one.
func TestGateWarmsUpAndTurnsColdAtRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given a new gate of 3 slots and a cold limit of 1", t, func() {
			h := newHarness(Limits{
				Slots: 3,
				Cold:  1,
			})
			convey.So(h.gate.Snapshot().State, convey.ShouldEqual, StateCold)
			first := h.enter(0, time.Second)
			second := h.enter(0, time.Second)
			convey.So(first.granted, convey.ShouldBeTrue)
			convey.So(second.granted, convey.ShouldBeFalse)
			convey.So(h.gate.Leave(&second.ticket), convey.ShouldBeTrue)
			h.gate.End(&first.ticket, OutcomeUnsent, "")

			convey.Convey("successes warm it up step by step", func() {
				h.serve(defaultColdSuccesses, 10*time.Millisecond)
				convey.So(h.gate.Snapshot().State, convey.ShouldEqual, StateWarming)
				h.warm()
				convey.So(h.gate.Snapshot().Limit, convey.ShouldEqual, 3)
			})
			convey.Convey("a new process makes it cold, also for requests that were granted before", func() {
				h.warm()
				granted := []*request{h.enter(0, time.Second), h.enter(0, time.Second), h.enter(0, time.Second)}
				h.conn.MarkProven("p2")
				convey.So(h.gate.Snapshot().Cause, convey.ShouldEqual, CauseNewProcess)
				convey.So(h.gate.Start(&granted[0].ticket, h.conn), convey.ShouldEqual, zlquery.ReasonNone)
				convey.So(h.gate.Start(&granted[1].ticket, h.conn), convey.ShouldEqual, zlquery.ReasonColdBudget)
			})
			convey.Convey("a broken connection makes it cold", func() {
				h.warm()
				h.conn.SetBusy(true)
				h.conn.PeerClosed()
				convey.So(h.gate.Snapshot().State, convey.ShouldEqual, StateCold)
			})
			convey.Convey("an idle timeout of the upstream does not while another connection is open", func() {
				h.warm()
				other := h.gate.Dial()
				other.Opened()
				time.Sleep(2 * minIdleTimeout)
				h.conn.PeerClosed()
				convey.So(h.gate.Snapshot().State, convey.ShouldEqual, StateWarm)
				other.PeerClosed()
				convey.So(h.gate.Snapshot().State, convey.ShouldEqual, StateCold)
			})
			convey.Convey("a late answer from the replaced process changes nothing", func() {
				h.warm()
				newer := h.gate.Dial()
				newer.Opened()
				newer.MarkProven("p2")
				since := h.gate.Snapshot().Since
				time.Sleep(time.Second)
				h.conn.MarkProven("p1")
				convey.So(h.gate.Snapshot().Since, convey.ShouldEqual, since)
				convey.So(h.gate.Snapshot().Process, convey.ShouldEqual, zlunit.Process("p2"))
			})
		})
	})
}

// Guards against requests and dials when the cold limit is 0, as after this
// daemon's share of the upstream lapsed.
func TestGateWithoutColdLimitAdmitsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given a share without a cold limit", t, func() {
			h := newHarness(Limits{
				Slots: 2,
			})
			r := h.enter(0, time.Second)
			convey.So(r.refusal, convey.ShouldEqual, zlquery.ReasonColdBudget)
			convey.So(h.gate.Dial(), convey.ShouldBeNil)
		})
	})
}

// Guards against sending to a draining upstream, and against not finding the
// next process after it.
func TestDrainedUpstreamIsDialledAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given a warm gate whose upstream refuses as draining", t, func() {
			h := newHarness(Limits{
				Slots: 1,
				Cold:  1,
			})
			h.warm()
			r := h.enter(0, time.Hour)
			waiting := h.enter(0, time.Hour)
			_ = h.gate.Start(&r.ticket, h.conn)
			h.gate.End(&r.ticket, OutcomeDraining, "p1")
			convey.So(waiting.refusal, convey.ShouldEqual, zlquery.ReasonDraining)
			convey.So(h.enter(0, time.Second).refusal, convey.ShouldEqual, zlquery.ReasonDraining)

			convey.Convey("it is dialled again after its process has ended", func() {
				h.conn.PeerClosed()
				h.conn.Closed()
				convey.So(h.enter(0, time.Second).refusal, convey.ShouldEqual, zlquery.ReasonDraining)
				time.Sleep(redialAfterDrain)
				r := h.enter(0, time.Second)
				convey.So(r.granted, convey.ShouldBeTrue)
				c := h.gate.Dial()
				c.DialFailed()
				h.gate.End(&r.ticket, OutcomeUnsent, "")
				convey.So(h.gate.Snapshot().State, convey.ShouldEqual, StateGone)
				refused := h.enter(0, time.Second)
				convey.So(refused.refusal, convey.ShouldEqual, zlquery.ReasonDialFailed)
				time.Sleep(refused.retryAfter)
				r = h.enter(0, time.Second)
				convey.So(r.granted, convey.ShouldBeTrue)
				c = h.gate.Dial()
				c.Opened()
				convey.So(h.gate.Snapshot().State, convey.ShouldEqual, StateCold)
			})
		})
	})
}

// Guards against too many requests to an upstream that turns cold with no sign
// but its service time. Until the gate notices, the upstream may get over its
// cold limit one request for each that was in flight when it turned cold, and
// one for each piece of evidence.
func TestSilentColdTurnIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			slots  = 6
			normal = 10 * time.Millisecond
		)
		h := newHarness(Limits{
			Slots: slots,
			Cold:  1,
		})
		h.warm()
		var running []*request
		admit := func() int {
			n := 0
			for {
				r := h.enter(0, time.Hour)
				if !r.granted {
					h.gate.Leave(&r.ticket)
					return n
				}
				_ = h.gate.Start(&r.ticket, h.conn)
				running = append(running, r)
				n++
			}
		}
		admit()
		excess := 0
		for i := 0; h.gate.Snapshot().State != StateCold; i++ {
			if i < slots {
				time.Sleep(normal / slots)
			} else {
				time.Sleep(3 * normal)
			}
			h.gate.End(&running[0].ticket, OutcomeDone, "p1")
			running = running[1:]
			excess += admit()
		}
		if limit := slots + int(evidenceLimit); excess > limit {
			t.Fatalf("got %d requests over the cold limit, want at most %d", excess, limit)
		}
		if h.gate.Snapshot().Cause != CauseSlow {
			t.Fatalf("got cause %s of the cold state, want slow", h.gate.Snapshot().Cause)
		}
		for len(running) > 1 {
			h.gate.End(&running[0].ticket, OutcomeDone, "p1")
			running = running[1:]
			if admit() > 0 {
				t.Fatal("got a request admitted over the cold limit after the gate became cold, want none")
			}
		}
	})
}

// Guards against taking single slow replies for a cold upstream.
func TestStragglersDoNotTurnUpstreamCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(Limits{
			Slots: 2,
			Cold:  1,
		})
		h.warm()
		for range 20 {
			h.serve(40, 10*time.Millisecond)
			h.serve(2, 200*time.Millisecond)
		}
		if s := h.gate.Snapshot(); s.State != StateWarm {
			t.Fatalf("got state %s with cause %s, want warm", s.State, s.Cause)
		}
	})
}

// Guards against a gate that stays in StateCold forever after its upstream has
// become permanently slower.
func TestLastingSlownessIsLearned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(Limits{
			Slots: 2,
			Cold:  1,
		})
		h.warm()
		h.serve(10, 50*time.Millisecond)
		if h.gate.Snapshot().State != StateCold {
			t.Fatalf("got state %s after service times five times as long, want cold", h.gate.Snapshot().State)
		}
		h.serve(2000, 50*time.Millisecond)
		if s := h.gate.Snapshot(); s.State != StateWarm {
			t.Fatalf("got state %s with cause %s, want warm", s.State, s.Cause)
		}
	})
}

// Guards against sending an upstream as much as before after it shed a
// request, and against not returning to its full slots.
func TestShedReplyLowersTheInFlightLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(Limits{
			Slots: 8,
			Cold:  1,
		})
		h.warm()
		r := h.enter(0, time.Hour)
		_ = h.gate.Start(&r.ticket, h.conn)
		h.gate.End(&r.ticket, OutcomeShed, "p1")
		if s := h.gate.Snapshot(); s.State != StateShedding || s.Limit >= 8 {
			t.Fatalf("got %+v, want state shedding with a limit below 8", s)
		}
		time.Sleep(shedHold)
		h.serve(200, 10*time.Millisecond)
		if s := h.gate.Snapshot(); s.State != StateWarm || s.Limit != 8 {
			t.Fatalf("got %+v, want state warm with limit 8", s)
		}
	})
}

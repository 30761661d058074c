package zlfleet

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zlevent"
	"zinnialock/core/version/zlroster"

	"github.com/smartystreets/goconvey/convey"
)

// members is the size of the data centre in the tests of many daemons.
var members = flag.Int("members", 24, "daemons in the tests of a whole data centre")

const (
	// takeoverTarget is the stated bound from a death to the new holder.
	takeoverTarget = 10 * time.Second
	// healTarget is the stated bound from the end of a fault to full service.
	healTarget = 30 * time.Second
	// storeRate is half of the platform's rate, in calls per second.
	storeRate = 1000
)

// inScene runs f in virtual time with n daemons that have settled.
func inScene(t *testing.T, what string, n int, f func(s *scene)) {
	synctest.Test(t, func(t *testing.T) {
		s := newScene(2 * n)
		for i := range n {
			s.start(fmt.Sprintf("vm%d", i))
		}
		defer s.close()
		took, ok := s.until(healTarget)
		if !ok {
			t.Fatalf("%d of %d upstreams held after the start", s.full(), len(s.upstreams))
		}
		t.Logf("start of %d daemons: all upstreams held after %v", n, took)
		convey.Convey(what, t, func() {
			f(s)
		})
	})
}

func (s *scene) mustHeal(t *testing.T, what string, limit time.Duration) {
	took, ok := s.until(limit)
	calls, writes, _, busiest := s.reset()
	t.Logf("%s: all upstreams held after %v; %d platform calls, %d of them writes, %d in the busiest second", what, took, calls, writes, busiest)
	convey.So(ok, convey.ShouldBeTrue)
}

func TestSteadyStateNeedsNoPlatformCalls(t *testing.T) {
	inScene(t, "Heartbeats alone keep up the leases", 6, func(s *scene) {
		time.Sleep(time.Minute)
		s.reset()
		time.Sleep(time.Minute)
		calls, _, bytes, _ := s.reset()
		t.Logf("6 daemons: %d platform calls a minute, %d message bytes a second and daemon", calls, bytes/60/6)
		convey.So(calls, convey.ShouldEqual, 0)
		convey.So(s.full(), convey.ShouldEqual, len(s.upstreams))
	})
}

func TestTakeoverAfterDeath(t *testing.T) {
	inScene(t, "A dead process is proven dead by its kernel and replaced", 3, func(s *scene) {
		s.members["vm0"].kill()
		s.mustHeal(t, "one process killed", takeoverTarget)
	})
	inScene(t, "So are two at once", 6, func(s *scene) {
		s.members["vm0"].kill()
		s.members["vm1"].kill()
		s.mustHeal(t, "two processes killed", takeoverTarget)
	})
	inScene(t, "A machine that is gone is proven so by the platform's list", 3, func(s *scene) {
		time.Sleep(10 * time.Minute)
		s.set(func() { s.members["vm0"].vmGone = true })
		s.members["vm0"].kill()
		s.set(func() { delete(s.vms, "vm0") })
		s.mustHeal(t, "one machine lost", healTarget)
	})
}

func TestPlannedReplacementAfterACrash(t *testing.T) {
	inScene(t, "A new daemon learns from others that an old lease has ended", 3, func(s *scene) {
		s.members["vm0"].kill()
		s.start("vm0")
		time.Sleep(takeoverTarget)
		convey.So(s.members["vm1"].fleet.Leave(context.Background()), convey.ShouldBeNil)
		time.Sleep(2 * time.Second)
		convey.So(s.members["vm1"].fleet.Release(context.Background()), convey.ShouldBeTrue)
		s.members["vm1"].kill()
		s.reset()
		s.start("vm1")
		time.Sleep(time.Second)
		s.mustHeal(t, "planned replacement after a crash", time.Second)
	})
}

func TestVMReplacedUnderTheSameAddress(t *testing.T) {
	inScene(t, "Whoever answers at an address shows that the one before is dead", 3, func(s *scene) {
		s.members["vm0"].kill()
		s.startAt("other", "vm0")
		s.mustHeal(t, "a VM replaced under its address", takeoverTarget)
		time.Sleep(takeoverTarget)
		convey.So(s.has("vm0"), convey.ShouldBeFalse)
		convey.So(s.has("other"), convey.ShouldBeTrue)
		convey.So(s.full(), convey.ShouldEqual, len(s.upstreams))
	})
}

func TestPausedHolderKeepsItsReserve(t *testing.T) {
	inScene(t, "Nobody takes the whole of what a silent daemon held", 3, func(s *scene) {
		s.set(func() { s.members["vm0"].cut = true })
		time.Sleep(5 * time.Minute)
		convey.So(s.full(), convey.ShouldBeLessThan, len(s.upstreams))
		in := s.has("vm0")
		convey.So(in, convey.ShouldBeFalse)
		s.set(func() { s.members["vm0"].cut = false })
		s.reset()
		s.mustHeal(t, "a cut-off daemon returned", healTarget)
		in = s.has("vm0")
		convey.So(in, convey.ShouldBeTrue)
	})
}

func TestAnHourWithoutThePlatform(t *testing.T) {
	inScene(t, "Leases hold, and nothing bursts when it returns", 3, func(s *scene) {
		s.set(func() { s.down = true })
		for range 12 {
			time.Sleep(5 * time.Minute)
			convey.So(s.full(), convey.ShouldEqual, len(s.upstreams))
		}
		late := s.start("late")
		time.Sleep(time.Minute)
		convey.So(late.fleet.Member(), convey.ShouldBeFalse)
		s.set(func() { s.down = false })
		s.reset()
		time.Sleep(joinPauseMax * 2)
		s.mustHeal(t, "platform back after an hour", healTarget)
		convey.So(late.fleet.Member(), convey.ShouldBeTrue)
	})
}

func TestWholeDataCentreReplaced(t *testing.T) {
	inScene(t, "All daemons killed and started again converge without a herd", *members, func(s *scene) {
		time.Sleep(time.Minute)
		for i := range *members {
			s.members[fmt.Sprintf("vm%d", i)].kill()
		}
		s.reset()
		for i := range *members {
			s.start(fmt.Sprintf("vm%d", i))
		}
		took, ok := s.until(2 * healTarget)
		calls, writes, _, busiest := s.reset()
		t.Logf("%d daemons replaced: all upstreams held after %v; %d platform calls, %d of them writes, %d in the busiest second", *members, took, calls, writes, busiest)
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(busiest, convey.ShouldBeLessThan, storeRate)
	})
}

func TestPlannedStopHandsOver(t *testing.T) {
	inScene(t, "Takers need not wait for a lease", 3, func(s *scene) {
		d := s.members["vm0"]
		convey.So(d.fleet.Leave(context.Background()), convey.ShouldBeNil)
		took, ok := s.until(healTarget)
		t.Logf("handed over after %v", took)
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(took, convey.ShouldBeLessThan, 2*time.Second)
		convey.So(d.fleet.Release(context.Background()), convey.ShouldBeTrue)
		d.kill()
		var out []zlroster.Departure
		s.set(func() { out = s.roster.Changes[len(s.roster.Changes)-1].Out })
		convey.So(out[0].Exit, convey.ShouldEqual, zlroster.ExitReleased)
		events := d.fleet.Events.After(0)
		convey.So(events[len(events)-1].Kind, convey.ShouldEqual, zlevent.KindLeft)
	})
}

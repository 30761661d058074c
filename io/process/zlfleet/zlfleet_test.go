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
	// takeoverTarget is the required bound from the death of a holder until others
	// hold its upstreams.
	takeoverTarget = 10 * time.Second
	// recoveryTarget is the required bound from the end of a fault until all
	// upstreams are fully held.
	recoveryTarget = 30 * time.Second
	// maxPlatformCallsPerSecond is half of the platform's rate limit.
	maxPlatformCallsPerSecond = 1000
)

// withCluster runs f in virtual time with n daemons that hold all upstreams.
func withCluster(t *testing.T, what string, n int, f func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2 * n)
		for i := range n {
			c.start(fmt.Sprintf("vm%d", i))
		}
		defer c.close()
		took, ok := c.waitUntilHeld(recoveryTarget)
		if !ok {
			t.Fatalf("%d of %d upstreams held after the start", c.fullyHeld(), len(c.upstreams))
		}
		t.Logf("start of %d daemons: all upstreams held after %v", n, took)
		convey.Convey(what, t, func() {
			f(c)
		})
	})
}

// requireAllHeld fails the test unless all upstreams are fully held within limit.
func (c *cluster) requireAllHeld(t *testing.T, what string, limit time.Duration) {
	took, ok := c.waitUntilHeld(limit)
	calls, writes, _, peak := c.resetCounts()
	t.Logf("%s: all upstreams held after %v; %d platform calls, %d of them writes, %d in the busiest second", what, took, calls, writes, peak)
	convey.So(ok, convey.ShouldBeTrue)
}

// TestSteadyStateNeedsNoPlatformCalls checks that heartbeats extend the leases without
// calls of the platform, which is rate limited and may be down.
func TestSteadyStateNeedsNoPlatformCalls(t *testing.T) {
	withCluster(t, "Heartbeats alone extend the leases", 6, func(c *cluster) {
		time.Sleep(time.Minute)
		c.resetCounts()
		time.Sleep(time.Minute)
		calls, _, bytes, _ := c.resetCounts()
		t.Logf("6 daemons: %d platform calls a minute, %d message bytes a second and daemon", calls, bytes/60/6)
		convey.So(calls, convey.ShouldEqual, 0)
		convey.So(c.fullyHeld(), convey.ShouldEqual, len(c.upstreams))
	})
}

// TestTakeoverAfterDeath checks that the upstreams of a failed daemon are taken over
// in time. A refused connection proves that a process has ended; for a VM that has
// ended, its absence from the platform's list does.
func TestTakeoverAfterDeath(t *testing.T) {
	withCluster(t, "The upstreams of a killed process are taken over after a refused connection", 3, func(c *cluster) {
		c.members["vm0"].kill()
		c.requireAllHeld(t, "one process killed", takeoverTarget)
	})
	withCluster(t, "The upstreams of two processes killed at once are taken over", 6, func(c *cluster) {
		c.members["vm0"].kill()
		c.members["vm1"].kill()
		c.requireAllHeld(t, "two processes killed", takeoverTarget)
	})
	withCluster(t, "The upstreams of a VM that is not in the platform's list any more are taken over", 3, func(c *cluster) {
		time.Sleep(10 * time.Minute)
		c.update(func() { c.members["vm0"].vmGone = true })
		c.members["vm0"].kill()
		c.update(func() { delete(c.vms, "vm0") })
		c.requireAllHeld(t, "one VM lost", recoveryTarget)
	})
}

// TestPlannedReplacementAfterACrash guards against a new daemon that waits for a lease
// that ended long ago. It was not there when the earlier holder died, so it depends on
// what other members tell it.
func TestPlannedReplacementAfterACrash(t *testing.T) {
	withCluster(t, "A new daemon learns from other members that an old lease has ended", 3, func(c *cluster) {
		c.members["vm0"].kill()
		c.start("vm0")
		time.Sleep(takeoverTarget)
		convey.So(c.members["vm1"].fleet.Leave(context.Background()), convey.ShouldBeNil)
		time.Sleep(2 * time.Second)
		convey.So(c.members["vm1"].fleet.Release(context.Background()), convey.ShouldBeTrue)
		c.members["vm1"].kill()
		c.resetCounts()
		c.start("vm1")
		time.Sleep(time.Second)
		c.requireAllHeld(t, "planned replacement after a crash", time.Second)
	})
}

// TestVMReplacedUnderTheSameAddress guards against a dead daemon that is considered
// alive because a new VM replies at its address.
func TestVMReplacedUnderTheSameAddress(t *testing.T) {
	withCluster(t, "A reply of another VM at the address of a member proves the member dead", 3, func(c *cluster) {
		c.members["vm0"].kill()
		c.startAt("other", "vm0")
		c.requireAllHeld(t, "a VM replaced under its address", takeoverTarget)
		time.Sleep(takeoverTarget)
		convey.So(c.inRoster("vm0"), convey.ShouldBeFalse)
		convey.So(c.inRoster("other"), convey.ShouldBeTrue)
		convey.So(c.fullyHeld(), convey.ShouldEqual, len(c.upstreams))
	})
}

// TestPausedHolderKeepsItsReserve guards against an overloaded upstream. A daemon that
// neither peers nor the platform can reach may still send, so others must leave its
// share unused until it is proven dead or returns.
func TestPausedHolderKeepsItsReserve(t *testing.T) {
	withCluster(t, "No daemon gets the full share of the upstreams of an unreachable daemon", 3, func(c *cluster) {
		c.update(func() { c.members["vm0"].partitioned = true })
		time.Sleep(5 * time.Minute)
		convey.So(c.fullyHeld(), convey.ShouldBeLessThan, len(c.upstreams))
		in := c.inRoster("vm0")
		convey.So(in, convey.ShouldBeFalse)
		c.update(func() { c.members["vm0"].partitioned = false })
		c.resetCounts()
		c.requireAllHeld(t, "a partitioned daemon returned", recoveryTarget)
		in = c.inRoster("vm0")
		convey.So(in, convey.ShouldBeTrue)
	})
}

// TestAnHourWithoutThePlatform checks that leases last through an outage of the platform,
// that a daemon started meanwhile joins afterwards, and that all upstreams are held.
func TestAnHourWithoutThePlatform(t *testing.T) {
	withCluster(t, "Leases last without the platform, and a late daemon joins after its return", 3, func(c *cluster) {
		c.update(func() { c.down = true })
		for range 12 {
			time.Sleep(5 * time.Minute)
			convey.So(c.fullyHeld(), convey.ShouldEqual, len(c.upstreams))
		}
		late := c.start("late")
		time.Sleep(time.Minute)
		convey.So(late.fleet.Member(), convey.ShouldBeFalse)
		c.update(func() { c.down = false })
		c.resetCounts()
		time.Sleep(maxJoinBackoff * 2)
		c.requireAllHeld(t, "platform back after an hour", recoveryTarget)
		convey.So(late.fleet.Member(), convey.ShouldBeTrue)
	})
}

// TestWholeDataCentreReplaced guards against a thundering herd on the platform when all
// daemons of a data centre are killed and started at once.
func TestWholeDataCentreReplaced(t *testing.T) {
	withCluster(t, "All daemons killed and restarted at once hold all upstreams again without a burst of platform calls", *members, func(c *cluster) {
		time.Sleep(time.Minute)
		for i := range *members {
			c.members[fmt.Sprintf("vm%d", i)].kill()
		}
		c.resetCounts()
		for i := range *members {
			c.start(fmt.Sprintf("vm%d", i))
		}
		took, ok := c.waitUntilHeld(2 * recoveryTarget)
		calls, writes, _, peak := c.resetCounts()
		t.Logf("%d daemons replaced: all upstreams held after %v; %d platform calls, %d of them writes, %d in the busiest second", *members, took, calls, writes, peak)
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(peak, convey.ShouldBeLessThan, maxPlatformCallsPerSecond)
	})
}

// TestPlannedStopHandsOver checks that the upstreams of a daemon that leaves are taken
// over at once, without a wait for its lease to expire.
func TestPlannedStopHandsOver(t *testing.T) {
	withCluster(t, "The new holders need not wait for a lease to expire", 3, func(c *cluster) {
		d := c.members["vm0"]
		convey.So(d.fleet.Leave(context.Background()), convey.ShouldBeNil)
		took, ok := c.waitUntilHeld(recoveryTarget)
		t.Logf("handed over after %v", took)
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(took, convey.ShouldBeLessThan, 2*time.Second)
		convey.So(d.fleet.Release(context.Background()), convey.ShouldBeTrue)
		d.kill()
		var out []zlroster.Departure
		c.update(func() { out = c.roster.Changes[len(c.roster.Changes)-1].Out })
		convey.So(out[0].Exit, convey.ShouldEqual, zlroster.ExitReleased)
		events := d.fleet.Events.After(0)
		convey.So(events[len(events)-1].Kind, convey.ShouldEqual, zlevent.KindLeft)
	})
}

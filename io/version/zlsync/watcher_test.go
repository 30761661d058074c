package zlsync

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlmark"
	"zinnialock/core/version/zlroster"
	"zinnialock/core/version/zlsettings"
	"zinnialock/io/process/zlplatform"
)

func mustPut(p *fakePlatform, kind zlplatform.ObjectKind, name string, value any) {
	ctx := context.Background()
	var version zlunit.ObjectVersion
	if o, err := p.Get(ctx, kind, name); err == nil {
		version = o.Version
	}
	if _, err := p.Put(ctx, kind, name, version, value); err != nil {
		panic(err)
	}
}

func treeWith(deadline string) *zlsettings.Tree {
	return &zlsettings.Tree{
		Nodes: map[zlsettings.Path]zlsettings.Node{
			"guild": {
				zlsettings.KeyDeadline: deadline,
			},
		},
	}
}

func TestInvalidTreeAtThePlatformLeavesTheOldOneInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given a valid tree, then an invalid one, then a valid one", t, func() {
			p := newFakePlatform()
			w := newWatcher(p)
			deadline := func() time.Duration {
				convey.So(w.Poll(context.Background(), 0), convey.ShouldBeNil)
				return w.Views.Load().Policy("s", "k").Deadline
			}
			mustPut(p, Settings.Kind, Settings.Name, treeWith("2s"))
			convey.So(deadline(), convey.ShouldEqual, 2*time.Second)
			mustPut(p, Settings.Kind, Settings.Name, treeWith("2 days"))
			convey.So(deadline(), convey.ShouldEqual, 2*time.Second)
			rejected := w.Store().Rejected()
			convey.So(len(rejected), convey.ShouldEqual, 1)
			convey.So(rejected[0].Err.Error(), convey.ShouldContainSubstring, `key "deadline": found "2 days"`)
			mustPut(p, Settings.Kind, Settings.Name, treeWith("3s"))
			convey.So(deadline(), convey.ShouldEqual, 3*time.Second)
			convey.So(w.Store().Rejected(), convey.ShouldBeEmpty)
		})
	})
}

// A record without a history looks like one that a restored platform lost; the
// daemon must not overwrite it with the older one that it holds.
func TestRecordWrittenWithoutHistoryBecomesAnEdit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given an accepted edit, then a tree written without a history", t, func() {
			p := newFakePlatform()
			w := newWatcher(p)
			_, err := newEditor(p).Edit(context.Background(), &Settings, setting("ana", "guild", "deadline", "2s"))
			convey.So(err, convey.ShouldBeNil)
			convey.So(w.Poll(context.Background(), 0), convey.ShouldBeNil)
			mustPut(p, Settings.Kind, Settings.Name, treeWith("3s"))
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				defer close(done)
				w.Run(ctx)
			}()
			time.Sleep(13 * time.Second)
			cancel()
			<-done
			convey.So(w.Views.Load().Policy("s", "k").Deadline, convey.ShouldEqual, 3*time.Second)
			log, _, err := newEditor(p).History(context.Background(), &Settings)
			convey.So(err, convey.ShouldBeNil)
			convey.So(len(log), convey.ShouldEqual, 2)
			convey.So(log[1].By, convey.ShouldEqual, "platform")
			convey.So(log[0].By, convey.ShouldEqual, "ana")
		})
	})
}

func TestUpstreamRampsUpAfterItsMarkIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given a daemon that saw a mark set and removed", t, func() {
			p := newFakePlatform()
			w := newWatcher(p)
			out := &zlmark.Marks{
				Upstreams: map[zlunit.Upstream]zlmark.Mark{
					"u": {},
				},
			}
			for _, marks := range []*zlmark.Marks{{}, out, {}} {
				mustPut(p, Marks.Kind, Marks.Name, marks)
				convey.So(w.Poll(context.Background(), 0), convey.ShouldBeNil)
			}
			now := w.Timer.Now()
			convey.So(w.Views.Load().Weight("u", now), convey.ShouldBeLessThan, 0.1)
			convey.So(w.Views.Load().Weight("u", now.Add(zlmark.RampLength)), convey.ShouldEqual, 1)
		})
	})
}

func fleetRoster(n int) zlroster.Roster {
	r := zlroster.Roster{
		DataCentre: "nashua",
	}
	for i := range n {
		r.Members = append(r.Members, zlroster.Member{
			VM: zlunit.VM(fmt.Sprintf("vm-%d", i)),
		})
	}
	return r
}

// maxCallsInWindow returns the largest number of calls in any window of a length.
func maxCallsInWindow(calls []time.Time, window time.Duration) int {
	slices.SortFunc(calls, time.Time.Compare)
	most, from := 0, 0
	for i := range calls {
		for calls[i].Sub(calls[from]) >= window {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// maxCallsPerSecond is the rate of calls that the platform allows the daemons for
// polls and watches.
const maxCallsPerSecond = 500

// runningFleet runs watchers against a platform and checks the rate of calls.
type runningFleet struct {
	platform *fakePlatform
	watchers []*Watcher
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

const fleetDaemons = 660

// startFleet starts the watchers; stop ends them.
func startFleet(p *fakePlatform) *runningFleet {
	ctx, cancel := context.WithCancel(context.Background())
	fleet := &runningFleet{
		platform: p,
		cancel:   cancel,
	}
	p.latency = 2 * time.Millisecond
	mustPut(p, Settings.Kind, Settings.Name, treeWith("2s"))
	mustPut(p, zlplatform.ObjectRoster, "nashua", fleetRoster(fleetDaemons))
	for range fleetDaemons {
		w := newWatcher(p)
		fleet.watchers = append(fleet.watchers, w)
		fleet.wg.Go(func() {
			w.Run(ctx)
		})
	}
	return fleet
}

func (f *runningFleet) stop() {
	f.cancel()
	f.wg.Wait()
}

// checkCallRate lets d pass and checks that the calls in any second stayed within
// maxCallsPerSecond.
func (f *runningFleet) checkCallRate(t *testing.T, phase string, d time.Duration) {
	synctest.Wait()
	f.platform.withLock(func() {
		f.platform.calls = nil
	})
	time.Sleep(d)
	synctest.Wait()
	f.platform.mu.Lock()
	calls := slices.Clone(f.platform.calls)
	f.platform.mu.Unlock()
	most := maxCallsInWindow(calls, time.Second)
	t.Logf("%s: %.1f calls/s, most in a second %d", phase, float64(len(calls))/d.Seconds(), most)
	convey.So(most, convey.ShouldBeLessThan, maxCallsPerSecond)
}

// Daemons that retry at the same time after an outage would overload the platform
// again.
func TestOutageCausesNoThunderingHerd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given 660 daemons that follow a platform", t, func() {
			fleet := startFleet(newFakePlatform())
			defer fleet.stop()
			time.Sleep(time.Minute)
			fleet.checkCallRate(t, "steady", time.Minute)
			fleet.platform.setDown(true)
			fleet.checkCallRate(t, "an hour's outage", time.Hour)
			fleet.platform.setDown(false)
			fleet.checkCallRate(t, "recovery", time.Minute)
			for _, w := range fleet.watchers {
				at, ok := w.Confirmed()
				convey.So(ok && time.Since(at) < 15*time.Second, convey.ShouldBeTrue)
			}
			mustPut(fleet.platform, Settings.Kind, Settings.Name, treeWith("3s"))
			fleet.checkCallRate(t, "a change", 5*time.Second)
			for _, w := range fleet.watchers {
				convey.So(w.Views.Load().Policy("s", "k").Deadline, convey.ShouldEqual, 3*time.Second)
			}
		})
	})
}

// Daemons without a view don't know the size of the fleet, so their backoff can't
// follow from it.
func TestStartsDuringAnOutageCauseNoThunderingHerd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given 660 daemons that start together while the platform is down", t, func() {
			p := newFakePlatform()
			fleet := startFleet(p)
			defer fleet.stop()
			p.setDown(true)
			time.Sleep(20 * time.Second)
			fleet.checkCallRate(t, "outage", 5*time.Minute)
			p.setDown(false)
			fleet.checkCallRate(t, "recovery", time.Minute)
			for _, w := range fleet.watchers {
				convey.So(w.Views.Load(), convey.ShouldNotBeNil)
			}
		})
	})
}

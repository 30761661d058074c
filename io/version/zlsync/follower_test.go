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

func TestBadTreeAtThePlatformLeavesTheOldInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given a good tree, then a bad one, then a good one", t, func() {
			p := newFake()
			f := newFollower(p)
			deadline := func() time.Duration {
				convey.So(f.Poll(context.Background(), 0), convey.ShouldBeNil)
				return f.Views.Load().Policy("s", "k").Deadline
			}
			mustPut(p, Settings.Kind, Settings.Name, treeWith("2s"))
			convey.So(deadline(), convey.ShouldEqual, 2*time.Second)
			mustPut(p, Settings.Kind, Settings.Name, treeWith("2 days"))
			convey.So(deadline(), convey.ShouldEqual, 2*time.Second)
			refused := f.Store().Rejected()
			convey.So(len(refused), convey.ShouldEqual, 1)
			convey.So(refused[0].Err.Error(), convey.ShouldContainSubstring, `key "deadline": found "2 days"`)
			mustPut(p, Settings.Kind, Settings.Name, treeWith("3s"))
			convey.So(deadline(), convey.ShouldEqual, 3*time.Second)
			convey.So(f.Store().Rejected(), convey.ShouldBeEmpty)
		})
	})
}

func TestRecordWrittenByHandIsTakenAsAnEdit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given an accepted edit, then a tree written without a history", t, func() {
			p := newFake()
			f := newFollower(p)
			_, err := newEditor(p).Edit(context.Background(), &Settings, setting("ana", "guild", "deadline", "2s"))
			convey.So(err, convey.ShouldBeNil)
			convey.So(f.Poll(context.Background(), 0), convey.ShouldBeNil)
			mustPut(p, Settings.Kind, Settings.Name, treeWith("3s"))
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				defer close(done)
				f.Run(ctx)
			}()
			time.Sleep(13 * time.Second)
			cancel()
			<-done
			convey.So(f.Views.Load().Policy("s", "k").Deadline, convey.ShouldEqual, 3*time.Second)
			log, _, err := newEditor(p).History(context.Background(), &Settings)
			convey.So(err, convey.ShouldBeNil)
			convey.So(len(log), convey.ShouldEqual, 2)
			convey.So(log[1].By, convey.ShouldEqual, "platform")
			convey.So(log[0].By, convey.ShouldEqual, "ana")
		})
	})
}

func TestReturnFromAMarkRampsAtADaemonThatSawIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given a daemon that saw a mark come and go", t, func() {
			p := newFake()
			f := newFollower(p)
			out := &zlmark.Marks{
				Upstreams: map[zlunit.Upstream]zlmark.Mark{
					"u": {},
				},
			}
			for _, marks := range []*zlmark.Marks{{}, out, {}} {
				mustPut(p, Marks.Kind, Marks.Name, marks)
				convey.So(f.Poll(context.Background(), 0), convey.ShouldBeNil)
			}
			now := f.Timer.Now()
			convey.So(f.Views.Load().Weight("u", now), convey.ShouldBeLessThan, 0.1)
			convey.So(f.Views.Load().Weight("u", now.Add(zlmark.RampLength)), convey.ShouldEqual, 1)
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

// busiest returns the most calls in any window of the given length.
func busiest(calls []time.Time, window time.Duration) int {
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

// A few hundred calls a second is what the platform leaves for following it.
const callsAllowed = 500

// herd runs followers against a platform and looks at the calls it gets.
type herd struct {
	p         *fakePlatform
	followers []*Follower
	cancel    context.CancelFunc
	wg        sync.WaitGroup
}

const herdDaemons = 660

// newHerd starts the followers; end them with stop.
func newHerd(p *fakePlatform) *herd {
	ctx, cancel := context.WithCancel(context.Background())
	h := &herd{
		p:      p,
		cancel: cancel,
	}
	p.latency = 2 * time.Millisecond
	mustPut(p, Settings.Kind, Settings.Name, treeWith("2s"))
	mustPut(p, zlplatform.ObjectRoster, "nashua", fleetRoster(herdDaemons))
	for range herdDaemons {
		f := newFollower(p)
		h.followers = append(h.followers, f)
		h.wg.Go(func() {
			f.Run(ctx)
		})
	}
	return h
}

func (h *herd) stop() {
	h.cancel()
	h.wg.Wait()
}

// phase lets d pass and checks that no second had too many calls.
func (h *herd) phase(t *testing.T, what string, d time.Duration) {
	synctest.Wait()
	h.p.set(func() {
		h.p.calls = nil
	})
	time.Sleep(d)
	synctest.Wait()
	h.p.mu.Lock()
	calls := slices.Clone(h.p.calls)
	h.p.mu.Unlock()
	most := busiest(calls, time.Second)
	t.Logf("%s: %.1f calls/s, most in a second %d", what, float64(len(calls))/d.Seconds(), most)
	convey.So(most, convey.ShouldBeLessThan, callsAllowed)
}

func TestNoHerdAroundAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given 660 daemons that follow a platform", t, func() {
			h := newHerd(newFake())
			defer h.stop()
			time.Sleep(time.Minute)
			h.phase(t, "steady", time.Minute)
			h.p.setDown(true)
			h.phase(t, "an hour's outage", time.Hour)
			h.p.setDown(false)
			h.phase(t, "recovery", time.Minute)
			for _, f := range h.followers {
				at, ok := f.Confirmed()
				convey.So(ok && time.Since(at) < 15*time.Second, convey.ShouldBeTrue)
			}
			mustPut(h.p, Settings.Kind, Settings.Name, treeWith("3s"))
			h.phase(t, "a change", 5*time.Second)
			for _, f := range h.followers {
				convey.So(f.Views.Load().Policy("s", "k").Deadline, convey.ShouldEqual, 3*time.Second)
			}
		})
	})
}

func TestNoHerdOfDaemonsThatStartInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given 660 daemons that start together while the platform is down", t, func() {
			p := newFake()
			h := newHerd(p)
			defer h.stop()
			p.setDown(true)
			time.Sleep(20 * time.Second)
			h.phase(t, "outage", 5*time.Minute)
			p.setDown(false)
			h.phase(t, "recovery", time.Minute)
			for _, f := range h.followers {
				convey.So(f.Views.Load(), convey.ShouldNotBeNil)
			}
		})
	})
}

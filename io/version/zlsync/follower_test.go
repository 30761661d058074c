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
	"zinnialock/core/version/zltree"
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

func treeWith(deadline string) *zltree.Tree {
	return &zltree.Tree{
		Nodes: map[zltree.Path]zltree.Node{
			"guild": {
				zltree.KeyDeadline: deadline,
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
			refused := f.Store().Refused()
			convey.So(len(refused), convey.ShouldEqual, 1)
			convey.So(refused[0].Err.Error(), convey.ShouldContainSubstring, `key "deadline": found "2 days"`)
			mustPut(p, Settings.Kind, Settings.Name, treeWith("3s"))
			convey.So(deadline(), convey.ShouldEqual, 3*time.Second)
			convey.So(f.Store().Refused(), convey.ShouldBeEmpty)
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

func TestNoHerdAroundAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given 660 daemons that follow a platform", t, func() {
			const daemons = 660
			p := newFake()
			p.latency = 2 * time.Millisecond
			mustPut(p, Settings.Kind, Settings.Name, treeWith("2s"))
			mustPut(p, zlplatform.ObjectRoster, "nashua", fleetRoster(daemons))
			ctx, cancel := context.WithCancel(context.Background())
			var followers []*Follower
			var wg sync.WaitGroup
			defer wg.Wait()
			defer cancel()
			for range daemons {
				f := newFollower(p)
				followers = append(followers, f)
				wg.Go(func() {
					f.Run(ctx)
				})
			}
			time.Sleep(time.Minute)
			phase := func(what string, d time.Duration) {
				synctest.Wait()
				p.set(func() {
					p.calls = nil
				})
				time.Sleep(d)
				synctest.Wait()
				p.mu.Lock()
				calls := slices.Clone(p.calls)
				p.mu.Unlock()
				most := busiest(calls, time.Second)
				t.Logf("%s: %.1f calls/s, most in a second %d", what, float64(len(calls))/d.Seconds(), most)
				convey.So(most, convey.ShouldBeLessThan, callsAllowed)
			}
			phase("steady", time.Minute)
			p.setDown(true)
			phase("an hour's outage", time.Hour)
			p.setDown(false)
			phase("recovery", time.Minute)
			for _, f := range followers {
				at, ok := f.Confirmed()
				convey.So(ok && time.Since(at) < 15*time.Second, convey.ShouldBeTrue)
			}
			mustPut(p, Settings.Kind, Settings.Name, treeWith("3s"))
			phase("a change", 5*time.Second)
			for _, f := range followers {
				convey.So(f.Views.Load().Policy("s", "k").Deadline, convey.ShouldEqual, 3*time.Second)
			}
		})
	})
}

package zlgossip

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/smartystreets/goconvey/convey"

	"zinnialock/core/process/zlquarantine"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlmark"
	"zinnialock/core/version/zlobject"
	"zinnialock/core/version/zlroster"
	"zinnialock/core/version/zlview"
	"zinnialock/io/process/zlplatform"
	"zinnialock/io/version/zlsync"
)

// network connects daemons; one in cut neither sends nor receives.
type network struct {
	mu       sync.Mutex
	nodes    map[string]*node
	cut      map[string]bool
	requests int
	bytes    int
}

type node struct {
	*Gossip
	watcher *zlsync.Watcher
	net     *network
	addr    string
}

const oneWayLatency = time.Millisecond

// Request implements Requester; a request to a cut daemon ends with ctx.
func (n *node) Request(ctx context.Context, addr, topic string, body []byte) ([]byte, error) {
	n.net.mu.Lock()
	other := n.net.nodes[addr]
	cut := other == nil || n.net.cut[addr] || n.net.cut[n.addr]
	n.net.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, errors.New("no reply")
	}
	time.Sleep(oneWayLatency)
	reply, _, err := other.Answer(ctx, topic, body)
	time.Sleep(oneWayLatency)
	n.net.mu.Lock()
	n.net.requests++
	n.net.bytes += len(body) + len(reply)
	n.net.mu.Unlock()
	return reply, err
}

func (w *network) add(vm string, dc zlunit.DataCentre, rate float64) *node {
	timer := &zltimer.Service{
		Rate: rate,
	}
	views := &zlview.CurrentView{}
	quiet := &log.Logger{
		Level: log.PanicLevel,
	}
	n := &node{
		net:  w,
		addr: vm,
		watcher: &zlsync.Watcher{
			Home:  dc,
			Timer: timer,
			Views: views,
			Log:   quiet,
		},
	}
	n.Gossip = &Gossip{
		Self:      zlunit.VM(vm),
		Home:      dc,
		Requester: n,
		Timer:     timer,
		Views:     views,
		Objects:   n.watcher,
		Log:       quiet,
		Quarantine: &zlquarantine.Ledger{
			Timer: timer,
		},
	}
	n.Quarantine.OnReport = n.SendCrashReport
	n.watcher.OnUpdate = n.TriggerRound
	w.nodes[vm] = n
	return n
}

func item(kind zlplatform.ObjectKind, name string, version zlunit.ObjectVersion, value any) zlobject.Item {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return zlobject.Item{
		Key: zlobject.Key{
			Kind: string(kind),
			Name: name,
		},
		Rank:  zlobject.RankOf(version, data),
		Value: data,
	}
}

// newFleet returns a network of daemons that all hold the rosters; rate returns
// the rate of a daemon's clock.
func newFleet(dataCentres, each int, rate func() float64) *network {
	w := &network{
		nodes: map[string]*node{},
		cut:   map[string]bool{},
	}
	var items []zlobject.Item
	for d := range dataCentres {
		dc := zlunit.DataCentre(fmt.Sprintf("dc%d", d))
		r := zlroster.Roster{
			DataCentre: dc,
		}
		for i := range each {
			vm := fmt.Sprintf("%s-%d", dc, i)
			w.add(vm, dc, rate())
			r.Members = append(r.Members, zlroster.Member{
				VM:   zlunit.VM(vm),
				Peer: vm,
			})
		}
		items = append(items, item(zlplatform.ObjectRoster, string(dc), zlunit.ObjectVersion(d+1), r))
	}
	for _, n := range w.nodes {
		n.watcher.ApplyItems(items)
	}
	return w
}

func exactClock() float64 { return 1 }

// run starts all daemons; stop ends them.
func (w *network) run() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, n := range w.nodes {
		wg.Go(func() {
			n.Run(ctx)
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

func markItem() zlobject.Item {
	return item(zlplatform.ObjectMarks, zlsync.MarksName, 100, &zlmark.Marks{
		DataCentres: map[zlunit.DataCentre]zlmark.Mark{
			"dc1": {
				Reason: "test",
			},
		},
	})
}

// hasMark reports whether the mark of markItem is in force at the daemon.
func (n *node) hasMark() bool {
	return n.Views.Load().Marks.UpstreamOut("u", "dc1")
}

func TestMarkReachesDaemonsCutOffFromThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given 660 daemons, of which only half of one data centre reach the platform", t, func() {
			w := newFleet(4, 165, exactClock)
			defer w.run()()
			time.Sleep(2 * time.Second)
			at := time.Now()
			for i := range 82 {
				w.nodes[fmt.Sprintf("dc0-%d", i)].watcher.ApplyItems([]zlobject.Item{markItem()})
			}
			var times []time.Duration
			for len(times) < len(w.nodes) && time.Since(at) < 10*time.Second {
				time.Sleep(10 * time.Millisecond)
				times = times[:0]
				for _, n := range w.nodes {
					held, ok := n.watcher.Store().Get(markItem().Key)
					if ok && n.hasMark() {
						times = append(times, held.AcceptedAt.Sub(at))
					}
				}
			}
			convey.So(len(times), convey.ShouldEqual, len(w.nodes))
			slices.Sort(times)
			t.Logf("660 daemons: p50 %v, largest %v", times[len(times)/2], times[len(times)-1])
			convey.So(times[len(times)-1], convey.ShouldBeLessThan, 3*time.Second)
		})
	})
}

// A daemon whose neighbours are dead must exchange with others in their place.
func TestDeadNeighboursDoNotDelayUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given a data centre where half of the daemons are dead", t, func() {
			w := newFleet(2, 20, exactClock)
			for i := range 10 {
				w.cut[fmt.Sprintf("dc1-%d", i*2)] = true
			}
			defer w.run()()
			time.Sleep(10 * time.Second)
			w.nodes["dc0-0"].watcher.ApplyItems([]zlobject.Item{markItem()})
			time.Sleep(5 * time.Second)
			for name, n := range w.nodes {
				convey.So(n.hasMark(), convey.ShouldEqual, !w.cut[name])
			}
		})
	})
}

func TestDaemonStartedWhileThePlatformIsDownLearnsFromSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given a daemon without a view, with a dead seed and a live one", t, func() {
			w := newFleet(1, 3, exactClock)
			w.nodes["dc0-0"].watcher.ApplyItems([]zlobject.Item{markItem()})
			w.nodes["dc0-0"].Views.Confirm(time.Now())
			late := w.add("dc0-9", "dc0", 1)
			late.Seeds = []string{"nobody", "dc0-0"}
			defer w.run()()
			time.Sleep(5 * time.Second)
			convey.So(late.Views.Load(), convey.ShouldNotBeNil)
			convey.So(late.hasMark(), convey.ShouldBeTrue)
			convey.So(late.Views.Age(time.Now()), convey.ShouldBeBetweenOrEqual, 5*time.Second, 6*time.Second)
		})
	})
}

// confirmationInterval returns a random interval as between the confirmations of
// a zlsync.Watcher in a fleet of 660 daemons.
func confirmationInterval() time.Duration {
	return 4600*time.Millisecond + time.Duration(rand.Float64()*float64(2640*time.Millisecond))
}

func TestViewAgeStaysBoundedIn660Daemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given 660 daemons whose views the platform confirms at intervals", t, func() {
			w := newFleet(4, 165, exactClock)
			var confirmers sync.WaitGroup
			done := make(chan struct{})
			for _, n := range w.nodes {
				confirmers.Go(func() {
					n.Timer.Sleep(done, time.Duration(rand.Float64()*float64(8*time.Second)))
					for {
						n.Views.Confirm(n.Timer.Now())
						if !n.Timer.Sleep(done, confirmationInterval()) {
							return
						}
					}
				})
			}
			stop := w.run()
			defer confirmers.Wait()
			defer close(done)
			defer stop()
			time.Sleep(10 * time.Second)
			w.mu.Lock()
			w.requests, w.bytes = 0, 0
			w.mu.Unlock()
			var ages []time.Duration
			for range 20 {
				time.Sleep(time.Second / 4)
				for _, n := range w.nodes {
					ages = append(ages, n.Views.Age(time.Now()))
				}
			}
			slices.Sort(ages)
			w.mu.Lock()
			defer w.mu.Unlock()
			t.Logf("age p50 %v, p99.9 %v, largest %v; %.2f requests/s and %.0f B/s of payload for each daemon",
				ages[len(ages)/2], ages[len(ages)*999/1000], ages[len(ages)-1],
				float64(w.requests)/660/5, float64(w.bytes)/660/5)
			convey.So(ages[len(ages)-1], convey.ShouldBeLessThan, 3*time.Second)
		})
	})
}

// The age of a view is passed on between daemons; a slow clock on the path must
// not make the view look more recent than it is.
func TestViewAgeIsNeverUnderestimated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given daemons whose clock rates differ by up to ClockError, and a platform that stops confirming", t, func() {
			r := rand.New(rand.NewPCG(1, 2))
			w := newFleet(3, 4, func() float64 {
				return 1 + (r.Float64()*2-1)*ClockError/2
			})
			defer w.run()()
			for _, n := range w.nodes {
				n.Views.Confirm(n.Timer.Now())
			}
			last := time.Now()
			for range 300 {
				time.Sleep(time.Second)
				for _, n := range w.nodes {
					lowerBound := time.Duration(float64(time.Since(last)) * (1 - ClockError/2))
					if age := n.Views.Age(n.Timer.Now()); age < lowerBound-time.Millisecond {
						t.Fatalf("%s: got view age %v, want at least the true age %v less the clock error", n.Self, age, time.Since(last))
					}
				}
			}
		})
	})
}

func TestDigestExchangeIsSmall(t *testing.T) {
	convey.Convey("A digest exchange between daemons that hold the same objects takes fewer than 64 bytes", t, func() {
		w := newFleet(1, 2, exactClock)
		a := w.nodes["dc0-0"]
		reply, _, err := w.nodes["dc0-1"].Answer(context.Background(), TopicDigest, digestRequestOf(a))
		convey.So(err, convey.ShouldBeNil)
		convey.So(len(reply)+len(digestRequestOf(a)), convey.ShouldBeLessThan, 64)
	})
}

// digestRequestOf returns the encoded digest request of a daemon.
func digestRequestOf(n *node) []byte {
	body, err := encode(digestRequest{
		Digest: n.Objects.Store().Digest(),
	})
	if err != nil {
		panic(err)
	}
	return body
}

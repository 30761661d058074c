package zlbalancer

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"zinnialock/core/process/zlspillover"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
)

const (
	replaySeconds = 55
	// replayWarmUp are the seconds that the checks of shares leave out.
	replayWarmUp = 10
	replayVMs    = 20
)

var replayCentres = []zlunit.DataCentre{home, "nashua", "worcester"}

// replay is a small queueing model: 20 VMs in each of three data centres send to one
// replica in each, which serves as many requests at once as it has slots, queues twice
// as many and refuses the rest. A refused request is sent once more.
type replay struct {
	work, link time.Duration
	slots      [3]int
	// load is the demand of a data centre over what 3 slots serve, and wave its swing.
	load [3]float64
	wave float64
	seed uint64

	rng     *rand.Rand
	view    *zlregistry.View
	events  []event
	now     time.Time
	second  int
	busy    [3]int
	waiting [3][]func()
	placers [3][]*Placer

	asked, inTime, left, sends int
	// received are the requests that a replica gets in each second, and shares the mean
	// share of the first data centre's VMs.
	received [3][replaySeconds]float64
	shares   [replaySeconds]float64
}

type event struct {
	at time.Time
	do func()
}

// after adds an event; events are sorted, the next is the last.
func (r *replay) after(d time.Duration, do func()) {
	at := r.now.Add(d)
	i, _ := slices.BinarySearchFunc(r.events, at, func(e event, at time.Time) int {
		return at.Compare(e.at)
	})
	r.events = slices.Insert(r.events, i, event{
		at: at,
		do: do,
	})
}

func newReplay(work, link time.Duration, slots [3]int, load [3]float64, wave float64) *replay {
	return &replay{
		work:  work,
		link:  link,
		slots: slots,
		load:  load,
		wave:  wave,
	}
}

func (r *replay) run(adaptive bool) *replay {
	r.rng = rand.New(rand.NewPCG(7, r.seed))
	arrivals := rand.New(rand.NewPCG(3, r.seed))
	r.view = newFixture().view
	r.now = time.Unix(1000, 0)
	start := r.now
	for i := range replayVMs * len(replayCentres) {
		dc := i % len(replayCentres)
		p := &Placer{Random: r.rng.Float64}
		p.Settings.Home = replayCentres[dc]
		p.SetVMCount(2)
		if adaptive {
			p.Settings.Spillover = &zlspillover.Controller{Home: replayCentres[dc]}
			r.placers[dc] = append(r.placers[dc], p)
		}
		var arrive func()
		arrive = func() {
			rate := r.load[dc] * (1 + r.wave*math.Sin(2*math.Pi*(r.now.Sub(start).Seconds()/11+float64(dc)/3)))
			r.after(time.Duration(arrivals.ExpFloat64()*replayVMs*float64(r.work)/3/rate), arrive)
			r.asked++
			r.send(p, dc, r.now, nil)
		}
		r.after(time.Duration(replayVMs*arrivals.Float64()*float64(r.work)), arrive)
	}
	for {
		e := r.events[len(r.events)-1]
		r.events = r.events[:len(r.events)-1]
		r.now = e.at
		if s := int(r.now.Sub(start) / time.Second); s != r.second {
			if s >= replaySeconds {
				return r
			}
			r.second = s
			for _, p := range r.placers[0] {
				share, _ := p.Settings.Spillover.Share("finder")
				r.shares[s] += share / replayVMs
			}
		}
		e.do()
	}
}

func (r *replay) send(p *Placer, from int, arrived time.Time, skip []zlunit.Upstream) {
	inTime := 5*r.work/2 + 8*time.Millisecond
	s, result := p.Place(r.view, r.now, &PlacementRequest{
		Service: "finder",
		Skip:    skip,
		Target:  inTime,
	})
	if result != Placed {
		return
	}
	s.Flight.MarkSent(r.now)
	to := slices.Index(replayCentres, s.Entry.DataCentre)
	link := 200 * time.Microsecond
	if r.sends++; to != from {
		link = r.link
		r.left++
	}
	r.after(link, func() {
		r.received[to][r.second]++
		r.receive(to, func() {
			r.after(link, func() {
				s.Flight.SetResponseBytes(4000)
				s.Flight.Done(r.now, OutcomeServed, r.work+r.work/10, 0)
				if r.now.Sub(arrived) <= inTime {
					r.inTime++
				}
			})
		}, func() {
			r.after(link, func() {
				s.Flight.Done(r.now, OutcomeRefused, r.work, 0)
				if skip == nil {
					r.send(p, from, arrived, []zlunit.Upstream{s.Entry.ID})
				}
			})
		})
	})
}

// receive serves a request or refuses it.
func (r *replay) receive(to int, served, refused func()) {
	begin := func() {
		r.busy[to]++
		speed := []float64{1, 1.15, 0.85}[to] * (0.85 + 0.3*r.rng.Float64())
		r.after(time.Duration(speed*float64(r.work)), func() {
			r.busy[to]--
			if list := r.waiting[to]; len(list) > 0 {
				r.waiting[to] = list[1:]
				list[0]()
			}
			served()
		})
	}
	switch {
	case r.busy[to] < r.slots[to]:
		begin()
	case len(r.waiting[to]) < 2*r.slots[to]:
		r.waiting[to] = append(r.waiting[to], begin)
	default:
		refused()
	}
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, x := range list {
		sum += x
	}
	return sum / float64(len(list))
}

// Guards against callers that are served worse than at a fixed cost, and against traffic
// between data centres that brings them nothing.
func TestReplaysFixedAndAdaptive(t *testing.T) {
	const ms = time.Millisecond
	for _, tt := range []struct {
		name string
		give *replay
		// maxLoss bounds what adaptive may lose of the share served in time, maxLeft the
		// share of sends that leave, over that at a fixed cost; minShare and maxShare
		// bound the mean share that the controllers of the first data centre choose.
		maxLoss, maxLeft, minShare, maxShare float64
	}{
		{"calm", newReplay(20*ms, 1400e3, [3]int{3, 3, 3}, [3]float64{0.5, 0.5, 0.5}, 0), 0.002, 1, 0, 0.05},
		{"waves", newReplay(20*ms, 1400e3, [3]int{3, 3, 3}, [3]float64{0.8, 0.8, 0.8}, 0.55), 0.01, 0.9, 0, 0.3},
		{"waves, 120 ms", newReplay(120*ms, 1400e3, [3]int{3, 3, 3}, [3]float64{0.8, 0.8, 0.8}, 0.55), 0.015, 0.8, 0, 0.3},
		{"few servers", newReplay(20*ms, 1400e3, [3]int{2, 4, 4}, [3]float64{0.9, 0.6, 0.6}, 0), 0, 1.05, 0.2, 0.7},
		{"few servers, 120 ms", newReplay(120*ms, 1400e3, [3]int{2, 4, 4}, [3]float64{0.9, 0.6, 0.6}, 0), 0.005, 1, 0.2, 0.7},
		{"all short", newReplay(20*ms, 1400e3, [3]int{2, 2, 2}, [3]float64{1.1, 1.1, 1.1}, 0), 0, 0.95, 0, 0.1},
		{"far, 5 ms", newReplay(5*ms, 3500e3, [3]int{3, 3, 3}, [3]float64{0.95, 0.5, 0.5}, 0), 0.001, 0.55, 0, 0.02},
		{"far, 120 ms", newReplay(120*ms, 3500e3, [3]int{3, 3, 3}, [3]float64{0.95, 0.5, 0.5}, 0), 0.007, 0.85, 0.1, 0.4},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var inTime, left [2]float64
			share := 0.0
			// Many requests need few seeds.
			seeds := max(1, min(6, float64(tt.give.work/(10*time.Millisecond))))
			for seed := range uint64(seeds) {
				for i, adaptive := range []bool{false, true} {
					r := *tt.give
					r.seed = seed
					r.run(adaptive)
					inTime[i] += float64(r.inTime) / float64(r.asked) / seeds
					left[i] += float64(r.left) / float64(r.sends) / seeds
					share += mean(r.shares[replayWarmUp:]) / seeds
				}
			}
			t.Logf("served in time %.4f fixed, %.4f adaptive; left %.3f, %.3f; share %.3f", inTime[0], inTime[1], left[0], left[1], share)
			if inTime[1] < inTime[0]-tt.maxLoss || left[1] > left[0]*tt.maxLeft {
				t.Errorf("got more lost than %g in time, or more than %g of the traffic", tt.maxLoss, tt.maxLeft)
			}
			if share < tt.minShare || share > tt.maxShare {
				t.Errorf("got mean share %.3f, want %g to %g", share, tt.minShare, tt.maxShare)
			}
		})
	}
}

// Guards against 60 VMs that move load to and fro together: the sum of their shares
// stays steady under a steady shortage, and under waves out of phase no replica gets a
// greater swing than the demand of its own data centre.
func TestSharesOfManyVMsDoNotSwing(t *testing.T) {
	list := newReplay(20*time.Millisecond, 1400e3, [3]int{2, 4, 4}, [3]float64{0.9, 0.6, 0.6}, 0).run(true).shares[replayWarmUp:]
	if spread := slices.Max(list) - slices.Min(list); spread > 0.5*mean(list) {
		t.Errorf("steady shortage: shares swing by %.2f around %.2f", spread, mean(list))
	}
	// Three slots serve 150 requests/s at 20 ms.
	const demandSwing = 2 * 0.55 * 0.8 * 150
	for dc, list := range newReplay(20*time.Millisecond, 1400e3, [3]int{3, 3, 3}, [3]float64{0.8, 0.8, 0.8}, 0.55).run(true).received {
		if swing := slices.Max(list[replayWarmUp:]) - slices.Min(list[replayWarmUp:]); swing > 0.8*demandSwing {
			t.Errorf("%s: got a swing of %.0f requests/s at the replica, want at most 0.8 of the demand's %.0f", replayCentres[dc], swing, demandSwing)
		}
	}
}

// Guards against another placement without the setting. The sequence is that of commit
// 81b0113, which had no Spillover.
func TestFixedPlacementIsUnchanged(t *testing.T) {
	r := newFixture()
	got := ""
	var running []*Placement
	for i := range 60 {
		s := r.place(t)
		got += string(s.Entry.DataCentre[0])
		running = append(running, s)
		if i >= 3 {
			r.now = r.now.Add(4 * time.Millisecond)
			r.done(running[0], time.Duration(5+i%40)*time.Millisecond, Outcome(i%9/8))
			running = running[1:]
		}
	}
	if want := "lnwllnwlnwlwlwlwlwwwnwwlnwwwnwnwnwnwlwnwlwnwllnwllnwllnwllnw"; got != want {
		t.Errorf("got data centres %s, want %s", got, want)
	}
	if requests, _ := r.RemoteTraffic(); int(requests) != len(got)-strings.Count(got, "l") {
		t.Errorf("got %d requests counted for other data centres, want those of %s", requests, got)
	}
}

// Guards against requests kept at a local replica that cannot serve, and against leaving
// one that can.
func TestAdaptiveStaysUnlessHomeCannotServe(t *testing.T) {
	r := newFixture()
	r.Settings.Spillover = &zlspillover.Controller{Home: home}
	first := r.place(t)
	if second := r.place(t); first.Remote || second.Remote {
		t.Error("a request in flight at home: got the next one in another data centre, want it at home")
	}
	first.Flight.MarkOverdue(r.now)
	if s := r.place(t); !s.Remote {
		t.Error("replica at home paused: got a request there, want it in another data centre")
	}
}

package zlrelay

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlquarantine"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zltable"
)

const (
	// crashPath marks the request that crashes each replica that begins to run it.
	crashPath = "crash"
	// crashRunTime is how long a replica runs it until it crashes, and restartTime how
	// long the replica is down then.
	crashRunTime = 5 * time.Millisecond
	restartTime  = 2 * time.Second
	// messageTime is how long a message between VMs takes.
	messageTime = 2 * time.Millisecond
	// contactWindow is the time after the third crash from which on retries count.
	contactWindow = 4 * time.Second
	// maxCountedRetries is how many retries may reach replicas after that time.
	maxCountedRetries = 3
)

// crashableReplicas is a Sender for all VMs of a fleet. A replica that crashes breaks all
// connections and takes none until it is back.
type crashableReplicas struct {
	mu sync.Mutex
	// crashed is closed when the replica crashes, and downUntil is when it is back.
	crashed   map[zlunit.Upstream]chan struct{}
	downUntil map[zlunit.Upstream]time.Time
	crashes   []time.Time
	// retries holds the ids of the crashing attempts that reached a replica later than
	// contactWindow after the third crash.
	retries map[zlunit.RequestID]bool
	// runTime is how long a replica runs the crashing request; 0 means crashRunTime.
	runTime time.Duration
	// mostDown is the most replicas of one service that were down at a time.
	mostDown int
}

func (s *crashableReplicas) Send(ctx context.Context, e *zlregistry.Entry, c *Call) Reply {
	s.mu.Lock()
	crashed, ok := s.crashed[e.ID]
	if !ok {
		crashed = make(chan struct{})
		s.crashed[e.ID] = crashed
	}
	down := time.Now().Before(s.downUntil[e.ID])
	s.mu.Unlock()
	if down || !c.Start() {
		return &NotRun{
			Reason: zldecision.ReasonUnreached,
		}
	}
	answerTime := 15 * time.Millisecond
	if strings.Contains(c.Request.Message.Path, crashPath) {
		answerTime = time.Hour
		s.countCrashing(c.Request.ID)
		time.AfterFunc(max(crashRunTime, s.runTime), func() {
			s.crash(e.ID, crashed)
		})
	}
	unknown := &Unknown{
		Reason: zldecision.ReasonConnectionBroken,
	}
	select {
	case <-crashed:
		unknown.ReplicaEnded = true
	case <-ctx.Done():
	case <-time.After(answerTime):
		return &Response{
			Status:    http.StatusOK,
			Body:      make([]byte, recordSize),
			Signature: string(e.ID),
		}
	}
	return unknown
}

func (s *crashableReplicas) countCrashing(id zlunit.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.crashes) >= 3 && time.Since(s.crashes[2]) > contactWindow {
		s.retries[id] = true
	}
}

func (s *crashableReplicas) crash(id zlunit.Upstream, crashed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed[id] != crashed {
		return
	}
	close(crashed)
	delete(s.crashed, id)
	s.crashes = append(s.crashes, time.Now())
	s.downUntil[id] = time.Now().Add(restartTime)
	down := 0
	for other, until := range s.downUntil {
		if other[:2] == id[:2] && time.Now().Before(until) {
			down++
		}
	}
	s.mostDown = max(s.mostDown, down)
}

// newCrashFleet returns the relays of n VMs and the replicas that they share.
func newCrashFleet(n int, routes ...zltable.Route) ([]*Relay, *crashableReplicas) {
	s := &crashableReplicas{
		crashed:   map[zlunit.Upstream]chan struct{}{},
		downUntil: map[zlunit.Upstream]time.Time{},
		retries:   map[zlunit.RequestID]bool{},
	}
	var fleet []*Relay
	tell := func(from *zlquarantine.Ledger, report *zlquarantine.Report) {
		for _, r := range fleet {
			if r.Quarantine != from {
				time.AfterFunc(messageTime, func() {
					r.Quarantine.Apply(report)
				})
			}
		}
	}
	for vm := range n {
		r := newTestRelay(s, routes...)
		r.Placer.SetVMCount(n)
		r.Placer.Random = lockedRandom(uint64(vm), 4)
		r.Random = lockedRandom(uint64(vm), 4)
		l := &zlquarantine.Ledger{
			Timer: r.Timer,
		}
		l.OnEnded = func(x zlquarantine.Replica) {
			r.Placer.MarkEnded(x.Upstream, x.Incarnation, time.Now())
		}
		l.OnReport = func(report *zlquarantine.Report) {
			tell(l, report)
		}
		r.Quarantine = l
		fleet = append(fleet, r)
	}
	return fleet, s
}

func crashRoutes() []zltable.Route {
	repeatable := singleRoute(true, 3)
	repeatable.Name = "repeatable"
	repeatable.Prefix = "/repeatable/"
	return []zltable.Route{
		singleRoute(false, 1),
		repeatable,
		scatterRoute("all", []zlunit.Service{"s0", "s1", "s2", "s3"}, 120*time.Millisecond, 1, 0.75),
	}
}

// playCrashes sends the crashing request to one VM after the other, and sound requests
// to all; it returns how many of the latter were served.
func playCrashes(fleet []*Relay, path string) (sound, served int) {
	var mu sync.Mutex
	var requests sync.WaitGroup
	began := time.Now()
	for i := 0; time.Since(began) < 15*time.Second; i++ {
		if i%50 == 0 {
			requests.Go(func() {
				req := request(path + crashPath)
				req.ID = zlunit.RequestID(fmt.Sprintf("crashing-%d", i))
				fleet[i/50%len(fleet)].Serve(context.Background(), req)
			})
		}
		requests.Go(func() {
			req := request(fmt.Sprintf("/all/%d", i))
			req.ID = zlunit.RequestID(fmt.Sprintf("sound-%d", i))
			answer := fleet[i%len(fleet)].Serve(context.Background(), req)
			mu.Lock()
			defer mu.Unlock()
			sound++
			if _, ok := answer.(*Merged); ok {
				served++
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	requests.Wait()
	return sound, served
}

// Guards against a request that crashes replicas and comes again at any VM: it may not
// take down one replica after the other, and the requests beside it are served.
func TestRequestThatCrashesReplicasIsNotRepeated(t *testing.T) {
	for path, maxCrashes := range map[string]int{
		"/one/":        5,
		"/repeatable/": 5,
		"/all/":        10,
	} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet, s := newCrashFleet(5, crashRoutes()...)
				sound, served := playCrashes(fleet, path)
				if len(s.retries) > maxCountedRetries {
					t.Errorf("%d attempts reached replicas later than %v after the third crash, want %d at most",
						len(s.retries), contactWindow, maxCountedRetries)
				}
				if len(s.crashes) > maxCrashes {
					t.Errorf("%d replicas crashed, want %d at most", len(s.crashes), maxCrashes)
				}
				if float64(served) < 0.99*float64(sound) {
					t.Errorf("served %d of %d sound requests, want 0.99 of them", served, sound)
				}
				t.Logf("%d crashes, %d counted retries, served %d of %d sound requests", len(s.crashes), len(s.retries), served, sound)
			})
		})
	}
}

// playSlowCrashes plays a query that ends its replicas only after it is overdue.
func playSlowCrashes() (s *crashableReplicas, sound, served int) {
	fleet, s := newCrashFleet(5, crashRoutes()...)
	s.runTime = 70 * time.Millisecond
	sound, served = playCrashes(fleet, "/all/")
	return s, sound, served
}

// Guards against a query that ends its replicas only after it is overdue: hedges of all parts
// at once would end two replicas of each shard.
func TestSlowlyCrashingQueryEndsFewReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, sound, served := playSlowCrashes()
		// Of each shard the first, the hedges, and one for each of three rounds.
		if limit := 4 + maxBlindHedges + 3; len(s.crashes) > limit {
			t.Errorf("%d replicas crashed, want %d at most", len(s.crashes), limit)
		}
		if float64(served) < 0.99*float64(sound) {
			t.Errorf("served %d of %d sound requests, want 0.99 of them", served, sound)
		}
	})
}

// Guards against careful sends of such a query that end the last replica of a shard.
func TestSlowlyCrashingQueryLeavesEachShardAReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if s, _, _ := playSlowCrashes(); s.mostDown > 2 {
			t.Errorf("all %d replicas of a shard were down at a time", s.mostDown)
		}
	})
}

package zlrelay

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlpeerbalancer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zltable"
)

// Many VMs lose their paths to the replicas at once. What reaches them must be served by
// the others in time, within the limit on second sends, and from its end on by themselves.
func TestStrandedVMsServeInTime(t *testing.T) {
	const settle, cut, after = time.Second, 3 * time.Second, 500 * time.Millisecond
	for _, c := range []struct {
		name     string
		vms      int
		shards   int
		stranded int
		every    time.Duration
		paths    pathState
		dark     int
		// share is that of the requests at stranded VMs that must be served in time.
		share float64
	}{
		{"four of seven hang", 7, 10, 4, 30 * time.Millisecond, pathsHang, 0, 0.98},
		{"a data centre refuses", 7, 10, 3, 30 * time.Millisecond, pathsRefuse, 0, 0.98},
		{"all but one are reset", 7, 10, 6, 60 * time.Millisecond, pathsReset, 0, 0.98},
		{"four of seven hang and one is dark", 7, 10, 4, 30 * time.Millisecond, pathsHang, 1, 0.9},
		{"three of five of hundreds hang", 195, 42, 117, 1500 * time.Millisecond, pathsHang, 10, 0.9},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				routes := forwardRoutes(c.shards)
				f := newForwardFleet(c.vms, c.shards, routes...)
				defer f.end()
				var group sync.WaitGroup
				began := time.Now()
				strands, ends := began.Add(settle), began.Add(settle+cut)
				var during, others, later tally
				for i := range f.vms {
					y := &others
					if i < c.stranded {
						y = &during
					}
					f.load(&group, i, &routes[0], c.every, ends, strands.Add(2*c.every), y)
					f.load(&group, i, &routes[1], 4*c.every, ends, strands.Add(2*c.every), y)
				}
				time.Sleep(settle)
				for i := range c.stranded {
					f.vms[i].paths.Store(int32(c.paths))
				}
				for i := range c.dark {
					f.vms[c.stranded+i].dark.Store(true)
				}
				time.Sleep(cut)
				group.Wait()
				for i := range c.stranded {
					f.vms[i].paths.Store(int32(pathsWork))
				}
				time.Sleep(4 * time.Second)
				for i := range c.stranded {
					f.load(&group, i, &routes[0], c.every, time.Now().Add(after), time.Now(), &later)
				}
				group.Wait()
				for i := range c.stranded {
					if c.every < after && f.vms[i].relay.Uplink.IsLost() {
						t.Errorf("VM %d: still lost after the end", i)
					}
				}
				during.check(t, "stranded VMs", c.share)
				others.check(t, "other VMs", 0.98)
				later.check(t, "after the end", 0.98)
				f.checkBudget(t)
			})
		})
	}
}

// A request that is not idempotent must run once at most, and one that was refused never,
// whatever happens to the paths and the VMs while it is under way.
func TestForwardsKeepOnce(t *testing.T) {
	for seed := range uint64(24) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 3))
			routes := append(forwardRoutes(4), zltable.Route{
				Name:      "once",
				Host:      "h",
				Prefix:    "/once/",
				Timeout:   time.Second,
				Objective: 100 * time.Millisecond,
				Attempts:  2,
				Targets: []zltable.Target{{
					Service: "s0",
					Weight:  1,
				}},
			})
			f := newForwardFleet(4, 4, routes...)
			defer f.end()
			var group sync.WaitGroup
			group.Go(func() {
				for range 40 {
					vm := f.vms[random.IntN(len(f.vms))]
					vm.paths.Store(int32(random.IntN(4)))
					vm.dark.Store(random.IntN(4) == 0)
					time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
				}
				for _, vm := range f.vms {
					vm.paths.Store(int32(pathsWork))
					vm.dark.Store(false)
				}
			})
			for i := range 300 {
				time.Sleep(5 * time.Millisecond)
				route := &routes[i%len(routes)]
				req := request(route.Prefix + "x")
				req.ID = zlunit.RequestID(fmt.Sprintf("%d", i))
				vm := f.vms[i%len(f.vms)]
				group.Go(func() {
					answer := vm.relay.Serve(context.Background(), req)
					time.Sleep(2 * time.Second)
					f.checkRuns(t, seed, route, req, answer)
				})
			}
			group.Wait()
		})
	}
}

// checkRuns checks how often replicas ran a request.
func (f *forwardFleet) checkRuns(t *testing.T, seed uint64, route *zltable.Route, req *Request, answer Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range 4 {
		n := f.runs[fmt.Sprintf("%s s%d", req.ID, i)]
		if n > maxRuns(route.Idempotent, route.Attempts) {
			t.Errorf("seed %d: request %s of %s ran %d times at s%d", seed, req.ID, route.Name, n, i)
		}
		if _, refused := answer.(*Refused); refused && n > 0 {
			t.Errorf("seed %d: request %s of %s was refused and ran %d times at s%d", seed, req.ID, route.Name, n, i)
		}
	}
	if m, ok := answer.(*Merged); ok {
		if len(m.Signatures)+m.Missing != 4 || len(m.Records) != recordSize*len(m.Signatures) {
			t.Errorf("seed %d: request %s: %d parts, %d missing and %d bytes of records", seed, req.ID, len(m.Signatures), m.Missing, len(m.Records))
		}
	}
}

// A VM that serves only for others must see the end of its own loss by what they forward.
func TestHelpingVMRegainsItsUplink(t *testing.T) {
	for _, paths := range []pathState{pathsHang, pathsReset, pathsRefuse} {
		synctest.Test(t, func(t *testing.T) {
			routes := forwardRoutes(10)
			f := newForwardFleet(2, 10, routes...)
			defer f.end()
			var group sync.WaitGroup
			var later tally
			began := time.Now()
			f.load(&group, 0, &routes[0], 30*time.Millisecond, began.Add(4*time.Second), began.Add(3*time.Second), &later)
			f.load(&group, 0, &routes[1], 30*time.Millisecond, began.Add(4*time.Second), began.Add(3*time.Second), &later)
			time.Sleep(time.Second)
			f.vms[0].paths.Store(int32(paths))
			time.Sleep(500 * time.Millisecond)
			f.vms[1].paths.Store(int32(paths))
			time.Sleep(500 * time.Millisecond)
			f.vms[1].paths.Store(int32(pathsWork))
			group.Wait()
			later.check(t, fmt.Sprintf("paths %d: after the end", paths), 0.98)
		})
	}
}

// A VM that stalls for a moment must be waited for if it is the only one that serves, and not if
// there is another one.
func TestOnlyHelpingVMIsWaitedFor(t *testing.T) {
	for vms, want := range map[int]time.Duration{
		2: 150 * time.Millisecond,
		3: 120 * time.Millisecond,
	} {
		synctest.Test(t, func(t *testing.T) {
			routes := forwardRoutes(10)
			f := newForwardFleet(vms, 10, routes...)
			defer f.end()
			f.vms[0].paths.Store(int32(pathsHang))
			var group sync.WaitGroup
			var y tally
			f.load(&group, 0, &routes[0], 30*time.Millisecond, time.Now().Add(time.Second), time.Now(), &y)
			group.Wait()
			f.vms[1].stall.Store(int64(100 * time.Millisecond))
			for range 5 {
				sent := time.Now()
				answer := f.vms[0].relay.Serve(context.Background(), request("/all/x"))
				if _, ok := answer.(*Merged); !ok || time.Since(sent) > want {
					t.Errorf("%d VMs: got %T after %v, want an answer within %v", vms, answer, time.Since(sent), want)
				}
			}
		})
	}
}

// A request that no VM can serve must be refused at once, once the loss is certain.
func TestNoVMReachesReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		routes := forwardRoutes(10)
		f := newForwardFleet(3, 10, routes...)
		defer f.end()
		for _, vm := range f.vms {
			vm.paths.Store(int32(pathsHang))
		}
		var group sync.WaitGroup
		var y tally
		for i := range f.vms {
			f.load(&group, i, &routes[0], 50*time.Millisecond, time.Now().Add(2*time.Second), time.Now().Add(time.Second), &y)
		}
		time.Sleep(1500 * time.Millisecond)
		sent := time.Now()
		answer := f.vms[0].relay.Serve(context.Background(), request("/all/x"))
		if w, ok := answer.(*Refused); !ok || time.Since(sent) > 40*time.Millisecond || w.RetryAfter <= 0 {
			t.Errorf("got %T after %v, want a refusal with a time to retry within a few round trips", answer, time.Since(sent))
		}
		group.Wait()
	})
}

// What a VM takes for others must stay below its processor time, and what exceeds it must be
// declined before anything is sent.
func TestIntakeOfForwards(t *testing.T) {
	var i intake
	now := time.Now()
	taken := 0
	for range 10_000 {
		now = now.Add(time.Millisecond)
		if i.allow(now, 42, 1000) {
			taken += 42
		}
	}
	if taken < 9_900 || taken > 10_400 {
		t.Errorf("got %d sends in 10 s, want 10,000 and the burst", taken)
	}
}

// A VM with an older table than one by which the caller's VM has served must not serve: the
// configuration would go back for the caller.
func TestOlderTableIsDeclined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newForwardFleet(2, 4, forwardRoutes(4)...)
		defer f.end()
		forward := &Forward{
			Origin:   "1",
			Request:  request("/all/x"),
			Version:  2,
			MinParts: 1,
			Parts: []ForwardPart{{
				Service: "s0",
			}},
		}
		reply, ok := f.vms[0].relay.ServeForward(context.Background(), forward).(*Declined)
		if !ok || reply.Reason != zldecision.ReasonOldTable {
			t.Fatalf("got %+v, want a decline for the older table", reply)
		}
		f.vms[1].relay.noteForwardVersion(2)
		if got := f.vms[1].relay.forwardVersion(f.vms[1].relay.Registry.Current()); got != 2 {
			t.Fatalf("after a reply by version 2: got %d, want 2", got)
		}
	})
}

// usedUp is a Forwarder of VMs that lose their paths after they used all attempts.
type usedUp struct {
	forwards atomic.Int64
}

func (u *usedUp) Forward(_ context.Context, _ zlpeerbalancer.Peer, c *ForwardCall) ForwardReply {
	c.Start()
	u.forwards.Add(1)
	return &Relayed{
		Answer: &Failed{
			Reason: zldecision.ReasonUplinkLost,
			Runs:   2,
		},
	}
}

// What another VM may have run counts in full: a request whose attempts it has used up must
// not go to a third one.
func TestAttemptsOfOtherVMsCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newForwardFleet(3, 10, forwardRoutes(10)...)
		defer f.end()
		f.vms[0].paths.Store(int32(pathsHang))
		r := f.vms[0].relay
		r.Serve(context.Background(), request("/all/x"))
		if !r.Uplink.IsLost() {
			t.Fatal("the uplink is not lost")
		}
		u := &usedUp{}
		r.Forwarder = u
		if answer, ok := r.Serve(context.Background(), request("/all/x")).(*Failed); !ok || u.forwards.Load() != 1 {
			t.Fatalf("got %+v after %d forwards, want a failure after 1", answer, u.forwards.Load())
		}
	})
}

// A part that is answered here while another VM serves it must count once: the records of the
// other VM hold it too.
func TestPartAnsweredTwiceIsMergedOnce(t *testing.T) {
	route := forwardRoutes(2)[0]
	r := newTestRelayOf(2, newScripted(nil), route)
	x := r.start(context.Background(), r.Registry.Current(), &route, request("/all/x"))
	a := &forwardAttempt{}
	for i := range x.parts {
		a.parts = append(a.parts, forwardedPart{
			part: &x.parts[i],
		})
	}
	record := bytes.Repeat([]byte("a"), recordSize)
	x.parts[0].response = &Response{
		Body:      record,
		Signature: "own",
	}
	x.takeMerged(a, &Merged{
		Services:   []zlunit.Service{"s0", "s1"},
		Signatures: []string{"first", "second"},
		Records:    append(bytes.Repeat([]byte("b"), recordSize), record...),
	})
	m := x.mergedAnswer(time.Now(), "").(*Merged)
	if len(m.Records) != 2*recordSize || m.Signatures[0] != "first" || m.Signatures[1] != "second" || m.Missing != 0 {
		t.Fatalf("got %d records, signatures %v and %d missing, want 2, those of the other VM and none",
			len(m.Records)/recordSize, m.Signatures, m.Missing)
	}
}

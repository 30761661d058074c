package zluplink

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
)

// uplink is a Tracker of 30 replicas whose probes succeed if reachable is set.
type uplink struct {
	*Tracker
	reachable atomic.Bool
	probes    atomic.Int64
	losses    atomic.Int64
}

func newUplink() *uplink {
	u := &uplink{}
	u.Tracker = &Tracker{
		Timer: &zltimer.Service{},
		Replicas: func() int {
			return 30
		},
		Probe: func() bool {
			u.probes.Add(1)
			if u.reachable.Load() {
				u.Connected()
			}
			return u.reachable.Load()
		},
		OnLost: func() {
			u.losses.Add(1)
		},
	}
	return u
}

func replica(i int) zlunit.Upstream {
	return zlunit.Upstream(fmt.Sprintf("i-%d", i))
}

// send notes sends to n replicas and returns when they were made.
func (u *uplink) send(n int) time.Time {
	at := time.Now()
	for i := range n {
		u.Sent(replica(i))
	}
	time.Sleep(time.Millisecond)
	return at
}

func (u *uplink) fail(n int, at time.Time, f Failure) {
	for i := range n {
		u.Failed(replica(i), at, f)
	}
}

// A loss must be found with the first query, and replicas that end, pause or are late
// must not be taken for one.
func TestLossIsToldFromFailingReplicas(t *testing.T) {
	for _, c := range []struct {
		name    string
		sends   int
		failed  int
		failure Failure
		// wait passes after the failures; answered is set if a replica answers then.
		wait     time.Duration
		answered bool
		want     bool
	}{
		{"all parts hang", 10, 10, FailureOverdue, 2 * confirmDelay, false, true},
		{"all parts are late", 10, 10, FailureOverdue, confirmDelay / 2, true, false},
		{"some parts are late", 10, 4, FailureOverdue, time.Second, false, false},
		{"all connections are reset", 10, 10, FailureBroken, 0, false, true},
		{"a request crashes a replica of each shard", 10, 10, FailureBroken, time.Second, true, false},
		{"replicas of some shards end", 42, 9, FailureBroken, time.Second, false, false},
		{"no connection can be made", 10, 10, FailureUnconnected, 0, false, true},
		{"the only two sends hang", 2, 2, FailureOverdue, 2 * fewFailedDelay, false, true},
		{"the only two replicas pause", 2, 2, FailureOverdue, fewFailedDelay / 2, true, false},
		{"one replica hangs", 1, 1, FailureOverdue, time.Second, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := newUplink()
				u.reachable.Store(c.answered && c.failure == FailureBroken)
				time.Sleep(time.Second)
				at := u.send(c.sends)
				u.fail(c.failed, at, c.failure)
				time.Sleep(c.wait)
				if c.answered && u.IsLost() {
					t.Fatal("lost before the answer")
				}
				if c.answered {
					u.Answered(at)
				}
				time.Sleep(time.Second)
				if got := u.IsLost(); got != c.want {
					t.Fatalf("lost: got %v, want %v", got, c.want)
				}
			})
		})
	}
}

// Sends that are a little late after an answer must not end the wait that earlier late ones
// began.
func TestSilenceBeginsAnewAfterAnAnswer(t *testing.T) {
	for _, c := range []struct {
		name  string
		sends int
		delay time.Duration
	}{
		{"two replicas", 2, fewFailedDelay},
		{"ten replicas", 10, confirmDelay},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := newUplink()
				first := u.send(c.sends)
				u.fail(c.sends, first, FailureOverdue)
				time.Sleep(c.delay / 2)
				u.Answered(first)
				time.Sleep(c.delay/2 - 2*time.Millisecond)
				u.fail(c.sends, u.send(c.sends), FailureOverdue)
				time.Sleep(c.delay - time.Millisecond)
				if u.IsLost() {
					t.Fatalf("lost before the sends were silent for %v", c.delay)
				}
				time.Sleep(2 * time.Millisecond)
				if !u.IsLost() {
					t.Fatalf("not lost after the sends were silent for %v", c.delay)
				}
			})
		})
	}
}

// Sends that were made before another replica answered say nothing of the uplink: they may
// have been lost with that replica.
func TestEarlierSendsDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newUplink()
		at := u.send(10)
		u.Answered(at)
		u.fail(10, at, FailureBroken)
		time.Sleep(time.Second)
		if u.IsLost() {
			t.Fatal("lost, want not: a replica answered after the sends")
		}
	})
}

// The end of a loss must be seen at once, by one request at a time, and a connection that
// opens but carries nothing must not end it.
func TestEndOfLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newUplink()
		done := make(chan struct{})
		ended := make(chan struct{})
		go func() {
			u.Run(done)
			close(ended)
		}()
		time.Sleep(time.Second)
		before := time.Now()
		at := u.send(10)
		u.fail(10, at, FailureBroken)
		time.Sleep(10 * time.Second)
		u.Answered(before)
		if !u.IsLost() || u.Try(true) {
			t.Fatal("regained by a late answer to an earlier send, want lost")
		}
		u.reachable.Store(true)
		for try := range 3 {
			time.Sleep(2 * probeInterval << try)
			if !u.Try(true) || u.Try(true) {
				t.Fatalf("try %d: want one request at a time after a probe succeeded", try)
			}
			u.EndTry()
		}
		time.Sleep(maxProbeInterval)
		if u.Try(false) {
			t.Fatal("tried with a request that is not idempotent, want others first")
		}
		if !u.Try(true) {
			t.Fatal("no try, want one")
		}
		time.Sleep(time.Millisecond)
		u.Answered(time.Now())
		if u.IsLost() || u.LostFor() != 0 {
			t.Fatal("lost after an answer, want regained")
		}
		probes := u.probes.Load()
		time.Sleep(time.Minute)
		if u.probes.Load() != probes {
			t.Fatal("probes go on after the loss, want none")
		}
		close(done)
		<-ended
	})
}

// Open connections may live on while no new one can be made. That must be told from
// replicas that end.
func TestNewConnectionsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newUplink()
		u.reachable.Store(true)
		u.fail(3, u.send(30), FailureUnconnected)
		synctest.Wait()
		if got := u.Connect(); got != Connectable {
			t.Fatalf("three replicas ended: got %v, want connectable", got)
		}
		u.reachable.Store(false)
		u.fail(3, u.send(30), FailureUnconnected)
		if got := u.Connect(); got != Unsure {
			t.Fatalf("while others are tried: got %v, want unsure", got)
		}
		synctest.Wait()
		if got := u.Connect(); got != Unconnectable || u.losses.Load() != 1 {
			t.Fatalf("nothing can be connected to: got %v and %d notices, want unconnectable and 1", got, u.losses.Load())
		}
		u.Connected()
		if got := u.Connect(); got != Connectable {
			t.Fatalf("after a connection: got %v, want connectable", got)
		}
	})
}

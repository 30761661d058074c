package zlrelay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlquarantine"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zltable"
)

// newStartingRelay returns a relay whose process starts now. The table arrives
// after tableAfter and the replicas 5 ms later.
func newStartingRelay(tableAfter time.Duration) *Relay {
	r := newTestRelay(newScripted(nil), singleRoute(true, 2))
	known := r.Registry.Current()
	r.Registry = &zlregistry.Registry{
		Timer: r.Timer,
	}
	r.Start = time.Now()
	time.AfterFunc(tableAfter, func() {
		r.Registry.SetTable(known.Table, time.Now(), time.Time{})
	})
	time.AfterFunc(tableAfter+5*time.Millisecond, func() {
		var all []zlregistry.Replica
		for _, list := range known.Replicas {
			for _, e := range list {
				all = append(all, e.Replica)
			}
		}
		r.Registry.Replace(all, time.Now())
	})
	return r
}

// After a power loss of all VMs, callers reach a VM while it reads its first table,
// which takes 20 to 95 ms. A refusal would make them retry only after their
// objective, so their requests must wait for the table, for a limited time.
func TestRequestsAtAStartWaitForTheFirstTable(t *testing.T) {
	for name, c := range map[string]struct {
		arrives  time.Duration
		deadline time.Duration
		table    time.Duration
		served   bool
		within   time.Duration
	}{
		"served once table and replicas are known": {
			arrives:  10 * time.Millisecond,
			deadline: 600 * time.Millisecond,
			table:    40 * time.Millisecond,
			served:   true,
			within:   40 * time.Millisecond,
		},
		"refused after a tenth of the caller's time": {
			arrives:  10 * time.Millisecond,
			deadline: 300 * time.Millisecond,
			table:    90 * time.Millisecond,
			within:   30 * time.Millisecond,
		},
		"refused after the usual startup time": {
			arrives:  70 * time.Millisecond,
			deadline: 2 * time.Second,
			table:    time.Minute,
			within:   30 * time.Millisecond,
		},
		"refused at once after the usual startup time": {
			arrives:  time.Second,
			deadline: 2 * time.Second,
			table:    time.Minute,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newStartingRelay(c.table)
				time.Sleep(c.arrives)
				req := request("/one/x")
				req.Deadline = req.Received.Add(c.deadline)
				a := r.Serve(context.Background(), req)
				took := time.Since(req.Received)
				r.Wait()
				_, served := a.(*Served)
				refused, _ := a.(*Refused)
				if served != c.served || (!served && refused.Reason != zldecision.ReasonNoTable) {
					t.Fatalf("got answer %+v, want served %v or else a refusal for %s", a, c.served, zldecision.ReasonNoTable)
				}
				if took > c.within {
					t.Errorf("answer took %v, want at most %v", took, c.within)
				}
				time.Sleep(2 * time.Minute)
			})
		})
	}
}

// Guards against a VM that sends a request which the others have in quarantine, since it has
// only just started: it waits to be told, but not for long.
func TestRequestsAtAStartWaitForTheQuarantine(t *testing.T) {
	for name, c := range map[string]struct {
		// told is when another VM tells what it has in quarantine.
		told    time.Duration
		refused bool
		within  time.Duration
	}{
		"told in time":  {30 * time.Millisecond, true, 31 * time.Millisecond},
		"told too late": {time.Second, false, startupTime + 50*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newStartingRelay(10 * time.Millisecond)
				r.Quarantine = &zlquarantine.Ledger{
					Timer: r.Timer,
				}
				req := request("/one/x")
				time.AfterFunc(c.told, func() {
					r.Quarantine.Apply(&zlquarantine.Report{
						Quarantined: []zlquarantine.Entry{{
							Fingerprint: req.Message.Fingerprint(),
							Left:        time.Minute,
						}},
					})
					r.Quarantine.MarkKnown()
				})
				a := r.Serve(context.Background(), req)
				took := time.Since(req.Received)
				w, refused := a.(*Refused)
				if refused != c.refused || refused && w.Reason != zldecision.ReasonQuarantined || took > c.within {
					t.Errorf("got %+v after %v, want refused %v within %v", a, took, c.refused, c.within)
				}
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// The wait for the first table must end when the caller disconnects.
func TestCallerLeavesDuringStartup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newStartingRelay(90 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		if a := r.Serve(ctx, request("/one/x")); a != nil {
			t.Fatalf("got answer of type %T for a caller that disconnected, want nil", a)
		}
		time.Sleep(time.Second)
	})
}

// The channel of ReadyChan must be closed once both the table and the replicas are
// known, not before, and a repeated update must not close it again.
func TestReadyNeedsTableAndReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newStartingRelay(0)
		ready := r.Registry.ReadyChan()
		r.Registry.SetTable(zltable.New(1, nil, nil, zltable.Limits{}), time.Now(), time.Time{})
		synctest.Wait()
		select {
		case <-ready:
			t.Fatal("registry is ready before the replicas are known")
		default:
		}
		r.Registry.Replace(nil, time.Now())
		<-ready
		r.Registry.Replace(nil, time.Now())
		<-r.Registry.ReadyChan()
		time.Sleep(time.Second)
	})
}

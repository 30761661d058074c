package zlrelay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zltable"
)

// starting is a relay whose process begins now; its first table and replicas come
// after the time given.
func starting(after time.Duration) *Relay {
	r := bench(newScripted(nil), singleRoute(true, 2))
	known := r.Book.Current()
	r.Book = &zlregistry.Book{
		Timer: r.Timer,
	}
	r.Start = time.Now()
	time.AfterFunc(after, func() {
		r.Book.SetTable(known.Table, time.Now(), time.Time{})
	})
	time.AfterFunc(after+5*time.Millisecond, func() {
		var all []zlregistry.Replica
		for _, list := range known.Replicas {
			for _, e := range list {
				all = append(all, e.Replica)
			}
		}
		r.Book.Replace(all, time.Now())
	})
	return r
}

// All VMs lost power. Callers reach one while it reads its first table, which takes
// 20 to 95 ms: they are served then, not told to come back past their objective.
func TestRequestsAtAStartWaitForTheFirstTable(t *testing.T) {
	for name, c := range map[string]struct {
		arrives  time.Duration
		deadline time.Duration
		table    time.Duration
		served   bool
		within   time.Duration
	}{
		"served once the table is there": {
			arrives:  10 * time.Millisecond,
			deadline: 600 * time.Millisecond,
			table:    40 * time.Millisecond,
			served:   true,
			within:   40 * time.Millisecond,
		},
		"no longer than a tenth of the caller's time": {
			arrives:  10 * time.Millisecond,
			deadline: 300 * time.Millisecond,
			table:    90 * time.Millisecond,
			within:   30 * time.Millisecond,
		},
		"no longer than a start takes": {
			arrives:  70 * time.Millisecond,
			deadline: 2 * time.Second,
			table:    time.Minute,
			within:   30 * time.Millisecond,
		},
		"at once after that": {
			arrives:  time.Second,
			deadline: 2 * time.Second,
			table:    time.Minute,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := starting(c.table)
				time.Sleep(c.arrives)
				req := request("/one/x")
				req.Deadline = req.Received.Add(c.deadline)
				a := r.Serve(context.Background(), req)
				took := time.Since(req.Received)
				r.Wait()
				_, served := a.(*Served)
				refused, _ := a.(*Refused)
				if served != c.served || (!served && refused.Reason != zldecision.ReasonNoTable) {
					t.Fatalf("answer %+v", a)
				}
				if took > c.within {
					t.Errorf("took %v, at most %v", took, c.within)
				}
				time.Sleep(2 * time.Minute)
			})
		})
	}
}

// A caller who leaves while the first table is read is not waited for.
func TestCallerLeavesAtAStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := starting(90 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		if a := r.Serve(ctx, request("/one/x")); a != nil {
			t.Fatalf("answer %T for a caller who left", a)
		}
		time.Sleep(time.Second)
	})
}

// What waited sees the table that ended the wait, whoever tells it first.
func TestReadinessIsToldOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := starting(0)
		ready := r.Book.Readied()
		r.Book.SetTable(zltable.New(1, nil, nil, zltable.Limits{}), time.Now(), time.Time{})
		synctest.Wait()
		select {
		case <-ready:
			t.Fatal("ready without replicas")
		default:
		}
		r.Book.Replace(nil, time.Now())
		<-ready
		r.Book.Replace(nil, time.Now())
		<-r.Book.Readied()
		time.Sleep(time.Second)
	})
}

package zlcoordinator

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zlquarantine"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
)

const (
	crashText = "crash"
	// upstreamRestart is how long an upstream is down after a crash.
	upstreamRestart = time.Second
)

// crashableUpstreams answers sub-requests for all coordinators of a fleet.
type crashableUpstreams struct {
	mu        sync.Mutex
	downUntil map[zlunit.Upstream]time.Time
	crashes   int
	// thirdCrash is when the third upstream crashed, and lateQueries holds the crashing
	// queries that were sent to an upstream more than a second later.
	thirdCrash  time.Time
	lateQueries map[zlunit.RequestID]bool
}

func (u *crashableUpstreams) respond(batch *zlquery.Batch, sub zlquery.SubRequest) (zlquery.Result, time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	if now.Before(u.downUntil[sub.Upstream]) {
		return zlquery.NotRun{
			Reason: zlquery.ReasonDialFailed,
		}, time.Millisecond
	}
	if batch.Text != crashText {
		return done(sub), 5 * time.Millisecond
	}
	u.crashes++
	if u.crashes == 3 {
		u.thirdCrash = now
	}
	if u.crashes > 3 && now.Sub(u.thirdCrash) > time.Second {
		u.lateQueries[batch.Request] = true
	}
	u.downUntil[sub.Upstream] = now.Add(upstreamRestart)
	return zlquery.Unknown{
		Reason: zlquery.ReasonConnectionReset,
	}, 2 * time.Millisecond
}

// newCrashFleet returns coordinators that share 12 upstreams of four shards.
func newCrashFleet(n int) ([]*Coordinator, *crashableUpstreams) {
	u := &crashableUpstreams{
		downUntil:   map[zlunit.Upstream]time.Time{},
		lateQueries: map[zlunit.RequestID]bool{},
	}
	var fleet []*Coordinator
	for range n {
		c := testCoordinator(&fakeDispatcher{
			respond: u.respond,
		})
		c.Views.Store(wideView(4))
		l := &zlquarantine.Ledger{
			Timer: c.Timer,
		}
		l.OnReport = func(report *zlquarantine.Report) {
			for _, other := range fleet {
				if other.Quarantine != l {
					time.AfterFunc(time.Millisecond, func() {
						other.Quarantine.Apply(report)
					})
				}
			}
		}
		c.Quarantine = l
		fleet = append(fleet, c)
	}
	return fleet, u
}

// Guards against a query that crashes upstreams and comes again at any daemon: it may not
// take down one upstream after the other, and the queries beside it are answered.
func TestQueryThatCrashesUpstreamsIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, u := newCrashFleet(3)
		answered, all := 0, 0
		var queries sync.WaitGroup
		for i := range 200 {
			c := fleet[i%len(fleet)]
			if i%10 == 0 {
				queries.Go(func() {
					req := testRequest()
					req.ID = zlunit.RequestID(fmt.Sprintf("crashing-%d", i))
					req.Text = crashText
					c.Answer(context.Background(), req)
				})
			}
			req := testRequest()
			req.Text = fmt.Sprintf("sound-%d", i)
			all++
			if a := c.Answer(context.Background(), req); a.Outcome == zlquery.OutcomeDone && a.Complete {
				answered++
			}
			for _, c := range fleet {
				c.Views.Confirm(time.Now())
			}
			time.Sleep(20 * time.Millisecond)
		}
		queries.Wait()
		if len(u.lateQueries) > 3 {
			t.Errorf("%d queries reached upstreams later than a second after the third crash, want 3 at most", len(u.lateQueries))
		}
		if u.crashes > 10 {
			t.Errorf("%d upstreams crashed, want 10 at most", u.crashes)
		}
		if float64(answered) < 0.95*float64(all) {
			t.Errorf("answered %d of %d sound queries, want 0.95 of them", answered, all)
		}
		t.Logf("%d crashes, %d late queries, answered %d of %d sound queries", u.crashes, len(u.lateQueries), answered, all)
	})
}

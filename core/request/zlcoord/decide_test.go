package zlcoord

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zltree"
	"zinnialock/core/version/zlview"
)

// cancelCall notes when sub-requests are cancelled.
type cancelCall struct {
	mu *sync.Mutex
	at map[zlunit.SubID]time.Time
}

// Cancel implements Call.
func (c cancelCall) Cancel(sub zlunit.SubID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at[sub] = time.Now()
}

// cancelDispatcher is a fakeDispatcher that notes cancellations.
type cancelDispatcher struct {
	fakeDispatcher
	call cancelCall
}

// Dispatch implements Dispatcher.
func (d *cancelDispatcher) Dispatch(ctx context.Context, to zlunit.VM, batch *zlquery.Batch, sink func(zlquery.Reply)) Call {
	d.fakeDispatcher.Dispatch(ctx, to, batch, sink)
	return d.call
}

func policyView(shards int, values zltree.Node) *zlview.View {
	v := wideView(shards)
	v.Deployment = "d"
	v.Tree = &zltree.Tree{
		Nodes: map[zltree.Path]zltree.Node{
			"d": values,
		},
	}
	return v
}

func TestLoserOfAHedgeIsCancelledAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given a shard whose first sub-request hangs while another shard is slow as well", t, func() {
			d := &cancelDispatcher{
				call: cancelCall{
					mu: &sync.Mutex{},
					at: map[zlunit.SubID]time.Time{},
				},
			}
			d.answer = func(_ *zlquery.Batch, sub zlquery.Sub) (zlquery.Result, time.Duration) {
				switch {
				case sub.ID == 0:
					return done(sub), time.Hour
				case sub.Shard == 1:
					return done(sub), 700 * time.Millisecond
				default:
					return done(sub), 2 * time.Millisecond
				}
			}
			c := testCoordinator(nil)
			c.Dispatcher = d
			c.Views.Store(wideView(2))
			start := time.Now()
			a := c.Answer(context.Background(), &zlquery.Request{
				ID:         "r",
				Service:    "s",
				Idempotent: true,
				Deadline:   start.Add(time.Second),
			})
			convey.So(a.Complete, convey.ShouldBeTrue)
			convey.So(d.call.at[0].Sub(start), convey.ShouldEqual, 102*time.Millisecond)
		})
	})
}

func TestWaitGoesByTheKindsPolicy(t *testing.T) {
	for _, tc := range []struct {
		name     string
		policy   zltree.Node
		least    zlunit.Coverage
		deadline time.Duration
		want     zlunit.Coverage
		took     time.Duration
		outcome  zlquery.Outcome
	}{
		{
			name: "enough coverage after the time for it",
			policy: zltree.Node{
				zltree.KeyEnoughCoverage: 0.75,
				zltree.KeyEnoughAfter:    "50ms",
			},
			deadline: time.Second,
			want:     0.75,
			took:     50 * time.Millisecond,
			outcome:  zlquery.OutcomeDone,
		},
		{
			name: "the caller asks for more than the policy does",
			policy: zltree.Node{
				zltree.KeyEnoughCoverage: 0.75,
				zltree.KeyEnoughAfter:    "50ms",
			},
			least:    1,
			deadline: time.Second,
			want:     1,
			took:     400 * time.Millisecond,
			outcome:  zlquery.OutcomeDone,
		},
		{
			name: "the deadline comes before the time for enough",
			policy: zltree.Node{
				zltree.KeyEnoughCoverage: 0.75,
				zltree.KeyEnoughAfter:    "5s",
			},
			deadline: 100 * time.Millisecond,
			want:     0.75,
			took:     100*time.Millisecond - lateness,
			outcome:  zlquery.OutcomeDone,
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			tc.policy[zltree.KeyHedgeShare] = 0.0
			c := testCoordinator(&fakeDispatcher{
				answer: func(_ *zlquery.Batch, sub zlquery.Sub) (zlquery.Result, time.Duration) {
					if sub.Shard == 0 {
						return done(sub), 400 * time.Millisecond
					}
					return done(sub), time.Millisecond
				},
			})
			c.Views.Store(policyView(4, tc.policy))
			start := time.Now()
			a := c.Answer(context.Background(), &zlquery.Request{
				ID:            "r",
				Service:       "s",
				Idempotent:    true,
				LeastCoverage: tc.least,
				Deadline:      start.Add(tc.deadline),
			})
			if a.Outcome != tc.outcome || a.Coverage != tc.want || time.Since(start) != tc.took {
				t.Errorf("%s: %s, coverage %v after %v, want %s, %v after %v", tc.name, a.Outcome, a.Coverage, time.Since(start), tc.outcome, tc.want, tc.took)
			}
		})
	}
}

func TestHopelessQueryIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given a shard whose replicas all drain, and a caller that wants all of it", t, func() {
			c := testCoordinator(&fakeDispatcher{
				answer: func(_ *zlquery.Batch, sub zlquery.Sub) (zlquery.Result, time.Duration) {
					if sub.Shard == 0 {
						return zlquery.NotRun{
							Reason:     zlquery.ReasonDraining,
							RetryAfter: 7 * time.Second,
						}, time.Millisecond
					}
					return done(sub), 900 * time.Millisecond
				},
			})
			c.Views.Store(wideView(4))
			start := time.Now()
			a := c.Answer(context.Background(), &zlquery.Request{
				ID:            "r",
				Service:       "s",
				Idempotent:    true,
				LeastCoverage: 1,
				Deadline:      start.Add(time.Second),
			})
			convey.So(a.Outcome, convey.ShouldEqual, zlquery.OutcomeUnknown)
			convey.So(a.RetryAfter, convey.ShouldEqual, 7*time.Second)
			convey.So(time.Since(start), convey.ShouldBeLessThan, 10*time.Millisecond)
		})
	})
}

func TestHintIsWaitedForWhereTimeAllows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given replicas that shed once and say when to come back", t, func() {
			tries := 0
			start := time.Now()
			c := testCoordinator(&fakeDispatcher{
				answer: func(_ *zlquery.Batch, sub zlquery.Sub) (zlquery.Result, time.Duration) {
					tries++
					if time.Since(start) < 80*time.Millisecond {
						return zlquery.NotRun{
							Reason:     zlquery.ReasonShed,
							RetryAfter: 80 * time.Millisecond,
						}, time.Millisecond
					}
					return done(sub), time.Millisecond
				},
			})
			a := c.Answer(context.Background(), &zlquery.Request{
				ID:       "r",
				Service:  "s",
				Deadline: start.Add(time.Second),
			})
			convey.So(a.Complete, convey.ShouldBeTrue)
			convey.So(tries, convey.ShouldBeLessThanOrEqualTo, 6)
			convey.So(time.Since(start), convey.ShouldBeLessThan, 200*time.Millisecond)
		})
	})
}

package zlcoordinator

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlsettings"
	"zinnialock/core/version/zlview"
)

// recordingCall records when sub-requests are cancelled.
type recordingCall struct {
	mu          *sync.Mutex
	cancelledAt map[zlunit.SubRequestID]time.Time
}

// Cancel implements Call.
func (c recordingCall) Cancel(sub zlunit.SubRequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelledAt[sub] = time.Now()
}

// recordingDispatcher is a fakeDispatcher that records cancellations.
type recordingDispatcher struct {
	fakeDispatcher
	call recordingCall
}

// Dispatch implements Dispatcher.
func (d *recordingDispatcher) Dispatch(ctx context.Context, to zlunit.VM, batch *zlquery.Batch, sink func(zlquery.Reply)) Call {
	d.fakeDispatcher.Dispatch(ctx, to, batch, sink)
	return d.call
}

// policyView is a wideView with settings.
func policyView(shards int, values zlsettings.Node) *zlview.View {
	v := wideView(shards)
	v.Deployment = "d"
	v.Tree = &zlsettings.Tree{
		Nodes: map[zlsettings.Path]zlsettings.Node{
			"d": values,
		},
	}
	return v
}

func TestLosingSubRequestOfAHedgeIsCancelledImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given a shard whose first sub-request hangs and a second shard that is slow", t, func() {
			d := &recordingDispatcher{
				call: recordingCall{
					mu:          &sync.Mutex{},
					cancelledAt: map[zlunit.SubRequestID]time.Time{},
				},
			}
			d.respond = func(_ *zlquery.Batch, sub zlquery.SubRequest) (zlquery.Result, time.Duration) {
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
			convey.So(d.call.cancelledAt[0].Sub(start), convey.ShouldEqual, 102*time.Millisecond)
		})
	})
}

func TestWaitFollowsCoveragePolicy(t *testing.T) {
	for _, tc := range []struct {
		name          string
		policy        zlsettings.Node
		leastCoverage zlunit.Coverage
		deadline      time.Duration
		want          zlunit.Coverage
		took          time.Duration
		outcome       zlquery.Outcome
	}{
		{
			name: "enough coverage after EnoughAfter",
			policy: zlsettings.Node{
				zlsettings.KeyEnoughCoverage: 0.75,
				zlsettings.KeyEnoughAfter:    "50ms",
			},
			deadline: time.Second,
			want:     0.75,
			took:     50 * time.Millisecond,
			outcome:  zlquery.OutcomeDone,
		},
		{
			name: "caller asks for more coverage than the policy",
			policy: zlsettings.Node{
				zlsettings.KeyEnoughCoverage: 0.75,
				zlsettings.KeyEnoughAfter:    "50ms",
			},
			leastCoverage: 1,
			deadline:      time.Second,
			want:          1,
			took:          400 * time.Millisecond,
			outcome:       zlquery.OutcomeDone,
		},
		{
			name: "deadline before EnoughAfter",
			policy: zlsettings.Node{
				zlsettings.KeyEnoughCoverage: 0.75,
				zlsettings.KeyEnoughAfter:    "5s",
			},
			deadline: 100 * time.Millisecond,
			want:     0.75,
			took:     100*time.Millisecond - replyMargin,
			outcome:  zlquery.OutcomeDone,
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			tc.policy[zlsettings.KeyHedgeShare] = 0.0
			c := testCoordinator(&fakeDispatcher{
				respond: func(_ *zlquery.Batch, sub zlquery.SubRequest) (zlquery.Result, time.Duration) {
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
				LeastCoverage: tc.leastCoverage,
				Deadline:      start.Add(tc.deadline),
			})
			if a.Outcome != tc.outcome || a.Coverage != tc.want || time.Since(start) != tc.took {
				t.Errorf("%s: got %s with coverage %v after %v, want %s with %v after %v", tc.name, a.Outcome, a.Coverage, time.Since(start), tc.outcome, tc.want, tc.took)
			}
		})
	}
}

func TestQueryThatCannotReachItsCoverageIsRefusedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given a shard whose replicas all drain, and a caller that asks for full coverage", t, func() {
			c := testCoordinator(&fakeDispatcher{
				respond: func(_ *zlquery.Batch, sub zlquery.SubRequest) (zlquery.Result, time.Duration) {
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

func TestRetryWaitsForRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given replicas that shed load and ask for a retry after 80 ms", t, func() {
			sends := 0
			start := time.Now()
			c := testCoordinator(&fakeDispatcher{
				respond: func(_ *zlquery.Batch, sub zlquery.SubRequest) (zlquery.Result, time.Duration) {
					sends++
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
			convey.So(sends, convey.ShouldBeLessThanOrEqualTo, 6)
			convey.So(time.Since(start), convey.ShouldBeLessThan, 200*time.Millisecond)
		})
	})
}

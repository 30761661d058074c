package zlcoordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
)

// TestVersionGoneDuringQuery covers a version that upstreams drop while a query
// runs: version 2 loses shard 0 while shard 1 answers, and version 1 either
// serves or drains.
func TestVersionGoneDuringQuery(t *testing.T) {
	for _, tc := range []struct {
		name          string
		oldServe      bool
		leastCoverage zlunit.Coverage
		deadline      time.Duration
		outcome       zlquery.Outcome
		version       zlunit.IndexVersion
		parts         int
	}{
		{
			name:     "all shards at the other version",
			oldServe: true,
			deadline: time.Second,
			outcome:  zlquery.OutcomeDone,
			version:  1,
			parts:    shardsAt(1),
		},
		{
			name:     "first plan had more coverage than the new one",
			deadline: time.Second,
			outcome:  zlquery.OutcomeDone,
			version:  2,
			parts:    shardsAt(2) - 1,
		},
		{
			name:          "refused after a sub-request of the first plan ran",
			leastCoverage: 1,
			deadline:      time.Second,
			outcome:       zlquery.OutcomeUnknown,
		},
		{
			name:     "no time left for a new plan",
			oldServe: true,
			deadline: 5 * time.Millisecond,
			outcome:  zlquery.OutcomeDone,
			version:  2,
			parts:    shardsAt(2) - 1,
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := testCoordinator(&fakeDispatcher{
				respond: func(_ *zlquery.Batch, sub zlquery.SubRequest) (zlquery.Result, time.Duration) {
					reason := zlquery.ReasonNone
					switch {
					case sub.Version == 2 && sub.Shard == 0:
						reason = zlquery.ReasonVersionGone
					case sub.Version == 1 && !tc.oldServe:
						reason = zlquery.ReasonDraining
					}
					if reason != zlquery.ReasonNone {
						return zlquery.NotRun{
							Reason: reason,
						}, 2 * time.Millisecond
					}
					return done(sub), time.Millisecond
				},
			})
			c.Views.Store(versionedView(1, 2, nil))
			a := c.Answer(context.Background(), &zlquery.Request{
				ID:            "r",
				Service:       "s",
				Idempotent:    true,
				LeastCoverage: tc.leastCoverage,
				Deadline:      time.Now().Add(tc.deadline),
			})
			wrong := a.Outcome != tc.outcome || len(a.Parts) != tc.parts
			if wrong || (a.Outcome == zlquery.OutcomeDone && a.Version != tc.version) {
				t.Errorf("%s: got %+v, want outcome %s with %d parts of version %d", tc.name, a, tc.outcome, tc.parts, tc.version)
			}
		})
	}
}

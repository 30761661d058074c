package zlcoord

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
)

// TestVersionGoneMidway has version 2 lose its shard 0 while shard 1 answers,
// and version 1 either serve or drain.
func TestVersionGoneMidway(t *testing.T) {
	for _, tc := range []struct {
		name     string
		oldServe bool
		least    zlunit.Coverage
		deadline time.Duration
		outcome  zlquery.Outcome
		version  zlunit.IndexVersion
		parts    int
	}{
		{
			name:     "planned anew as a whole",
			oldServe: true,
			deadline: time.Second,
			outcome:  zlquery.OutcomeDone,
			version:  1,
			parts:    shardsAt(1),
		},
		{
			name:     "the part at the pinned version is more than the new plan came to",
			deadline: time.Second,
			outcome:  zlquery.OutcomeDone,
			version:  2,
			parts:    shardsAt(2) - 1,
		},
		{
			name:     "refused after something ran under the first plan",
			least:    1,
			deadline: time.Second,
			outcome:  zlquery.OutcomeUnknown,
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
				answer: func(_ *zlquery.Batch, sub zlquery.Sub) (zlquery.Result, time.Duration) {
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
			c.Views.Store(chaosView(1, 2, nil))
			a := c.Answer(context.Background(), &zlquery.Request{
				ID:            "r",
				Service:       "s",
				Idempotent:    true,
				LeastCoverage: tc.least,
				Deadline:      time.Now().Add(tc.deadline),
			})
			wrong := a.Outcome != tc.outcome || len(a.Parts) != tc.parts
			if wrong || (a.Outcome == zlquery.OutcomeDone && a.Version != tc.version) {
				t.Errorf("%s: got %+v", tc.name, a)
			}
		})
	}
}

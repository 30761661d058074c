package zltestbed

import (
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/io/process/zlload"

	"github.com/phuslu/log"
)

// TestRestartsOfManyUpstreamsUnderLoad restarts one to three random upstreams every
// 100 ms under load. It guards against daemons that send more than the cold limit
// to an upstream that has just restarted, or open too many connections to it; the
// upstreams count both themselves. Answers with wrong rows fail the test too.
func TestRestartsOfManyUpstreamsUnderLoad(t *testing.T) {
	ctx := context.Background()
	testbed := &Testbed{
		Plan: Guild(),
		Seed: 1,
		Log: &log.Logger{
			Writer: &log.IOWriter{
				Writer: io.Discard,
			},
		},
	}
	if err := testbed.Run(ctx); err != nil {
		t.Fatal(err)
	}
	defer testbed.Close()
	catalogs := &zlload.CatalogCache{
		Client: testbed.Client,
	}
	if err := catalogs.Read(ctx); err != nil {
		t.Fatal(err)
	}
	names := make([]zlunit.Upstream, 0, len(testbed.Upstreams))
	for name := range testbed.Upstreams {
		names = append(names, name)
	}
	slices.Sort(names)
	summaries := make(chan zlload.Summary, 1)
	go func() {
		summary, _, err := (&zlload.Load{
			Targets:  testbed.Targets(),
			Rate:     60,
			Duration: 4 * time.Second,
			Seed:     1,
			Mix: []zlload.QueryShape{
				{
					Service:  "bench-desk",
					Kind:     "finder",
					Weight:   1,
					Deadline: time.Second,
				},
				{
					Service:  "bore-library",
					Kind:     "finder",
					Weight:   1,
					Deadline: time.Second,
				},
			},
			Checker: &zlload.Checker{
				Shards: catalogs.Shards,
			},
		}).Run(ctx)
		if err != nil {
			t.Error(err)
		}
		summaries <- summary
	}()
	random := rand.New(rand.NewPCG(1, 1))
	var summary zlload.Summary
	for running := true; running; {
		select {
		case summary = <-summaries:
			running = false
		case <-time.After(100 * time.Millisecond):
			for range 1 + random.IntN(3) {
				testbed.Upstreams[names[random.IntN(len(names))]].GoCold(true)
			}
		}
	}
	t.Logf("%d sent, %d answered, %d refused, coverage %.4f, p99 %.0f ms", summary.Sent, summary.Answered, summary.Refused, summary.CoverageMean, summary.P99Ms)
	for name, u := range testbed.Upstreams {
		if c := u.Counts(); c.ColdPeak > int(c.ColdLimit) || c.RefusedConns > 0 {
			t.Errorf("upstream %s: got %d requests in flight while cold, want at most %d; got %d connections refused, want 0", name, c.ColdPeak, c.ColdLimit, c.RefusedConns)
		}
	}
	if len(summary.Violations) > 0 {
		t.Errorf("got violations %v, want none", summary.Violations)
	}
}

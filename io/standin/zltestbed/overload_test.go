package zltestbed

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/io/process/zlload"

	"github.com/phuslu/log"
)

// overloadPlan returns a small deployment that is limited by its upstreams, not by
// the machine that runs the benchmark.
func overloadPlan() Plan {
	return Plan{
		Deployment:  "trial",
		DataCentres: []zlunit.DataCentre{"a", "b", "c"},
		Daemons:     1,
		Services: []ServicePlan{
			{
				Name:        "s",
				Shards:      overloadShards,
				Replicas:    3,
				Slots:       overloadSlots,
				Connections: 30,
				ConnectMs:   shardedConnectMs,
				ServiceMs:   overloadServiceMs,
				ColdLimit:   coldLimit,
				ColdWork:    coldWork,
			},
		},
	}
}

const (
	overloadShards    = 4
	overloadSlots     = 2
	overloadServiceMs = 20.0
	overloadDeadline  = 500 * time.Millisecond
	overloadDuration  = 5 * time.Second
	// overloadCapacity is the number of queries that the upstreams can serve a second.
	overloadCapacity = 3 * overloadSlots * 1000 / overloadServiceMs
)

// BenchmarkOverload offers the daemons and the naive version from half to twice the
// capacity of their upstreams and reports the rate of complete answers within the
// deadline.
func BenchmarkOverload(b *testing.B) {
	for _, naive := range []bool{true, false} {
		for _, percent := range []int{50, 80, 100, 150, 200} {
			b.Run(fmt.Sprintf("naive=%v/offered=%d", naive, percent), func(b *testing.B) {
				for b.Loop() {
					useful, summary := measureOverload(b, naive, overloadCapacity*float64(percent)/100)
					b.ReportMetric(useful, "useful/s")
					b.ReportMetric(summary.P99Ms, "p99-ms")
				}
			})
		}
	}
}

// measureOverload runs a testbed at the given rate, in queries a second, after a warm-up at
// a third of the capacity. It returns the rate of complete answers within the
// deadline.
func measureOverload(b *testing.B, naive bool, rate float64) (float64, zlload.Summary) {
	ctx := context.Background()
	testbed := &Testbed{
		Plan:  overloadPlan(),
		Seed:  1,
		Naive: naive,
		Log: &log.Logger{
			Writer: &log.IOWriter{
				Writer: io.Discard,
			},
		},
	}
	if err := testbed.Run(ctx); err != nil {
		b.Fatal(err)
	}
	defer testbed.Close()
	catalogs := &zlload.CatalogCache{
		Client: testbed.Client,
	}
	if err := catalogs.Read(ctx); err != nil {
		b.Fatal(err)
	}
	run := func(rate float64, length time.Duration) (zlload.Summary, []zlload.Point) {
		summary, points, err := (&zlload.Load{
			Targets:  testbed.Targets(),
			Rate:     rate,
			Duration: length,
			Seed:     1,
			Mix: []zlload.QueryShape{
				{
					Service:     "s",
					Kind:        "k",
					Weight:      1,
					Deadline:    overloadDeadline,
					MinCoverage: 1,
				},
			},
			Checker: &zlload.Checker{
				Shards: catalogs.Shards,
			},
		}).Run(ctx)
		if err != nil {
			b.Fatal(err)
		}
		return summary, points
	}
	run(overloadCapacity/3, 3*time.Second)
	summary, points := run(rate, overloadDuration)
	useful := 0
	for _, p := range points {
		if p.Coverage == 1 && p.Latency <= overloadDeadline {
			useful++
		}
	}
	return float64(useful) / overloadDuration.Seconds(), summary
}

package zlscene

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

// overloaded is a small deployment whose upstreams, not the machine that the
// benchmark runs on, are the limit.
func overloaded() UserPlan {
	return UserPlan{
		Deployment:  "trial",
		DataCentres: []zlunit.DataCentre{"a", "b", "c"},
		Daemons:     1,
		Services: []ServicePlan{
			{
				Name:        "s",
				Shards:      overShards,
				Replicas:    3,
				Slots:       overSlots,
				Connections: 30,
				ConnectMs:   slowConnect,
				ServiceMs:   overServiceMs,
				ColdLimit:   coldLimit,
				ColdWork:    coldWork,
			},
		},
	}
}

const (
	overShards    = 4
	overSlots     = 2
	overServiceMs = 20.0
	overAllowed   = 500 * time.Millisecond
	overTime      = 5 * time.Second
	// overBears is how many queries a second the upstreams can serve.
	overBears = 3 * overSlots * 1000 / overServiceMs
)

// BenchmarkOverload offers a tier and the naive version up to twice what their
// upstreams bear and reports whole answers in time, a second.
func BenchmarkOverload(b *testing.B) {
	for _, naive := range []bool{true, false} {
		for _, percent := range []int{50, 80, 100, 150, 200} {
			b.Run(fmt.Sprintf("naive=%v/offered=%d", naive, percent), func(b *testing.B) {
				for b.Loop() {
					useful, summary := overload(b, naive, overBears*float64(percent)/100)
					b.ReportMetric(useful, "useful/s")
					b.ReportMetric(summary.P99Ms, "p99-ms")
				}
			})
		}
	}
}

func overload(b *testing.B, naive bool, rate float64) (float64, zlload.Summary) {
	ctx := context.Background()
	scene := &Scene{
		Plan:  overloaded(),
		Seed:  1,
		Naive: naive,
		Log: &log.Logger{
			Writer: &log.IOWriter{
				Writer: io.Discard,
			},
		},
	}
	if err := scene.Run(ctx); err != nil {
		b.Fatal(err)
	}
	defer scene.Close()
	catalogs := &zlload.Catalogs{
		Client: scene.Client,
	}
	if err := catalogs.Read(ctx); err != nil {
		b.Fatal(err)
	}
	run := func(rate float64, length time.Duration) (zlload.Summary, []zlload.Point) {
		summary, points, err := (&zlload.Load{
			Targets:  scene.Targets(),
			Rate:     rate,
			Duration: length,
			Seed:     1,
			Mix: []zlload.Shape{
				{
					Service:  "s",
					Kind:     "k",
					Weight:   1,
					Deadline: overAllowed,
					Least:    1,
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
	run(overBears/3, 3*time.Second)
	summary, points := run(rate, overTime)
	useful := 0
	for _, p := range points {
		if p.Coverage == 1 && p.Latency <= overAllowed {
			useful++
		}
	}
	return float64(useful) / overTime.Seconds(), summary
}

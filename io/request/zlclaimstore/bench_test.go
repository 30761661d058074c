package zlclaimstore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/request/zlclaim"
	"zinnialock/io/process/zlplatform"
	"zinnialock/io/standin/zlfakeplatform"
)

// benchWrites is the platform's rate in the benchmark, in writes per second.
const benchWrites = 300

// benchRun is one measurement: claims and their outcomes at an open rate.
type benchRun struct {
	writers *zlclaim.Writers
	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	failed  atomic.Int64
	wg      sync.WaitGroup
}

// countBytes counts the bodies of writes.
type countBytes struct {
	bytes atomic.Int64
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (c *countBytes) RoundTrip(r *http.Request) (*http.Response, error) {
	c.bytes.Add(max(r.ContentLength, 0))
	return c.next.RoundTrip(r)
}

// BenchmarkClaims drives the log of claims on the platform stand-in, the 16
// segments' writers in one process, as if the whole fleet sent to them.
func BenchmarkClaims(b *testing.B) {
	for _, rate := range []int{130, 1300, 6500, 13000} {
		b.Run(fmt.Sprintf("claims=%d", rate), func(b *testing.B) {
			for range b.N {
				benchClaims(b, rate, 6*time.Second)
			}
		})
	}
}

func benchClaims(b *testing.B, rate int, length time.Duration) {
	platform := &zlfakeplatform.Platform{
		WritesPerSecond: benchWrites,
		ReadsPerSecond:  2000,
	}
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	count := &countBytes{
		next: &http.Transport{
			MaxIdleConnsPerHost: 64,
		},
	}
	run := &benchRun{
		latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		writers: &zlclaim.Writers{
			Timer: &zltimer.Service{},
			Store: &Store{
				Client: &zlplatform.Client{
					Address: strings.TrimPrefix(server.URL, "http://"),
					HTTP: &http.Client{
						Transport: count,
					},
					Timeout: 2 * time.Second,
				},
			},
		},
	}
	run.writers.Run()
	defer run.writers.Close()
	start := time.Now()
	total := int(float64(rate) * length.Seconds())
	for i := range total {
		due := start.Add(time.Duration(float64(i) / float64(rate) * float64(time.Second)))
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		}
		run.wg.Go(func() { run.one(due) })
	}
	run.wg.Wait()
	seconds := time.Since(start).Seconds()
	b.ReportMetric(float64(platform.Counts().Writes)/seconds, "writes/s")
	b.ReportMetric(float64(count.bytes.Load())/seconds/1024, "KB/s")
	b.ReportMetric(float64(run.latency.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(run.latency.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(run.failed.Load()), "failed")
	b.ReportMetric(0, "ns/op")
}

// one claims an id and records that it ran, as a guard does.
func (r *benchRun) one(due time.Time) {
	ask := zlclaim.ClaimRequest{
		ID:     zlclaim.NewID(time.Now()),
		Nonce:  zlclaim.Nonce(rand.Uint64()),
		Holder: "nashua-1",
	}
	reply, err := r.writers.Claim(context.Background(), ask)
	if err != nil || reply.Verdict != zlclaim.VerdictGranted {
		r.failed.Add(1)
		return
	}
	r.mu.Lock()
	_ = r.latency.RecordValue(time.Since(due).Microseconds())
	r.mu.Unlock()
	_ = r.writers.Record(context.Background(), zlclaim.Outcome{
		ID:    ask.ID,
		Nonce: ask.Nonce,
		State: zlclaim.StateDone,
	})
}

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

// benchWritesPerSecond is the platform's limit in the benchmark.
const benchWritesPerSecond = 300

// benchRun is one measurement of claims and their outcomes that arrive at a fixed
// rate, independent of the replies.
type benchRun struct {
	writers *zlclaim.Writers
	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	failed  atomic.Int64
	wg      sync.WaitGroup
}

// byteCounter is an HTTP transport that counts the bytes of request bodies.
type byteCounter struct {
	bytes atomic.Int64
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (c *byteCounter) RoundTrip(r *http.Request) (*http.Response, error) {
	c.bytes.Add(max(r.ContentLength, 0))
	return c.next.RoundTrip(r)
}

// BenchmarkClaims writes the claim log to the stand-in for the platform. The writers
// of all 16 segments run in one process, as if the whole fleet sent to them.
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
		WritesPerSecond: benchWritesPerSecond,
		ReadsPerSecond:  2000,
	}
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	count := &byteCounter{
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
		run.wg.Go(func() { run.claimOnce(due) })
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

// claimOnce claims an id that was due at the time due and records that the request
// ran, as zlclaim.Guard does.
func (r *benchRun) claimOnce(due time.Time) {
	request := zlclaim.ClaimRequest{
		ID:     zlclaim.NewID(time.Now()),
		Nonce:  zlclaim.Nonce(rand.Uint64()),
		Holder: "nashua-1",
	}
	reply, err := r.writers.Claim(context.Background(), request)
	if err != nil || reply.Verdict != zlclaim.VerdictGranted {
		r.failed.Add(1)
		return
	}
	r.mu.Lock()
	_ = r.latency.RecordValue(time.Since(due).Microseconds())
	r.mu.Unlock()
	_ = r.writers.Record(context.Background(), zlclaim.Outcome{
		ID:    request.ID,
		Nonce: request.Nonce,
		State: zlclaim.StateDone,
	})
}

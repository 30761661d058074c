// Package zlload sends queries at a fixed rate, whatever the answers take, and
// checks each answer by itself.
package zlload

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/io/request/zlfront"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Shape is one kind of query in the mix.
type Shape struct {
	Service    zlunit.Service
	Kind       zlunit.QueryKind
	Idempotent bool
	Weight     int
	Deadline   time.Duration
}

// Load is one run. All fields must be set before Run.
type Load struct {
	// Targets are the daemons' caller addresses, taken in turn.
	Targets []string
	// Rate is in queries per second.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	Mix      []Shape
	Checker  *Checker
	// Progress, if set, is called about each second.
	Progress func(Summary)
}

// Summary is the result of a run.
type Summary struct {
	Sent         int64            `json:"sent"`
	Answered     int64            `json:"answered"`
	Refused      int64            `json:"refused"`
	Failed       int64            `json:"failed"`
	P50Ms        float64          `json:"p50Ms"`
	P99Ms        float64          `json:"p99Ms"`
	P999Ms       float64          `json:"p999Ms"`
	MaxMs        float64          `json:"maxMs"`
	CoverageMean float64          `json:"coverageMean"`
	CoverageMin  float64          `json:"coverageMin"`
	ExtraLoad    float64          `json:"extraLoad"`
	Hedges       int64            `json:"hedges"`
	Retries      int64            `json:"retries"`
	Violations   []string         `json:"violations"`
	Reasons      map[string]int64 `json:"reasons"`
}

const (
	// maxLatency is the largest latency that the histogram holds, in microseconds.
	maxLatency = int64(10 * time.Minute / time.Microsecond)
	// maxViolations bounds how many are kept as text.
	maxViolations = 50
	// slack is what a caller waits beyond its deadline for the answer to travel.
	slack = 2 * time.Second
)

type tally struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	summary   Summary
	coverage  float64
	parts     int64
	subs      int64
	points    []Point
	start     time.Time
}

// Point is one answer, for plots.
type Point struct {
	At       time.Duration
	Latency  time.Duration
	Coverage float64
}

// Run sends the whole load and waits for the last answer.
func (l *Load) Run(ctx context.Context) (Summary, []Point) {
	t := &tally{
		histogram: hdrhistogram.New(1, maxLatency, 3),
		start:     time.Now(),
	}
	t.summary.CoverageMin = 1
	t.summary.Reasons = map[string]int64{}
	client := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 512,
		},
	}
	defer client.CloseIdleConnections()
	stop := l.report(t)
	l.send(ctx, client, t)
	stop()
	return t.result(), t.points
}

func (l *Load) report(t *tally) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	if l.Progress == nil {
		return func() {}
	}
	wg.Go(func() {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				l.Progress(t.result())
			case <-done:
				return
			}
		}
	})
	return func() {
		close(done)
		wg.Wait()
	}
}

// send paces the queries by their intended times and waits for all of them.
func (l *Load) send(ctx context.Context, client *http.Client, t *tally) {
	random := rand.New(rand.NewPCG(l.Seed, 7))
	total := int(l.Rate * l.Duration.Seconds())
	gap := float64(time.Second) / l.Rate
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := range total {
		intended := t.start.Add(time.Duration(float64(i) * gap))
		if wait := time.Until(intended); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				return
			}
		}
		shape := l.pick(random)
		target := l.Targets[i%len(l.Targets)]
		wg.Go(func() {
			l.one(client, t, shape, target, i, intended)
		})
	}
}

func (l *Load) pick(random *rand.Rand) Shape {
	total := 0
	for _, s := range l.Mix {
		total += s.Weight
	}
	n := random.IntN(total)
	for _, s := range l.Mix {
		n -= s.Weight
		if n < 0 {
			return s
		}
	}
	return l.Mix[0]
}

func (l *Load) one(client *http.Client, t *tally, shape Shape, target string, i int, intended time.Time) {
	req := zlfront.Request{
		RequestID:  zlunit.RequestID(fmt.Sprintf("load-%d-%d-%d", l.Seed, t.start.UnixNano(), i)),
		Service:    shape.Service,
		Kind:       shape.Kind,
		Text:       fmt.Sprintf("text-%d-%d", l.Seed, i),
		DeadlineMs: shape.Deadline.Milliseconds(),
		Idempotent: &shape.Idempotent,
	}
	ctx, cancel := context.WithTimeout(context.Background(), shape.Deadline+slack)
	defer cancel()
	answer, err := Post(ctx, client, target, &req)
	latency := time.Since(intended)
	if err != nil {
		t.failed(err)
		return
	}
	var faults []string
	if l.Checker != nil {
		faults = l.Checker.Check(&req, answer)
	}
	t.add(answer, faults, latency, intended)
}

// Post sends one query to a daemon and decodes the answer, whatever its status.
func Post(ctx context.Context, client *http.Client, target string, req *zlfront.Request) (*zlfront.Answer, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+zlfront.Path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() {
		_ = resp.Body.Close()
	}()
	var a zlfront.Answer
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return nil, err
	}
	return &a, nil
}

func (t *tally) failed(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.summary.Sent++
	t.summary.Failed++
	t.summary.Reasons["transport"]++
	_ = err
}

func (t *tally) add(a *zlfront.Answer, faults []string, latency time.Duration, intended time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.summary.Sent++
	t.violate(faults)
	t.subs += int64(a.Subs)
	t.summary.Hedges += int64(a.Hedges)
	t.summary.Retries += int64(a.Retries)
	if a.Outcome != zlquery.OutcomeDone {
		t.summary.Refused++
		t.summary.Reasons[string(a.Refusal.Reason)]++
		return
	}
	t.summary.Answered++
	t.parts += int64(len(a.Parts))
	_ = t.histogram.RecordValue(max(latency.Microseconds(), 1))
	coverage := float64(a.Coverage)
	t.coverage += coverage
	t.summary.CoverageMin = min(t.summary.CoverageMin, coverage)
	t.points = append(t.points, Point{
		At:       intended.Sub(t.start),
		Latency:  latency,
		Coverage: coverage,
	})
}

func (t *tally) violate(faults []string) {
	for _, f := range faults {
		if len(t.summary.Violations) < maxViolations {
			t.summary.Violations = append(t.summary.Violations, f)
		}
	}
}

func (t *tally) result() Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.summary
	s.Reasons = make(map[string]int64, len(t.summary.Reasons))
	for k, v := range t.summary.Reasons {
		s.Reasons[k] = v
	}
	s.Violations = append([]string{}, t.summary.Violations...)
	ms := func(q float64) float64 {
		return float64(t.histogram.ValueAtQuantile(q)) / 1000
	}
	s.P50Ms = ms(50)
	s.P99Ms = ms(99)
	s.P999Ms = ms(99.9)
	s.MaxMs = float64(t.histogram.Max()) / 1000
	if s.Answered > 0 {
		s.CoverageMean = t.coverage / float64(s.Answered)
	}
	if t.parts > 0 {
		s.ExtraLoad = float64(t.subs)/float64(t.parts) - 1
	}
	return s
}

package zlload

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Summary is the result of a run.
type Summary struct {
	Sent     int64 `json:"sent"`
	Answered int64 `json:"answered"`
	Refused  int64 `json:"refused"`
	// Failed counts requests that got no answer from any daemon tried.
	Failed int64 `json:"failed"`
	// Cut counts attempts that reached a daemon and got no answer from it.
	Cut int64 `json:"cut"`
	// HungUp counts attempts whose caller did not wait for the answer.
	HungUp int64 `json:"hungUp"`
	// Once counts the requests that are not idempotent.
	Once int64 `json:"once"`
	// Again counts the further attempts that callers made.
	Again  int64   `json:"again"`
	P50Ms  float64 `json:"p50Ms"`
	P99Ms  float64 `json:"p99Ms"`
	P999Ms float64 `json:"p999Ms"`
	MaxMs  float64 `json:"maxMs"`
	// IdempotentP99Ms and IdempotentP999Ms leave out the requests that are not
	// idempotent, which wait for the platform.
	IdempotentP99Ms  float64 `json:"idempotentP99Ms"`
	IdempotentP999Ms float64 `json:"idempotentP999Ms"`
	CoverageMean     float64 `json:"coverageMean"`
	CoverageMin      float64 `json:"coverageMin"`
	ExtraLoad        float64 `json:"extraLoad"`
	Hedges           int64   `json:"hedges"`
	Retries          int64   `json:"retries"`
	// Violations holds the first of them as text; ViolationCount counts all.
	Violations     []string         `json:"violations"`
	ViolationCount int64            `json:"violationCount"`
	Reasons        map[string]int64 `json:"reasons"`
}

const (
	// maxLatency is the largest latency that the histogram holds, in microseconds.
	maxLatency = int64(10 * time.Minute / time.Microsecond)
	// maxViolations bounds how many are kept as text.
	maxViolations = 50
)

// Point is one answer, for plots.
type Point struct {
	At       time.Duration
	Latency  time.Duration
	Coverage float64
}

type tally struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	// idempotent holds the latencies of idempotent requests only.
	idempotent *hdrhistogram.Histogram
	summary    Summary
	coverage   float64
	parts      int64
	subs       int64
	// received is what upstreams counted, or 0 without an audit.
	received int64
	points   []Point
	ledger   []*Entry
	start    time.Time
}

func newTally() *tally {
	return &tally{
		histogram:  hdrhistogram.New(1, maxLatency, 3),
		idempotent: hdrhistogram.New(1, maxLatency, 3),
		start:      time.Now(),
		summary: Summary{
			CoverageMin: 1,
			Reasons:     map[string]int64{},
		},
	}
}

// add counts a request that has ended.
func (t *tally) add(e *Entry, faults []string, latency time.Duration, intended time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.summary.Sent++
	t.summary.Again += int64(len(e.Attempts) - 1)
	if e.Once {
		t.summary.Once++
	}
	t.violate(faults)
	for i := range e.Attempts {
		t.addAttempt(&e.Attempts[i])
	}
	if e.suspect() {
		t.ledger = append(t.ledger, e)
	}
	a := e.Attempts[len(e.Attempts)-1].Answer
	switch {
	case a == nil:
		t.summary.Failed++
		t.summary.Reasons["transport"]++
	case a.Refusal != nil:
		t.summary.Refused++
		t.summary.Reasons[string(a.Refusal.Reason)]++
	default:
		t.summary.Answered++
		t.parts += int64(len(a.Parts))
		_ = t.histogram.RecordValue(max(latency.Microseconds(), 1))
		if !e.Once {
			_ = t.idempotent.RecordValue(max(latency.Microseconds(), 1))
		}
		t.addPoint(float64(a.Coverage), latency, intended)
	}
}

func (t *tally) addAttempt(a *Attempt) {
	if a.Answer == nil {
		switch {
		case a.HungUp:
			t.summary.HungUp++
		case !a.unreached():
			t.summary.Cut++
		}
		return
	}
	t.subs += int64(a.Answer.Subs)
	t.summary.Hedges += int64(a.Answer.Hedges)
	t.summary.Retries += int64(a.Answer.Retries)
}

func (t *tally) addPoint(coverage float64, latency time.Duration, intended time.Time) {
	t.coverage += coverage
	t.summary.CoverageMin = min(t.summary.CoverageMin, coverage)
	t.points = append(t.points, Point{
		At:       intended.Sub(t.start),
		Latency:  latency,
		Coverage: coverage,
	})
}

// violate keeps faults as violations; mu is held.
func (t *tally) violate(faults []string) {
	t.summary.Violate(faults)
}

// Violate adds faults as violations.
func (s *Summary) Violate(faults []string) {
	s.ViolationCount += int64(len(faults))
	for _, f := range faults {
		if len(s.Violations) < maxViolations {
			s.Violations = append(s.Violations, f)
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
	s.P50Ms = quantile(t.histogram, 50)
	s.P99Ms = quantile(t.histogram, 99)
	s.P999Ms = quantile(t.histogram, 99.9)
	s.IdempotentP99Ms = quantile(t.idempotent, 99)
	s.IdempotentP999Ms = quantile(t.idempotent, 99.9)
	s.MaxMs = float64(t.histogram.Max()) / 1000
	if s.Answered > 0 {
		s.CoverageMean = t.coverage / float64(s.Answered)
	} else {
		s.CoverageMin = 0
	}
	s.ExtraLoad = t.extraLoad()
	return s
}

// quantile returns a quantile of a histogram of microseconds in milliseconds.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// extraLoad is the share of sub-requests beyond one for each part of an
// answer: as the upstreams counted them, or before an audit as daemons say.
func (t *tally) extraLoad() float64 {
	sent := t.subs
	if t.received > 0 {
		sent = t.received
	}
	if t.parts == 0 || sent == 0 {
		return 0
	}
	return float64(sent)/float64(t.parts) - 1
}

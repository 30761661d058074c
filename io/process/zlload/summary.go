package zlload

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Summary is the result of a run. Latencies count from the intended send time
// and cover answered requests only.
type Summary struct {
	// Sent counts requests; each ends as answered, refused or failed.
	Sent     int64 `json:"sent"`
	Answered int64 `json:"answered"`
	Refused  int64 `json:"refused"`
	// Failed counts requests whose last attempt got no answer.
	Failed int64 `json:"failed"`
	// NoReply counts attempts that got no answer although the daemon was reached and
	// the caller did not hang up (JSON: cut).
	NoReply int64 `json:"cut"`
	// HungUp counts attempts that the caller cancelled before the answer.
	HungUp int64 `json:"hungUp"`
	// NonIdempotent counts the requests that are not idempotent (JSON: once).
	NonIdempotent int64 `json:"once"`
	// CallerRetries counts the callers' retries (JSON: again).
	CallerRetries int64 `json:"again"`
	// P50Ms and the following percentiles are in milliseconds.
	P50Ms  float64 `json:"p50Ms"`
	P99Ms  float64 `json:"p99Ms"`
	P999Ms float64 `json:"p999Ms"`
	MaxMs  float64 `json:"maxMs"`
	// IdempotentP99Ms and IdempotentP999Ms cover idempotent requests only; the
	// others also wait for a write to the platform.
	IdempotentP99Ms  float64 `json:"idempotentP99Ms"`
	IdempotentP999Ms float64 `json:"idempotentP999Ms"`
	// CoverageMean and CoverageMin are taken over the answers, from 0 to 1.
	CoverageMean float64 `json:"coverageMean"`
	CoverageMin  float64 `json:"coverageMin"`
	// ExtraLoad is the number of sub-requests beyond one for each part of an
	// answer, divided by the number of parts.
	ExtraLoad float64 `json:"extraLoad"`
	// Hedges and Retries count second sends by the daemons.
	Hedges  int64 `json:"hedges"`
	Retries int64 `json:"retries"`
	// Violations describes the first violations; ViolationCount counts all.
	Violations     []string `json:"violations"`
	ViolationCount int64    `json:"violationCount"`
	// Reasons counts refused requests by their reason, and failed requests as
	// "transport".
	Reasons map[string]int64 `json:"reasons"`
}

const (
	// maxLatencyMicros is the largest latency that the histograms hold.
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	// maxViolations limits how many violations are kept as text.
	maxViolations = 50
)

// Point is one answer, for plots.
type Point struct {
	// At is the intended send time, counted from the start of the run.
	At       time.Duration
	Latency  time.Duration
	Coverage float64
}

// tally collects the results of a run from all callers.
type tally struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	// idempotentHistogram holds the latencies of idempotent requests only.
	idempotentHistogram *hdrhistogram.Histogram
	summary             Summary
	coverageSum         float64
	parts               int64
	subRequests         int64
	// received is how many sub-requests the upstreams counted, 0 without an audit.
	received int64
	points   []Point
	entries  []*Entry
	start    time.Time
}

func newTally() *tally {
	return &tally{
		histogram:           hdrhistogram.New(1, maxLatencyMicros, 3),
		idempotentHistogram: hdrhistogram.New(1, maxLatencyMicros, 3),
		start:               time.Now(),
		summary: Summary{
			CoverageMin: 1,
			Reasons:     map[string]int64{},
		},
	}
}

// add records a request that has ended.
func (t *tally) add(e *Entry, faults []string, latency time.Duration, intended time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.summary.Sent++
	t.summary.CallerRetries += int64(len(e.Attempts) - 1)
	if e.NonIdempotent {
		t.summary.NonIdempotent++
	}
	t.addViolations(faults)
	for i := range e.Attempts {
		t.addAttempt(&e.Attempts[i])
	}
	if e.needsRunCheck() {
		t.entries = append(t.entries, e)
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
		if !e.NonIdempotent {
			_ = t.idempotentHistogram.RecordValue(max(latency.Microseconds(), 1))
		}
		t.addPoint(float64(a.Coverage), latency, intended)
	}
}

func (t *tally) addAttempt(a *Attempt) {
	if a.Answer == nil {
		switch {
		case a.HungUp:
			t.summary.HungUp++
		case !a.connectFailed():
			t.summary.NoReply++
		}
		return
	}
	t.subRequests += int64(a.Answer.SubRequests)
	t.summary.Hedges += int64(a.Answer.Hedges)
	t.summary.Retries += int64(a.Answer.Retries)
}

func (t *tally) addPoint(coverage float64, latency time.Duration, intended time.Time) {
	t.coverageSum += coverage
	t.summary.CoverageMin = min(t.summary.CoverageMin, coverage)
	t.points = append(t.points, Point{
		At:       intended.Sub(t.start),
		Latency:  latency,
		Coverage: coverage,
	})
}

// addViolations records faults as violations; mu must be held.
func (t *tally) addViolations(faults []string) {
	t.summary.AddViolations(faults)
}

// AddViolations records faults as violations. It is not safe for concurrent use.
func (s *Summary) AddViolations(faults []string) {
	s.ViolationCount += int64(len(faults))
	for _, f := range faults {
		if len(s.Violations) < maxViolations {
			s.Violations = append(s.Violations, f)
		}
	}
}

// snapshot returns the summary of all requests that have ended so far.
func (t *tally) snapshot() Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.summary
	s.Reasons = make(map[string]int64, len(t.summary.Reasons))
	for k, v := range t.summary.Reasons {
		s.Reasons[k] = v
	}
	s.Violations = append([]string{}, t.summary.Violations...)
	s.P50Ms = percentileMs(t.histogram, 50)
	s.P99Ms = percentileMs(t.histogram, 99)
	s.P999Ms = percentileMs(t.histogram, 99.9)
	s.IdempotentP99Ms = percentileMs(t.idempotentHistogram, 99)
	s.IdempotentP999Ms = percentileMs(t.idempotentHistogram, 99.9)
	s.MaxMs = float64(t.histogram.Max()) / 1000
	if s.Answered > 0 {
		s.CoverageMean = t.coverageSum / float64(s.Answered)
	} else {
		s.CoverageMin = 0
	}
	s.ExtraLoad = t.extraLoad()
	return s
}

// percentileMs returns a percentile, from 0 to 100, of a histogram that is in
// microseconds.
func percentileMs(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}

// extraLoad returns the number of sub-requests beyond one for each part of an
// answer, divided by the number of parts. It uses the upstreams' counts, or the
// daemons' own as long as there was no audit.
func (t *tally) extraLoad() float64 {
	sent := t.subRequests
	if t.received > 0 {
		sent = t.received
	}
	if t.parts == 0 || sent == 0 {
		return 0
	}
	return float64(sent)/float64(t.parts) - 1
}

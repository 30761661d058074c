// Package zlmetric keeps the daemon's counters, gauges and histograms in a tally scope
// and writes them as text. It does not serve or push them.
package zlmetric

import (
	"fmt"
	"io"
	"sort"
	"time"

	"zinnialock/core/request/zlquery"

	"github.com/uber-go/tally/v4"
)

// Metrics wraps a tally scope. Create it with New. Its methods may be called
// concurrently.
type Metrics struct {
	scope tally.TestScope
}

// New returns metrics that all have the given tags. They have no reporter; WriteText
// reads them.
func New(tags map[string]string) *Metrics {
	return &Metrics{
		scope: tally.NewTestScope("zinnialock", tags),
	}
}

// Scope returns the tally scope, in which other packages create their metrics.
func (m *Metrics) Scope() tally.Scope {
	return m.scope
}

// Count implements zlcoordinator.Counter. It increments the counter of this name and
// reason.
func (m *Metrics) Count(name string, reason zlquery.Reason) {
	m.scope.Tagged(map[string]string{
		"reason": string(reason),
	}).Counter(name).Inc(1)
}

// WriteText writes each metric as a line name{tag="value"} number, sorted by line. It
// returns the first error of w.
func (m *Metrics) WriteText(w io.Writer) error {
	snapshot := m.scope.Snapshot()
	var lines []string
	for _, c := range snapshot.Counters() {
		lines = append(lines, fmt.Sprintf("%s%s %d", c.Name(), tagText(c.Tags()), c.Value()))
	}
	for _, g := range snapshot.Gauges() {
		lines = append(lines, fmt.Sprintf("%s%s %g", g.Name(), tagText(g.Tags()), g.Value()))
	}
	for _, h := range snapshot.Histograms() {
		lines = append(lines, histogramLines(h)...)
	}
	sort.Strings(lines)
	for _, line := range lines {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	return nil
}

// histogramLines returns a line for each bucket that is not empty. The tag atMostMs is
// the upper bound of the bucket in milliseconds.
func histogramLines(h tally.HistogramSnapshot) []string {
	var lines []string
	for bound, n := range h.Durations() {
		if n == 0 {
			continue
		}
		tags := map[string]string{
			"atMostMs": fmt.Sprintf("%08.1f", float64(bound)/float64(time.Millisecond)),
		}
		for k, v := range h.Tags() {
			tags[k] = v
		}
		lines = append(lines, fmt.Sprintf("%s%s %d", h.Name(), tagText(tags), n))
	}
	return lines
}

// tagText formats tags as {key="value",...}, sorted by key.
func tagText(tags map[string]string) string {
	keys := make([]string, 0, len(tags))
	for k := range tags {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	text := ""
	for i, k := range keys {
		if i > 0 {
			text += ","
		}
		text += fmt.Sprintf("%s=%q", k, tags[k])
	}
	return "{" + text + "}"
}

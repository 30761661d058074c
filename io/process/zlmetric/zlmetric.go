// Package zlmetric keeps the daemon's counters and timers in a tally scope and
// serves them as text.
package zlmetric

import (
	"fmt"
	"io"
	"sort"
	"time"

	"zinnialock/core/request/zlquery"

	"github.com/uber-go/tally/v4"
)

// Metrics wraps a tally scope. Make it with New.
type Metrics struct {
	scope tally.TestScope
}

// New returns metrics without a reporter; they are read by WriteText.
func New(tags map[string]string) *Metrics {
	return &Metrics{
		scope: tally.NewTestScope("zinnialock", tags),
	}
}

// Scope returns the tally scope for further metrics.
func (m *Metrics) Scope() tally.Scope {
	return m.scope
}

// Count implements zlcoordinator.Counter: one counter for each name and reason.
func (m *Metrics) Count(what string, reason zlquery.Reason) {
	m.scope.Tagged(map[string]string{
		"reason": string(reason),
	}).Counter(what).Inc(1)
}

// WriteText writes every metric as "name{tag="value"} number", sorted.
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

// histogramLines has a line for each bucket that is not empty: how many were at
// most so long, in milliseconds.
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

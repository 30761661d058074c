package cmd

import (
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"time"

	"zinnialock/io/process/zlload"
	"zinnialock/io/standin/zltestbed"
)

// maxEventLines is the number of latest events below the live table.
const maxEventLines = 6

// demoDisplay shows a running demo: a table that is redrawn on a terminal, or else one
// line for each event and progress report. With JSON output it shows nothing.
type demoDisplay struct {
	out   io.Writer
	live  bool
	quiet bool
	start time.Time

	mu         sync.Mutex
	names      []string
	summaries  map[string]zlload.Summary
	events     []string
	drawnLines int
}

func newDemoDisplay(e *env, o *demoOptions) *demoDisplay {
	file, ok := e.stdout.(*os.File)
	return &demoDisplay{
		out:       e.stdout,
		live:      ok && isTerminal(file),
		quiet:     o.format == "json",
		start:     time.Now(),
		summaries: map[string]zlload.Summary{},
	}
}

// event shows an event with the time since the start.
func (d *demoDisplay) event(text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	line := fmt.Sprintf("%5.1f s  %s", time.Since(d.start).Seconds(), text)
	d.events = append(d.events, line)
	switch {
	case d.quiet:
	case d.live:
		d.draw()
	default:
		_, _ = fmt.Fprintf(d.out, "-- %s\n", line)
	}
}

// progress shows the summary of a variant so far.
func (d *demoDisplay) progress(name string, now zlload.Summary) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.summaries[name]; !ok {
		d.names = append(d.names, name)
	}
	d.summaries[name] = now
	switch {
	case d.quiet:
	case d.live:
		d.draw()
	default:
		_, _ = fmt.Fprintf(d.out, "%-10s %s\n", name, progressLine(&now))
	}
}

// draw draws the table over the previous one. The caller holds mu.
func (d *demoDisplay) draw() {
	lines := []string{fmt.Sprintf("%-10s %8s %8s %8s %9s %9s %9s %10s", "", "sent", "answered", "refused", "p50 ms", "p99 ms", "coverage", "violations")}
	for _, name := range d.names {
		r := d.summaries[name]
		lines = append(lines, fmt.Sprintf("%-10s %8d %8d %8d %9.1f %9.1f %9.4f %10d", name, r.Sent, r.Answered, r.Refused, r.P50Ms, r.P99Ms, r.CoverageMean, r.ViolationCount))
	}
	from := max(0, len(d.events)-maxEventLines)
	lines = append(lines, d.events[from:]...)
	var b strings.Builder
	if d.drawnLines > 0 {
		fmt.Fprintf(&b, "\x1b[%dA", d.drawnLines)
	}
	for _, line := range lines {
		fmt.Fprintf(&b, "\x1b[2K%s\n", line)
	}
	d.drawnLines = max(d.drawnLines, len(lines))
	for range d.drawnLines - len(lines) {
		b.WriteString("\x1b[2K\n")
	}
	_, _ = io.WriteString(d.out, b.String())
}

// showComparison prints the summaries of the variants in columns.
func showComparison(e *env, variants []*variant) {
	printRow := func(label string, value func(*zlload.Summary) string) {
		e.printf("%-28s", label)
		for _, v := range variants {
			e.printf(" %14s", value(&v.summary))
		}
		e.printf("\n")
	}
	e.printf("%-28s", "")
	for _, v := range variants {
		e.printf(" %14s", v.name)
	}
	e.printf("\n")
	count := func(n int64) string { return fmt.Sprint(n) }
	ms := func(n float64) string { return fmt.Sprintf("%.1f", n) }
	printRow("sent", func(s *zlload.Summary) string { return count(s.Sent) })
	printRow("answered", func(s *zlload.Summary) string { return count(s.Answered) })
	printRow("refused", func(s *zlload.Summary) string { return count(s.Refused) })
	printRow("failed", func(s *zlload.Summary) string { return count(s.Failed) })
	printRow("p50, ms", func(s *zlload.Summary) string { return ms(s.P50Ms) })
	printRow("p99, ms", func(s *zlload.Summary) string { return ms(s.P99Ms) })
	printRow("p99.9, ms", func(s *zlload.Summary) string { return ms(s.P999Ms) })
	printRow("p99 idempotent, ms", func(s *zlload.Summary) string { return ms(s.IdempotentP99Ms) })
	printRow("p99.9 idempotent, ms", func(s *zlload.Summary) string { return ms(s.IdempotentP999Ms) })
	printRow("coverage, mean", func(s *zlload.Summary) string { return fmt.Sprintf("%.5f", s.CoverageMean) })
	printRow("coverage, minimum", func(s *zlload.Summary) string { return fmt.Sprintf("%.5f", s.CoverageMin) })
	printRow("extra load", func(s *zlload.Summary) string { return fmt.Sprintf("%.4f", s.ExtraLoad) })
	printRow("violations", func(s *zlload.Summary) string { return count(s.ViolationCount) })
	for _, v := range variants {
		showViolations(e, v)
	}
}

// maxShownViolations is the number of violations that a comparison shows of a variant.
const maxShownViolations = 8

// showViolations prints the first violations of a variant.
func showViolations(e *env, v *variant) {
	list := v.summary.Violations
	for _, violation := range list[:min(maxShownViolations, len(list))] {
		e.printf("%s: %s\n", v.name, violation)
	}
	if more := v.summary.ViolationCount - maxShownViolations; more > 0 {
		e.printf("%s: and %d more\n", v.name, more)
	}
}

// showExampleCommands prints commands that work on the running demo. With JSON output it
// prints to stderr, so that stdout has nothing but JSON.
func showExampleCommands(e *env, o *demoOptions, testbed *zltestbed.Testbed) {
	w := e.stdout
	if o.format == "json" {
		w = e.stderr
	}
	last := len(testbed.Targets()) - 1
	target, admin, platform := testbed.Targets()[last], testbed.Admin(last), testbed.Client.Address
	service := testbed.Plan.Services[0].Name
	for _, line := range []string{
		"Everything is still running; Ctrl-C ends it. Commands to try:",
		fmt.Sprintf("  zinnialock query -target %s -service %s -kind lookup -text maker -id try-1 -v", target, service),
		fmt.Sprintf("  zinnialock explain try-1 -admin %s", admin),
		fmt.Sprintf("  zinnialock load -targets %s -platform %s -rate 50 -time 5s", target, platform),
		fmt.Sprintf("  curl -s http://%s/v1/query -d '{\"service\": \"%s\", \"kind\": \"lookup\", \"text\": \"maker\"}'", target, service),
		fmt.Sprintf("  curl -s http://%s/metrics", admin),
		fmt.Sprintf("  curl -s http://%s/control/counts", platform),
		fmt.Sprintf("  curl -s -X PUT http://%s/control/faults -d '{\"down\": true}'", platform),
	} {
		_, _ = fmt.Fprintln(w, line)
	}
}

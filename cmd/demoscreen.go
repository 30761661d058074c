package cmd

import (
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"time"

	"zinnialock/io/process/zlload"
	"zinnialock/io/standin/zlscene"
)

// eventLines is how many events the live table shows.
const eventLines = 6

// screen shows a running demo: a live table on a terminal, else plain lines.
type screen struct {
	out   io.Writer
	live  bool
	quiet bool
	began time.Time

	mu     sync.Mutex
	names  []string
	rows   map[string]zlload.Summary
	events []string
	drawn  int
}

func newScreen(e *env, o *demoOptions) *screen {
	file, ok := e.stdout.(*os.File)
	return &screen{
		out:   e.stdout,
		live:  ok && isTerminal(file),
		quiet: o.format == "json",
		began: time.Now(),
		rows:  map[string]zlload.Summary{},
	}
}

// say shows an event.
func (s *screen) say(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := fmt.Sprintf("%5.1f s  %s", time.Since(s.began).Seconds(), text)
	s.events = append(s.events, line)
	switch {
	case s.quiet:
	case s.live:
		s.draw()
	default:
		_, _ = fmt.Fprintf(s.out, "-- %s\n", line)
	}
}

// progress shows how a side does.
func (s *screen) progress(name string, now zlload.Summary) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.rows[name]; !ok {
		s.names = append(s.names, name)
	}
	s.rows[name] = now
	switch {
	case s.quiet:
	case s.live:
		s.draw()
	default:
		_, _ = fmt.Fprintf(s.out, "%-10s %s\n", name, progressLine(&now))
	}
}

// draw draws the table over the one before; mu is held.
func (s *screen) draw() {
	lines := []string{fmt.Sprintf("%-10s %8s %8s %8s %9s %9s %9s %10s", "", "sent", "answered", "refused", "p50 ms", "p99 ms", "coverage", "violations")}
	for _, name := range s.names {
		r := s.rows[name]
		lines = append(lines, fmt.Sprintf("%-10s %8d %8d %8d %9.1f %9.1f %9.4f %10d", name, r.Sent, r.Answered, r.Refused, r.P50Ms, r.P99Ms, r.CoverageMean, r.ViolationCount))
	}
	from := max(0, len(s.events)-eventLines)
	lines = append(lines, s.events[from:]...)
	var b strings.Builder
	if s.drawn > 0 {
		fmt.Fprintf(&b, "\x1b[%dA", s.drawn)
	}
	for _, line := range lines {
		fmt.Fprintf(&b, "\x1b[2K%s\n", line)
	}
	s.drawn = max(s.drawn, len(lines))
	for range s.drawn - len(lines) {
		b.WriteString("\x1b[2K\n")
	}
	_, _ = io.WriteString(s.out, b.String())
}

// showComparison prints the sides' figures beside one another.
func showComparison(e *env, sides []*side) {
	row := func(label string, value func(*zlload.Summary) string) {
		e.printf("%-28s", label)
		for _, s := range sides {
			e.printf(" %14s", value(&s.summary))
		}
		e.printf("\n")
	}
	e.printf("%-28s", "")
	for _, s := range sides {
		e.printf(" %14s", s.name)
	}
	e.printf("\n")
	count := func(n int64) string { return fmt.Sprint(n) }
	ms := func(n float64) string { return fmt.Sprintf("%.1f", n) }
	row("sent", func(s *zlload.Summary) string { return count(s.Sent) })
	row("answered", func(s *zlload.Summary) string { return count(s.Answered) })
	row("refused", func(s *zlload.Summary) string { return count(s.Refused) })
	row("failed", func(s *zlload.Summary) string { return count(s.Failed) })
	row("p50, ms", func(s *zlload.Summary) string { return ms(s.P50Ms) })
	row("p99, ms", func(s *zlload.Summary) string { return ms(s.P99Ms) })
	row("p99.9, ms", func(s *zlload.Summary) string { return ms(s.P999Ms) })
	row("p99 idempotent, ms", func(s *zlload.Summary) string { return ms(s.IdempotentP99Ms) })
	row("p99.9 idempotent, ms", func(s *zlload.Summary) string { return ms(s.IdempotentP999Ms) })
	row("coverage, mean", func(s *zlload.Summary) string { return fmt.Sprintf("%.5f", s.CoverageMean) })
	row("coverage, least", func(s *zlload.Summary) string { return fmt.Sprintf("%.5f", s.CoverageMin) })
	row("extra load", func(s *zlload.Summary) string { return fmt.Sprintf("%.4f", s.ExtraLoad) })
	row("violations", func(s *zlload.Summary) string { return count(s.ViolationCount) })
	for _, s := range sides {
		showFirst(e, s)
	}
}

// firstViolations is how many violations of a side a comparison shows.
const firstViolations = 8

func showFirst(e *env, s *side) {
	list := s.summary.Violations
	for _, v := range list[:min(firstViolations, len(list))] {
		e.printf("%s: %s\n", s.name, v)
	}
	if more := s.summary.ViolationCount - firstViolations; more > 0 {
		e.printf("%s: and %d more\n", s.name, more)
	}
}

// showTries prints lines that a person can paste; JSON on stdout stays alone.
func showTries(e *env, o *demoOptions, scene *zlscene.Scene) {
	w := e.stdout
	if o.format == "json" {
		w = e.stderr
	}
	last := len(scene.Targets()) - 1
	target, admin, platform := scene.Targets()[last], scene.Admin(last), scene.Client.Address
	service := scene.Plan.Services[0].Name
	for _, line := range []string{
		"Everything is still up; end it with Ctrl-C. To try:",
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

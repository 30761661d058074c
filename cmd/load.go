package cmd

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sort"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/io/process/zlload"
	"zinnialock/io/process/zlplatform"
)

// loadOptions are the flags of load.
type loadOptions struct {
	targets  []string
	platform string
	rate     float64
	duration time.Duration
	deadline time.Duration
	seed     uint64
	kind     string
	once     float64
	// hangUpShare is the share of the non-idempotent queries whose caller hangs up early.
	hangUpShare float64
	audit       bool
	plot        string
	format      string
}

func runLoad(e *env, args []string) int {
	fs := newFlags(e, "load", "Send queries at a fixed rate and check each answer. Latency is measured from the intended send time.")
	var o loadOptions
	targets := fs.String("targets", "127.0.0.1:7100", "caller addresses of daemons, `IP:PORT[,IP:PORT]`")
	fs.StringVar(&o.platform, "platform", "127.0.0.1:7000", "the platform's `IP:PORT`, to read the catalogues from")
	fs.Float64Var(&o.rate, "rate", 50, "queries a second")
	fs.DurationVar(&o.duration, "time", 10*time.Second, "length of the load")
	fs.DurationVar(&o.deadline, "deadline", 2*time.Second, "time allowed for each query")
	fs.Uint64Var(&o.seed, "seed", 1, "seed of the load; the same seed gives the same queries")
	fs.StringVar(&o.kind, "kind", "lookup", "query kind")
	fs.Float64Var(&o.once, "once", 0, "share of queries that are not idempotent, 0 to 1")
	fs.Float64Var(&o.hangUpShare, "impatient", 0, "share of the queries that are not idempotent whose caller hangs up within 20 ms and sends again, 0 to 1")
	fs.BoolVar(&o.audit, "audit", true, "check the answers against the counts of the upstream stand-ins; switch it off for real upstreams")
	fs.StringVar(&o.plot, "plot", "", "`FILE.png` for the latency distribution and the timeline")
	fs.StringVar(&o.format, "format", "text", "output format, text or json")
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	var err error
	o.targets, err = checkTargets("targets", *targets)
	if err := errors.Join(err, o.check()); err != nil {
		return e.fail(exitUsage, err)
	}
	return load(e, &o)
}

func (o *loadOptions) check() error {
	return errors.Join(
		checkFormat(o.format),
		checkAddress("platform", o.platform),
		checkRate("rate", o.rate),
		checkDuration("time", o.duration, time.Millisecond, maxDuration),
		checkDuration("deadline", o.deadline, time.Millisecond, maxDeadline),
		checkNumber("once", o.once, 0, 1),
		checkNumber("impatient", o.hangUpShare, 0, 1),
		checkText("kind", o.kind, "the name of a query kind"),
	)
}

// load runs a load and returns the exit code.
func load(e *env, o *loadOptions) int {
	ctx := context.Background()
	catalogs := &zlload.CatalogCache{
		Client: &zlplatform.Client{
			Address: o.platform,
			HTTP:    http.DefaultClient,
			Timeout: 5 * time.Second,
		},
	}
	if err := catalogs.Read(ctx); err != nil {
		return e.fail(exitFailed, fmt.Errorf("load: %w", err))
	}
	run := o.newLoad(catalogs)
	if isTerminal(os.Stderr) {
		run.Progress = func(s zlload.Summary) {
			_, _ = fmt.Fprintf(e.stderr, "\r%s", progressLine(&s))
		}
	}
	summary, points, err := run.Run(ctx)
	if run.Progress != nil {
		_, _ = fmt.Fprintln(e.stderr)
	}
	if err != nil {
		return e.fail(exitFailed, fmt.Errorf("load: %w", err))
	}
	if o.format == "json" {
		e.json(summary)
	} else {
		showSummary(e, &summary)
	}
	if o.plot != "" {
		if err := zlload.WritePlot(o.plot, points); err != nil {
			return e.fail(exitFailed, err)
		}
	}
	return loadExitCode(&summary)
}

func (o *loadOptions) newLoad(catalogs *zlload.CatalogCache) *zlload.Load {
	run := &zlload.Load{
		Targets:            o.targets,
		Rate:               o.rate,
		Duration:           o.duration,
		Seed:               o.seed,
		NonIdempotentShare: o.once,
		HangUpShare:        o.hangUpShare,
		Checker: &zlload.Checker{
			Shards: catalogs.Shards,
		},
	}
	if o.audit {
		run.Auditor = &zlload.Auditor{
			Catalogs: catalogs,
			HTTP:     auditHTTP(),
		}
	}
	for _, c := range catalogs.Services() {
		run.Mix = append(run.Mix, zlload.QueryShape{
			Service:  c.Service,
			Kind:     zlunit.QueryKind(o.kind),
			Weight:   1,
			Deadline: o.deadline,
		})
	}
	// Sorted, since the same seed has to give the same load.
	sort.Slice(run.Mix, func(i, j int) bool {
		return run.Mix[i].Service < run.Mix[j].Service
	})
	return run
}

// auditHTTP returns a client that keeps at most one connection to an upstream, for a second:
// upstreams limit the number of connections.
func auditHTTP() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxConnsPerHost: 1,
			IdleConnTimeout: time.Second,
		},
		Timeout: 5 * time.Second,
	}
}

// loadExitCode returns exitFailed if there are violations, or no answers that could have
// been checked.
func loadExitCode(s *zlload.Summary) int {
	if s.ViolationCount > 0 || s.Answered == 0 {
		return exitFailed
	}
	return exitOK
}

// progressLine returns the main figures of a load on one line.
func progressLine(s *zlload.Summary) string {
	return fmt.Sprintf("answered %6d  refused %4d  p50 %6.1f ms  p99 %7.1f ms  coverage %.4f", s.Answered, s.Refused, s.P50Ms, s.P99Ms, s.CoverageMean)
}

// showSummary prints a summary as text.
func showSummary(e *env, s *zlload.Summary) {
	e.printf("sent %d (%d not idempotent), answered %d, refused %d, failed %d\n", s.Sent, s.NonIdempotent, s.Answered, s.Refused, s.Failed)
	e.printf("sent again by callers %d, callers hung up %d, attempts cut %d\n", s.CallerRetries, s.HungUp, s.NoReply)
	e.printf("p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms, largest %.1f ms\n", s.P50Ms, s.P99Ms, s.P999Ms, s.MaxMs)
	e.printf("idempotent only: p99 %.1f ms, p99.9 %.1f ms\n", s.IdempotentP99Ms, s.IdempotentP999Ms)
	e.printf("coverage mean %.5f, minimum %.5f; extra load %.4f\n", s.CoverageMean, s.CoverageMin, s.ExtraLoad)
	reasons := make([]string, 0, len(s.Reasons))
	for reason := range s.Reasons {
		reasons = append(reasons, reason)
	}
	sort.Strings(reasons)
	for _, reason := range reasons {
		e.printf("refused, reason %s: %d\n", reason, s.Reasons[reason])
	}
	e.printf("violations: %d\n", s.ViolationCount)
	for _, v := range s.Violations {
		e.printf("  %s\n", v)
	}
}

// isTerminal reports whether f is a terminal.
func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

package cmd

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"zinnialock/io/process/zlload"
	"zinnialock/io/standin/zltestbed"

	"github.com/phuslu/log"
)

// demoOptions are the flags of demo.
type demoOptions struct {
	user     string
	rate     float64
	duration time.Duration
	seed     uint64
	once     float64
	keep     bool
	compare  bool
	plot     string
	format   string
}

// The bounds of the load's length. The faults need the minimum, and the whole demo has to
// end within 40 s.
const (
	minDemoTime = 12 * time.Second
	maxDemoTime = 30 * time.Second
)

func runDemo(e *env, args []string) int {
	fs := newFlags(e, "demo", "Run stand-ins, six daemons and a load in one process, and inject faults during the load.")
	var o demoOptions
	fs.StringVar(&o.user, "user", "guild", "deployment to run, guild or vaxjo")
	fs.Float64Var(&o.rate, "rate", 60, "queries a second")
	fs.DurationVar(&o.duration, "time", 26*time.Second, "length of the load, 12s to 30s")
	fs.Uint64Var(&o.seed, "seed", 1, "seed of the load and the stand-ins")
	fs.Float64Var(&o.once, "once", 0.1, "share of queries that are not idempotent, 0 to 1")
	fs.BoolVar(&o.keep, "keep", false, "keep everything running after the load and print commands to try; Ctrl-C ends it")
	fs.BoolVar(&o.compare, "compare", false, "run the same load against the naive version at the same time")
	fs.StringVar(&o.plot, "plot", "", "`FILE.png` for the latency distribution and the timeline")
	fs.StringVar(&o.format, "format", "text", "output format, text or json")
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	if err := o.check(); err != nil {
		return e.fail(exitUsage, err)
	}
	code, err := demo(e, &o)
	if err != nil {
		return e.fail(exitFailed, fmt.Errorf("demo: %w", err))
	}
	return code
}

func (o *demoOptions) check() error {
	var userErr error
	if _, err := zltestbed.PlanByName(o.user); err != nil {
		userErr = fmt.Errorf("flag -user: found %q, allowed is guild or vaxjo", o.user)
	}
	return errors.Join(
		userErr,
		checkFormat(o.format),
		checkRate("rate", o.rate),
		checkDuration("time", o.duration, minDemoTime, maxDemoTime),
		checkNumber("once", o.once, 0, 1),
	)
}

// The names of the two variants of a comparison.
const (
	variantTier  = "zinnialock"
	variantNaive = "naive"
)

// demoStraggleShare is the share of sub-requests that straggle, during the whole load.
const demoStraggleShare = 0.01

// demoHangupShare is the share of requests that are not idempotent whose caller hangs up
// early and sends them again.
const demoHangupShare = 0.25

// variant is the tier or the naive version under load, with its results.
type variant struct {
	name    string
	testbed *zltestbed.Testbed
	load    *zlload.Load
	faults  *faultSchedule
	summary zlload.Summary
	points  []zlload.Point
	err     error
}

// demo runs the variants at the same time and returns the exit code for the tier.
func demo(e *env, o *demoOptions) (int, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	display := newDemoDisplay(e, o)
	var variants []*variant
	defer func() {
		for _, v := range variants {
			v.testbed.Close()
		}
	}()
	names := []string{variantTier}
	if o.compare {
		names = append(names, variantNaive)
	}
	for _, name := range names {
		v, err := newVariant(ctx, name, o, display)
		if v != nil {
			variants = append(variants, v)
		}
		if err != nil {
			return exitFailed, err
		}
	}
	var wg sync.WaitGroup
	for _, v := range variants {
		wg.Go(func() { v.run(ctx) })
	}
	wg.Wait()
	for _, v := range variants {
		if v.err != nil {
			return exitFailed, fmt.Errorf("%s: %w", v.name, v.err)
		}
	}
	showResults(e, o, variants)
	if o.plot != "" {
		if err := zlload.WritePlot(o.plot, variants[0].points); err != nil {
			return exitFailed, err
		}
	}
	if o.keep {
		showExampleCommands(e, o, variants[0].testbed)
		waitForSignal()
	}
	return loadExitCode(&variants[0].summary), nil
}

// newVariant starts the system of a variant. If it returns both a variant and an error, the
// caller must close the variant's testbed.
func newVariant(ctx context.Context, name string, o *demoOptions, display *demoDisplay) (*variant, error) {
	plan, err := zltestbed.PlanByName(o.user)
	if err != nil {
		return nil, err
	}
	v := &variant{
		name: name,
		testbed: &zltestbed.Testbed{
			Plan:          plan,
			Seed:          o.seed,
			StraggleShare: demoStraggleShare,
			Naive:         name == variantNaive,
			Log: &log.Logger{
				Level: log.ErrorLevel,
				Writer: &log.IOWriter{
					Writer: os.Stderr,
				},
			},
		},
	}
	if err := v.testbed.Run(ctx); err != nil {
		return v, err
	}
	catalogs := &zlload.CatalogCache{
		Client: v.testbed.Client,
	}
	if err := catalogs.Read(ctx); err != nil {
		return v, err
	}
	v.faults = &faultSchedule{
		testbed:  v.testbed,
		catalogs: catalogs,
		duration: o.duration,
	}
	if name == variantTier {
		v.faults.announce = display.event
	}
	v.load = v.newLoad(o, catalogs, display)
	return v, nil
}

func (v *variant) newLoad(o *demoOptions, catalogs *zlload.CatalogCache, display *demoDisplay) *zlload.Load {
	l := &zlload.Load{
		Targets:            v.testbed.Targets(),
		Rate:               o.rate,
		Duration:           o.duration,
		Seed:               o.seed,
		NonIdempotentShare: o.once,
		HangUpShare:        demoHangupShare,
		Checker: &zlload.Checker{
			Shards: catalogs.Shards,
		},
		Auditor: &zlload.Auditor{
			Catalogs: catalogs,
			HTTP:     auditHTTP(),
		},
	}
	for _, service := range v.testbed.Plan.Services {
		l.Mix = append(l.Mix, zlload.QueryShape{
			Service:  service.Name,
			Kind:     "lookup",
			Weight:   1,
			Deadline: 2 * time.Second,
		})
	}
	l.Progress = func(now zlload.Summary) {
		display.progress(v.name, now)
	}
	return l
}

// run runs the load and the faults and merges the violations that both found.
func (v *variant) run(ctx context.Context) {
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		v.faults.run(ctx)
	}()
	v.summary, v.points, v.err = v.load.Run(ctx)
	<-faultsDone
	v.summary.AddViolations(v.faults.violations)
	if v.err == nil {
		v.err = v.faults.err
	}
}

// showResults prints the summaries.
func showResults(e *env, o *demoOptions, variants []*variant) {
	if o.format == "json" && !o.compare {
		e.json(variants[0].summary)
		return
	}
	if o.format == "json" {
		out := map[string]zlload.Summary{}
		for _, v := range variants {
			out[v.name] = v.summary
		}
		e.json(out)
		return
	}
	if o.compare {
		showComparison(e, variants)
		return
	}
	showSummary(e, &variants[0].summary)
}

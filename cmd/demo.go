package cmd

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"zinnialock/io/process/zlload"
	"zinnialock/io/standin/zlscene"

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

// The bounds of the demo's length: the script needs the least, and the whole
// demo has to end within 40 s.
const (
	leastDemo = 12 * time.Second
	mostDemo  = 30 * time.Second
)

func runDemo(e *env, args []string) int {
	fs := newFlags(e, "demo", "Run stand-ins, six daemons and a load in one process, with faults on the way.")
	var o demoOptions
	fs.StringVar(&o.user, "user", "guild", "guild or vaxjo")
	fs.Float64Var(&o.rate, "rate", 60, "queries a second")
	fs.DurationVar(&o.duration, "time", 26*time.Second, "length of the load, 12s to 30s")
	fs.Uint64Var(&o.seed, "seed", 1, "seed of the load and the stand-ins")
	fs.Float64Var(&o.once, "once", 0.1, "share of queries that are not idempotent, 0 to 1")
	fs.BoolVar(&o.keep, "keep", false, "leave everything up at the end and print lines to try")
	fs.BoolVar(&o.compare, "compare", false, "run the same load against the naive version beside it")
	fs.StringVar(&o.plot, "plot", "", "`FILE.png` for the latency distribution and the timeline")
	fs.StringVar(&o.format, "format", "text", "text or json")
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
	var user error
	if _, err := zlscene.Users(o.user); err != nil {
		user = fmt.Errorf("flag -user: found %q, allowed is guild or vaxjo", o.user)
	}
	return errors.Join(
		user,
		checkFormat(o.format),
		checkRate("rate", o.rate),
		checkDuration("time", o.duration, leastDemo, mostDemo),
		checkNumber("once", o.once, 0, 1),
	)
}

// The names of the two sides of a comparison.
const (
	sideTier  = "zinnialock"
	sideNaive = "naive"
)

// demoStragglers is the share of sub-requests that straggle throughout.
const demoStragglers = 0.01

// demoImpatient is the share of callers of requests that are not idempotent who
// hang up early and send again.
const demoImpatient = 0.25

// side is one scene under load.
type side struct {
	name    string
	scene   *zlscene.Scene
	load    *zlload.Load
	script  *script
	summary zlload.Summary
	points  []zlload.Point
	err     error
}

func demo(e *env, o *demoOptions) (int, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	show := newScreen(e, o)
	var sides []*side
	defer func() {
		for _, s := range sides {
			s.scene.Close()
		}
	}()
	names := []string{sideTier}
	if o.compare {
		names = append(names, sideNaive)
	}
	for _, name := range names {
		s, err := newSide(ctx, name, o, show)
		if s != nil {
			sides = append(sides, s)
		}
		if err != nil {
			return exitFailed, err
		}
	}
	var wg sync.WaitGroup
	for _, s := range sides {
		wg.Go(func() { s.run(ctx) })
	}
	wg.Wait()
	for _, s := range sides {
		if s.err != nil {
			return exitFailed, fmt.Errorf("%s: %w", s.name, s.err)
		}
	}
	showSides(e, o, sides)
	if o.plot != "" {
		if err := zlload.WritePlot(o.plot, sides[0].points); err != nil {
			return exitFailed, err
		}
	}
	if o.keep {
		showTries(e, o, sides[0].scene)
		waitForSignal()
	}
	return verdict(&sides[0].summary), nil
}

// newSide starts a scene; a side that is returned with an error must be closed.
func newSide(ctx context.Context, name string, o *demoOptions, show *screen) (*side, error) {
	plan, err := zlscene.Users(o.user)
	if err != nil {
		return nil, err
	}
	s := &side{
		name: name,
		scene: &zlscene.Scene{
			Plan:          plan,
			Seed:          o.seed,
			StraggleShare: demoStragglers,
			Naive:         name == sideNaive,
			Log: &log.Logger{
				Level: log.ErrorLevel,
				Writer: &log.IOWriter{
					Writer: os.Stderr,
				},
			},
		},
	}
	if err := s.scene.Run(ctx); err != nil {
		return s, err
	}
	catalogs := &zlload.Catalogs{
		Client: s.scene.Client,
	}
	if err := catalogs.Read(ctx); err != nil {
		return s, err
	}
	s.script = &script{
		scene:    s.scene,
		catalogs: catalogs,
		length:   o.duration,
	}
	if name == sideTier {
		s.script.say = show.say
	}
	s.load = s.newLoad(o, catalogs, show)
	return s, nil
}

func (s *side) newLoad(o *demoOptions, catalogs *zlload.Catalogs, show *screen) *zlload.Load {
	l := &zlload.Load{
		Targets:   s.scene.Targets(),
		Rate:      o.rate,
		Duration:  o.duration,
		Seed:      o.seed,
		OnceShare: o.once,
		Impatient: demoImpatient,
		Checker: &zlload.Checker{
			Shards: catalogs.Shards,
		},
		Auditor: &zlload.Auditor{
			Catalogs: catalogs,
			HTTP:     auditHTTP(),
		},
	}
	for _, service := range s.scene.Plan.Services {
		l.Mix = append(l.Mix, zlload.Shape{
			Service:  service.Name,
			Kind:     "lookup",
			Weight:   1,
			Deadline: 2 * time.Second,
		})
	}
	l.Progress = func(now zlload.Summary) {
		show.progress(s.name, now)
	}
	return l
}

// run runs the load and the script, and joins what both found.
func (s *side) run(ctx context.Context) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.script.run(ctx)
	}()
	s.summary, s.points, s.err = s.load.Run(ctx)
	<-ended
	s.summary.Violate(s.script.faults)
	if s.err == nil {
		s.err = s.script.err
	}
}

func showSides(e *env, o *demoOptions, sides []*side) {
	if o.format == "json" && !o.compare {
		e.json(sides[0].summary)
		return
	}
	if o.format == "json" {
		out := map[string]zlload.Summary{}
		for _, s := range sides {
			out[s.name] = s.summary
		}
		e.json(out)
		return
	}
	if o.compare {
		showComparison(e, sides)
		return
	}
	showSummary(e, &sides[0].summary)
}

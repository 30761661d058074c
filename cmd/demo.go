package cmd

import (
	"context"
	"fmt"
	"os"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlmark"
	"zinnialock/io/process/zlload"
	"zinnialock/io/process/zlplatform"
	"zinnialock/io/standin/zlfakeupstream"
	"zinnialock/io/standin/zlscene"
	"zinnialock/io/version/zlsync"

	"github.com/phuslu/log"
)

// demoOptions are the flags of demo.
type demoOptions struct {
	user     string
	rate     float64
	duration time.Duration
	seed     uint64
	json     bool
}

func runDemo(e *env, args []string) int {
	fs := newFlags(e, "demo", "Run stand-ins, six daemons and a load in one process, with faults on the way.")
	var o demoOptions
	fs.StringVar(&o.user, "user", "guild", "guild or vaxjo")
	fs.Float64Var(&o.rate, "rate", 60, "queries a second")
	fs.DurationVar(&o.duration, "time", 20*time.Second, "length of the load")
	fs.Uint64Var(&o.seed, "seed", 1, "seed of the load and the stand-ins")
	format := formatFlag(fs)
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	if err := checkFormat(*format); err != nil {
		return e.fail(exitUsage, err)
	}
	o.json = *format == "json"
	summary, err := demo(e, &o)
	if err != nil {
		return e.fail(exitFailed, err)
	}
	if o.json {
		e.json(summary)
	} else {
		showSummary(e, summary)
	}
	if len(summary.Violations) > 0 || summary.Answered == 0 {
		return exitFailed
	}
	return exitDone
}

func demo(e *env, o *demoOptions) (*zlload.Summary, error) {
	plan, err := zlscene.Users(o.user)
	if err != nil {
		return nil, err
	}
	scene := &zlscene.Scene{
		Plan: plan,
		Seed: o.seed,
		Log: &log.Logger{
			Level: log.ErrorLevel,
			Writer: &log.IOWriter{
				Writer: os.Stderr,
			},
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := scene.Run(ctx); err != nil {
		return nil, err
	}
	defer scene.Close()
	events := make(chan struct{})
	go func() {
		defer close(events)
		demoFaults(ctx, e, o, scene)
	}()
	load := &zlload.Load{
		Targets:  scene.Targets(),
		Rate:     o.rate,
		Duration: o.duration,
		Seed:     o.seed,
		Mix:      demoMix(plan),
		Checker: &zlload.Checker{
			Shards: scene.ShardsOf,
		},
	}
	if !o.json {
		load.Progress = func(s zlload.Summary) {
			e.printf("answered %6d  refused %4d  p50 %6.1f ms  p99 %7.1f ms  coverage %.4f\n", s.Answered, s.Refused, s.P50Ms, s.P99Ms, s.CoverageMean)
		}
	}
	summary, _ := load.Run(ctx)
	<-events
	summary.Violations = append(summary.Violations, scene.Faults()...)
	return &summary, nil
}

func demoMix(plan zlscene.UserPlan) []zlload.Shape {
	var mix []zlload.Shape
	for _, s := range plan.Services {
		mix = append(mix, zlload.Shape{
			Service:    s.Name,
			Kind:       "lookup",
			Idempotent: true,
			Weight:     1,
			Deadline:   2 * time.Second,
		})
	}
	return mix
}

// demoFaults brings on, in turn, a straggler, a cold restart, and a data
// centre that leaves and returns.
func demoFaults(ctx context.Context, e *env, o *demoOptions, scene *zlscene.Scene) {
	first := scene.Plan.Services[0].Name
	say := func(text string) {
		if !o.json {
			e.printf("-- %s\n", text)
		}
	}
	step := o.duration / 5
	wait := func() {
		select {
		case <-time.After(step):
		case <-ctx.Done():
		}
	}
	wait()
	straggler := zlunit.Upstream(fmt.Sprintf("%s-0-0", first))
	say(fmt.Sprintf("upstream %s straggles: 1 in 10 calls takes 20 times as long", straggler))
	scene.Upstreams[straggler].Update(func(s *zlfakeupstream.Settings) {
		s.StraggleShare = 0.1
	})
	wait()
	cold := zlunit.Upstream(fmt.Sprintf("%s-1-1", first))
	say(fmt.Sprintf("upstream %s restarts cold", cold))
	scene.Upstreams[cold].GoCold(true)
	wait()
	dc := scene.Plan.DataCentres[len(scene.Plan.DataCentres)-1]
	say(fmt.Sprintf("data centre %s is marked out", dc))
	version := demoMark(ctx, scene, 0, &zlmark.Marks{
		DataCentres: map[zlunit.DataCentre]zlmark.Mark{
			dc: {
				Reason: "demo",
				At:     time.Now(),
			},
		},
	})
	wait()
	say(fmt.Sprintf("data centre %s is marked in", dc))
	demoMark(ctx, scene, version, &zlmark.Marks{})
}

func demoMark(ctx context.Context, scene *zlscene.Scene, version zlunit.ObjectVersion, marks *zlmark.Marks) zlunit.ObjectVersion {
	next, err := scene.Client.Put(ctx, zlplatform.ObjectMarks, zlsync.MarksName, version, marks)
	if err != nil {
		return version
	}
	return next
}

func showSummary(e *env, s *zlload.Summary) {
	e.printf("sent %d, answered %d, refused %d, failed %d\n", s.Sent, s.Answered, s.Refused, s.Failed)
	e.printf("p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms, largest %.1f ms\n", s.P50Ms, s.P99Ms, s.P999Ms, s.MaxMs)
	e.printf("coverage mean %.5f, least %.5f; extra load %.4f\n", s.CoverageMean, s.CoverageMin, s.ExtraLoad)
	for reason, n := range s.Reasons {
		e.printf("refused for %s: %d\n", reason, n)
	}
	e.printf("violations: %d\n", len(s.Violations))
	for _, v := range s.Violations {
		e.printf("  %s\n", v)
	}
}

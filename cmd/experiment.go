package cmd

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"zinnialock/io/process/zlexperiment"
	"zinnialock/io/standin/zltestbed"

	"github.com/phuslu/log"
)

// The upper bounds of the flags of experiment.
const (
	maxExperimentTime = time.Hour
	maxServiceMs      = 1000
)

func runExperiment(e *env, args []string) int {
	fs := newFlags(e, "experiment", "Measure the tier against the naive version, and with single mechanisms switched off.")
	x := &zlexperiment.Experiment{}
	user := fs.String("user", "guild", "deployment to run, guild or vaxjo")
	fs.Float64Var(&x.Rate, "rate", 100, "queries a second")
	fs.DurationVar(&x.Duration, "time", 20*time.Second, "length of the measured load of each variant")
	fs.DurationVar(&x.WarmUp, "warming", 16*time.Second, "length of the load before the measurement, without faults")
	fs.DurationVar(&x.Deadline, "deadline", 2*time.Second, "time allowed for each query")
	fs.Uint64Var(&x.Seed, "seed", 1, "seed of the load and the stand-ins")
	fs.Float64Var(&x.ServiceMs, "service-ms", 15, "mean service time of upstreams, in milliseconds")
	fs.Float64Var(&x.StraggleShare, "straggle", 0.01, "share of sub-requests that straggle")
	fs.Float64Var(&x.StragglerSlowdown, "straggle-times", 20, "factor by which stragglers take longer")
	lost := fs.String("lost", string(zlexperiment.LostRefuses), "fault of one replica: refuses (its connections), silent (never replies) or none")
	without := fs.String("without", "", "mechanisms to switch off in turn, `NAME[,NAME]` or all")
	earlyAnswer := fs.String("sooner", "", "add a variant that answers with this coverage after this time, `COVERAGE,DURATION`")
	format := formatFlag(fs)
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	x.ReplicaLoss = zlexperiment.ReplicaLoss(*lost)
	variants, err := experimentVariants(*without, *earlyAnswer)
	plan, userErr := zltestbed.PlanByName(*user)
	if userErr != nil {
		userErr = fmt.Errorf("flag -user: %w", userErr)
	}
	if err := errors.Join(err, userErr, checkFormat(*format), checkExperiment(x)); err != nil {
		return e.fail(exitUsage, err)
	}
	x.Plan = plan
	x.Log = &log.Logger{
		Level: log.ErrorLevel,
		Writer: &log.IOWriter{
			Writer: os.Stderr,
		},
	}
	x.Progress = func(zlexperiment.Row) {}
	if *format == "text" {
		e.printf("%s, seed %d, %v/s for %v each, service %v ms, %v of sub-requests straggle %v times, one replica lost: %s\n", *user, x.Seed, x.Rate, x.Duration, x.ServiceMs, x.StraggleShare, x.StragglerSlowdown, x.ReplicaLoss)
		e.printf("| variant | answered | p50 ms | p99 ms | p99.9 ms | coverage mean | coverage min | extra sub-requests |\n|---|---|---|---|---|---|---|---|\n")
		x.Progress = e.experimentRow
	}
	rows, err := x.Run(context.Background(), variants)
	if err != nil {
		return e.fail(exitFailed, err)
	}
	if *format == "json" {
		e.json(rows)
	}
	return experimentExitCode(rows)
}

// experimentRow prints the result of a variant as a row of a table.
func (e *env) experimentRow(row zlexperiment.Row) {
	s := &row.Summary
	e.printf("| %s | %d of %d | %.1f | %.1f | %.1f | %.5f | %.4f | %.4f |\n", row.Name, s.Answered, s.Sent, s.P50Ms, s.P99Ms, s.P999Ms, s.CoverageMean, s.CoverageMin, s.ExtraLoad)
	for _, v := range s.Violations {
		e.printf("violation: %s\n", v)
	}
}

// experimentVariants returns the variants to measure.
func experimentVariants(without, earlyAnswer string) ([]zlexperiment.Variant, error) {
	var names []string
	switch without {
	case "":
	case "all":
		names = zlexperiment.Mechanisms()
	default:
		names = strings.Split(without, ",")
	}
	variants, err := zlexperiment.Variants(names)
	if err != nil {
		return nil, fmt.Errorf("flag -without: %w", err)
	}
	if earlyAnswer == "" {
		return variants, nil
	}
	var coverage float64
	var after string
	if _, err := fmt.Sscanf(strings.Replace(earlyAnswer, ",", " ", 1), "%g %s", &coverage, &after); err != nil {
		return nil, fmt.Errorf("flag -sooner: found %q, allowed is COVERAGE,DURATION", earlyAnswer)
	}
	_, err = time.ParseDuration(after)
	if err != nil || !(coverage >= 0 && coverage <= 1) {
		return nil, fmt.Errorf("flag -sooner: found %q, allowed is a coverage from 0 to 1 and a duration", earlyAnswer)
	}
	return append(variants, zlexperiment.EarlyAnswerVariant(coverage, after)), nil
}

func checkExperiment(x *zlexperiment.Experiment) error {
	var lost error
	switch x.ReplicaLoss {
	case zlexperiment.LostRefuses, zlexperiment.LostSilent, zlexperiment.LostNone:
	default:
		lost = fmt.Errorf("flag -lost: found %q, allowed is refuses, silent or none", x.ReplicaLoss)
	}
	return errors.Join(
		lost,
		checkRate("rate", x.Rate),
		checkDuration("time", x.Duration, time.Second, maxExperimentTime),
		checkDuration("warming", x.WarmUp, 0, maxExperimentTime),
		checkDuration("deadline", x.Deadline, time.Millisecond, maxDeadline),
		checkNumber("service-ms", x.ServiceMs, 0, maxServiceMs),
		checkNumber("straggle", x.StraggleShare, 0, 1),
		checkNumber("straggle-times", x.StragglerSlowdown, 1, maxServiceMs),
	)
}

// experimentExitCode returns exitFailed if any variant has violations.
func experimentExitCode(rows []zlexperiment.Row) int {
	for i := range rows {
		if len(rows[i].Summary.Violations) > 0 {
			return exitFailed
		}
	}
	return exitOK
}

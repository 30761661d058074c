package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sort"
	"time"

	"zinnialock/io/process/zlsoak"
)

func runSoak(e *env, args []string) int {
	fs := newFlags(e, "soak", "Run daemons as processes under overlapping faults and check the promises; exit code 1 if one was broken.")
	seed := fs.Uint64("seed", 1, "the first seed; the same gives the same steps")
	seeds := fs.Int("seeds", 1, "how many seeds to run, one after another")
	length := fs.Duration("time", 30*time.Second, "length of a run")
	processes := fs.Int("processes", 6, "daemons, a third in each data centre")
	dir := fs.String("dir", "", "`FOLDER` for settings and logs, kept; without it they are removed")
	format := formatFlag(fs)
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	err := errors.Join(
		checkFormat(*format),
		checkNumber("seeds", float64(*seeds), 1, maxRate),
		checkNumber("processes", float64(*processes), zlsoak.LeastProcesses, zlsoak.MostProcesses),
		checkDuration("time", *length, zlsoak.LeastTime, maxDuration),
	)
	if err != nil {
		return e.fail(exitUsage, err)
	}
	program, err := os.Executable()
	if err != nil {
		return e.fail(exitFailed, fmt.Errorf("soak: %w", err))
	}
	code := exitDone
	for i := range *seeds {
		s := &zlsoak.Soak{
			Seed:      *seed + uint64(i),
			Time:      *length,
			Processes: *processes,
			Program:   program,
			Dir:       *dir,
			Out:       e.stdout,
		}
		if *format == "json" {
			s.Out = io.Discard
		}
		if broken := soak(e, s, *format); broken {
			code = exitFailed
		}
	}
	return code
}

// soak runs one seed and reports whether a promise was broken or the run failed.
func soak(e *env, s *zlsoak.Soak, format string) bool {
	if s.Dir == "" {
		dir, err := os.MkdirTemp("", "zinnialock-soak-")
		if err != nil {
			return e.fail(exitFailed, fmt.Errorf("soak: %w", err)) != exitDone
		}
		defer func() {
			_ = os.RemoveAll(dir)
		}()
		s.Dir = dir
	} else if err := os.MkdirAll(s.Dir, 0o700); err != nil {
		return e.fail(exitFailed, fmt.Errorf("soak: %w", err)) != exitDone
	}
	report, err := s.Run(context.Background())
	if err != nil {
		return e.fail(exitFailed, fmt.Errorf("soak: seed %d: %w", s.Seed, err)) != exitDone
	}
	if format == "json" {
		e.json(report)
		return len(report.Broken) > 0
	}
	kinds := make([]string, 0, len(report.Steps))
	for k, n := range report.Steps {
		kinds = append(kinds, fmt.Sprintf("%s %d", k, n))
	}
	sort.Strings(kinds)
	e.printf("seed %d: steps %v\n", s.Seed, kinds)
	showSummary(e, &report.Load)
	e.printf("bounds of changes: %d checked, %d not, since daemons or the platform were out of reach\n", report.Judged, report.Unjudged)
	e.printf("seed %d: broken promises: %d\n", s.Seed, len(report.Broken))
	for _, b := range report.Broken {
		e.printf("  %s\n", b)
	}
	return len(report.Broken) > 0
}

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
	fs := newFlags(e, "soak", "Run daemons as processes, inject overlapping faults and check the invariants. Exit code 1 if one is violated.")
	seed := fs.Uint64("seed", 1, "first seed; the same seed gives the same steps")
	seeds := fs.Int("seeds", 1, "number of seeds to run, one after another")
	length := fs.Duration("time", 30*time.Second, "length of the run of each seed")
	processes := fs.Int("processes", 6, "number of daemons, a third in each data centre")
	dir := fs.String("dir", "", "`FOLDER` for settings and logs, which is kept; if empty, a temporary one that is removed")
	format := formatFlag(fs)
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	err := errors.Join(
		checkFormat(*format),
		checkNumber("seeds", float64(*seeds), 1, maxRate),
		checkNumber("processes", float64(*processes), zlsoak.MinProcesses, zlsoak.MaxProcesses),
		checkDuration("time", *length, zlsoak.MinTime, maxDuration),
	)
	if err != nil {
		return e.fail(exitUsage, err)
	}
	program, err := os.Executable()
	if err != nil {
		return e.fail(exitFailed, fmt.Errorf("soak: %w", err))
	}
	code := exitOK
	for i := range *seeds {
		s := &zlsoak.Soak{
			Seed:      *seed + uint64(i),
			Duration:  *length,
			Processes: *processes,
			Program:   program,
			Dir:       *dir,
			Out:       e.stdout,
		}
		if *format == "json" {
			s.Out = io.Discard
		}
		if failed := soak(e, s, *format); failed {
			code = exitFailed
		}
	}
	return code
}

// soak runs one seed and reports whether an invariant was violated or the run failed.
func soak(e *env, s *zlsoak.Soak, format string) bool {
	if s.Dir == "" {
		dir, err := os.MkdirTemp("", "zinnialock-soak-")
		if err != nil {
			return e.fail(exitFailed, fmt.Errorf("soak: %w", err)) != exitOK
		}
		defer func() {
			_ = os.RemoveAll(dir)
		}()
		s.Dir = dir
	} else if err := os.MkdirAll(s.Dir, 0o700); err != nil {
		return e.fail(exitFailed, fmt.Errorf("soak: %w", err)) != exitOK
	}
	report, err := s.Run(context.Background())
	if err != nil {
		return e.fail(exitFailed, fmt.Errorf("soak: seed %d: %w", s.Seed, err)) != exitOK
	}
	if format == "json" {
		e.json(report)
		return len(report.Violations) > 0
	}
	kinds := make([]string, 0, len(report.Steps))
	for k, n := range report.Steps {
		kinds = append(kinds, fmt.Sprintf("%s %d", k, n))
	}
	sort.Strings(kinds)
	e.printf("seed %d: steps %v\n", s.Seed, kinds)
	showSummary(e, &report.Load)
	e.printf("time bounds of changes: %d checked, %d not checked because a daemon or the platform was unreachable\n", report.Checked, report.Unchecked)
	e.printf("seed %d: violated invariants: %d\n", s.Seed, len(report.Violations))
	for _, b := range report.Violations {
		e.printf("  %s\n", b)
	}
	return len(report.Violations) > 0
}

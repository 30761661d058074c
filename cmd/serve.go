package cmd

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"zinnialock/io/process/zlconfig"
	"zinnialock/io/process/zldaemon"
	"zinnialock/io/process/zlkeys"

	"github.com/phuslu/log"
)

// newLogger returns a logger to stderr.
func newLogger(level string) *log.Logger {
	return &log.Logger{
		Level: log.ParseLevel(level),
		Writer: &log.IOWriter{
			Writer: os.Stderr,
		},
	}
}

// runServe runs a daemon until a signal.
func runServe(e *env, args []string) int {
	fs := newFlags(e, "serve", "Run a daemon. SIGTERM or SIGINT stops it once running queries have finished; a second signal ends it at once.")
	path := fs.String("config", "zinnialock.toml", "settings `FILE`")
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	cfg, _, err := zlconfig.Load(*path)
	if err != nil {
		return e.fail(exitUsage, err)
	}
	logger := newLogger(cfg.LogLevel)
	keys := &zlkeys.Store{
		Files: zlkeys.Files{
			Certificate: cfg.Certificate,
			Key:         cfg.Key,
			Authority:   cfg.Authority,
		},
	}
	if err := keys.Load(); err != nil {
		return e.fail(exitUsage, err)
	}
	d := &zldaemon.Daemon{
		Config: cfg,
		Keys:   keys,
		Log:    logger,
		Out:    e.stdout,
	}
	if err := d.Run(); err != nil {
		return e.fail(exitFailed, err)
	}
	logger.Info().Str("vm", string(cfg.Name)).Str("caller", cfg.CallerListen).Msg("serve: running")
	return waitForStop(e, d, logger)
}

// waitForStop waits for a signal, then stops d as planned and returns the exit code. A second
// signal ends the stop.
func waitForStop(e *env, d *zldaemon.Daemon, logger *log.Logger) int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	logger.Info().Msg("serve: received a signal, finishing running queries")
	stopped := make(chan error, 1)
	go func() {
		stopped <- d.Stop()
	}()
	select {
	case err := <-stopped:
		if err != nil {
			return e.fail(exitFailed, err)
		}
		logger.Info().Msg("serve: stopped, all queries have finished")
		return exitOK
	case <-signals:
		return e.fail(exitFailed, fmt.Errorf("serve: second signal: exiting with %d queries unfinished", d.InFlight()))
	}
}

package cmd

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"zinnialock/io/process/zlkeys"
	"zinnialock/io/standin/zlfakeplatform"
	"zinnialock/io/standin/zlfakeupstream"
)

// standinCommands lists the subcommands of standin.
func standinCommands() []command {
	return []command{
		{
			name:    "platform",
			summary: "run a stand-in for the platform's object API and list of VMs",
			run:     runStandinPlatform,
		},
		{
			name:    "upstream",
			summary: "run a stand-in for one upstream",
			run:     runStandinUpstream,
		},
		{
			name:    "keys",
			summary: "write keys and certificates for daemons of a test",
			run:     runStandinKeys,
		},
	}
}

// runStandin runs a subcommand of standin.
func runStandin(e *env, args []string) int {
	if len(args) == 0 {
		printUsage(e.stderr, "standin ", standinCommands())
		return exitUsage
	}
	if isHelp(args[0]) {
		printUsage(e.stdout, "standin ", standinCommands())
		return exitOK
	}
	return dispatch(e, "standin ", standinCommands(), args)
}

func runStandinPlatform(e *env, args []string) int {
	fs := newFlags(e, "standin platform", "Run a small stand-in for the platform's object API and list of VMs.")
	listen := fs.String("listen", "127.0.0.1:7000", "address to listen on, `IP:PORT`")
	reads := fs.Float64("reads", 2000, "limit of reads a second; 0 for none")
	writes := fs.Float64("writes", 300, "limit of writes a second; 0 for none")
	lag := fs.Duration("vm-lag", 5*time.Second, "how far the list of VMs lags behind")
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	err := errors.Join(
		checkAddress("listen", *listen),
		checkNumber("reads", *reads, 0, maxRate),
		checkNumber("writes", *writes, 0, maxRate),
		checkDuration("vm-lag", *lag, 0, maxDuration),
	)
	if err != nil {
		return e.fail(exitUsage, err)
	}
	listener, err := net.Listen("tcp", *listen)
	if err != nil {
		return e.fail(exitFailed, err)
	}
	p := &zlfakeplatform.Platform{
		ReadsPerSecond:  *reads,
		WritesPerSecond: *writes,
		VMLag:           *lag,
	}
	server := &http.Server{
		Handler:           p.Handler(),
		ReadHeaderTimeout: time.Minute,
	}
	go func() {
		_ = server.Serve(listener)
	}()
	e.printf("standin platform on %s\n", listener.Addr())
	waitForSignal()
	_ = server.Close()
	return exitOK
}

func runStandinUpstream(e *env, args []string) int {
	fs := newFlags(e, "standin upstream", "Run a small stand-in for an upstream.")
	listen := fs.String("listen", "127.0.0.1:7200", "address to listen on, `IP:PORT`")
	path := fs.String("settings", "", "`FILE` with the upstream's settings in JSON")
	seed := fs.Uint64("seed", 1, "seed of the service times")
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	if err := errors.Join(checkAddress("listen", *listen), checkText("settings", *path, "a file")); err != nil {
		return e.fail(exitUsage, err)
	}
	data, err := os.ReadFile(*path)
	if err != nil {
		return e.fail(exitUsage, fmt.Errorf("flag -settings: %w", err))
	}
	u := &zlfakeupstream.Upstream{
		Address: *listen,
		Seed:    *seed,
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&u.Settings); err != nil {
		return e.fail(exitUsage, fmt.Errorf("%s: %w", *path, err))
	}
	if err := checkUpstreamSettings(*path, &u.Settings); err != nil {
		return e.fail(exitUsage, err)
	}
	if err := u.Run(); err != nil {
		return e.fail(exitFailed, err)
	}
	e.printf("standin upstream %s on %s\n", u.Settings.Name, u.Address)
	waitForSignal()
	u.Close()
	return exitOK
}

// checkUpstreamSettings returns an error that names every invalid key.
func checkUpstreamSettings(file string, s *zlfakeupstream.Settings) error {
	var errs []error
	report := func(key string, found any, allowed string) {
		errs = append(errs, fmt.Errorf("%s: key %q: found %v, allowed is %s", file, key, found, allowed))
	}
	if s.Name == "" {
		report("name", "nothing", "the name of an upstream")
	}
	if s.Service == "" {
		report("service", "nothing", "the name of a service")
	}
	for key, n := range map[string]int{
		"slots":       int(s.Slots),
		"connections": int(s.Connections),
		"coldLimit":   int(s.ColdLimit),
	} {
		if n < 1 {
			report(key, n, "1 or more")
		}
	}
	if s.ServiceMs < 0 || s.ConnectMs < 0 {
		report("serviceMs or connectMs", min(s.ServiceMs, s.ConnectMs), "0 or more")
	}
	return errors.Join(errs...)
}

func runStandinKeys(e *env, args []string) int {
	fs := newFlags(e, "standin keys", "Write keys, certificates and their authority for daemons of a test. Not for production.")
	dir := fs.String("dir", ".", "`FOLDER` to write to")
	names := fs.String("names", "", "names of the daemons, `NAME[,NAME]`")
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	if err := checkText("names", *names, "names separated by commas"); err != nil {
		return e.fail(exitUsage, err)
	}
	authority, err := zlkeys.NewAuthority()
	if err != nil {
		return e.fail(exitFailed, err)
	}
	for _, name := range strings.Split(*names, ",") {
		if _, err := authority.WriteFiles(*dir, name); err != nil {
			return e.fail(exitFailed, err)
		}
	}
	return exitOK
}

// waitForSignal waits for SIGTERM or SIGINT.
func waitForSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
}

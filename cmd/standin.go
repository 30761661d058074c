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

func standins() []command {
	return []command{
		{
			name:    "platform",
			summary: "the platform's object API and list of VMs",
			run:     runStandinPlatform,
		},
		{
			name:    "upstream",
			summary: "one upstream",
			run:     runStandinUpstream,
		},
		{
			name:    "keys",
			summary: "self-made keys for daemons of a test",
			run:     runStandinKeys,
		},
	}
}

func runStandin(e *env, args []string) int {
	if len(args) == 0 {
		usageOf(e.stderr, "standin ", standins())
		return exitUsage
	}
	if isHelp(args[0]) {
		usageOf(e.stdout, "standin ", standins())
		return exitDone
	}
	return dispatch(e, "standin ", standins(), args)
}

func runStandinPlatform(e *env, args []string) int {
	fs := newFlags(e, "standin platform", "Run a small stand-in for the platform's object API.")
	listen := fs.String("listen", "127.0.0.1:7000", "address, `IP:PORT`")
	reads := fs.Float64("reads", 2000, "reads a second; 0 for no limit")
	writes := fs.Float64("writes", 300, "writes a second; 0 for no limit")
	lag := fs.Duration("vm-lag", 5*time.Second, "age of the list of VMs")
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
	return exitDone
}

func runStandinUpstream(e *env, args []string) int {
	fs := newFlags(e, "standin upstream", "Run a small stand-in for an upstream.")
	listen := fs.String("listen", "127.0.0.1:7200", "address, `IP:PORT`")
	path := fs.String("settings", "", "`FILE` with its settings in JSON")
	seed := fs.Uint64("seed", 1, "seed of its service times")
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
	if err := checkUpstream(*path, &u.Settings); err != nil {
		return e.fail(exitUsage, err)
	}
	if err := u.Run(); err != nil {
		return e.fail(exitFailed, err)
	}
	e.printf("standin upstream %s on %s\n", u.Settings.Name, u.Address)
	waitForSignal()
	u.Close()
	return exitDone
}

// checkUpstream names every key of an upstream's settings that is wrong.
func checkUpstream(file string, s *zlfakeupstream.Settings) error {
	var faults []error
	say := func(key string, found any, allowed string) {
		faults = append(faults, fmt.Errorf("%s: key %q: found %v, allowed is %s", file, key, found, allowed))
	}
	if s.Name == "" {
		say("name", "nothing", "the name of an upstream")
	}
	if s.Service == "" {
		say("service", "nothing", "the name of a service")
	}
	for key, n := range map[string]int{
		"slots":       int(s.Slots),
		"connections": int(s.Connections),
		"coldLimit":   int(s.ColdLimit),
	} {
		if n < 1 {
			say(key, n, "1 or more")
		}
	}
	if s.ServiceMs < 0 || s.ConnectMs < 0 {
		say("serviceMs or connectMs", min(s.ServiceMs, s.ConnectMs), "0 or more")
	}
	return errors.Join(faults...)
}

func runStandinKeys(e *env, args []string) int {
	fs := newFlags(e, "standin keys", "Write self-made keys for daemons of a test.")
	dir := fs.String("dir", ".", "`FOLDER` to write to")
	names := fs.String("names", "", "daemons, `NAME[,NAME]`")
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	if err := checkText("names", *names, "names with commas between"); err != nil {
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
	return exitDone
}

func waitForSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
}

package zltestbed

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlcoordinator"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/core/version/zlsettings"
	"zinnialock/io/process/zlconfig"
	"zinnialock/io/process/zldaemon"
	"zinnialock/io/process/zlkeys"
	"zinnialock/io/process/zlplatform"
	"zinnialock/io/standin/zlfakeplatform"
	"zinnialock/io/standin/zlfakeupstream"
	"zinnialock/io/standin/zlports"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
)

// FirstVersion is the index version of all services when a testbed starts.
const FirstVersion zlunit.IndexVersion = 1

// Properties of the simulated platform.
const (
	platformReadsPerSecond  = 2000
	platformWritesPerSecond = 300
	platformVMLag           = 5 * time.Second
	// platformTimeout bounds a call of the platform.
	platformTimeout = 2 * time.Second
)

// Testbed is a running deployment. Plan, Seed and Log must be set before Run; the
// fields from StraggleShare to Settings are optional. Run sets the fields from
// Platform to Catalogs.
type Testbed struct {
	// Plan describes the deployment.
	Plan Plan
	// Seed seeds the random behaviour of the upstreams.
	Seed uint64
	// Log receives the log lines of daemons inside the process.
	Log *log.Logger
	// StraggleShare is the share of each upstream's requests that take 20 times
	// as long, from 0 to 1.
	StraggleShare float64
	// Naive runs the naive version in place of the daemons.
	Naive bool
	// PlatformAddress, if set, returns the platform address that a daemon uses, so
	// that a test can cut it off; an empty result means the usual address.
	PlatformAddress func(vm zlunit.VM) string
	// Program, if set, is the program that runs as a child process for each
	// daemon.
	Program string
	// Dir is the directory for the files of the child processes.
	Dir string
	// UpstreamAddress, if set, returns the address that the catalogue lists for an upstream,
	// such as that of a proxy.
	UpstreamAddress func(name zlunit.Upstream, address string) (string, error)
	// Disabled disables mechanisms of the daemons, for experiments.
	Disabled zlcoordinator.Disabled
	// Settings holds further settings of the deployment.
	Settings zlsettings.Node

	// Platform is the simulated platform.
	Platform *zlfakeplatform.Platform
	// Client is a client of the platform.
	Client *zlplatform.Client
	// Upstreams holds the simulated upstreams by name.
	Upstreams map[zlunit.Upstream]*zlfakeupstream.Upstream
	// Catalogs holds the current catalogue of each service.
	Catalogs map[zlunit.Service]*zlcatalog.Catalog

	// daemons holds the daemons in order of start, ended ones included.
	daemons []daemon
	// ended holds the indices of the daemons that Kill or Stop ended.
	ended          map[int]bool
	authority      *zlkeys.Authority
	platformServer *http.Server
}

// Run starts the platform, the upstreams and the daemons and returns once all
// daemons are ready. Close is needed even if it fails.
func (t *Testbed) Run(ctx context.Context) error {
	if err := t.runPlatform(); err != nil {
		return err
	}
	if err := t.runUpstreams(ctx); err != nil {
		return err
	}
	authority, err := zlkeys.NewAuthority()
	if err != nil {
		return err
	}
	t.authority = authority
	t.ended = map[int]bool{}
	for _, dc := range t.Plan.DataCentres {
		for i := range t.Plan.Daemons {
			if err := t.startDaemon(dc, i); err != nil {
				return err
			}
		}
	}
	return t.waitReady(ctx)
}

func (t *Testbed) runPlatform() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "start the simulated platform")
	}
	t.Platform = &zlfakeplatform.Platform{
		ReadsPerSecond:  platformReadsPerSecond,
		WritesPerSecond: platformWritesPerSecond,
		VMLag:           platformVMLag,
	}
	t.platformServer = &http.Server{
		Handler:           t.Platform.Handler(),
		ReadHeaderTimeout: time.Minute,
	}
	go func() {
		_ = t.platformServer.Serve(listener)
	}()
	t.Client = &zlplatform.Client{
		Address: listener.Addr().String(),
		HTTP: &http.Client{
			Transport: &http.Transport{},
		},
		Timeout: platformTimeout,
	}
	return nil
}

// startDaemon starts the daemon of VM i of a data centre or, if Naive is set, a
// baseline daemon (zlnaive) in that data centre.
func (t *Testbed) startDaemon(dc zlunit.DataCentre, i int) error {
	if t.Naive {
		return t.runNaive(dc)
	}
	return t.RunDaemon(dc, i)
}

const (
	// stopGrace is the time in which a stopping daemon still accepts queries.
	stopGrace = time.Second
	// stopLimit bounds a planned stop; queries that take longer are cut.
	stopLimit = 10 * time.Second
)

// maxPortAttempts bounds the attempts to start a daemon: another process may take
// a port between the check that it is free and the start.
const maxPortAttempts = 5

// RunDaemon starts the daemon of VM i of a data centre and adds it to the testbed. It
// tries up to maxPortAttempts times, each time on new ports.
func (t *Testbed) RunDaemon(dc zlunit.DataCentre, i int) error {
	var err error
	for range maxPortAttempts {
		if err = t.tryRunDaemon(dc, i); err == nil {
			return nil
		}
	}
	return err
}

func (t *Testbed) tryRunDaemon(dc zlunit.DataCentre, i int) error {
	name := fmt.Sprintf("%s-%d", dc, i+1)
	ports, err := zlports.Free(3)
	if err != nil {
		return err
	}
	if t.Program != "" {
		p, err := t.RunProcess(dc, i, ports)
		if err != nil {
			return err
		}
		t.daemons = append(t.daemons, p)
		return nil
	}
	keys, err := t.authority.Store(name)
	if err != nil {
		return err
	}
	d := &zldaemon.Daemon{
		Config:   t.daemonConfig(name, dc, ports),
		Keys:     keys,
		Log:      t.Log,
		Disabled: t.Disabled,
	}
	if err := d.Run(); err != nil {
		return err
	}
	t.daemons = append(t.daemons, &inProcessDaemon{
		daemon: d,
	})
	return nil
}

// daemonConfig returns the settings of a daemon, without its keys.
func (t *Testbed) daemonConfig(name string, dc zlunit.DataCentre, ports []string) *zlconfig.Config {
	platform := t.Client.Address
	if t.PlatformAddress != nil {
		platform = cmp.Or(t.PlatformAddress(zlunit.VM(name)), platform)
	}
	return &zlconfig.Config{
		Name:            zlunit.VM(name),
		DataCentre:      dc,
		Deployment:      t.Plan.Deployment,
		CallerListen:    ports[0],
		AdminListen:     ports[1],
		PeerListen:      ports[2],
		PlatformAddress: platform,
		PlatformTimeout: platformTimeout,
		StopGrace:       stopGrace,
		StopLimit:       stopLimit,
	}
}

// readyTimeout bounds the wait for daemons to be ready, and for a process to
// answer.
const readyTimeout = 10 * time.Second

// waitReady waits until every daemon is ready and knows all others, and the daemons
// together may send to as many upstreams as there are.
func (t *Testbed) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		allReady := true
		held := 0
		for _, d := range t.daemons {
			allReady = allReady && d.Ready(len(t.daemons))
			held += d.Held()
		}
		if allReady && held >= len(t.Upstreams) {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return eris.New("daemons did not become ready in time")
}

// Targets returns the addresses of all daemons for callers, in order of start.
func (t *Testbed) Targets() []string {
	out := make([]string, 0, len(t.daemons))
	for _, d := range t.daemons {
		out = append(out, d.Target())
	}
	return out
}

// Admin returns the admin address of daemon n, or an empty string if it is naive or
// a child process.
func (t *Testbed) Admin(n int) string {
	if d, ok := t.daemons[n].(*inProcessDaemon); ok {
		return d.daemon.Config.AdminListen
	}
	return ""
}

// Close kills all daemons and ends the upstreams and the platform, also after a Run
// that failed.
func (t *Testbed) Close() {
	for n, d := range t.daemons {
		if !t.ended[n] {
			d.Kill()
		}
	}
	for _, u := range t.Upstreams {
		u.Close()
	}
	if t.platformServer != nil {
		t.Client.HTTP.CloseIdleConnections()
		_ = t.platformServer.Close()
	}
}

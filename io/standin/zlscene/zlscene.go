package zlscene

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

// FirstVersion is the index version that a scene starts with.
const FirstVersion zlunit.IndexVersion = 1

// What the platform stand-in allows, in calls per second, and how old its list
// of VMs is.
const (
	platformReads  = 2000
	platformWrites = 300
	platformLag    = 5 * time.Second
)

// Scene is a running deployment. Plan, Seed and Log must be set before Run.
type Scene struct {
	Plan UserPlan
	Seed uint64
	Log  *log.Logger
	// StraggleShare is the share of each upstream's requests that take 20 times
	// as long.
	StraggleShare float64
	// Naive runs the naive version in place of the daemons.
	Naive bool
	// PlatformFor, if set, names the platform address of a daemon, for one
	// that is to be cut off; empty means the usual one.
	PlatformFor func(vm zlunit.VM) string
	// Program, if set, is run as a process for each daemon; Dir is where their
	// files go.
	Program string
	Dir     string
	// Via, if set, returns the address by which an upstream is reached.
	Via func(name zlunit.Upstream, address string) (string, error)
	// Without switches mechanisms of the daemons off, for experiments.
	Without zlcoordinator.Disabled
	// Settings are further settings of the deployment.
	Settings zlsettings.Node

	Platform  *zlfakeplatform.Platform
	Client    *zlplatform.Client
	Upstreams map[zlunit.Upstream]*zlfakeupstream.Upstream
	Catalogs  map[zlunit.Service]*zlcatalog.Catalog

	entries   []entry
	killed    map[int]bool
	authority *zlkeys.Authority
	server    *http.Server
}

// Run starts everything and returns once all daemons are ready.
func (s *Scene) Run(ctx context.Context) error {
	if err := s.runPlatform(); err != nil {
		return err
	}
	if err := s.runUpstreams(ctx); err != nil {
		return err
	}
	authority, err := zlkeys.NewAuthority()
	if err != nil {
		return err
	}
	s.authority = authority
	s.killed = map[int]bool{}
	for _, dc := range s.Plan.DataCentres {
		for i := range s.Plan.Daemons {
			if err := s.runEntry(dc, i); err != nil {
				return err
			}
		}
	}
	return s.waitReady(ctx)
}

func (s *Scene) runPlatform() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "platform stand-in")
	}
	s.Platform = &zlfakeplatform.Platform{
		ReadsPerSecond:  platformReads,
		WritesPerSecond: platformWrites,
		VMLag:           platformLag,
	}
	s.server = &http.Server{
		Handler:           s.Platform.Handler(),
		ReadHeaderTimeout: time.Minute,
	}
	go func() {
		_ = s.server.Serve(listener)
	}()
	s.Client = &zlplatform.Client{
		Address: listener.Addr().String(),
		HTTP: &http.Client{
			Transport: &http.Transport{},
		},
		Timeout: 2 * time.Second,
	}
	return nil
}

func (s *Scene) runEntry(dc zlunit.DataCentre, i int) error {
	if s.Naive {
		return s.runNaive(dc)
	}
	return s.RunDaemon(dc, i)
}

// What a planned stop of a daemon may take.
const (
	stopGrace = time.Second
	stopLimit = 10 * time.Second
)

// portTries bounds the tries to find ports that nobody takes meanwhile.
const portTries = 5

// RunDaemon starts the daemon of entry VM i of a data centre.
func (s *Scene) RunDaemon(dc zlunit.DataCentre, i int) error {
	var err error
	for range portTries {
		if err = s.runDaemon(dc, i); err == nil {
			return nil
		}
	}
	return err
}

func (s *Scene) runDaemon(dc zlunit.DataCentre, i int) error {
	name := fmt.Sprintf("%s-%d", dc, i+1)
	ports, err := zlports.Free(3)
	if err != nil {
		return err
	}
	if s.Program != "" {
		p, err := s.RunProcess(dc, i, ports)
		if err != nil {
			return err
		}
		s.entries = append(s.entries, p)
		return nil
	}
	keys, err := s.authority.Store(name)
	if err != nil {
		return err
	}
	d := &zldaemon.Daemon{
		Config:  s.config(name, dc, ports),
		Keys:    keys,
		Log:     s.Log,
		Without: s.Without,
	}
	if err := d.Run(); err != nil {
		return err
	}
	s.entries = append(s.entries, &daemonEntry{
		daemon: d,
	})
	return nil
}

// config is the settings of an entry VM's daemon, but for its keys.
func (s *Scene) config(name string, dc zlunit.DataCentre, ports []string) *zlconfig.Config {
	platform := s.Client.Address
	if s.PlatformFor != nil {
		platform = cmp.Or(s.PlatformFor(zlunit.VM(name)), platform)
	}
	return &zlconfig.Config{
		Name:            zlunit.VM(name),
		DataCentre:      dc,
		Deployment:      s.Plan.Deployment,
		CallerListen:    ports[0],
		AdminListen:     ports[1],
		PeerListen:      ports[2],
		PlatformAddress: platform,
		PlatformTimeout: 2 * time.Second,
		StopGrace:       stopGrace,
		StopLimit:       stopLimit,
	}
}

// readyWait bounds the start of a scene.
const readyWait = 10 * time.Second

// waitReady waits until every daemon sees the whole fleet and every upstream has
// a daemon that may speak to it.
func (s *Scene) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyWait)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		all := true
		held := 0
		for _, e := range s.entries {
			all = all && e.Ready(len(s.entries))
			held += e.Held()
		}
		if all && held >= len(s.Upstreams) {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return eris.New("daemons did not become ready")
}

// Targets returns the daemons' caller addresses.
func (s *Scene) Targets() []string {
	out := make([]string, 0, len(s.entries))
	for _, e := range s.entries {
		out = append(out, e.Target())
	}
	return out
}

// Admin returns the admin address of an entry VM's daemon, or nothing for the
// naive version.
func (s *Scene) Admin(n int) string {
	if d, ok := s.entries[n].(*daemonEntry); ok {
		return d.daemon.Config.AdminListen
	}
	return ""
}

// Close ends everything at once, also after a Run that failed.
func (s *Scene) Close() {
	for n, e := range s.entries {
		if !s.killed[n] {
			e.Kill()
		}
	}
	for _, u := range s.Upstreams {
		u.Close()
	}
	if s.server != nil {
		s.Client.HTTP.CloseIdleConnections()
		_ = s.server.Close()
	}
}

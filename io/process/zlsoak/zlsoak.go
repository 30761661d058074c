// Package zlsoak is a randomized soak test of zinnialock serve. It runs the daemons
// as processes on one machine against the stand-ins, injects overlapping faults and
// changes under load, and checks the invariants from what callers and upstreams
// observe. The same seed gives the same sequence of steps, but not the same timing.
// It is not a benchmark, and not for use against a real deployment.
package zlsoak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime/pprof"
	"slices"
	"sync"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/io/process/zlload"
	"zinnialock/io/standin/zlproxy"
	"zinnialock/io/standin/zltestbed"
	"zinnialock/io/version/zlsync"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
)

const (
	// queriesPerSecond is a rate that six daemons and their stand-ins serve
	// with a third of six processors.
	queriesPerSecond = 100
	// onceShare is the fraction of requests that are not idempotent,
	// hangUpShare the fraction of their callers that hang up and retry.
	onceShare     = 0.1
	hangUpShare   = 0.3
	queryDeadline = 2 * time.Second
	dataCentres   = 3
	// MinProcesses allows one daemon in each data centre.
	MinProcesses = dataCentres
	// MaxProcesses is about the number of daemons that one machine can run.
	MaxProcesses = 300
	// MinTime is the shortest run that leaves time for some steps.
	MinTime = 12 * time.Second
)

// Soak is one run. All exported fields must be set before Run, which is called
// once.
type Soak struct {
	// Seed determines the steps and the queries.
	Seed uint64
	// Duration is the length of the load, at least MinTime.
	Duration time.Duration
	// Processes is the number of daemons; it is rounded down to a multiple of
	// the number of data centres.
	Processes int
	// Program is the path of the binary that is run as daemon. Dir is the
	// folder for its settings and log files.
	Program string
	Dir     string
	// Out receives a line of text for each step and violation. It is written to
	// by several goroutines at once.
	Out io.Writer

	testbed  *zltestbed.Testbed
	catalogs *zlload.CatalogCache
	editor   *zlsync.Editor
	started  time.Time
	steps    sync.WaitGroup

	mu               sync.Mutex
	processes        []*process
	upstreamProxies  map[zlunit.Upstream]*zlproxy.Proxy
	upstreamNames    []zlunit.Upstream
	platformProxies  map[zlunit.VM]*zlproxy.Proxy
	claimedUpstreams map[zlunit.Upstream]bool
	report           Report
	// disruptions are the periods in which a daemon or the platform is
	// unreachable, so that the bounds on the distribution of updates do not
	// apply.
	disruptions []period
	// noDisruption is read-locked by each disruption and write-locked by a
	// change whose bound is to be checked. changeMu is held during a change, so
	// that there is only one at a time. noDisruption is locked before changeMu.
	noDisruption sync.RWMutex
	changeMu     sync.Mutex
}

// period is a time span; it is still open while to is zero.
type period struct {
	from time.Time
	to   time.Time
}

// process is a daemon over its successive incarnations.
type process struct {
	// mu is held by the step that has claimed the daemon.
	mu sync.Mutex
	*zltestbed.DaemonProcess
	// usages are the readings of the current incarnation.
	usages []usage
}

// Report is the result of a run.
type Report struct {
	Seed  uint64         `json:"seed"`
	Steps map[Kind]int   `json:"steps"`
	Load  zlload.Summary `json:"load"`
	// Violations describes the invariants that were violated (JSON: broken).
	Violations []string `json:"broken"`
	// Checked counts the changes whose bound was checked (JSON: judged), Unchecked
	// those that were skipped since a daemon or the platform was unreachable (JSON:
	// unjudged).
	Checked   int `json:"judged"`
	Unchecked int `json:"unjudged"`
}

// Run starts everything, runs the steps under load and returns the report. An
// error means that the run itself failed; violations are in the report.
func (s *Soak) Run(ctx context.Context) (*Report, error) {
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	defer s.close()
	load := s.newLoad()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() {
		s.runSteps(ctx)
	})
	group.Go(func() {
		s.sampleUsage(ctx)
	})
	summary, _, err := load.Run(ctx)
	s.logf("load has ended")
	cancel()
	group.Wait()
	s.steps.Wait()
	s.logf("all steps have ended")
	if err != nil {
		s.logUpstreamStatus(ctx)
		// The cause may be a blocked goroutine in this process.
		_ = pprof.Lookup("goroutine").WriteTo(s.Out, 1)
		return nil, eris.Wrap(err, "soak")
	}
	s.report.Load = summary
	s.report.Violations = append(s.report.Violations, summary.Violations...)
	if summary.Answered == 0 {
		s.violationf("no request was answered")
	}
	s.checkGrowth()
	return &s.report, nil
}

// logUpstreamStatus logs whether each upstream answers directly and through its
// proxy, for a run whose counts could not be read.
func (s *Soak) logUpstreamStatus(ctx context.Context) {
	client := &http.Client{
		Timeout: time.Second,
	}
	defer client.CloseIdleConnections()
	status := func(address string) string {
		req, err := http.NewRequestWithContext(context.WithoutCancel(ctx), http.MethodGet, "http://"+address+"/control/counts", nil)
		if err != nil {
			return err.Error()
		}
		resp, err := client.Do(req)
		if err != nil {
			return err.Error()
		}
		_ = resp.Body.Close()
		return resp.Status
	}
	for _, name := range s.upstreamNames {
		p := s.upstreamProxies[name]
		s.logf("%s: through its proxy (%d connections open): %s; directly: %s", name, p.OpenConnections(), status(p.Address()), status(p.Target))
	}
}

func (s *Soak) start(ctx context.Context) error {
	s.report = Report{
		Seed:  s.Seed,
		Steps: map[Kind]int{},
	}
	s.upstreamProxies = map[zlunit.Upstream]*zlproxy.Proxy{}
	s.platformProxies = map[zlunit.VM]*zlproxy.Proxy{}
	s.claimedUpstreams = map[zlunit.Upstream]bool{}
	s.testbed = &zltestbed.Testbed{
		Plan:    zltestbed.Small(s.Processes / dataCentres),
		Seed:    s.Seed,
		Program: s.Program,
		Dir:     s.Dir,
		Log: &log.Logger{
			Level: log.PanicLevel,
		},
		UpstreamAddress: s.proxyUpstream,
		PlatformAddress: s.proxyPlatform,
	}
	if err := s.testbed.Run(ctx); err != nil {
		s.testbed.Close()
		s.closeProxies()
		return eris.Wrap(err, "soak")
	}
	for _, p := range s.testbed.Processes() {
		s.processes = append(s.processes, &process{
			DaemonProcess: p,
		})
	}
	s.editor = &zlsync.Editor{
		Platform: s.testbed.Client,
		Timer:    &zltimer.Service{},
	}
	s.catalogs = &zlload.CatalogCache{
		Client: s.testbed.Client,
	}
	if err := s.catalogs.Read(ctx); err != nil {
		s.close()
		return eris.Wrap(err, "soak")
	}
	s.started = time.Now()
	return nil
}

// proxyUpstream starts a proxy in front of an upstream and returns its address.
func (s *Soak) proxyUpstream(name zlunit.Upstream, address string) (string, error) {
	p := &zlproxy.Proxy{
		Target: address,
	}
	if err := p.Run(); err != nil {
		return "", err
	}
	s.upstreamProxies[name] = p
	s.upstreamNames = append(s.upstreamNames, name)
	return p.Address(), nil
}

// proxyPlatform returns the address of the proxy between a daemon and the
// platform, and starts the proxy on the first call. An empty address means that
// it could not be started.
func (s *Soak) proxyPlatform(vm zlunit.VM) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.platformProxies[vm]; ok {
		return p.Address()
	}
	p := &zlproxy.Proxy{
		Target: s.testbed.Client.Address,
	}
	if err := p.Run(); err != nil {
		s.logf("%s: starting the proxy to the platform failed: %v", vm, err)
		return ""
	}
	s.platformProxies[vm] = p
	return p.Address()
}

func (s *Soak) newLoad() *zlload.Load {
	l := &zlload.Load{
		Targets:            s.testbed.Targets(),
		Rate:               queriesPerSecond,
		Duration:           s.Duration,
		Seed:               s.Seed,
		NonIdempotentShare: onceShare,
		HangUpShare:        hangUpShare,
		Checker: &zlload.Checker{
			Shards: s.catalogs.Shards,
		},
		Auditor: &zlload.Auditor{
			Catalogs: s.catalogs,
			HTTP: &http.Client{
				Transport: &http.Transport{
					MaxConnsPerHost: 1,
					IdleConnTimeout: time.Second,
				},
				Timeout: 5 * time.Second,
			},
		},
	}
	for _, c := range s.testbed.Plan.Services {
		l.Mix = append(l.Mix, zlload.QueryShape{
			Service:  c.Name,
			Kind:     "lookup",
			Weight:   1,
			Deadline: queryDeadline,
		})
	}
	return l
}

// runSteps starts each step at its planned time, without waiting for it to end,
// until ctx is done.
func (s *Soak) runSteps(ctx context.Context) {
	for _, step := range planSteps(s.Seed, s.Duration) {
		if !sleep(ctx, time.Until(s.started.Add(step.At))) {
			return
		}
		s.steps.Go(func() {
			s.runStep(ctx, &step)
		})
	}
}

// sleep waits for d and reports whether ctx was still active at the end.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// logf writes a line with the time since the start.
func (s *Soak) logf(format string, args ...any) {
	_, _ = fmt.Fprintf(s.Out, "%7.2f s  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

// violationf logs and records the violation of an invariant.
func (s *Soak) violationf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.logf("VIOLATION: %s", text)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Violations = append(s.report.Violations, text)
}

// beginDisruption records that updates may not reach every daemon from now on,
// until the returned function is called.
func (s *Soak) beginDisruption() func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(s.disruptions)
	s.disruptions = append(s.disruptions, period{
		from: time.Now(),
	})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.disruptions[i].to = time.Now()
	}
}

// disruptedSince reports whether there was a disruption at any time after from.
func (s *Soak) disruptedSince(from time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.disruptions, func(h period) bool {
		return h.to.IsZero() || h.to.After(from)
	})
}

// countChecked counts a change as checked or unchecked, and returns checked.
func (s *Soak) countChecked(checked bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if checked {
		s.report.Checked++
	} else {
		s.report.Unchecked++
	}
	return checked
}

func (s *Soak) close() {
	for _, p := range s.processes {
		p.mu.Lock()
		p.Kill()
		p.mu.Unlock()
	}
	s.testbed.Close()
	s.closeProxies()
}

func (s *Soak) closeProxies() {
	for _, p := range s.upstreamProxies {
		p.Close()
	}
	for _, p := range s.platformProxies {
		p.Close()
	}
}

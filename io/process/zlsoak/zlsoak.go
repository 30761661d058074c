// Package zlsoak runs the product's daemons as processes on one machine, against
// the stand-ins, and brings on faults and changes in series that overlap, while it
// checks the promises from what callers and upstreams see.
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
	"zinnialock/io/standin/zlscene"
	"zinnialock/io/version/zlsync"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
)

const (
	// rate is the queries a second: what six daemons and their stand-ins serve
	// with a third of six processors.
	rate = 100
	// onceShare and impatient are the shares of requests that are not idempotent,
	// and of their callers who hang up and send again.
	onceShare = 0.1
	impatient = 0.3
	deadline  = 2 * time.Second
	// dataCentres is how many there are.
	dataCentres = 3
	// LeastProcesses is one daemon in each data centre.
	LeastProcesses = dataCentres
	// MostProcesses is a few hundred, what one machine bears.
	MostProcesses = 300
	// LeastTime is enough for some steps.
	LeastTime = 12 * time.Second
)

// Soak is one run. All fields must be set before Run.
type Soak struct {
	Seed      uint64
	Time      time.Duration
	Processes int
	// Program is the binary whose daemons are run; Dir is where their files go.
	Program string
	Dir     string
	// Out gets a line for each step.
	Out io.Writer

	scene    *zlscene.Scene
	catalogs *zlload.Catalogs
	editor   *zlsync.Editor
	began    time.Time
	steps    sync.WaitGroup

	mu        sync.Mutex
	processes []*process
	upstreams map[zlunit.Upstream]*zlproxy.Proxy
	names     []zlunit.Upstream
	platforms map[zlunit.VM]*zlproxy.Proxy
	busy      map[zlunit.Upstream]bool
	report    Report
	// hindered are the times in which a bound on news does not hold, since a
	// daemon or the platform is out of reach.
	hindered []span
	// calm is held for reading by what hinders news, and for writing by a change
	// that is to be judged; change lets one change be made at a time. Calm is
	// taken first.
	calm   sync.RWMutex
	change sync.Mutex
}

type span struct {
	from time.Time
	to   time.Time
}

// process is a daemon over its lives.
type process struct {
	mu sync.Mutex
	*zlscene.Process
	sizes []size
}

// Report is what a run found.
type Report struct {
	Seed  uint64         `json:"seed"`
	Steps map[Kind]int   `json:"steps"`
	Load  zlload.Summary `json:"load"`
	// Broken lists the promises that were broken.
	Broken []string `json:"broken"`
	// Judged and Unjudged count the changes whose bound was checked, and those
	// during which a daemon or the platform was out of reach.
	Judged   int `json:"judged"`
	Unjudged int `json:"unjudged"`
}

// Run starts everything, brings on the steps under load and returns the report.
// The error tells that the run itself failed.
func (s *Soak) Run(ctx context.Context) (*Report, error) {
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	defer s.close()
	load := s.load()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() {
		s.bringOn(ctx)
	})
	group.Go(func() {
		s.watchSizes(ctx)
	})
	summary, _, err := load.Run(ctx)
	s.say("the load is over")
	cancel()
	group.Wait()
	s.steps.Wait()
	s.say("all steps are over")
	if err != nil {
		s.tellUpstreams(ctx)
		// What holds the counts up may be in this process.
		_ = pprof.Lookup("goroutine").WriteTo(s.Out, 1)
		return nil, eris.Wrap(err, "soak")
	}
	s.report.Load = summary
	s.report.Broken = append(s.report.Broken, summary.Violations...)
	if summary.Answered == 0 {
		s.broken("nothing was answered")
	}
	s.judgeSizes()
	return &s.report, nil
}

// tellUpstreams says for each upstream whether it answers with and without the
// proxy before it, for a run whose counts could not be read.
func (s *Soak) tellUpstreams(ctx context.Context) {
	client := &http.Client{
		Timeout: time.Second,
	}
	defer client.CloseIdleConnections()
	asked := func(address string) string {
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
	for _, name := range s.names {
		p := s.upstreams[name]
		s.say("%s: through its proxy (%d open) %s, without %s", name, p.Open(), asked(p.Address()), asked(p.Target))
	}
}

func (s *Soak) start(ctx context.Context) error {
	s.report = Report{
		Seed:  s.Seed,
		Steps: map[Kind]int{},
	}
	s.upstreams = map[zlunit.Upstream]*zlproxy.Proxy{}
	s.platforms = map[zlunit.VM]*zlproxy.Proxy{}
	s.busy = map[zlunit.Upstream]bool{}
	s.scene = &zlscene.Scene{
		Plan:    zlscene.Small(s.Processes / dataCentres),
		Seed:    s.Seed,
		Program: s.Program,
		Dir:     s.Dir,
		Log: &log.Logger{
			Level: log.PanicLevel,
		},
		Via:         s.via,
		PlatformFor: s.platformFor,
	}
	if err := s.scene.Run(ctx); err != nil {
		s.scene.Close()
		s.closeProxies()
		return eris.Wrap(err, "soak")
	}
	for _, p := range s.scene.Processes() {
		s.processes = append(s.processes, &process{
			Process: p,
		})
	}
	s.editor = &zlsync.Editor{
		Platform: s.scene.Client,
		Timer:    &zltimer.Service{},
	}
	s.catalogs = &zlload.Catalogs{
		Client: s.scene.Client,
	}
	if err := s.catalogs.Read(ctx); err != nil {
		s.close()
		return eris.Wrap(err, "soak")
	}
	s.began = time.Now()
	return nil
}

// via puts a proxy before an upstream.
func (s *Soak) via(name zlunit.Upstream, address string) (string, error) {
	p := &zlproxy.Proxy{
		Target: address,
	}
	if err := p.Run(); err != nil {
		return "", err
	}
	s.upstreams[name] = p
	s.names = append(s.names, name)
	return p.Address(), nil
}

// platformFor puts a proxy between a daemon and the platform.
func (s *Soak) platformFor(vm zlunit.VM) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.platforms[vm]; ok {
		return p.Address()
	}
	p := &zlproxy.Proxy{
		Target: s.scene.Client.Address,
	}
	if err := p.Run(); err != nil {
		s.say("%s: no proxy to the platform: %v", vm, err)
		return ""
	}
	s.platforms[vm] = p
	return p.Address()
}

func (s *Soak) load() *zlload.Load {
	l := &zlload.Load{
		Targets:   s.scene.Targets(),
		Rate:      rate,
		Duration:  s.Time,
		Seed:      s.Seed,
		OnceShare: onceShare,
		Impatient: impatient,
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
	for _, c := range s.scene.Plan.Services {
		l.Mix = append(l.Mix, zlload.Shape{
			Service:  c.Name,
			Kind:     "lookup",
			Weight:   1,
			Deadline: deadline,
		})
	}
	return l
}

// bringOn starts each step at its time and waits for those that run.
func (s *Soak) bringOn(ctx context.Context) {
	for _, step := range planOf(s.Seed, s.Time) {
		if !sleep(ctx, time.Until(s.began.Add(step.At))) {
			return
		}
		s.steps.Go(func() {
			s.do(ctx, &step)
		})
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	alarm := time.NewTimer(d)
	defer alarm.Stop()
	select {
	case <-alarm.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Soak) say(format string, args ...any) {
	_, _ = fmt.Fprintf(s.Out, "%7.2f s  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// broken notes a broken promise.
func (s *Soak) broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.say("BROKEN: %s", text)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Broken = append(s.report.Broken, text)
}

// hinder notes that news may not reach all from now on, until the function that it
// returns is called.
func (s *Soak) hinder() func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(s.hindered)
	s.hindered = append(s.hindered, span{
		from: time.Now(),
	})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.hindered[i].to = time.Now()
	}
}

// isHindered reports whether it was at any time since from.
func (s *Soak) isHindered(from time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.hindered, func(h span) bool {
		return h.to.IsZero() || h.to.After(from)
	})
}

// judge counts a change that could be judged, or not.
func (s *Soak) judge(could bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if could {
		s.report.Judged++
	} else {
		s.report.Unjudged++
	}
	return could
}

func (s *Soak) close() {
	for _, p := range s.processes {
		p.mu.Lock()
		p.Kill()
		p.mu.Unlock()
	}
	s.scene.Close()
	s.closeProxies()
}

func (s *Soak) closeProxies() {
	for _, p := range s.upstreams {
		p.Close()
	}
	for _, p := range s.platforms {
		p.Close()
	}
}

package cmd

import (
	"context"
	"fmt"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/io/process/zlload"
	"zinnialock/io/standin/zlfakeplatform"
	"zinnialock/io/standin/zltestbed"
)

const (
	// markBound is how long a data centre may still receive new sub-requests after it was
	// marked out.
	markBound = 3 * time.Second
	// platformOutageTime is how long the platform is down.
	platformOutageTime = 3 * time.Second
	// scheduleSteps is the number of steps of equal length into which the load is divided.
	scheduleSteps = 12
	// addedShards is the number of shards that a repartition adds.
	addedShards = 2
)

// faultSchedule injects faults into a testbed during a load. For a data centre that is marked
// out it also checks the counts of the upstreams.
type faultSchedule struct {
	testbed  *zltestbed.Testbed
	catalogs *zlload.CatalogCache
	duration time.Duration
	// announce, if set, is called with a description of each fault.
	announce func(string)

	started time.Time
	// violations are the bounds that were exceeded; err is the failure that ended the
	// schedule. Both are valid after run.
	violations []string
	err        error
}

// scheduledFault is a fault and the step at which it starts.
type scheduledFault struct {
	step   int
	inject func(context.Context) error
}

// run injects the faults one after another, until ctx ends or one cannot be injected.
func (s *faultSchedule) run(ctx context.Context) {
	s.started = time.Now()
	faults := []scheduledFault{
		{
			step:   1,
			inject: s.straggle,
		},
		{
			step:   2,
			inject: s.coldRestart,
		},
		{
			step:   3,
			inject: s.dataCentreOutAndIn,
		},
		{
			step:   7,
			inject: s.platformOutage,
		},
		{
			step:   9,
			inject: s.repartition,
		},
		{
			step:   10,
			inject: s.killDaemon,
		},
	}
	for _, f := range faults {
		if !s.waitFor(ctx, f.step) {
			return
		}
		if err := f.inject(ctx); err != nil {
			s.err = err
			return
		}
	}
}

// waitFor waits for the start of a step; it returns false if ctx ends first.
func (s *faultSchedule) waitFor(ctx context.Context, step int) bool {
	at := s.started.Add(s.duration * time.Duration(step) / scheduleSteps)
	return s.pause(ctx, time.Until(at))
}

// pause waits for d; it returns false if ctx ends first.
func (s *faultSchedule) pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *faultSchedule) announcef(format string, args ...any) {
	if s.announce != nil {
		s.announce(fmt.Sprintf(format, args...))
	}
}

// firstService returns the service that the faults concern.
func (s *faultSchedule) firstService() zlunit.Service {
	return s.testbed.Plan.Services[0].Name
}

func (s *faultSchedule) straggle(context.Context) error {
	name := zlunit.Upstream(fmt.Sprintf("%s-0-0", s.firstService()))
	s.announcef("upstream %s straggles: 1 in 10 calls takes 20 times as long", name)
	s.testbed.Straggle(name, 0.1)
	return nil
}

func (s *faultSchedule) coldRestart(context.Context) error {
	name := zlunit.Upstream(fmt.Sprintf("%s-1-1", s.firstService()))
	s.announcef("upstream %s restarts cold", name)
	s.testbed.Upstreams[name].GoCold(true)
	return nil
}

// dataCentreOutAndIn marks a data centre out until step 6, or longer if the check that its
// upstreams receive nothing needs it.
func (s *faultSchedule) dataCentreOutAndIn(ctx context.Context) error {
	dc := s.testbed.Plan.DataCentres[len(s.testbed.Plan.DataCentres)-1]
	s.announcef("data centre %s is marked out", dc)
	if err := s.testbed.MarkOutOfService(ctx, dc); err != nil {
		return err
	}
	s.pause(ctx, markBound)
	before := s.testbed.Received(dc)
	s.pause(ctx, max(time.Second, time.Until(s.started.Add(s.duration*6/scheduleSteps))))
	if n := s.testbed.Received(dc) - before; n > 0 {
		s.violations = append(s.violations, fmt.Sprintf("data centre %s: %d sub-requests arrived more than %v after it was marked out", dc, n, markBound))
	}
	s.announcef("data centre %s is marked in", dc)
	return s.testbed.MarkOutOfService(ctx)
}

func (s *faultSchedule) platformOutage(ctx context.Context) error {
	s.announcef("the platform is down for %v", platformOutageTime)
	s.testbed.Platform.SetFaults(zlfakeplatform.Faults{
		Down: true,
	})
	s.pause(ctx, platformOutageTime)
	s.testbed.Platform.SetFaults(zlfakeplatform.Faults{})
	s.announcef("the platform is back")
	return nil
}

func (s *faultSchedule) repartition(ctx context.Context) error {
	service := s.firstService()
	shards := s.testbed.Plan.Services[0].Shards + addedShards
	s.announcef("service %s gets a new index version with %d shards", service, shards)
	if err := s.testbed.Repartition(ctx, service, shards); err != nil {
		return err
	}
	if err := s.catalogs.Read(ctx); err != nil {
		return err
	}
	s.pause(ctx, time.Second)
	s.announcef("service %s drops its old index version", service)
	return s.testbed.Retire(ctx, service)
}

func (s *faultSchedule) killDaemon(context.Context) error {
	s.announcef("a daemon of data centre %s is killed", s.testbed.Plan.DataCentres[0])
	s.testbed.Kill(0)
	return nil
}

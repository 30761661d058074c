package cmd

import (
	"context"
	"fmt"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/io/process/zlload"
	"zinnialock/io/standin/zlfakeplatform"
	"zinnialock/io/standin/zlscene"
)

const (
	// markGrace is how long a data centre that is marked out may still receive
	// new work.
	markGrace = 3 * time.Second
	// outage is how long the platform is down.
	outage = 3 * time.Second
	// scriptSteps is how many steps of equal length the script has.
	scriptSteps = 12
	// moreShards is how many shards a repartition adds.
	moreShards = 2
)

// script brings on faults in a scene under load and checks what upstreams
// count for them.
type script struct {
	scene    *zlscene.Scene
	catalogs *zlload.Catalogs
	length   time.Duration
	// say, if set, is told of each event.
	say func(string)

	started time.Time
	faults  []string
	err     error
}

// event is one action of the script at a step.
type event struct {
	step int
	do   func(context.Context) error
}

func (s *script) run(ctx context.Context) {
	s.started = time.Now()
	events := []event{
		{
			step: 1,
			do:   s.straggle,
		},
		{
			step: 2,
			do:   s.coldRestart,
		},
		{
			step: 3,
			do:   s.dataCentreOutAndIn,
		},
		{
			step: 7,
			do:   s.platformOutage,
		},
		{
			step: 9,
			do:   s.repartition,
		},
		{
			step: 10,
			do:   s.killDaemon,
		},
	}
	for _, e := range events {
		if !s.waitFor(ctx, e.step) {
			return
		}
		if err := e.do(ctx); err != nil {
			s.err = err
			return
		}
	}
}

// waitFor waits for the start of a step and reports whether it came.
func (s *script) waitFor(ctx context.Context, step int) bool {
	at := s.started.Add(s.length * time.Duration(step) / scriptSteps)
	return s.pause(ctx, time.Until(at))
}

func (s *script) pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *script) tell(format string, args ...any) {
	if s.say != nil {
		s.say(fmt.Sprintf(format, args...))
	}
}

func (s *script) first() zlunit.Service {
	return s.scene.Plan.Services[0].Name
}

func (s *script) straggle(context.Context) error {
	name := zlunit.Upstream(fmt.Sprintf("%s-0-0", s.first()))
	s.tell("upstream %s straggles: 1 in 10 calls takes 20 times as long", name)
	s.scene.Straggle(name, 0.1)
	return nil
}

func (s *script) coldRestart(context.Context) error {
	name := zlunit.Upstream(fmt.Sprintf("%s-1-1", s.first()))
	s.tell("upstream %s restarts cold", name)
	s.scene.Upstreams[name].GoCold(true)
	return nil
}

// dataCentreOutAndIn marks a data centre out for three steps, or longer where
// the check of its upstreams needs it.
func (s *script) dataCentreOutAndIn(ctx context.Context) error {
	dc := s.scene.Plan.DataCentres[len(s.scene.Plan.DataCentres)-1]
	s.tell("data centre %s is marked out", dc)
	if err := s.scene.Mark(ctx, dc); err != nil {
		return err
	}
	s.pause(ctx, markGrace)
	before := s.scene.Received(dc)
	s.pause(ctx, max(time.Second, time.Until(s.started.Add(s.length*6/scriptSteps))))
	if n := s.scene.Received(dc) - before; n > 0 {
		s.faults = append(s.faults, fmt.Sprintf("data centre %s: %d sub-requests arrived more than %v after it was marked out", dc, n, markGrace))
	}
	s.tell("data centre %s is marked in", dc)
	return s.scene.Mark(ctx)
}

func (s *script) platformOutage(ctx context.Context) error {
	s.tell("the platform is down for %v", outage)
	s.scene.Platform.SetFaults(zlfakeplatform.Faults{
		Down: true,
	})
	s.pause(ctx, outage)
	s.scene.Platform.SetFaults(zlfakeplatform.Faults{})
	s.tell("the platform is back")
	return nil
}

func (s *script) repartition(ctx context.Context) error {
	service := s.first()
	shards := s.scene.Plan.Services[0].Shards + moreShards
	s.tell("service %s gets a new index version with %d shards", service, shards)
	if err := s.scene.Repartition(ctx, service, shards); err != nil {
		return err
	}
	if err := s.catalogs.Read(ctx); err != nil {
		return err
	}
	s.pause(ctx, time.Second)
	s.tell("service %s drops its old index version", service)
	return s.scene.Retire(ctx, service)
}

func (s *script) killDaemon(context.Context) error {
	s.tell("a daemon of data centre %s is killed", s.scene.Plan.DataCentres[0])
	s.scene.Kill(0)
	return nil
}

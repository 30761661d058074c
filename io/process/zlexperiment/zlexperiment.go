// Package zlexperiment measures the tier beside the naive version, and with
// each mechanism switched off in turn, on the same stand-ins, seed and load.
package zlexperiment

import (
	"context"
	"fmt"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlcoordinator"
	"zinnialock/core/version/zlsettings"
	"zinnialock/io/process/zlload"
	"zinnialock/io/standin/zlfakeupstream"
	"zinnialock/io/standin/zlscene"

	"github.com/phuslu/log"
)

// Lost tells how the lost replica behaves.
type Lost string

// The ways to lose a replica.
const (
	// LostRefuses closes its listener: calls fail at once.
	LostRefuses Lost = "refuses"
	// LostSilent takes calls and never answers.
	LostSilent Lost = "silent"
	// LostNone loses none.
	LostNone Lost = "none"
)

// Arm is one variant that is measured.
type Arm struct {
	Name     string
	Naive    bool
	Without  zlcoordinator.Disabled
	Settings zlsettings.Node
}

// Experiment runs arms one after the other, each on a scene of its own. All
// fields must be set before Run.
type Experiment struct {
	Plan zlscene.UserPlan
	Seed uint64
	// Rate is in queries per second.
	Rate     float64
	Duration time.Duration
	Warming  time.Duration
	Deadline time.Duration
	// ServiceMs is the mean service time of upstreams, in milliseconds.
	ServiceMs float64
	// StraggleShare of sub-requests take StraggleTimes as long.
	StraggleShare float64
	StraggleTimes float64
	Lost          Lost
	Log           *log.Logger
	// Progress is called with the result of each arm.
	Progress func(Row)
}

// Row is the result of one arm.
type Row struct {
	Name    string         `json:"name"`
	Summary zlload.Summary `json:"summary"`
}

// coldWork is how many requests warm an upstream up in an experiment.
const coldWork = 4

// Run measures the arms in order.
func (x *Experiment) Run(ctx context.Context, arms []Arm) ([]Row, error) {
	var rows []Row
	for _, arm := range arms {
		summary, err := x.runArm(ctx, arm)
		if err != nil {
			return rows, fmt.Errorf("%s: %w", arm.Name, err)
		}
		row := Row{
			Name:    arm.Name,
			Summary: summary,
		}
		rows = append(rows, row)
		x.Progress(row)
	}
	return rows, nil
}

func (x *Experiment) runArm(ctx context.Context, arm Arm) (zlload.Summary, error) {
	scene := &zlscene.Scene{
		Plan:     x.plan(),
		Seed:     x.Seed,
		Log:      x.Log,
		Naive:    arm.Naive,
		Without:  arm.Without,
		Settings: arm.Settings,
	}
	if err := scene.Run(ctx); err != nil {
		return zlload.Summary{}, err
	}
	defer scene.Close()
	if _, _, err := x.load(scene, x.Warming, x.Seed+1).Run(ctx); err != nil {
		return zlload.Summary{}, err
	}
	x.spoil(scene)
	// The loss itself is not what is measured, but the time after it.
	summary, _, err := x.load(scene, x.Duration, x.Seed).Run(ctx)
	return summary, err
}

func (x *Experiment) plan() zlscene.UserPlan {
	plan := x.Plan
	plan.Services = append([]zlscene.ServicePlan{}, x.Plan.Services...)
	for i := range plan.Services {
		plan.Services[i].ServiceMs = x.ServiceMs
		plan.Services[i].ColdWork = coldWork
	}
	return plan
}

// spoil makes all upstreams straggle and loses one replica of the first
// service.
func (x *Experiment) spoil(scene *zlscene.Scene) {
	for _, u := range scene.Upstreams {
		u.Update(func(s *zlfakeupstream.Settings) {
			s.StraggleShare = x.StraggleShare
			s.StraggleTimes = x.StraggleTimes
		})
	}
	lost := scene.Upstreams[zlunit.Upstream(fmt.Sprintf("%s-0-0", x.Plan.Services[0].Name))]
	switch x.Lost {
	case LostRefuses:
		lost.Close()
	case LostSilent:
		lost.Update(func(s *zlfakeupstream.Settings) {
			s.ServiceMs = float64(time.Hour / time.Millisecond)
			s.QueueLimit = 1 << 30
		})
	case LostNone:
	}
}

func (x *Experiment) load(scene *zlscene.Scene, d time.Duration, seed uint64) *zlload.Load {
	l := &zlload.Load{
		Targets:  scene.Targets(),
		Rate:     x.Rate,
		Duration: d,
		Seed:     seed,
		Checker: &zlload.Checker{
			Shards: func(service zlunit.Service, _ zlunit.IndexVersion) int {
				return len(scene.Catalogs[service].Versions[0].Shards)
			},
		},
	}
	for _, service := range x.Plan.Services {
		l.Mix = append(l.Mix, zlload.Shape{
			Service:  service.Name,
			Kind:     "lookup",
			Weight:   1,
			Deadline: x.Deadline,
		})
	}
	return l
}

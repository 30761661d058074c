// Package zlexperiment compares variants of the tier: the naive baseline, the
// tier, and the tier with single mechanisms disabled. It runs each variant with
// the same stand-ins, seed and load and returns a load summary for each. It
// does not audit the counts of the upstreams.
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
	"zinnialock/io/standin/zltestbed"

	"github.com/phuslu/log"
)

// ReplicaLoss is how the lost replica behaves.
type ReplicaLoss string

// The kinds of replica loss.
const (
	// LostRefuses closes the replica's listener, so that calls fail at once.
	LostRefuses ReplicaLoss = "refuses"
	// LostSilent makes the replica accept calls and never answer.
	LostSilent ReplicaLoss = "silent"
	// LostNone keeps all replicas.
	LostNone ReplicaLoss = "none"
)

// Variant is one configuration to measure.
type Variant struct {
	Name string
	// Naive selects the naive baseline instead of the tier.
	Naive bool
	// Disabled holds the mechanisms that are disabled.
	Disabled zlcoordinator.Disabled
	// Settings are set at the root of the settings tree; nil sets none.
	Settings zlsettings.Node
}

// Experiment runs variants one after the other, each with stand-ins and daemons of
// its own. All fields must be set before Run.
type Experiment struct {
	Plan zltestbed.Plan
	Seed uint64
	// Rate is in queries per second.
	Rate float64
	// Duration is the length of the measured load.
	Duration time.Duration
	// WarmUp is the length of the load before the faults, which is not measured.
	WarmUp time.Duration
	// Deadline is the time allowed for each query.
	Deadline time.Duration
	// ServiceMs is the mean service time of upstreams, in milliseconds.
	ServiceMs float64
	// StraggleShare is the fraction of sub-requests, from 0 to 1, that take
	// StragglerSlowdown times as long as usual.
	StraggleShare     float64
	StragglerSlowdown float64
	// ReplicaLoss selects how one replica of the first service is lost.
	ReplicaLoss ReplicaLoss
	Log         *log.Logger
	// Progress is called with the result of each variant as soon as it is known.
	Progress func(Row)
}

// Row is the result of one variant.
type Row struct {
	Name    string         `json:"name"`
	Summary zlload.Summary `json:"summary"`
}

// coldWorkRequests is how many requests an upstream serves until it is warm.
const coldWorkRequests = 4

// Run measures the variants in order. After an error it returns the results so far.
func (x *Experiment) Run(ctx context.Context, variants []Variant) ([]Row, error) {
	var rows []Row
	for _, variant := range variants {
		summary, err := x.runVariant(ctx, variant)
		if err != nil {
			return rows, fmt.Errorf("%s: %w", variant.Name, err)
		}
		row := Row{
			Name:    variant.Name,
			Summary: summary,
		}
		rows = append(rows, row)
		x.Progress(row)
	}
	return rows, nil
}

// runVariant starts the variant's stand-ins and daemons, warms them up, injects the
// faults and returns the summary of the measured load.
func (x *Experiment) runVariant(ctx context.Context, variant Variant) (zlload.Summary, error) {
	testbed := &zltestbed.Testbed{
		Plan:     x.plan(),
		Seed:     x.Seed,
		Log:      x.Log,
		Naive:    variant.Naive,
		Disabled: variant.Disabled,
		Settings: variant.Settings,
	}
	if err := testbed.Run(ctx); err != nil {
		return zlload.Summary{}, err
	}
	defer testbed.Close()
	if _, _, err := x.newLoad(testbed, x.WarmUp, x.Seed+1).Run(ctx); err != nil {
		return zlload.Summary{}, err
	}
	x.injectFaults(testbed)
	// The measured load starts after the faults were injected, so that it measures the
	// state after them and not the transition.
	summary, _, err := x.newLoad(testbed, x.Duration, x.Seed).Run(ctx)
	return summary, err
}

// plan returns a copy of Plan with the experiment's upstream settings.
func (x *Experiment) plan() zltestbed.Plan {
	plan := x.Plan
	plan.Services = append([]zltestbed.ServicePlan{}, x.Plan.Services...)
	for i := range plan.Services {
		plan.Services[i].ServiceMs = x.ServiceMs
		plan.Services[i].ColdWork = coldWorkRequests
	}
	return plan
}

// injectFaults makes all upstreams straggle and loses one replica of the first
// service.
func (x *Experiment) injectFaults(testbed *zltestbed.Testbed) {
	for _, u := range testbed.Upstreams {
		u.Update(func(s *zlfakeupstream.Settings) {
			s.StraggleShare = x.StraggleShare
			s.StragglerSlowdown = x.StragglerSlowdown
		})
	}
	lost := testbed.Upstreams[zlunit.Upstream(fmt.Sprintf("%s-0-0", x.Plan.Services[0].Name))]
	switch x.ReplicaLoss {
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

// newLoad returns a load of length d on the daemons of testbed.
func (x *Experiment) newLoad(testbed *zltestbed.Testbed, d time.Duration, seed uint64) *zlload.Load {
	l := &zlload.Load{
		Targets:  testbed.Targets(),
		Rate:     x.Rate,
		Duration: d,
		Seed:     seed,
		Checker: &zlload.Checker{
			Shards: func(service zlunit.Service, _ zlunit.IndexVersion) int {
				return len(testbed.Catalogs[service].Versions[0].Shards)
			},
		},
	}
	for _, service := range x.Plan.Services {
		l.Mix = append(l.Mix, zlload.QueryShape{
			Service:  service.Name,
			Kind:     "lookup",
			Weight:   1,
			Deadline: x.Deadline,
		})
	}
	return l
}

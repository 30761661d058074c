package cmd

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/io/process/zlcapacity"
)

// runCapacity runs a subcommand of capacity.
func runCapacity(e *env, args []string) int {
	if len(args) > 0 {
		switch args[0] {
		case "stage":
			return runCapacityStage(e, args[1:])
		case "measure":
			return runCapacityMeasure(e, args[1:])
		case "report":
			return runCapacityReport(e, args[1:])
		case "-h", "-help", "--help":
			e.printf("Usage: zinnialock capacity stage|measure|report [flags]\n`make capacity` runs all of them in order.\n")
			return exitOK
		}
	}
	return e.fail(exitUsage, errors.New("zinnialock capacity: subcommand is missing or unknown, allowed is stage, measure or report; `zinnialock capacity -h` shows the usage"))
}

func runCapacityStage(e *env, args []string) int {
	fs := newFlags(e, "capacity stage", "Start the stand-ins for one measurement and write the daemons' settings files. Runs until SIGTERM or SIGINT.")
	s := &zlcapacity.Stage{}
	var slots int
	fs.StringVar(&s.Dir, "dir", ".", "`FOLDER` to write to")
	fs.IntVar(&s.Daemons, "daemons", 4, "number of daemons")
	fs.IntVar(&s.Upstreams, "upstreams", 96, "number of upstreams, at least that of the shards")
	fs.IntVar(&s.Shards, "shards", 24, "number of shards of the index")
	fs.IntVar(&slots, "slots", 8, "slots of each upstream, the sub-requests that it runs at once")
	fs.Float64Var(&s.ServiceMs, "service-ms", 2, "mean service time in milliseconds")
	fs.IntVar(&s.Nodes, "nodes", 10, "number of nodes of the settings tree")
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	s.Slots = zlunit.Slots(slots)
	if s.Daemons < 1 || s.Shards < 1 || s.Upstreams < s.Shards || slots < 1 {
		return e.fail(exitUsage, errors.New("capacity stage: flags -daemons, -shards and -slots: allowed is 1 or more; flag -upstreams: allowed is the number of shards or more"))
	}
	if err := s.Run(context.Background()); err != nil {
		return e.fail(exitFailed, err)
	}
	waitForSignal()
	s.Close()
	return exitOK
}

// measureOptions are the flags of capacity measure.
type measureOptions struct {
	dir      string
	out      string
	series   string
	x        float64
	quantity string
	pid      int
	rate     float64
}

func runCapacityMeasure(e *env, args []string) int {
	fs := newFlags(e, "capacity measure", "Measure the daemons of a running stage and store the result as a point of a series.")
	var o measureOptions
	fs.StringVar(&o.dir, "dir", ".", "`FOLDER` of the stage")
	fs.StringVar(&o.out, "out", zlcapacity.PointsFile, "`FILE` to store the point in")
	fs.StringVar(&o.series, "series", "", "name of the series that the point belongs to")
	fs.Float64Var(&o.x, "x", 0, "x value of the point; for inflight also the number of queries in flight")
	fs.StringVar(&o.quantity, "what", "idle", "what to measure: idle, fleet, edits, queries or inflight")
	fs.IntVar(&o.pid, "pid", 0, "process id of the last daemon, for fleet")
	fs.Float64Var(&o.rate, "rate", 50, "queries a second, for queries")
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	values, err := measure(&o)
	if err != nil {
		return e.fail(exitFailed, err)
	}
	err = zlcapacity.AddPoint(o.out, zlcapacity.Point{
		Series: zlcapacity.Series(o.series),
		X:      o.x,
		Values: values,
	})
	if err != nil {
		return e.fail(exitFailed, err)
	}
	e.printf("%s %g: %v\n", o.series, o.x, values)
	return exitOK
}

const (
	// capacityWarmupTime is the length of the load before queries are measured.
	capacityWarmupTime = 3 * time.Second
	// capacityLoadTime is the length of the load that is measured.
	capacityLoadTime = 5 * time.Second
)

// measure takes the measurement that o names and returns its quantities.
func measure(o *measureOptions) (map[zlcapacity.Quantity]float64, error) {
	ctx := context.Background()
	stage, err := zlcapacity.ReadStage(o.dir)
	if err != nil {
		return nil, err
	}
	m := &zlcapacity.Meter{
		Stage: stage,
		HTTP: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 64,
			},
		},
	}
	if err := m.Ready(ctx); err != nil {
		return nil, err
	}
	switch o.quantity {
	case "idle":
		return m.Idle(ctx)
	case "fleet":
		return measureFleet(ctx, m, o.pid)
	case "edits":
		return m.Edits(ctx)
	case "queries":
		return measureQueries(ctx, m, o.rate)
	case "inflight":
		heap, err := m.InFlight(ctx, int(o.x))
		return map[zlcapacity.Quantity]float64{
			zlcapacity.QuantityFlightHeap: heap,
		}, err
	default:
		return nil, fmt.Errorf("flag -what: found %q, allowed is idle, fleet, edits, queries or inflight", o.quantity)
	}
}

// measureFleet measures the cost at rest, the time until a change is in force, and the
// takeover after the daemon with process id pid ends.
func measureFleet(ctx context.Context, m *zlcapacity.Meter, pid int) (map[zlcapacity.Quantity]float64, error) {
	values, err := m.Idle(ctx)
	if err != nil {
		return nil, err
	}
	median, last, err := m.InForce(ctx)
	if err != nil {
		return nil, err
	}
	values[zlcapacity.QuantityInForceMedian] = median
	values[zlcapacity.QuantityInForce] = last
	takeover, err := m.Takeover(ctx, pid)
	if err != nil {
		return nil, err
	}
	for q, v := range takeover {
		values[q] = v
	}
	return values, nil
}

// measureQueries measures the processor time of a query after a warm-up.
func measureQueries(ctx context.Context, m *zlcapacity.Meter, rate float64) (map[zlcapacity.Quantity]float64, error) {
	if _, err := m.Queries(ctx, rate, capacityWarmupTime); err != nil {
		return nil, err
	}
	cpu, err := m.Queries(ctx, rate, capacityLoadTime)
	return map[zlcapacity.Quantity]float64{
		zlcapacity.QuantityQueryCPU: cpu,
	}, err
}

func runCapacityReport(e *env, args []string) int {
	fs := newFlags(e, "capacity report", "Fit lines to the points, plot them and update the table in the page.")
	points := fs.String("points", "docs/capacity/"+zlcapacity.PointsFile, "`FILE` with the points")
	page := fs.String("page", "docs/CAPACITY.md", "`FILE` of the page to update")
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	if err := zlcapacity.Report(*points, *page); err != nil {
		return e.fail(exitFailed, err)
	}
	return exitOK
}

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
			e.printf("Usage: zinnialock capacity stage|measure|report [flags]\n`make capacity` runs all of them.\n")
			return exitDone
		}
	}
	return e.fail(exitUsage, errors.New("zinnialock capacity: want stage, measure or report"))
}

func runCapacityStage(e *env, args []string) int {
	fs := newFlags(e, "capacity stage", "Run the stand-ins of one measurement and write the daemons' settings files.")
	s := &zlcapacity.Stage{}
	var slots int
	fs.StringVar(&s.Dir, "dir", ".", "`FOLDER` to write to")
	fs.IntVar(&s.Daemons, "daemons", 4, "daemons")
	fs.IntVar(&s.Upstreams, "upstreams", 96, "upstreams")
	fs.IntVar(&s.Shards, "shards", 24, "shards of the index")
	fs.IntVar(&slots, "slots", 8, "slots of each upstream")
	fs.Float64Var(&s.ServiceMs, "service-ms", 2, "mean service time in milliseconds")
	fs.IntVar(&s.Nodes, "nodes", 10, "nodes of the settings tree")
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	s.Slots = zlunit.Slots(slots)
	if s.Daemons < 1 || s.Shards < 1 || s.Upstreams < s.Shards || slots < 1 {
		return e.fail(exitUsage, errors.New("capacity stage: daemons, shards and slots start at 1, upstreams at the number of shards"))
	}
	if err := s.Run(context.Background()); err != nil {
		return e.fail(exitFailed, err)
	}
	waitForSignal()
	s.Close()
	return exitDone
}

// measureOptions are the flags of capacity measure.
type measureOptions struct {
	dir    string
	out    string
	series string
	x      float64
	what   string
	pid    int
	rate   float64
}

func runCapacityMeasure(e *env, args []string) int {
	fs := newFlags(e, "capacity measure", "Measure the daemons of a stage and store a point.")
	var o measureOptions
	fs.StringVar(&o.dir, "dir", ".", "the stage's `FOLDER`")
	fs.StringVar(&o.out, "out", zlcapacity.PointsFile, "`FILE` that keeps the points")
	fs.StringVar(&o.series, "series", "", "what is varied")
	fs.Float64Var(&o.x, "x", 0, "the place of the point")
	fs.StringVar(&o.what, "what", "idle", "idle, fleet, edits, queries or inflight")
	fs.IntVar(&o.pid, "pid", 0, "process of the last daemon, for fleet")
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
	return exitDone
}

const (
	capacityWarm = 3 * time.Second
	capacityLoad = 5 * time.Second
)

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
	switch o.what {
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
		return nil, fmt.Errorf("flag -what: found %q, allowed is idle, fleet, edits, queries or inflight", o.what)
	}
}

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
	taken, err := m.Takeover(ctx, pid)
	if err != nil {
		return nil, err
	}
	for q, v := range taken {
		values[q] = v
	}
	return values, nil
}

func measureQueries(ctx context.Context, m *zlcapacity.Meter, rate float64) (map[zlcapacity.Quantity]float64, error) {
	if _, err := m.Queries(ctx, rate, capacityWarm); err != nil {
		return nil, err
	}
	cpu, err := m.Queries(ctx, rate, capacityLoad)
	return map[zlcapacity.Quantity]float64{
		zlcapacity.QuantityQueryCPU: cpu,
	}, err
}

func runCapacityReport(e *env, args []string) int {
	fs := newFlags(e, "capacity report", "Fit lines through the points, plot them and rewrite the page's table.")
	points := fs.String("points", "docs/capacity/"+zlcapacity.PointsFile, "`FILE` with the points")
	page := fs.String("page", "docs/CAPACITY.md", "the page")
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	if err := zlcapacity.Report(*points, *page); err != nil {
		return e.fail(exitFailed, err)
	}
	return exitDone
}

package zlcapacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"zinnialock/io/process/zldaemon"
)

const (
	readyTimeout  = 30 * time.Second
	changeTimeout = 60 * time.Second
	// warmupTime is how long the daemons are left alone after their start, so
	// that only recurring work is measured.
	warmupTime          = 12 * time.Second
	settleTime          = 2 * time.Second
	idlePeriod          = 6 * time.Second
	inForcePollInterval = 5 * time.Millisecond
	pollInterval        = 50 * time.Millisecond
	editInterval        = 300 * time.Millisecond
	editCount           = 10
)

// Meter measures the daemons of a stage. Both fields must be set; the methods
// must not be called concurrently, since they would affect the values of each
// other.
type Meter struct {
	Stage *Stage
	HTTP  *http.Client
}

// readCost reads the cost of one daemon. With heap set, the daemon collects
// garbage first and reports its live heap.
func (m *Meter) readCost(ctx context.Context, place DaemonPlace, heap bool) (zldaemon.Cost, error) {
	var c zldaemon.Cost
	url := fmt.Sprintf("http://%s/cost?heap=%v", place.Admin, heap)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return c, err
	}
	resp, err := m.HTTP.Do(req)
	if err != nil {
		return c, err
	}
	defer func() {
		_ = resp.Body.Close()
	}()
	return c, json.NewDecoder(resp.Body).Decode(&c)
}

// readCosts reads the cost of all the given daemons concurrently. It returns
// them in the order of places and fails if one cannot be read.
func (m *Meter) readCosts(ctx context.Context, places []DaemonPlace, heap bool) ([]zldaemon.Cost, error) {
	out := make([]zldaemon.Cost, len(places))
	group, ctx := errgroup.WithContext(ctx)
	for i, place := range places {
		group.Go(func() error {
			c, err := m.readCost(ctx, place, heap)
			out[i] = c
			return err
		})
	}
	return out, group.Wait()
}

// waitUntil polls the daemons until all meet the condition, or returns an Error
// after the timeout.
func (m *Meter) waitUntil(ctx context.Context, places []DaemonPlace, timeout, interval time.Duration, met func(zldaemon.Cost) bool) error {
	end := time.Now().Add(timeout)
	for time.Now().Before(end) {
		costs, err := m.readCosts(ctx, places, false)
		if err == nil && !slices.ContainsFunc(costs, func(c zldaemon.Cost) bool { return !met(c) }) {
			return nil
		}
		time.Sleep(interval)
	}
	return &Error{
		Op:   "until",
		Kind: KindMeasure,
		Err:  eris.Errorf("daemons did not reach the expected state within %v", timeout),
	}
}

// Ready waits until every daemon knows all daemons, upstreams and tree nodes,
// and all upstreams are leased.
func (m *Meter) Ready(ctx context.Context) error {
	s := m.Stage
	err := m.waitUntil(ctx, s.Places, readyTimeout, pollInterval, func(c zldaemon.Cost) bool {
		return c.Daemons == s.Daemons && c.Upstreams == s.Upstreams && c.Nodes >= s.Nodes
	})
	if err != nil {
		return err
	}
	return m.waitForLeases(ctx, s.Places)
}

// Idle measures control traffic, processor time and memory without queries:
// means per daemon, but the platform calls of all daemons together.
func (m *Meter) Idle(ctx context.Context) (map[Quantity]float64, error) {
	time.Sleep(warmupTime)
	before, err := m.readCosts(ctx, m.Stage.Places, true)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	time.Sleep(idlePeriod)
	after, err := m.readCosts(ctx, m.Stage.Places, false)
	if err != nil {
		return nil, err
	}
	elapsedSeconds := time.Since(start).Seconds()
	n := float64(len(before))
	values := map[Quantity]float64{}
	for i := range before {
		d := costsBetween(before[i], after[i])
		values[QuantityCPU] += d.cpu / elapsedSeconds / n
		values[QuantityBytes] += d.bytes / elapsedSeconds / n
		values[QuantityMessages] += d.messages / elapsedSeconds / n
		values[QuantityPlatformCalls] += d.calls / elapsedSeconds
		values[QuantityConnections] += float64(after[i].Peers.Connections) / n
		values[QuantityHeap] += float64(before[i].HeapBytes) / n
		values[QuantityPeak] += float64(after[i].PeakBytes) / n
	}
	return values, nil
}

// costDelta is what a daemon used between two readings: processor seconds, bytes
// and messages in both directions, and platform calls.
type costDelta struct {
	cpu      float64
	bytes    float64
	messages float64
	calls    float64
}

// costsBetween returns what a daemon used from reading a to reading b.
func costsBetween(a, b zldaemon.Cost) costDelta {
	peers := b.Peers.SentBytes + b.Peers.ReceivedBytes - a.Peers.SentBytes - a.Peers.ReceivedBytes
	platform := b.Platform.SentBytes + b.Platform.ReceivedBytes - a.Platform.SentBytes - a.Platform.ReceivedBytes
	packets := b.Peers.SentPackets + b.Peers.ReceivedPackets - a.Peers.SentPackets - a.Peers.ReceivedPackets
	return costDelta{
		cpu:      b.CPUSeconds - a.CPUSeconds,
		bytes:    float64(peers + platform),
		messages: float64(packets + b.Platform.Calls - a.Platform.Calls),
		calls:    float64(b.Platform.Calls - a.Platform.Calls),
	}
}

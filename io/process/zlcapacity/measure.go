package zlcapacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zltree"
	"zinnialock/io/process/zldaemon"
	"zinnialock/io/process/zlload"
	"zinnialock/io/process/zlplatform"
	"zinnialock/io/request/zlfront"
	"zinnialock/io/version/zlsync"
)

// Quantity names what was measured at a point.
type Quantity string

// The quantities that the page is worked out from.
const (
	QuantityCPU           Quantity = "controlCpuShare"
	QuantityBytes         Quantity = "controlBytesPerSecond"
	QuantityMessages      Quantity = "controlMessagesPerSecond"
	QuantityConnections   Quantity = "peerConnections"
	QuantityHeap          Quantity = "heapBytes"
	QuantityPeak          Quantity = "peakBytes"
	QuantityPlatformCalls Quantity = "platformCallsPerSecond"
	QuantityInForce       Quantity = "inForceLastSeconds"
	QuantityInForceMedian Quantity = "inForceMedianSeconds"
	QuantityTakeover      Quantity = "takeoverSeconds"
	QuantityChangeCPU     Quantity = "memberChangeCpuSeconds"
	QuantityChangeBytes   Quantity = "memberChangeBytes"
	QuantityQueryCPU      Quantity = "cpuSecondsPerQuery"
	QuantityFlightHeap    Quantity = "heapBytesInFlight"
)

// Series names what was varied.
type Series string

// The series that a run measures.
const (
	SeriesDaemons   Series = "daemons"
	SeriesUpstreams Series = "upstreams"
	SeriesNodes     Series = "nodes"
	SeriesShards    Series = "shards"
	SeriesInFlight  Series = "inFlight"
)

// Point is one measurement.
type Point struct {
	Series Series               `json:"series"`
	X      float64              `json:"x"`
	Values map[Quantity]float64 `json:"values"`
}

const (
	readyWait  = 30 * time.Second
	changeWait = 60 * time.Second
	// restTime is how long after the start the daemons are left alone, so that
	// only what recurs is measured.
	restTime    = 12 * time.Second
	settleTime  = 2 * time.Second
	idleTime    = 6 * time.Second
	pollPause   = 5 * time.Millisecond
	changePause = 50 * time.Millisecond
	editPause   = 300 * time.Millisecond
	edits       = 10
)

// Meter measures the daemons of a stage.
type Meter struct {
	Stage *Stage
	HTTP  *http.Client
}

func (m *Meter) cost(ctx context.Context, place DaemonPlace, heap bool) (zldaemon.Cost, error) {
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

// costs asks all daemons at once.
func (m *Meter) costs(ctx context.Context, places []DaemonPlace, heap bool) ([]zldaemon.Cost, error) {
	out := make([]zldaemon.Cost, len(places))
	group, ctx := errgroup.WithContext(ctx)
	for i, place := range places {
		group.Go(func() error {
			c, err := m.cost(ctx, place, heap)
			out[i] = c
			return err
		})
	}
	return out, group.Wait()
}

// until polls all daemons until each meets the condition.
func (m *Meter) until(ctx context.Context, places []DaemonPlace, wait, pause time.Duration, met func(zldaemon.Cost) bool) error {
	end := time.Now().Add(wait)
	for time.Now().Before(end) {
		costs, err := m.costs(ctx, places, false)
		if err == nil && !slices.ContainsFunc(costs, func(c zldaemon.Cost) bool { return !met(c) }) {
			return nil
		}
		time.Sleep(pause)
	}
	return &Error{
		Op:   "until",
		Kind: KindMeasure,
		Err:  eris.Errorf("daemons did not get there within %v", wait),
	}
}

// Ready waits until every daemon knows all daemons and upstreams.
func (m *Meter) Ready(ctx context.Context) error {
	s := m.Stage
	return m.until(ctx, s.Places, readyWait, changePause, func(c zldaemon.Cost) bool {
		return c.Daemons == s.Daemons && c.Upstreams == s.Upstreams && c.Nodes >= s.Nodes
	})
}

// Idle measures control traffic, processor time and memory without queries.
func (m *Meter) Idle(ctx context.Context) (map[Quantity]float64, error) {
	time.Sleep(restTime)
	before, err := m.costs(ctx, m.Stage.Places, true)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	time.Sleep(idleTime)
	after, err := m.costs(ctx, m.Stage.Places, false)
	if err != nil {
		return nil, err
	}
	elapsed := time.Since(start).Seconds()
	n := float64(len(before))
	values := map[Quantity]float64{}
	for i := range before {
		d := difference(before[i], after[i])
		values[QuantityCPU] += d.cpu / elapsed / n
		values[QuantityBytes] += d.bytes / elapsed / n
		values[QuantityMessages] += d.messages / elapsed / n
		values[QuantityPlatformCalls] += d.calls / elapsed
		values[QuantityConnections] += float64(after[i].Peers.Connections) / n
		values[QuantityHeap] += float64(before[i].HeapBytes) / n
		values[QuantityPeak] += float64(after[i].PeakBytes) / n
	}
	return values, nil
}

type spent struct {
	cpu      float64
	bytes    float64
	messages float64
	calls    float64
}

func difference(a, b zldaemon.Cost) spent {
	peers := b.Peers.SentBytes + b.Peers.ReceivedBytes - a.Peers.SentBytes - a.Peers.ReceivedBytes
	platform := b.Platform.SentBytes + b.Platform.ReceivedBytes - a.Platform.SentBytes - a.Platform.ReceivedBytes
	packets := b.Peers.SentPackets + b.Peers.ReceivedPackets - a.Peers.SentPackets - a.Peers.ReceivedPackets
	return spent{
		cpu:      b.CPUSeconds - a.CPUSeconds,
		bytes:    float64(peers + platform),
		messages: float64(packets + b.Platform.Calls - a.Platform.Calls),
		calls:    float64(b.Platform.Calls - a.Platform.Calls),
	}
}

// InForce measures the time from an accepted edit to the last daemon.
func (m *Meter) InForce(ctx context.Context) (median, last float64, err error) {
	client := newClient(m.Stage.Platform)
	times := make([]float64, 0, edits)
	for i := range edits {
		took, err := m.oneEdit(ctx, client, i)
		if err != nil {
			return 0, 0, err
		}
		times = append(times, took)
	}
	slices.Sort(times)
	return times[len(times)/2], times[len(times)-1], nil
}

// Edits measures what one edit of the settings tree costs a daemon, and the
// live heap.
func (m *Meter) Edits(ctx context.Context) (map[Quantity]float64, error) {
	values, err := m.Idle(ctx)
	if err != nil {
		return nil, err
	}
	client := newClient(m.Stage.Platform)
	before, err := m.costs(ctx, m.Stage.Places, false)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	for i := range edits {
		if _, err := m.edit(ctx, client, i); err != nil {
			return nil, err
		}
		time.Sleep(editPause)
	}
	time.Sleep(settleTime)
	after, err := m.costs(ctx, m.Stage.Places, false)
	if err != nil {
		return nil, err
	}
	elapsed := time.Since(start).Seconds()
	n := float64(len(before))
	for i := range before {
		d := difference(before[i], after[i])
		values[QuantityChangeCPU] += (d.cpu - values[QuantityCPU]*elapsed) / n / edits
		values[QuantityChangeBytes] += (d.bytes - values[QuantityBytes]*elapsed) / n / edits
	}
	return values, nil
}

// oneEdit returns how long an edit took to reach the last daemon, in seconds.
func (m *Meter) oneEdit(ctx context.Context, client *zlplatform.Client, i int) (float64, error) {
	nodes, err := m.edit(ctx, client, i)
	if err != nil {
		return 0, err
	}
	start := time.Now()
	err = m.until(ctx, m.Stage.Places, changeWait, pollPause, func(c zldaemon.Cost) bool {
		return c.Nodes == nodes
	})
	return time.Since(start).Seconds(), err
}

// edit adds a node to the settings tree and returns how many it has then.
func (m *Meter) edit(ctx context.Context, client *zlplatform.Client, i int) (int, error) {
	o, err := client.Get(ctx, zlplatform.ObjectSettings, zlsync.TreeName)
	if err != nil {
		return 0, err
	}
	tree, err := zltree.Decode(o.Value)
	if err != nil {
		return 0, err
	}
	path := fmt.Sprintf("%s/%s/edit-%d", Deployment, zltree.AnyDataCentre, i)
	tree.Nodes[zltree.Path(path)] = zltree.Node{
		zltree.KeyDeadline: "9s",
	}
	_, err = client.Put(ctx, zlplatform.ObjectSettings, zlsync.TreeName, o.Version, tree)
	return len(tree.Nodes), err
}

// Takeover ends one daemon, whose process the caller started, and measures
// until the others hold all upstreams, and what that costs each of them.
func (m *Meter) Takeover(ctx context.Context, pid int) (map[Quantity]float64, error) {
	last := len(m.Stage.Places) - 1
	left := m.Stage.Places[:last]
	before, err := m.costs(ctx, left, false)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	if err := syscall.Kill(pid, syscall.SIGKILL); err != nil {
		return nil, eris.Wrap(err, "end a daemon")
	}
	err = m.until(ctx, left, changeWait, changePause, func(c zldaemon.Cost) bool {
		return c.Daemons == last
	})
	if err != nil {
		return nil, err
	}
	if err := m.heldByAll(ctx, left); err != nil {
		return nil, err
	}
	took := time.Since(start).Seconds()
	after, err := m.costs(ctx, left, false)
	if err != nil {
		return nil, err
	}
	n := float64(len(left))
	values := map[Quantity]float64{
		QuantityTakeover: took,
	}
	for i := range before {
		d := difference(before[i], after[i])
		values[QuantityChangeCPU] += d.cpu / n
		values[QuantityChangeBytes] += d.bytes / n
	}
	return values, nil
}

// heldByAll waits until the daemons together may send to every upstream that
// has a daemon in its data centre.
func (m *Meter) heldByAll(ctx context.Context, places []DaemonPlace) error {
	end := time.Now().Add(changeWait)
	for time.Now().Before(end) {
		costs, err := m.costs(ctx, places, false)
		if err != nil {
			return err
		}
		held := 0
		for _, c := range costs {
			held += c.Held
		}
		if held == m.Stage.Upstreams {
			return nil
		}
		time.Sleep(changePause)
	}
	return &Error{
		Op:   "takeover",
		Kind: KindMeasure,
		Err:  eris.New("not all upstreams found a holder"),
	}
}

// Queries measures the processor time of all daemons for each query.
func (m *Meter) Queries(ctx context.Context, rate float64, duration time.Duration) (float64, error) {
	load := &zlload.Load{
		Rate:     rate,
		Duration: duration,
		Seed:     1,
		Mix: []zlload.Shape{
			{
				Service:  ServiceName,
				Kind:     "capacity",
				Weight:   1,
				Deadline: 5 * time.Second,
			},
		},
	}
	for _, p := range m.Stage.Places {
		load.Targets = append(load.Targets, p.Caller)
	}
	before, err := m.costs(ctx, m.Stage.Places, false)
	if err != nil {
		return 0, err
	}
	summary, _, err := load.Run(ctx)
	if err != nil {
		return 0, err
	}
	after, err := m.costs(ctx, m.Stage.Places, false)
	if err != nil {
		return 0, err
	}
	if summary.Answered < summary.Sent || summary.CoverageMin < 1 {
		return 0, &Error{
			Op:   "queries",
			Kind: KindMeasure,
			Err:  eris.Errorf("only %d of %d answered, least coverage %v", summary.Answered, summary.Sent, summary.CoverageMin),
		}
	}
	cpu := 0.0
	for i := range before {
		cpu += difference(before[i], after[i]).cpu
	}
	return cpu / float64(summary.Answered), nil
}

// InFlight measures the live heap of the daemons with n queries waiting for
// their upstreams.
func (m *Meter) InFlight(ctx context.Context, n int) (float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for i := range n {
		place := m.Stage.Places[i%len(m.Stage.Places)]
		go func() {
			_, _ = zlload.Post(ctx, m.HTTP, place.Caller, &zlfront.Request{
				RequestID:  zlunit.RequestID(fmt.Sprintf("flight-%d", i)),
				Service:    ServiceName,
				Kind:       "capacity",
				Text:       "in flight",
				DeadlineMs: (20 * time.Second).Milliseconds(),
			})
		}()
	}
	time.Sleep(settleTime)
	costs, err := m.costs(ctx, m.Stage.Places, true)
	if err != nil {
		return 0, err
	}
	heap, flying := 0.0, int64(0)
	for _, c := range costs {
		heap += float64(c.HeapBytes)
		flying += c.InFlight
	}
	if flying != int64(n) {
		return 0, &Error{
			Op:   "inFlight",
			Kind: KindMeasure,
			Err:  eris.Errorf("%d queries are in flight, want %d", flying, n),
		}
	}
	return heap, nil
}

package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlhistory"
	"zinnialock/core/version/zlmark"
	"zinnialock/io/process/zldaemon"
	"zinnialock/io/standin/zltestbed"
	"zinnialock/io/version/zlgossip"
	"zinnialock/io/version/zlsync"

	"github.com/phuslu/log"
)

// benchReport is the output of config bench. Times are in milliseconds from the moment
// the edit is accepted, which means written and read back, to the moment a daemon has it
// in force; 0 if the daemon has it earlier.
type benchReport struct {
	Daemons int `json:"daemons"`
	// Cut is the number of daemons that cannot reach the platform.
	Cut int `json:"cut"`
	// Rounds is the number of edits, and of marks.
	Rounds int `json:"rounds"`
	// Edit and Mark are the times until the last daemon has an edit or a mark in force, of
	// all rounds.
	Edit latencySummary `json:"edit"`
	Mark latencySummary `json:"mark"`
	// Call is the time from the operator's call until the last daemon has the change in force.
	Call latencySummary `json:"call"`
	// PeerBytes and PlatformCalls are rates per daemon and second while idle, after the
	// rounds. PeerBytes counts what is sent and received, with IP and UDP headers.
	PeerBytes     float64 `json:"peerBytesPerSecond"`
	PlatformCalls float64 `json:"platformCallsPerSecond"`
}

// latencySummary is the median and the maximum of several times.
type latencySummary struct {
	P50Ms     float64 `json:"p50Ms"`
	LargestMs float64 `json:"largestMs"`
}

// summarize sorts times and returns their summary; zero for none.
func summarize(times []time.Duration) latencySummary {
	if len(times) == 0 {
		return latencySummary{}
	}
	slices.Sort(times)
	return latencySummary{
		P50Ms:     milliseconds(times[len(times)/2]),
		LargestMs: milliseconds(times[len(times)-1]),
	}
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

const (
	// benchDataCentres is the number of data centres.
	benchDataCentres = 3
	// benchTimeout bounds a round.
	benchTimeout = 30 * time.Second
	// packetHeaderBytes is the size of an IPv4 and a UDP header together.
	packetHeaderBytes = 28
	// settleTime is the wait between the isolation of daemons and the first round.
	settleTime = 3 * time.Second
	// inForcePollInterval is the pause between two polls of a daemon.
	inForcePollInterval = 5 * time.Millisecond
	// restMeasureTime is how long the cost at rest is measured.
	restMeasureTime = 10 * time.Second
)

func runConfigBench(e *env, args []string) int {
	fs := newFlags(e, "config bench", "Measure the time from an accepted edit or mark until the last daemon has it in force, with real daemons over loopback in this process. Prints JSON.")
	daemons := fs.Int("daemons", 6, "number of daemons, a multiple of 3")
	cut := fs.Int("cut", 0, "number of daemons that cannot reach the platform")
	rounds := fs.Int("rounds", 20, "number of edits, and of marks")
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	if *daemons < benchDataCentres || *daemons%benchDataCentres != 0 || *cut < 0 || *cut >= *daemons || *rounds < 1 {
		return e.fail(exitUsage, fmt.Errorf("found -daemons %d -cut %d -rounds %d, allowed is a multiple of %d for -daemons, less than that for -cut, and 1 or more for -rounds", *daemons, *cut, *rounds, benchDataCentres))
	}
	b := &bench{
		isolated: *cut,
		rounds:   *rounds,
	}
	report, err := b.run(*daemons)
	if err != nil {
		return e.fail(exitFailed, err)
	}
	e.json(report)
	return exitOK
}

// bench runs daemons and measures edits. Some daemons are isolated: they reach the platform
// through a proxy that is closed once all have joined.
type bench struct {
	isolated int
	rounds   int
	testbed  *zltestbed.Testbed
	editor   *zlsync.Editor
	// started counts the daemons that were given an address of the platform.
	started     int
	proxyClosed atomic.Bool
	daemons     int
}

func (b *bench) run(daemons int) (*benchReport, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b.daemons = daemons
	stop, err := b.start(ctx)
	if err != nil {
		return nil, err
	}
	defer stop()
	b.proxyClosed.Store(true)
	time.Sleep(settleTime)
	report := &benchReport{
		Daemons: daemons,
		Cut:     b.isolated,
		Rounds:  b.rounds,
	}
	var edits, marks, calls []time.Duration
	for i := range b.rounds {
		for _, mark := range []bool{false, true} {
			accepted, call, err := b.round(ctx, i, mark)
			if err != nil {
				return nil, err
			}
			calls = append(calls, call)
			if mark {
				marks = append(marks, accepted)
			} else {
				edits = append(edits, accepted)
			}
		}
	}
	report.Edit, report.Mark, report.Call = summarize(edits), summarize(marks), summarize(calls)
	return report, b.measureIdle(ctx, report)
}

// start starts the daemons and the proxy of the isolated ones, and returns a function that
// stops them.
func (b *bench) start(ctx context.Context) (func(), error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	var proxy atomic.Pointer[httputil.ReverseProxy]
	server := &http.Server{
		ReadHeaderTimeout: time.Minute,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if b.proxyClosed.Load() {
				http.Error(w, "cut off", http.StatusServiceUnavailable)
				return
			}
			proxy.Load().ServeHTTP(w, r)
		}),
	}
	go func() {
		_ = server.Serve(listener)
	}()
	b.testbed = &zltestbed.Testbed{
		Plan: benchPlan(b.daemons),
		Seed: 1,
		Log: &log.Logger{
			Level: log.ErrorLevel,
			Writer: &log.IOWriter{
				Writer: os.Stderr,
			},
		},
	}
	b.testbed.PlatformAddress = func(zlunit.VM) string {
		proxy.CompareAndSwap(nil, httputil.NewSingleHostReverseProxy(&url.URL{
			Scheme: "http",
			Host:   b.testbed.Client.Address,
		}))
		b.started++
		// The isolated daemons are spread over the data centres.
		if (b.started*b.isolated)/b.daemons != ((b.started-1)*b.isolated)/b.daemons {
			return listener.Addr().String()
		}
		return ""
	}
	if err := b.testbed.Run(ctx); err != nil {
		_ = server.Close()
		return nil, err
	}
	b.editor = &zlsync.Editor{
		Platform: b.testbed.Client,
		Timer:    &zltimer.Service{},
	}
	return func() {
		b.testbed.Close()
		_ = server.Close()
	}, nil
}

// benchPlan returns the guild's plan with this number of daemons in total.
func benchPlan(daemons int) zltestbed.Plan {
	plan := zltestbed.Guild()
	plan.Daemons = daemons / benchDataCentres
	return plan
}

// round makes one edit or mark and returns the times until the last daemon has it in
// force, from the acceptance and from the call.
func (b *bench) round(ctx context.Context, i int, mark bool) (accepted, call time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, benchTimeout)
	defer cancel()
	target := &zlsync.Settings
	change := zlhistory.Change{
		Path: string(b.testbed.Plan.Deployment),
		Key:  "deadline",
		New:  fmt.Sprintf("%dms", 2000+i),
	}
	if mark {
		target = &zlsync.Marks
		change.Path = string(zlmark.SubjectUpstream)
		change.Key = "bench-desk-0-0"
		change.New = nil
		if i%2 == 0 {
			change.New = "bench"
		}
	}
	started := time.Now()
	written, err := b.editor.Edit(ctx, target, &zlsync.Edit{
		By:     "bench",
		Reason: "bench",
		Prepare: func(r zlhistory.Record) ([]zlhistory.Change, zlunit.Serial, error) {
			return []zlhistory.Change{change}, r.Head().Serial, nil
		},
	})
	if err != nil {
		return 0, 0, err
	}
	acceptedAt := time.Now()
	last, err := b.lastInForce(ctx, string(target.Kind), written.Serial)
	return max(0, last.Sub(acceptedAt)), last.Sub(started), err
}

// lastInForce waits until every daemon has the serial in force and returns the time at
// which the last one applied it.
func (b *bench) lastInForce(ctx context.Context, kind string, serial zlunit.Serial) (time.Time, error) {
	var last time.Time
	for n := range b.daemons {
		for {
			at, err := b.inForce(ctx, n, kind, serial)
			if err != nil {
				return last, err
			}
			if !at.IsZero() {
				last = slices.MaxFunc([]time.Time{last, at}, time.Time.Compare)
				break
			}
			time.Sleep(inForcePollInterval)
		}
	}
	return last, nil
}

// inForce returns the time at which the serial, or the later one that daemon n has in
// force instead, came into force there; zero if it has neither.
func (b *bench) inForce(ctx context.Context, n int, kind string, serial zlunit.Serial) (time.Time, error) {
	var all []zlgossip.Status
	if err := getJSON(ctx, "http://"+b.testbed.Admin(n)+"/status/news?only=self", &all); err != nil {
		return time.Time{}, err
	}
	for _, o := range all[0].Objects {
		if o.Kind == kind && o.Serial >= serial {
			return o.Since, nil
		}
	}
	return time.Time{}, nil
}

// getJSON reads JSON from an HTTP address.
func getJSON(ctx context.Context, address string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() {
		_ = resp.Body.Close()
	}()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", strings.TrimPrefix(address, "http://"), resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

// measureIdle measures the control traffic of the daemons while nothing changes.
func (b *bench) measureIdle(ctx context.Context, report *benchReport) error {
	total := func() (bytes, calls float64, err error) {
		for n := range b.daemons {
			var c zldaemon.Cost
			if err := getJSON(ctx, "http://"+b.testbed.Admin(n)+"/cost", &c); err != nil {
				return 0, 0, err
			}
			bytes += float64(c.Peers.SentBytes + c.Peers.ReceivedBytes)
			bytes += packetHeaderBytes * float64(c.Peers.SentPackets+c.Peers.ReceivedPackets)
			calls += float64(c.Platform.Calls)
		}
		return bytes, calls, nil
	}
	bytes, calls, err := total()
	if err != nil {
		return err
	}
	time.Sleep(restMeasureTime)
	bytesAfter, callsAfter, err := total()
	share := float64(b.daemons) * restMeasureTime.Seconds()
	report.PeerBytes = (bytesAfter - bytes) / share
	report.PlatformCalls = (callsAfter - calls) / share
	return err
}

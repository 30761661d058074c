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
	"zinnialock/io/standin/zlscene"
	"zinnialock/io/version/zlgossip"
	"zinnialock/io/version/zlsync"

	"github.com/phuslu/log"
)

// benchReport is what config bench prints. Times are in milliseconds, from the
// moment that the edit was accepted, that is written and read back, to the
// moment that a daemon had it in force; 0 if that was earlier.
type benchReport struct {
	Daemons int `json:"daemons"`
	// Cut is how many of them could not reach the platform.
	Cut    int `json:"cut"`
	Rounds int `json:"rounds"`
	// Edit and Mark are times to the last daemon in force, one for each round.
	Edit spread `json:"edit"`
	Mark spread `json:"mark"`
	// Call is the time from the operator's call to the last daemon in force.
	Call spread `json:"call"`
	// PeerBytes and PlatformCalls are per daemon and second in the quiet time
	// after the rounds; PeerBytes counts what was sent and received, with the
	// headers of IP and UDP.
	PeerBytes     float64 `json:"peerBytesPerSecond"`
	PlatformCalls float64 `json:"platformCallsPerSecond"`
}

type spread struct {
	P50Ms     float64 `json:"p50Ms"`
	LargestMs float64 `json:"largestMs"`
}

func spreadOf(times []time.Duration) spread {
	if len(times) == 0 {
		return spread{}
	}
	slices.Sort(times)
	return spread{
		P50Ms:     milliseconds(times[len(times)/2]),
		LargestMs: milliseconds(times[len(times)-1]),
	}
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

const (
	// benchDataCentres is how many data centres a bench has.
	benchDataCentres = 3
	// benchLimit bounds the wait for the last daemon in a round.
	benchLimit = 30 * time.Second
	// packetHeader is the size of an IPv4 and a UDP header, in bytes.
	packetHeader = 28
	// quietTime is how long the cost is measured.
	quietTime = 10 * time.Second
)

func runConfigBench(e *env, args []string) int {
	fs := newFlags(e, "config bench", "Measure the time from an accepted edit or mark to the last daemon in force, with real daemons over loopback in this process. Prints JSON.")
	daemons := fs.Int("daemons", 6, "how many daemons, a multiple of 3")
	cut := fs.Int("cut", 0, "how many of them cannot reach the platform")
	rounds := fs.Int("rounds", 20, "how many edits and as many marks")
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	if *daemons < benchDataCentres || *daemons%benchDataCentres != 0 || *cut < 0 || *cut >= *daemons || *rounds < 1 {
		return e.fail(exitUsage, fmt.Errorf("found -daemons %d -cut %d -rounds %d, allowed are daemons in multiples of %d, fewer cut off than there are, and 1 round or more", *daemons, *cut, *rounds, benchDataCentres))
	}
	b := &bench{
		cut:    *cut,
		rounds: *rounds,
	}
	report, err := b.run(*daemons)
	if err != nil {
		return e.fail(exitFailed, err)
	}
	e.json(report)
	return exitDone
}

type bench struct {
	cut    int
	rounds int
	scene  *zlscene.Scene
	editor *zlsync.Editor
	count  int
	isCut  atomic.Bool
	all    int
}

func (b *bench) run(daemons int) (*benchReport, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b.all = daemons
	stop, err := b.start(ctx)
	if err != nil {
		return nil, err
	}
	defer stop()
	b.isCut.Store(true)
	time.Sleep(3 * time.Second)
	report := &benchReport{
		Daemons: daemons,
		Cut:     b.cut,
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
	report.Edit, report.Mark, report.Call = spreadOf(edits), spreadOf(marks), spreadOf(calls)
	return report, b.quiet(ctx, report)
}

// start runs a scene whose cut-off daemons reach the platform by a way of
// their own, which is shut once all have joined.
func (b *bench) start(ctx context.Context) (func(), error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	var next atomic.Pointer[httputil.ReverseProxy]
	server := &http.Server{
		ReadHeaderTimeout: time.Minute,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if b.isCut.Load() {
				http.Error(w, "cut off", http.StatusServiceUnavailable)
				return
			}
			next.Load().ServeHTTP(w, r)
		}),
	}
	go func() {
		_ = server.Serve(listener)
	}()
	b.scene = &zlscene.Scene{
		Plan: benchPlan(b.all),
		Seed: 1,
		Log: &log.Logger{
			Level: log.ErrorLevel,
			Writer: &log.IOWriter{
				Writer: os.Stderr,
			},
		},
	}
	b.scene.PlatformFor = func(zlunit.VM) string {
		next.CompareAndSwap(nil, httputil.NewSingleHostReverseProxy(&url.URL{
			Scheme: "http",
			Host:   b.scene.Client.Address,
		}))
		b.count++
		// Spread over the data centres.
		if (b.count*b.cut)/b.all != ((b.count-1)*b.cut)/b.all {
			return listener.Addr().String()
		}
		return ""
	}
	if err := b.scene.Run(ctx); err != nil {
		_ = server.Close()
		return nil, err
	}
	b.editor = &zlsync.Editor{
		Platform: b.scene.Client,
		Timer:    &zltimer.Service{},
	}
	return func() {
		b.scene.Close()
		_ = server.Close()
	}, nil
}

func benchPlan(daemons int) zlscene.UserPlan {
	plan := zlscene.Guild()
	plan.Daemons = daemons / benchDataCentres
	return plan
}

// round makes one edit and returns the times until it was in force at the last
// daemon, from when it was accepted and from the call.
func (b *bench) round(ctx context.Context, i int, mark bool) (accepted, call time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, benchLimit)
	defer cancel()
	target := &zlsync.Settings
	change := zlhistory.Change{
		Path: string(b.scene.Plan.Deployment),
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
	got, err := b.editor.Edit(ctx, target, &zlsync.Edit{
		By:     "bench",
		Reason: "bench",
		Prepare: func(r zlhistory.Record) ([]zlhistory.Change, zlunit.Serial, error) {
			return []zlhistory.Change{change}, r.Head().Serial, nil
		},
	})
	if err != nil {
		return 0, 0, err
	}
	done := time.Now()
	last, err := b.lastInForce(ctx, string(target.Kind), got.Serial)
	return max(0, last.Sub(done)), last.Sub(started), err
}

// lastInForce waits until every daemon has the serial in force and returns when
// the last one took it up.
func (b *bench) lastInForce(ctx context.Context, kind string, serial zlunit.Serial) (time.Time, error) {
	var last time.Time
	for n := range b.all {
		for {
			at, err := b.inForce(ctx, n, kind, serial)
			if err != nil {
				return last, err
			}
			if !at.IsZero() {
				last = slices.MaxFunc([]time.Time{last, at}, time.Time.Compare)
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return last, nil
}

func (b *bench) inForce(ctx context.Context, n int, kind string, serial zlunit.Serial) (time.Time, error) {
	var all []zlgossip.Status
	if err := getJSON(ctx, "http://"+b.scene.Admin(n)+"/status/news?only=self", &all); err != nil {
		return time.Time{}, err
	}
	for _, o := range all[0].Objects {
		if o.Kind == kind && o.Serial >= serial {
			return o.Since, nil
		}
	}
	return time.Time{}, nil
}

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

// quiet measures what the daemons spend on control while nothing happens.
func (b *bench) quiet(ctx context.Context, report *benchReport) error {
	total := func() (bytes, calls float64, err error) {
		for n := range b.all {
			var c zldaemon.Cost
			if err := getJSON(ctx, "http://"+b.scene.Admin(n)+"/cost", &c); err != nil {
				return 0, 0, err
			}
			bytes += float64(c.Peers.SentBytes + c.Peers.ReceivedBytes)
			bytes += packetHeader * float64(c.Peers.SentPackets+c.Peers.ReceivedPackets)
			calls += float64(c.Platform.Calls)
		}
		return bytes, calls, nil
	}
	bytes, calls, err := total()
	if err != nil {
		return err
	}
	time.Sleep(quietTime)
	bytesAfter, callsAfter, err := total()
	share := float64(b.all) * quietTime.Seconds()
	report.PeerBytes = (bytesAfter - bytes) / share
	report.PlatformCalls = (callsAfter - calls) / share
	return err
}

// Package zldaemon wires the parts of one daemon together and runs them.
package zldaemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"zinnialock/core/process/zlevent"
	"zinnialock/core/process/zlroute"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/request/zlaggregator"
	"zinnialock/core/request/zlcoordinator"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/request/zltrace"
	"zinnialock/core/version/zlview"
	"zinnialock/io/connection/zlpeer"
	"zinnialock/io/process/zlconfig"
	"zinnialock/io/process/zlfleet"
	"zinnialock/io/process/zlkeys"
	"zinnialock/io/process/zlmetric"
	"zinnialock/io/process/zlplatform"
	"zinnialock/io/request/zlfront"
	"zinnialock/io/request/zlupcall"
	"zinnialock/io/version/zlgossip"
	"zinnialock/io/version/zlsync"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
)

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	KindListen Kind = "listen"
	KindStart  Kind = "start"
	KindCut    Kind = "cut"
)

// Error reports a daemon that could not start or stop as it should.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("zldaemon: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Daemon is one process of the tier. Config, Keys and Log must be set before
// Run; Out and Without may be.
type Daemon struct {
	Config *zlconfig.Config
	Keys   *zlkeys.Store
	Log    *log.Logger
	// Out gets a line for each decision, as docs/OPERATIONS.md lists them; nil
	// means that they are only counted.
	Out io.Writer
	// Without switches mechanisms of queries off, for experiments.
	Without zlcoordinator.Disabled

	timer      *zltimer.Service
	views      *zlview.CurrentView
	metrics    *zlmetric.Metrics
	platform   *zlplatform.Client
	follower   *zlsync.Follower
	gossip     *zlgossip.Gossip
	calls      *zlupcall.Caller
	aggregator *zlaggregator.Aggregator
	node       *zlpeer.Node
	coord      *zlcoordinator.Coordinator
	claims     claims
	fleet      *zlfleet.Fleet
	events     *zlevent.Ring
	traces     *zltrace.Store
	journal    *journal
	caller     *http.Server
	admin      *http.Server
	cancel     context.CancelFunc
	parts      sync.WaitGroup
	stopping   atomic.Bool
	inFlight   atomic.Int64
	meter      zlplatform.Meter
	started    time.Time
	settled    atomic.Bool
}

// Run starts all parts and returns once the daemon serves.
func (d *Daemon) Run() error {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.build()
	d.claims.run()
	if err := d.node.Run(); err != nil {
		cancel()
		d.claims.close()
		d.platform.HTTP.CloseIdleConnections()
		d.journal.close()
		return err
	}
	if err := d.listen(); err != nil {
		d.Kill()
		return err
	}
	d.runNews(ctx)
	d.parts.Go(func() {
		d.fleet.Run(ctx)
	})
	d.parts.Go(func() {
		d.followKeys(ctx)
	})
	d.journal.process("start", string(d.Config.DataCentre))
	return nil
}

func (d *Daemon) build() {
	cfg := d.Config
	d.timer = &zltimer.Service{}
	d.started = d.timer.Now()
	d.views = &zlview.CurrentView{}
	d.metrics = zlmetric.New(map[string]string{
		"vm": string(cfg.Name),
	})
	d.platform = &zlplatform.Client{
		Address: cfg.PlatformAddress,
		HTTP:    d.meter.NewHTTP(),
		Timeout: cfg.PlatformTimeout,
		Turned: func(t zlplatform.Turn) {
			d.journal.turned(t)
		},
	}
	d.buildNews()
	d.calls = &zlupcall.Caller{}
	d.aggregator = &zlaggregator.Aggregator{
		Self:    cfg.Name,
		Timer:   d.timer,
		Views:   d.views,
		Fetcher: d.calls,
		Counter: d.metrics,
	}
	d.node = &zlpeer.Node{
		Self:       cfg.Name,
		Address:    cfg.PeerListen,
		TLS:        d.Keys.Config(zlpeer.Protocol),
		Views:      d.views,
		Aggregator: d.aggregator,
		Counter:    d.metrics,
		Asked:      d.asked,
	}
	d.traces = &zltrace.Store{}
	d.buildJournal()
	d.coord = &zlcoordinator.Coordinator{
		Self:  cfg.Name,
		Timer: d.timer,
		Views: d.views,
		Router: &zlroute.Router{
			RandomOnly: d.Without.Routing,
		},
		Dispatcher: d.node,
		Counter:    d.metrics,
		Disabled:   d.Without,
		Traces:     d.journal,
	}
	d.buildClaims()
	d.buildFleet()
}

func (d *Daemon) listen() error {
	callers := http.NewServeMux()
	callers.Handle("POST "+zlfront.Path, d.counted(&zlfront.Front{
		Answerer: d.claims.guard,
		Timer:    d.timer,
	}))
	var err error
	if d.caller, err = d.serve(d.Config.CallerListen, callers); err != nil {
		return err
	}
	d.admin, err = d.serve(d.Config.AdminListen, d.adminMux())
	return err
}

func (d *Daemon) serve(address string, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &Error{
			Op:   "serve",
			Kind: KindListen,
			Err:  eris.Wrap(err, address),
		}
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: 10 * time.Second,
	}
	d.parts.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.Log.Error().Err(err).Msg("daemon: listener ended")
		}
	})
	return server, nil
}

// counted counts the queries in flight, for a planned stop. Callers of a daemon that is
// leaving are told to end their connections: one that is kept and used again in the
// moment in which the daemon ends it would lose its query.
func (d *Daemon) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.inFlight.Add(1)
		defer d.inFlight.Add(-1)
		if d.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// flushTime is kept between the last reply to another daemon and the end of
// its connection, so that the reply gets through.
const flushTime = 100 * time.Millisecond

// Stop says that the daemon is leaving, goes on serving for the grace, lets
// running queries finish, hands its upstreams over and ends. The error, if
// any, says how many queries were cut.
func (d *Daemon) Stop() error {
	d.stopping.Store(true)
	d.journal.process("stopping", "asked to")
	ctx, cancel := context.WithTimeout(context.Background(), d.Config.StopLimit)
	defer cancel()
	if err := d.fleet.Leave(ctx); err != nil {
		d.Log.Warn().Err(err).Msg("daemon: saying that it leaves failed")
	}
	d.timer.Sleep(ctx.Done(), d.Config.StopGrace)
	err := d.caller.Shutdown(ctx)
	d.claims.finish(ctx)
	cut := d.inFlight.Load()
	if !d.fleet.Release(ctx) {
		d.Log.Warn().Msg("daemon: left without a full release, others wait for its lease")
	}
	d.timer.Sleep(ctx.Done(), flushTime)
	if err != nil {
		d.journal.process("cut", strconv.FormatInt(cut, 10)+" queries")
	}
	d.journal.process("stopped", "asked to")
	d.Kill()
	if err != nil {
		return &Error{
			Op:   "stop",
			Kind: KindCut,
			Err:  eris.Wrapf(err, "%d queries cut", cut),
		}
	}
	return nil
}

// InFlight returns how many queries of callers are running.
func (d *Daemon) InFlight() int64 {
	return d.inFlight.Load()
}

// Kill ends the daemon at once.
func (d *Daemon) Kill() {
	d.cancel()
	if d.caller != nil {
		_ = d.caller.Close()
	}
	if d.admin != nil {
		_ = d.admin.Close()
	}
	d.claims.close()
	// The calls end before the peer port closes: others take a closed port as
	// proof that nothing is sent to upstreams any more.
	d.calls.Close()
	d.node.Close()
	d.aggregator.Wait()
	d.platform.HTTP.CloseIdleConnections()
	d.parts.Wait()
	d.journal.close()
}

func (d *Daemon) asked(ctx context.Context, topic string, body []byte) ([]byte, error) {
	if reply, handled, err := d.claims.router.HandleRequest(ctx, topic, body); handled {
		return reply, err
	}
	if topic == topicBeat {
		return d.answerBeat(body)
	}
	if reply, handled, err := d.gossip.Answer(ctx, topic, body); handled {
		return reply, err
	}
	return nil, eris.Errorf("unknown topic %q", topic)
}

// settleLimit bounds how long a daemon that has just started is not ready for
// the sake of its own upstreams; without the platform it never holds any.
const settleLimit = 10 * time.Second

// Ready reports whether the daemon can answer queries, and if not, why.
func (d *Daemon) Ready() (bool, string) {
	switch {
	case d.stopping.Load():
		return false, string(zlquery.ReasonStopping)
	case d.views.Load() == nil:
		return false, "no view of the platform yet"
	case d.markedOut():
		return false, string(zlquery.ReasonMarkedOut)
	case d.settled.Load():
		return true, "ready"
	case d.timer.Now().Sub(d.started) < settleLimit && !d.fleet.Settled():
		return false, "earlier holders are waited for"
	default:
		d.settled.Store(true)
		return true, "ready"
	}
}

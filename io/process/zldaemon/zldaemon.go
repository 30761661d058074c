// Package zldaemon assembles the parts of one daemon of zinnialock serve and runs
// them; its counterpart for the relay is package platform. It takes a configuration,
// keys and a logger, and serves callers, other daemons and the admin interface. The
// rules of queries, membership and synchronisation are in the packages that it
// connects.
package zldaemon

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"zinnialock/core/connection/zlreadbudget"
	"zinnialock/core/process/zlevent"
	"zinnialock/core/process/zlquarantine"
	"zinnialock/core/process/zlroute"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/request/zlcoordinator"
	"zinnialock/core/request/zlexecutor"
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
	"zinnialock/io/request/zlupstreamclient"
	"zinnialock/io/version/zlgossip"
	"zinnialock/io/version/zlsync"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
)

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// KindListen means that a listener could not be opened.
	KindListen Kind = "listen"
	// KindStart means that a part could not be started.
	KindStart Kind = "start"
	// KindQueriesCut means that a planned stop ended while queries were running.
	KindQueriesCut Kind = "cut"
)

// Error is the error of this package: a daemon could not start, or stopped with
// queries still running.
type Error struct {
	// Op is the operation that failed.
	Op string
	// Kind classifies the error.
	Kind Kind
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("zldaemon: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns Err.
func (e *Error) Unwrap() error {
	return e.Err
}

// maxReplyBytesHeld bounds the bytes of all replies of upstreams that are being read.
const maxReplyBytesHeld = 64 << 20

// Daemon is one daemon of the query tier. Config, Keys and Log must be set before
// Run; Out and Disabled are optional. After Run, the other methods may be called
// concurrently.
type Daemon struct {
	// Config is the configuration.
	Config *zlconfig.Config
	// Keys has the certificate and key for connections between daemons.
	Keys *zlkeys.Store
	// Log receives errors and warnings.
	Log *log.Logger
	// Out receives a line for each decision; docs/OPERATIONS.md lists them. If nil,
	// decisions are only counted.
	Out io.Writer
	// Disabled disables mechanisms of queries, for experiments.
	Disabled zlcoordinator.Disabled

	timer    *zltimer.Service
	views    *zlview.CurrentView
	metrics  *zlmetric.Metrics
	platform *zlplatform.Client
	watcher  *zlsync.Watcher
	gossip   *zlgossip.Gossip
	// quarantine holds the queries that crash upstreams.
	quarantine     *zlquarantine.Ledger
	upstreamCaller *zlupstreamclient.Caller
	executor       *zlexecutor.Executor
	node           *zlpeer.Node
	coordinator    *zlcoordinator.Coordinator
	claims         claims
	fleet          *zlfleet.Fleet
	events         *zlevent.Ring
	traces         *zltrace.Store
	journal        *journal
	callerServer   *http.Server
	adminServer    *http.Server
	cancel         context.CancelFunc
	goroutines     sync.WaitGroup
	stopping       atomic.Bool
	// closed is set once a stopping daemon takes no more queries.
	closed   atomic.Bool
	inFlight atomic.Int64
	meter    zlplatform.Meter
	started  time.Time
	settled  atomic.Bool
}

// Run starts all parts and returns once the daemon accepts queries. After an error,
// everything that was started has been stopped.
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
	d.runSync(ctx)
	d.goroutines.Go(func() {
		d.fleet.Run(ctx)
	})
	d.goroutines.Go(func() {
		d.watchKeys(ctx)
	})
	d.journal.process("start", string(d.Config.DataCentre))
	return nil
}

// build creates all parts. Only the journal runs afterwards.
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
		OnOutage: func(t zlplatform.OutageChange) {
			d.journal.platformTurn(t)
		},
	}
	d.quarantine = &zlquarantine.Ledger{
		Timer: d.timer,
	}
	d.buildSync()
	d.upstreamCaller = &zlupstreamclient.Caller{
		Budget: &zlreadbudget.Budget{
			Limit: maxReplyBytesHeld,
		},
	}
	d.executor = &zlexecutor.Executor{
		Self:    cfg.Name,
		Timer:   d.timer,
		Views:   d.views,
		Fetcher: d.upstreamCaller,
		Counter: d.metrics,
	}
	d.node = &zlpeer.Node{
		Self:          cfg.Name,
		Address:       cfg.PeerListen,
		TLS:           d.Keys.Config(zlpeer.Protocol),
		Views:         d.views,
		Executor:      d.executor,
		Counter:       d.metrics,
		HandleRequest: d.handlePeerRequest,
	}
	d.traces = &zltrace.Store{}
	d.buildJournal()
	d.quarantine.Sink = d.journal.writer
	d.coordinator = &zlcoordinator.Coordinator{
		Self:  cfg.Name,
		Timer: d.timer,
		Views: d.views,
		Router: &zlroute.Router{
			RandomOnly: d.Disabled.Routing,
		},
		Dispatcher: d.node,
		Counter:    d.metrics,
		Disabled:   d.Disabled,
		Traces:     d.journal,
		Quarantine: d.quarantine,
	}
	d.buildClaims()
	d.buildFleet()
}

// countInFlight counts the queries in flight, for a planned stop. While the daemon is
// leaving, its replies ask callers to close their connections: a query that a caller
// sends on a kept connection while the daemon closes it would be lost.
func (d *Daemon) countInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.inFlight.Add(1)
		defer d.inFlight.Add(-1)
		if d.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// stoppingAnswerer refuses the queries that are read once closed is set, since their answers
// may come after the end of the stop.
type stoppingAnswerer struct {
	zlfront.Answerer
	closed *atomic.Bool
}

// Answer implements zlfront.Answerer. An earlier attempt of a retry may have run.
func (s *stoppingAnswerer) Answer(ctx context.Context, req *zlquery.Request) *zlquery.Answer {
	if !s.closed.Load() {
		return s.Answerer.Answer(ctx, req)
	}
	a := &zlquery.Answer{
		ID:      req.ID,
		Outcome: zlquery.OutcomeNotRun,
		Reason:  zlquery.ReasonStopping,
	}
	if req.Retry {
		a.Outcome = zlquery.OutcomeUnknown
	}
	return a
}

// replyFlushTime is the pause between the last reply to another daemon and the close
// of its connection, so that the reply is delivered.
const replyFlushTime = 100 * time.Millisecond

// Stop performs a planned stop. It marks the daemon as leaving, serves for the grace
// period (Config.StopGrace), waits for running queries to finish, hands over the
// upstreams and ends the daemon, within Config.StopLimit. It returns an Error of
// KindQueriesCut with the number of queries that were still running.
func (d *Daemon) Stop() error {
	d.stopping.Store(true)
	d.journal.process("stopping", "asked to")
	ctx, cancel := context.WithTimeout(context.Background(), d.Config.StopLimit)
	defer cancel()
	if err := d.fleet.Leave(ctx); err != nil {
		d.Log.Warn().Err(err).Msg("daemon: writing the leaving state to the roster failed; trying again while stopping")
	}
	d.timer.Sleep(ctx.Done(), d.Config.StopGrace)
	d.closed.Store(true)
	err := d.callerServer.Shutdown(ctx)
	d.claims.finish(ctx)
	running := d.inFlight.Load()
	if !d.fleet.Release(ctx) {
		d.Log.Warn().Msg("daemon: stopped without a full release; other daemons wait until its lease expires")
	}
	d.timer.Sleep(ctx.Done(), replyFlushTime)
	if err != nil {
		d.journal.process("cut", strconv.FormatInt(running, 10)+" queries")
	}
	d.journal.process("stopped", "asked to")
	d.Kill()
	if err != nil {
		return &Error{
			Op:   "stop",
			Kind: KindQueriesCut,
			Err:  eris.Wrapf(err, "%d queries cut", running),
		}
	}
	return nil
}

// InFlight returns the number of queries of callers that are running.
func (d *Daemon) InFlight() int64 {
	return d.inFlight.Load()
}

// Kill ends the daemon without waiting for queries, and returns once all its
// goroutines have ended.
func (d *Daemon) Kill() {
	d.cancel()
	if d.callerServer != nil {
		_ = d.callerServer.Close()
	}
	if d.adminServer != nil {
		_ = d.adminServer.Close()
	}
	d.claims.close()
	// The upstream connections are closed before the peer port: for other daemons
	// a closed port proves that this one sends nothing to upstreams any more.
	d.upstreamCaller.Close()
	d.node.Close()
	d.executor.Wait()
	d.platform.HTTP.CloseIdleConnections()
	d.goroutines.Wait()
	d.journal.close()
}

// handlePeerRequest passes a request of another daemon to the part that handles its
// topic.
func (d *Daemon) handlePeerRequest(ctx context.Context, topic string, body []byte) ([]byte, error) {
	if reply, handled, err := d.claims.router.HandleRequest(ctx, topic, body); handled {
		return reply, err
	}
	if topic == topicHeartbeat {
		return d.answerHeartbeat(body)
	}
	if reply, handled, err := d.gossip.Answer(ctx, topic, body); handled {
		return reply, err
	}
	return nil, eris.Errorf("unknown topic %q", topic)
}

// settleTimeout bounds how long a started daemon stays not ready because it does not
// have its full share of its upstreams yet. Without the platform it never gets one.
const settleTimeout = 10 * time.Second

// Ready reports whether the daemon can answer queries, and otherwise the reason why
// it cannot.
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
	case d.timer.Now().Sub(d.started) < settleTimeout && !d.fleet.Settled():
		return false, "earlier holders are waited for"
	default:
		d.settled.Store(true)
		return true, "ready"
	}
}

// Package zldaemon wires the parts of one daemon together and runs them.
package zldaemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"zinnialock/core/process/zlroute"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlaggr"
	"zinnialock/core/request/zlcoord"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/request/zltrace"
	"zinnialock/core/version/zlroster"
	"zinnialock/core/version/zlview"
	"zinnialock/io/connection/zlpeer"
	"zinnialock/io/process/zlconfig"
	"zinnialock/io/process/zlkeys"
	"zinnialock/io/process/zlmetric"
	"zinnialock/io/process/zlplatform"
	"zinnialock/io/request/zlfront"
	"zinnialock/io/request/zlupcall"
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
// Run.
type Daemon struct {
	Config *zlconfig.Config
	Keys   *zlkeys.Store
	Log    *log.Logger

	timer      *zltimer.Service
	views      *zlview.Holder
	metrics    *zlmetric.Metrics
	platform   *zlplatform.Client
	follower   *zlsync.Follower
	calls      *zlupcall.Caller
	aggregator *zlaggr.Aggregator
	node       *zlpeer.Node
	coord      *zlcoord.Coordinator
	claims     claims
	traces     *zltrace.Store
	caller     *http.Server
	admin      *http.Server
	cancel     context.CancelFunc
	parts      sync.WaitGroup
	stopping   atomic.Bool
	inFlight   atomic.Int64
	meter      zlplatform.Meter
}

// Run starts all parts and returns once the daemon serves.
func (d *Daemon) Run() error {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.build()
	d.claims.run()
	if err := d.node.Run(); err != nil {
		cancel()
		return err
	}
	if err := d.listen(); err != nil {
		d.Kill()
		return err
	}
	d.parts.Go(func() {
		d.join(ctx)
		d.follower.Run(ctx)
	})
	return nil
}

func (d *Daemon) build() {
	cfg := d.Config
	d.timer = &zltimer.Service{}
	d.views = &zlview.Holder{}
	d.metrics = zlmetric.New(map[string]string{
		"vm": string(cfg.Name),
	})
	d.platform = &zlplatform.Client{
		Address: cfg.PlatformAddress,
		HTTP:    d.meter.NewHTTP(),
		Timeout: cfg.PlatformTimeout,
	}
	d.follower = &zlsync.Follower{
		Deployment: cfg.Deployment,
		Home:       cfg.DataCentre,
		Platform:   d.platform,
		Timer:      d.timer,
		Views:      d.views,
		Log:        d.Log,
	}
	d.calls = &zlupcall.Caller{}
	d.aggregator = &zlaggr.Aggregator{
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
		Asked:      d.asked,
	}
	d.traces = &zltrace.Store{}
	d.coord = &zlcoord.Coordinator{
		Self:       cfg.Name,
		Timer:      d.timer,
		Views:      d.views,
		Router:     &zlroute.Router{},
		Dispatcher: d.node,
		Counter:    d.metrics,
		Traces:     d.traces,
	}
	d.buildClaims()
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

// counted counts the queries in flight, for a planned stop.
func (d *Daemon) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.inFlight.Add(1)
		defer d.inFlight.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// join enters this daemon into the roster of its data centre.
func (d *Daemon) join(ctx context.Context) {
	self := zlroster.Member{
		VM:          d.Config.Name,
		Incarnation: zlunit.Incarnation(time.Now().UnixNano()),
		Peer:        d.Config.PeerListen,
	}
	for ctx.Err() == nil {
		err := zlsync.EditRoster(ctx, d.platform, d.Config.DataCentre, func(r zlroster.Roster) zlroster.Roster {
			return r.With(self)
		})
		if err == nil {
			return
		}
		d.Log.Warn().Err(err).Msg("daemon: joining the roster failed")
		d.timer.Sleep(ctx.Done(), time.Second)
	}
}

// Stop leaves the roster, goes on serving for the grace, lets running queries
// finish and ends. The error, if any, says how many were cut.
func (d *Daemon) Stop() error {
	d.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), d.Config.StopLimit)
	defer cancel()
	err := zlsync.EditRoster(ctx, d.platform, d.Config.DataCentre, func(r zlroster.Roster) zlroster.Roster {
		return r.Without(d.Config.Name)
	})
	if err != nil {
		d.Log.Warn().Err(err).Msg("daemon: leaving the roster failed")
	}
	d.timer.Sleep(ctx.Done(), d.Config.StopGrace)
	err = d.caller.Shutdown(ctx)
	d.claims.finish(ctx)
	cut := d.inFlight.Load()
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
	d.node.Close()
	d.calls.Close()
	d.aggregator.Wait()
	d.platform.HTTP.CloseIdleConnections()
	d.parts.Wait()
}

func (d *Daemon) asked(ctx context.Context, topic string, body []byte) ([]byte, error) {
	if reply, handled, err := d.claims.router.Asked(ctx, topic, body); handled {
		return reply, err
	}
	return nil, eris.Errorf("unknown topic %q", topic)
}

// Ready reports whether the daemon can answer queries, and if not, why.
func (d *Daemon) Ready() (bool, string) {
	switch {
	case d.stopping.Load():
		return false, string(zlquery.ReasonStopping)
	case d.views.Load() == nil:
		return false, "no view of the platform yet"
	default:
		return true, "ready"
	}
}

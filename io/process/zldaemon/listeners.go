package zldaemon

import (
	"errors"
	"net"
	"net/http"
	"time"

	"zinnialock/core/connection/zlreadbudget"
	"zinnialock/io/connection/zlconnlimit"
	"zinnialock/io/request/zlfront"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
)

const (
	// headTime bounds the reading of a request's head, and idleTime how long a connection
	// may be idle: longer than the 90 s after which usual clients close theirs.
	headTime = 10 * time.Second
	idleTime = 2 * time.Minute
	// maxCallerConns bounds the callers' connections: 96 MB at 48 KB each.
	maxCallerConns = 2048
	// maxAdminConns bounds those of operators and collectors.
	maxAdminConns = 64
	// maxHeadBytesHeld bounds the bytes of all incomplete heads of a listener, and
	// maxRequestBytesHeld those of all whole requests of callers: an eighth of 256 MB.
	maxHeadBytesHeld    = 8 << 20
	maxRequestBytesHeld = 32 << 20
)

// listen starts the HTTP servers for callers and for the admin interface.
func (d *Daemon) listen() error {
	callers := http.NewServeMux()
	callers.Handle("POST "+zlfront.Path, d.countInFlight(&zlfront.Handler{
		Answerer: &stoppingAnswerer{
			Answerer: d.claims.guard,
			closed:   &d.closed,
		},
		Timer: d.timer,
	}))
	scope := d.metrics.Scope()
	callerLimiter := newLimiter(scope, "callers", maxCallerConns)
	callerLimiter.Requests = &zlreadbudget.Budget{
		Limit: maxRequestBytesHeld,
	}
	var err error
	if d.callerServer, err = d.startServer(d.Config.CallerListen, callers, callerLimiter); err != nil {
		return err
	}
	d.adminServer, err = d.startServer(d.Config.AdminListen, d.adminMux(), newLimiter(scope, "admin", maxAdminConns))
	return err
}

// newLimiter returns what bounds the connections to a listener.
func newLimiter(scope tally.Scope, listener string, maxConns int) *zlconnlimit.Limiter {
	return &zlconnlimit.Limiter{
		Limits: func() zlconnlimit.Limits {
			return zlconnlimit.Limits{
				HeadTime: headTime,
				IdleTime: idleTime,
			}
		},
		MaxConns: maxConns,
		Heads: &zlreadbudget.Budget{
			Limit: maxHeadBytesHeld,
		},
		OnClose: func(cause zlconnlimit.Cause) {
			zlconnlimit.Count(scope, listener, cause)
		},
	}
}

// startServer starts an HTTP server at address, with connections that limiter bounds.
func (d *Daemon) startServer(address string, handler http.Handler, limiter *zlconnlimit.Limiter) (*http.Server, error) {
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
		ReadHeaderTimeout: headTime,
	}
	limiter.Apply(server)
	limited := limiter.Listen(listener)
	d.goroutines.Go(func() {
		if err := server.Serve(limited); !errors.Is(err, http.ErrServerClosed) {
			d.Log.Error().Err(err).Msg("daemon: HTTP server ended unexpectedly; its listener stays closed")
		}
	})
	return server, nil
}

package zltestbed

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlnaive"
	"zinnialock/core/version/zlview"
	"zinnialock/io/process/zlplatform"
	"zinnialock/io/request/zlfront"
	"zinnialock/io/request/zlupstreamclient"
	"zinnialock/io/version/zlsync"

	"github.com/rotisserie/eris"
)

// naiveDaemon serves callers with zlnaive, the baseline for comparisons, on the
// same simulated platform and upstreams.
type naiveDaemon struct {
	address    string
	views      *zlview.CurrentView
	caller     *zlupstreamclient.Caller
	server     *http.Server
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// runNaive starts a naive daemon in a data centre.
func (t *Testbed) runNaive(dc zlunit.DataCentre) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "start naive daemon")
	}
	timer := &zltimer.Service{}
	n := &naiveDaemon{
		address: listener.Addr().String(),
		views:   &zlview.CurrentView{},
		caller:  &zlupstreamclient.Caller{},
	}
	watcher := &zlsync.Watcher{
		Deployment: t.Plan.Deployment,
		Home:       dc,
		Platform: &zlplatform.Client{
			Address: t.Client.Address,
			HTTP:    t.Client.HTTP,
			Timeout: t.Client.Timeout,
		},
		Timer: timer,
		Views: n.views,
		Log:   t.Log,
	}
	mux := http.NewServeMux()
	mux.Handle("POST "+zlfront.Path, &zlfront.Handler{
		Answerer: &zlnaive.Naive{
			Timer:   timer,
			Views:   n.views,
			Fetcher: n.caller,
		},
		Timer: timer,
	})
	n.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: time.Minute,
	}
	var ctx context.Context
	ctx, n.cancel = context.WithCancel(context.Background())
	n.goroutines.Go(func() { watcher.Run(ctx) })
	n.goroutines.Go(func() { _ = n.server.Serve(listener) })
	t.daemons = append(t.daemons, n)
	return nil
}

// Target implements daemon.
func (n *naiveDaemon) Target() string {
	return n.address
}

// Ready implements daemon.
func (n *naiveDaemon) Ready(int) bool {
	return n.views.Load() != nil
}

// Held implements daemon: the naive version sends to all upstreams.
func (n *naiveDaemon) Held() int {
	view := n.views.Load()
	if view == nil {
		return 0
	}
	return len(view.Upstreams())
}

// Kill implements daemon.
func (n *naiveDaemon) Kill() {
	n.cancel()
	_ = n.server.Close()
	n.caller.Close()
	n.goroutines.Wait()
}

// Stop implements daemon; it cuts running queries without an error.
func (n *naiveDaemon) Stop() error {
	n.Kill()
	return nil
}

package zlscene

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
	"zinnialock/io/request/zlupcall"
	"zinnialock/io/version/zlsync"

	"github.com/rotisserie/eris"
)

// naiveDaemon serves callers by the naive version, on the same stand-ins.
type naiveDaemon struct {
	address string
	views   *zlview.CurrentView
	calls   *zlupcall.Caller
	server  *http.Server
	cancel  context.CancelFunc
	parts   sync.WaitGroup
}

// runNaive starts the naive version on an entry VM of a data centre.
func (s *Scene) runNaive(dc zlunit.DataCentre) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "naive daemon")
	}
	timer := &zltimer.Service{}
	n := &naiveDaemon{
		address: listener.Addr().String(),
		views:   &zlview.CurrentView{},
		calls:   &zlupcall.Caller{},
	}
	follower := &zlsync.Follower{
		Deployment: s.Plan.Deployment,
		Home:       dc,
		Platform: &zlplatform.Client{
			Address: s.Client.Address,
			HTTP:    s.Client.HTTP,
			Timeout: s.Client.Timeout,
		},
		Timer: timer,
		Views: n.views,
		Log:   s.Log,
	}
	mux := http.NewServeMux()
	mux.Handle("POST "+zlfront.Path, &zlfront.Front{
		Answerer: &zlnaive.Naive{
			Timer:   timer,
			Views:   n.views,
			Fetcher: n.calls,
		},
		Timer: timer,
	})
	n.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: time.Minute,
	}
	var ctx context.Context
	ctx, n.cancel = context.WithCancel(context.Background())
	n.parts.Go(func() { follower.Run(ctx) })
	n.parts.Go(func() { _ = n.server.Serve(listener) })
	s.entries = append(s.entries, n)
	return nil
}

// Target implements entry.
func (n *naiveDaemon) Target() string {
	return n.address
}

// Ready implements entry.
func (n *naiveDaemon) Ready(int) bool {
	return n.views.Load() != nil
}

// Held implements entry; the naive version speaks to all.
func (n *naiveDaemon) Held() int {
	view := n.views.Load()
	if view == nil {
		return 0
	}
	return len(view.Upstreams())
}

// Kill implements entry.
func (n *naiveDaemon) Kill() {
	n.cancel()
	_ = n.server.Close()
	n.calls.Close()
	n.parts.Wait()
}

// Stop implements entry.
func (n *naiveDaemon) Stop() error {
	n.Kill()
	return nil
}

package zldaemon

import (
	"fmt"
	"net/http"
)

func (d *Daemon) adminMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(w, "alive")
	})
	mux.HandleFunc("GET /readyz", d.serveReady)
	mux.HandleFunc("GET /status/news", d.serveNews)
	mux.HandleFunc("GET /cost", d.serveCost)
	mux.HandleFunc("GET /status", d.serveStatus)
	mux.HandleFunc("GET /events", d.serveEvents)
	mux.HandleFunc("GET "+ExplainPath, d.serveExplain)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		d.updateGauges()
		_ = d.metrics.WriteText(w)
	})
	return mux
}

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	ready, why := d.Ready()
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = fmt.Fprintln(w, why)
}

// Peers returns how many daemons this one sees in the rosters, itself
// included.
func (d *Daemon) Peers() int {
	view := d.views.Load()
	if view == nil {
		return 0
	}
	n := 0
	for _, r := range view.Rosters {
		n += len(r.Members)
	}
	return n
}

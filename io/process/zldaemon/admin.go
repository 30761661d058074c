package zldaemon

import (
	"fmt"
	"net/http"

	"zinnialock/io/process/zlquarantineadmin"
)

// adminMux returns the handler of the admin interface.
func (d *Daemon) adminMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(w, "alive")
	})
	mux.HandleFunc("GET /readyz", d.serveReady)
	mux.HandleFunc("GET /status/news", d.serveObjectStatus)
	mux.HandleFunc("GET /cost", d.serveCost)
	mux.HandleFunc("GET /status", d.serveStatus)
	mux.HandleFunc("GET /events", d.serveEvents)
	mux.HandleFunc("GET "+ExplainPath, d.serveExplain)
	zlquarantineadmin.Register(mux, d.quarantine)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		d.updateGauges()
		_ = d.metrics.WriteText(w)
	})
	return mux
}

// serveReady returns status 200 if the daemon is ready, else 503 and the reason.
func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	ready, why := d.Ready()
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = fmt.Fprintln(w, why)
}

// FleetSize returns the number of daemons in the rosters of all data centres, including
// this one; 0 before the first state was received from the platform.
func (d *Daemon) FleetSize() int {
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

package zldaemon

import (
	"encoding/json"
	"net/http"

	"zinnialock/core/process/zlunit"
)

// ExplainPath is the path of the admin interface that returns the decisions on a
// recent request. The query parameter "request" is the request id.
const ExplainPath = "/explain"

// serveExplain returns the traces of a request as a JSON list, oldest first, or
// status 404 if this daemon has none.
func (d *Daemon) serveExplain(w http.ResponseWriter, r *http.Request) {
	id := zlunit.RequestID(r.URL.Query().Get("request"))
	if id == "" {
		http.Error(w, "key \"request\": found nothing, allowed is a request id", http.StatusBadRequest)
		return
	}
	found := d.traces.Find(id)
	if len(found) == 0 {
		http.Error(w, "this daemon knows nothing of the request, or no longer", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(found)
}

// Package zlquarantineadmin serves the requests in quarantine (see zlquarantine) to operators
// over HTTP, in both deployments: it lists them and lifts a quarantine. It decides nothing and
// knows no other part of the admin interface.
package zlquarantineadmin

import (
	"encoding/json"
	"net/http"

	"zinnialock/core/process/zlquarantine"
	"zinnialock/core/process/zlunit"
)

// Path is the path of the list. A quarantine is lifted by DELETE of Path, "/" and the
// fingerprint.
const Path = "/quarantine"

// Entry is a request in quarantine.
type Entry struct {
	// Fingerprint is that of the log lines, 16 hexadecimal digits.
	Fingerprint string `json:"fingerprint"`
	// LeftMs is the time until the request is tried again, in milliseconds.
	LeftMs int64 `json:"leftMs"`
	// Trials counts the trials that crashed a replica.
	Trials int `json:"trials"`
	// Replicas are those that this VM knows to have ended under the request; none if it
	// only heard of the quarantine.
	Replicas []zlunit.Upstream `json:"replicas"`
}

// Register adds the handlers to a mux.
func Register(mux *http.ServeMux, l *zlquarantine.Ledger) {
	mux.HandleFunc("GET "+Path, func(w http.ResponseWriter, _ *http.Request) {
		serveList(w, l)
	})
	mux.HandleFunc("DELETE "+Path+"/{fingerprint}", func(w http.ResponseWriter, r *http.Request) {
		serveLift(w, r, l)
	})
}

func serveList(w http.ResponseWriter, l *zlquarantine.Ledger) {
	entries := []Entry{}
	for _, s := range l.List() {
		entries = append(entries, Entry{
			Fingerprint: s.Fingerprint.String(),
			LeftMs:      s.Left.Milliseconds(),
			Trials:      s.Trials,
			Replicas:    append([]zlunit.Upstream{}, s.Replicas...),
		})
	}
	w.Header().Set("Content-Type", "application/json")
	// The client has left if this fails.
	_ = json.NewEncoder(w).Encode(entries)
}

func serveLift(w http.ResponseWriter, r *http.Request, l *zlquarantine.Ledger) {
	f, err := zlunit.ParseFingerprint(r.PathValue("fingerprint"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !l.Lift(f) {
		http.Error(w, "request "+f.String()+" is not in quarantine here", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

package zldaemon

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"time"

	"zinnialock/core/connection/zladmission"
	"zinnialock/core/process/zlevent"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlroster"
	"zinnialock/io/process/zlfleet"
)

// MemberStatus is one member of a roster, as the reporting daemon knows it.
type MemberStatus struct {
	// VM is the VM of the member.
	VM zlunit.VM `json:"vm"`
	// DataCentre is the data centre of the roster.
	DataCentre zlunit.DataCentre `json:"dataCentre"`
	// Epoch is the epoch of the roster.
	Epoch zlunit.ObjectVersion `json:"epoch"`
	// State is the state of the member in the roster.
	State zlroster.State `json:"state"`
	// Peer is the address for requests of other daemons.
	Peer string `json:"peer"`
	// MarkedOut is true if the VM or its data centre is marked out of service.
	MarkedOut bool `json:"markedOut,omitempty"`
}

// Status is the status of a daemon and of the fleet as that daemon knows it.
type Status struct {
	// At is the time of the status.
	At time.Time `json:"at"`
	// Ready and Why are the results of Daemon.Ready.
	Ready bool   `json:"ready"`
	Why   string `json:"why"`
	// ViewAgeMs is the age of the state received from the platform, in
	// milliseconds; -1 if there is none.
	ViewAgeMs int64 `json:"viewAgeMs"`
	// InFlight is the number of queries of callers that are running.
	InFlight int64 `json:"inFlight"`
	// Fleet is the membership of the daemon.
	Fleet zlfleet.Status `json:"fleet"`
	// Members are the members of all rosters, ordered by VM.
	Members []MemberStatus `json:"members"`
	// Upstreams are the upstreams that the daemon sends to.
	Upstreams []zladmission.Status `json:"upstreams"`
}

// Status returns the current status.
func (d *Daemon) Status() Status {
	now := d.timer.Now()
	s := Status{
		At:        now,
		ViewAgeMs: -1,
		InFlight:  d.inFlight.Load(),
		Fleet:     d.fleet.Status(),
		Members:   []MemberStatus{},
		Upstreams: d.executor.Snapshot(),
	}
	s.Ready, s.Why = d.Ready()
	sort.Slice(s.Fleet.Held, func(i, j int) bool {
		return s.Fleet.Held[i].Upstream < s.Fleet.Held[j].Upstream
	})
	view := d.views.Load()
	if view == nil {
		return s
	}
	s.ViewAgeMs = d.views.Age(now).Milliseconds()
	for dc, r := range view.Rosters {
		for _, m := range r.Members {
			state := m.State
			if state == "" {
				state = zlroster.StateReady
			}
			s.Members = append(s.Members, MemberStatus{
				VM:         m.VM,
				DataCentre: dc,
				Epoch:      r.Epoch,
				State:      state,
				Peer:       m.Peer,
				MarkedOut:  view.Marks.VMOut(m.VM, dc),
			})
		}
	}
	sort.Slice(s.Members, func(i, j int) bool {
		return s.Members[i].VM < s.Members[j].VM
	})
	return s
}

// Events returns the stored events with a number greater than after, oldest first.
func (d *Daemon) Events(after uint64) []zlevent.Event {
	return d.events.After(after)
}

func (d *Daemon) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, d.Status())
}

// serveEvents returns Events as JSON; the query parameter "after" defaults to 0.
func (d *Daemon) serveEvents(w http.ResponseWriter, r *http.Request) {
	var after uint64
	if text := r.URL.Query().Get("after"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			http.Error(w, "after: found "+strconv.Quote(text)+", allowed is a number from 0", http.StatusBadRequest)
			return
		}
		after = n
	}
	writeJSON(w, d.Events(after))
}

// writeJSON writes value as a JSON response.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// recordUpstreamChange adds an event for a change of an upstream's state.
func (d *Daemon) recordUpstreamChange(c zladmission.Change) {
	d.events.Add(zlevent.Event{
		At:      c.At,
		Kind:    zlevent.KindUpstream,
		Subject: string(c.Upstream),
		Why:     string(c.From) + " to " + string(c.To) + ": " + string(c.Cause),
	})
}

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

// MemberStatus is one daemon of the fleet as another sees it.
type MemberStatus struct {
	VM         zlunit.VM            `json:"vm"`
	DataCentre zlunit.DataCentre    `json:"dataCentre"`
	Epoch      zlunit.ObjectVersion `json:"epoch"`
	State      zlroster.State       `json:"state"`
	Peer       string               `json:"peer"`
	MarkedOut  bool                 `json:"markedOut,omitempty"`
}

// Status is one daemon's view of itself and of the fleet.
type Status struct {
	At    time.Time `json:"at"`
	Ready bool      `json:"ready"`
	Why   string    `json:"why"`
	// ViewAgeMs is the age of the daemon's news of the platform; -1 without any.
	ViewAgeMs int64                `json:"viewAgeMs"`
	InFlight  int64                `json:"inFlight"`
	Fleet     zlfleet.Status       `json:"fleet"`
	Members   []MemberStatus       `json:"members"`
	Upstreams []zladmission.Status `json:"upstreams"`
}

// Status returns what this daemon knows now.
func (d *Daemon) Status() Status {
	now := d.timer.Now()
	s := Status{
		At:        now,
		ViewAgeMs: -1,
		InFlight:  d.inFlight.Load(),
		Fleet:     d.fleet.Status(),
		Members:   []MemberStatus{},
		Upstreams: d.aggregator.Snapshot(),
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

// Events returns the kept events with a number above after.
func (d *Daemon) Events(after uint64) []zlevent.Event {
	return d.events.After(after)
}

func (d *Daemon) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, d.Status())
}

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

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// noteUpstream records a change of an upstream's state.
func (d *Daemon) noteUpstream(c zladmission.Change) {
	d.events.Add(zlevent.Event{
		At:      c.At,
		Kind:    zlevent.KindUpstream,
		Subject: string(c.Upstream),
		Why:     string(c.From) + " to " + string(c.To) + ": " + string(c.Cause),
	})
}

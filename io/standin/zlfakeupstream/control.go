package zlfakeupstream

import (
	"encoding/json"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"zinnialock/core/process/zlunit"
)

// Load is the reply of GET /load.
type Load struct {
	// Load is the share of busy slots, from 0 to 1, or Settings.ReportedLoad.
	Load float64 `json:"load"`
}

// Runs is the reply of GET /control/runs.
type Runs struct {
	// Request is the id that was asked for.
	Request zlunit.RequestID `json:"request"`
	// Shards holds the number of runs of each shard that ran.
	Shards map[zlunit.Shard]int `json:"shards"`
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// loadSample is the share of busy slots from a point in time until the next
// sample.
type loadSample struct {
	at    time.Time
	value float64
}

// recordLoad appends a sample of the share of busy slots if the load endpoint
// lags; mu must be held.
func (u *Upstream) recordLoad() {
	if u.Settings.LoadLagMs <= 0 {
		u.loadSamples = nil
		return
	}
	u.loadSamples = append(u.loadSamples, loadSample{
		at:    time.Now(),
		value: u.busyShare(),
	})
	u.trimLoadSamples()
}

// busyShare returns the share of slots in use; mu must be held.
func (u *Upstream) busyShare() float64 {
	return float64(u.current.running) / float64(max(u.Settings.Slots, 1))
}

// trimLoadSamples drops the samples older than the one that is reported; mu must
// be held.
func (u *Upstream) trimLoadSamples() {
	lag := time.Duration(u.Settings.LoadLagMs * float64(time.Millisecond))
	for len(u.loadSamples) > 1 && time.Since(u.loadSamples[1].at) >= lag {
		u.loadSamples = u.loadSamples[1:]
	}
}

// Load returns the value that the load endpoint reports: ReportedLoad if set,
// otherwise the share of busy slots LoadLagMs ago, or 0 if no sample is that old.
func (u *Upstream) Load() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.Settings.ReportedLoad != 0 {
		return u.Settings.ReportedLoad
	}
	if u.Settings.LoadLagMs <= 0 {
		return u.busyShare()
	}
	u.trimLoadSamples()
	lag := time.Duration(u.Settings.LoadLagMs * float64(time.Millisecond))
	if len(u.loadSamples) == 0 || time.Since(u.loadSamples[0].at) < lag {
		return 0
	}
	return u.loadSamples[0].value
}

func (u *Upstream) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, Load{
		Load: u.Load(),
	})
}

func (u *Upstream) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, u.Counts())
}

func (u *Upstream) serveRuns(w http.ResponseWriter, r *http.Request) {
	id := zlunit.RequestID(r.URL.Query().Get("request"))
	writeJSON(w, Runs{
		Request: id,
		Shards:  u.Runs(id),
	})
}

// serveSettings updates the settings whose keys are in the JSON body; the others
// keep their values, and Name and Service never change.
func (u *Upstream) serveSettings(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	next := u.Settings
	next.Shards = maps.Clone(u.Settings.Shards)
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&next); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	next.Name = u.Settings.Name
	next.Service = u.Settings.Service
	u.Settings = next
}

// serveCold accepts the optional parameter restart=true.
func (u *Upstream) serveCold(_ http.ResponseWriter, r *http.Request) {
	u.GoCold(r.URL.Query().Get("restart") == "true")
}

func (u *Upstream) serveLeave(http.ResponseWriter, *http.Request) {
	u.Leave()
}

// serveLose requires ?version=N&shard=N.
func (u *Upstream) serveLose(w http.ResponseWriter, r *http.Request) {
	version, errVersion := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	shard, errShard := strconv.ParseUint(r.URL.Query().Get("shard"), 10, 32)
	if errVersion != nil || errShard != nil {
		http.Error(w, "version and shard must be numbers", http.StatusBadRequest)
		return
	}
	u.LoseShard(zlunit.IndexVersion(version), zlunit.Shard(shard))
}

// serveRepartition requires ?version=N&shards=N,N and accepts &drop=true.
func (u *Upstream) serveRepartition(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		http.Error(w, "version must be a number", http.StatusBadRequest)
		return
	}
	var held []zlunit.Shard
	for _, text := range strings.Split(r.URL.Query().Get("shards"), ",") {
		n, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			http.Error(w, "shards must be numbers joined by commas", http.StatusBadRequest)
			return
		}
		held = append(held, zlunit.Shard(n))
	}
	u.Repartition(zlunit.IndexVersion(version), held, r.URL.Query().Get("drop") == "true")
}

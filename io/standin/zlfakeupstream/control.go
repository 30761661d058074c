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

// Load is what the load endpoint reports.
type Load struct {
	Load float64 `json:"load"`
}

// Runs is how often the shards of a request ran.
type Runs struct {
	Request zlunit.RequestID     `json:"request"`
	Shards  map[zlunit.Shard]int `json:"shards"`
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// loadSample is the share of busy slots from a moment on.
type loadSample struct {
	at    time.Time
	value float64
}

// noteLoad records the share of busy slots; mu is held.
func (u *Upstream) noteLoad() {
	if u.Settings.LoadLagMs <= 0 {
		u.loads = nil
		return
	}
	u.loads = append(u.loads, loadSample{
		at:    time.Now(),
		value: u.load(),
	})
	u.trimLoads()
}

func (u *Upstream) load() float64 {
	return float64(u.life.running) / float64(max(u.Settings.Slots, 1))
}

// trimLoads drops all samples before the one that is reported; mu is held.
func (u *Upstream) trimLoads() {
	lag := time.Duration(u.Settings.LoadLagMs * float64(time.Millisecond))
	for len(u.loads) > 1 && time.Since(u.loads[1].at) >= lag {
		u.loads = u.loads[1:]
	}
}

// Load returns what the load endpoint reports.
func (u *Upstream) Load() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.Settings.ReportedLoad != 0 {
		return u.Settings.ReportedLoad
	}
	if u.Settings.LoadLagMs <= 0 {
		return u.load()
	}
	u.trimLoads()
	lag := time.Duration(u.Settings.LoadLagMs * float64(time.Millisecond))
	if len(u.loads) == 0 || time.Since(u.loads[0].at) < lag {
		return 0
	}
	return u.loads[0].value
}

func (u *Upstream) serveLoad(w http.ResponseWriter, _ *http.Request) {
	reply(w, Load{
		Load: u.Load(),
	})
}

func (u *Upstream) serveCounts(w http.ResponseWriter, _ *http.Request) {
	reply(w, u.Counts())
}

func (u *Upstream) serveRuns(w http.ResponseWriter, r *http.Request) {
	id := zlunit.RequestID(r.URL.Query().Get("request"))
	reply(w, Runs{
		Request: id,
		Shards:  u.Runs(id),
	})
}

// serveSettings takes a JSON object of the settings to change.
func (u *Upstream) serveSettings(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	next := u.Settings
	next.Shards = maps.Clone(u.Settings.Shards)
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxQuery))
	d.DisallowUnknownFields()
	if err := d.Decode(&next); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	next.Name = u.Settings.Name
	next.Service = u.Settings.Service
	u.Settings = next
}

func (u *Upstream) serveCold(_ http.ResponseWriter, r *http.Request) {
	u.GoCold(r.URL.Query().Get("restart") == "true")
}

func (u *Upstream) serveLeave(http.ResponseWriter, *http.Request) {
	u.Leave()
}

// serveLose takes ?version=N&shard=N.
func (u *Upstream) serveLose(w http.ResponseWriter, r *http.Request) {
	version, errVersion := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	shard, errShard := strconv.ParseUint(r.URL.Query().Get("shard"), 10, 32)
	if errVersion != nil || errShard != nil {
		http.Error(w, "version and shard must be numbers", http.StatusBadRequest)
		return
	}
	u.LoseShard(zlunit.IndexVersion(version), zlunit.Shard(shard))
}

// serveRepartition takes ?version=N&shards=N,N and optionally &drop=true.
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

// Package zlfakeupstream is a small stand-in for an upstream: shards of several
// index versions, slots, a connection cap, cold starts, shedding and draining.
// Its counts do not depend on what daemons report.
package zlfakeupstream

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/io/request/zlupcall"
	"zinnialock/io/standin/zlcorpus"

	"github.com/google/uuid"
)

// Settings is what an upstream is and what it suffers; all may change at run
// time but for Name and Service.
type Settings struct {
	Name        zlunit.Upstream    `json:"name"`
	Service     zlunit.Service     `json:"service"`
	Slots       zlunit.Slots       `json:"slots"`
	Connections zlunit.Connections `json:"connections"`
	ColdLimit   zlunit.Slots       `json:"coldLimit"`
	// ColdWork is how many requests warm it up.
	ColdWork int `json:"coldWork"`
	// ConnectMs is the cost of a new connection, in milliseconds.
	ConnectMs float64 `json:"connectMs"`
	// ServiceMs is the mean service time, in milliseconds.
	ServiceMs float64 `json:"serviceMs"`
	// StraggleShare is the share of requests that take StraggleTimes as long.
	StraggleShare float64 `json:"straggleShare"`
	StraggleTimes float64 `json:"straggleTimes"`
	// QueueLimit is how many requests wait for a slot before it sheds.
	QueueLimit int `json:"queueLimit"`
	// Shards lists the shards it holds, by index version.
	Shards map[zlunit.IndexVersion][]zlunit.Shard `json:"shards"`
	// Draining makes it refuse new work.
	Draining bool `json:"draining"`
	// ShedShare is the share of requests that it refuses.
	ShedShare float64 `json:"shedShare"`
	// PartCoverage, if not 0, is the coverage it answers with.
	PartCoverage zlunit.Coverage `json:"partCoverage"`
	// ReportedLoad is what its load endpoint says, whatever the truth.
	ReportedLoad float64 `json:"reportedLoad"`
}

// Counts is what an upstream saw since it was made.
type Counts struct {
	Received        int64        `json:"received"`
	Done            int64        `json:"done"`
	Shed            int64        `json:"shed"`
	Cancelled       int64        `json:"cancelled"`
	ColdPeak        int          `json:"coldPeak"`
	ColdLimit       zlunit.Slots `json:"coldLimit"`
	Peak            int          `json:"peak"`
	PeakConnections int          `json:"peakConnections"`
	RefusedConns    int64        `json:"refusedConnections"`
	AfterLeaving    int64        `json:"afterLeaving"`
	LastReceived    time.Time    `json:"lastReceived"`
	// LeftAt is when it was told to leave, or zero.
	LeftAt   time.Time                     `json:"leftAt,omitzero"`
	Versions map[zlunit.IndexVersion]int64 `json:"versions"`
	// Doubled lists non-idempotent requests that ran more than once.
	Doubled []zlunit.RequestID `json:"doubled,omitempty"`
}

// Upstream is the stand-in. Settings and Seed must be set before Run.
type Upstream struct {
	Settings Settings
	Seed     uint64
	// Address is where it listens; Run replaces a port of 0.
	Address string

	mu       sync.Mutex
	random   *rand.Rand
	process  zlunit.Process
	cold     int
	inFlight int
	running  int
	waiting  []chan struct{}
	leftAt   time.Time
	counts   Counts
	runs     map[runKey]int
	conns    map[net.Conn]bool
	server   *http.Server
	done     chan struct{}
}

type runKey struct {
	request zlunit.RequestID
	shard   zlunit.Shard
}

// Run listens and serves until Close; it returns once the listener is up.
func (u *Upstream) Run() error {
	listener, err := net.Listen("tcp", u.Address)
	if err != nil {
		return err
	}
	u.Address = listener.Addr().String()
	u.random = rand.New(rand.NewPCG(u.Seed, 1))
	u.runs = map[runKey]int{}
	u.conns = map[net.Conn]bool{}
	u.counts.Versions = map[zlunit.IndexVersion]int64{}
	u.done = make(chan struct{})
	u.GoCold(true)
	u.server = &http.Server{
		Handler:           u.handler(),
		ReadHeaderTimeout: time.Minute,
	}
	go func() {
		defer close(u.done)
		_ = u.server.Serve(&cappedListener{
			Listener: listener,
			upstream: u,
		})
	}()
	return nil
}

// Close stops it at once.
func (u *Upstream) Close() {
	_ = u.server.Close()
	<-u.done
}

func (u *Upstream) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+zlupcall.Path, u.serveQuery)
	mux.HandleFunc("GET /load", u.serveLoad)
	mux.HandleFunc("GET /control/counts", u.serveCounts)
	mux.HandleFunc("PUT /control/settings", u.serveSettings)
	mux.HandleFunc("POST /control/cold", u.serveCold)
	mux.HandleFunc("POST /control/leave", u.serveLeave)
	return mux
}

// GoCold makes it cold; restart also gives it a new process identity and
// breaks its connections.
func (u *Upstream) GoCold(restart bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cold = u.Settings.ColdWork
	if !restart {
		return
	}
	u.process = zlunit.Process(uuid.NewString())
	for c := range u.conns {
		_ = c.Close()
	}
}

// Leave makes it refuse and count work that arrives from now on.
func (u *Upstream) Leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.Settings.Draining = true
	u.leftAt = time.Now()
}

// Update changes the settings in place.
func (u *Upstream) Update(edit func(*Settings)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	edit(&u.Settings)
}

// Counts returns what it saw so far.
func (u *Upstream) Counts() Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := u.counts
	out.ColdLimit = u.Settings.ColdLimit
	out.LeftAt = u.leftAt
	out.Versions = map[zlunit.IndexVersion]int64{}
	for v, n := range u.counts.Versions {
		out.Versions[v] = n
	}
	return out
}

func (u *Upstream) serveQuery(w http.ResponseWriter, r *http.Request) {
	var q zlupcall.Query
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reason := u.arrive(&q)
	if reason != zlquery.ReasonNone {
		u.refuse(w, reason)
		return
	}
	defer u.leave()
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(q.DeadlineMs)*time.Millisecond)
	defer cancel()
	if !u.takeSlot(ctx) {
		u.refuse(w, zlquery.ReasonDeadline)
		return
	}
	if !u.work(ctx, &q) {
		return
	}
	u.answer(w, &q)
}

// arrive counts a request and decides whether it is taken.
func (u *Upstream) arrive(q *zlupcall.Query) zlquery.Reason {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts.Received++
	u.counts.LastReceived = time.Now()
	if !u.leftAt.IsZero() {
		u.counts.AfterLeaving++
	}
	if u.Settings.Draining {
		return zlquery.ReasonDraining
	}
	if u.random.Float64() < u.Settings.ShedShare || len(u.waiting) >= u.Settings.QueueLimit {
		u.counts.Shed++
		return zlquery.ReasonShed
	}
	held, ok := u.Settings.Shards[q.Version]
	if !ok {
		return zlquery.ReasonVersionGone
	}
	if !containsShard(held, q.Shard) {
		return zlquery.ReasonShardGone
	}
	u.inFlight++
	u.counts.Peak = max(u.counts.Peak, u.inFlight)
	if u.cold > 0 {
		u.counts.ColdPeak = max(u.counts.ColdPeak, u.inFlight)
	}
	return zlquery.ReasonNone
}

func containsShard(list []zlunit.Shard, s zlunit.Shard) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

func (u *Upstream) leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight--
}

// takeSlot waits for a slot, first come first served.
func (u *Upstream) takeSlot(ctx context.Context) bool {
	u.mu.Lock()
	if u.running < int(u.Settings.Slots) {
		u.running++
		u.mu.Unlock()
		return true
	}
	turn := make(chan struct{})
	u.waiting = append(u.waiting, turn)
	u.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for i, other := range u.waiting {
		if other == turn {
			u.waiting = append(u.waiting[:i], u.waiting[i+1:]...)
			return false
		}
	}
	u.passSlot()
	return false
}

// passSlot hands a slot to the next in line; mu is held.
func (u *Upstream) passSlot() {
	if len(u.waiting) == 0 {
		u.running--
		return
	}
	turn := u.waiting[0]
	u.waiting = u.waiting[1:]
	close(turn)
}

// work holds the slot for the service time and reports whether it finished.
func (u *Upstream) work(ctx context.Context, q *zlupcall.Query) bool {
	d := u.begin(q)
	timer := time.NewTimer(d)
	defer timer.Stop()
	finished := true
	select {
	case <-timer.C:
	case <-ctx.Done():
		finished = false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.passSlot()
	if !finished {
		u.counts.Cancelled++
		return false
	}
	u.counts.Done++
	u.counts.Versions[q.Version]++
	u.cold = max(u.cold-1, 0)
	return true
}

// coldTimes is how much longer a cold upstream takes.
const coldTimes = 3

// begin counts a run and draws its service time.
func (u *Upstream) begin(q *zlupcall.Query) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !q.Idempotent {
		k := runKey{
			request: q.RequestID,
			shard:   q.Shard,
		}
		u.runs[k]++
		if u.runs[k] == 2 {
			u.counts.Doubled = append(u.counts.Doubled, q.RequestID)
		}
	}
	ms := u.Settings.ServiceMs * (0.5 + u.random.Float64())
	if u.random.Float64() < u.Settings.StraggleShare {
		ms *= u.Settings.StraggleTimes
	}
	if u.cold > 0 {
		ms *= coldTimes
	}
	return time.Duration(ms * float64(time.Millisecond))
}

func (u *Upstream) answer(w http.ResponseWriter, q *zlupcall.Query) {
	u.mu.Lock()
	rows := zlupcall.Rows{
		QueryID:  q.QueryID,
		Upstream: u.Settings.Name,
		Process:  u.process,
		Shard:    q.Shard,
		Version:  q.Version,
		Coverage: 1,
		Rows:     zlcorpus.Rows(u.Settings.Service, q.Version, q.Shard, q.Text),
	}
	if u.Settings.PartCoverage > 0 {
		rows.Coverage = u.Settings.PartCoverage
	}
	u.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(rows)
}

func (u *Upstream) refuse(w http.ResponseWriter, reason zlquery.Reason) {
	u.mu.Lock()
	process := u.process
	u.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(zlupcall.Refusal{
		Reason:  reason,
		Process: process,
	})
}

// Package zlfakeupstream is a small stand-in for an upstream: shards of several
// index versions, slots, a connection cap, cold starts, shedding and draining.
// Its counts do not depend on what daemons report.
package zlfakeupstream

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/io/request/zlupcall"

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
	// ReportedLoad, if not 0, is what its load endpoint says, whatever the
	// truth.
	ReportedLoad float64 `json:"reportedLoad"`
	// LoadLagMs is how old the load is that its load endpoint says.
	LoadLagMs float64 `json:"loadLagMs"`
	// Anonymous keeps its process identity out of its replies.
	Anonymous bool `json:"anonymous"`
}

// Counts is what an upstream saw since it was made.
type Counts struct {
	Received  int64 `json:"received"`
	Done      int64 `json:"done"`
	Shed      int64 `json:"shed"`
	Cancelled int64 `json:"cancelled"`
	// ColdPeak is the largest number in flight when a request arrived while
	// cold.
	ColdPeak        int          `json:"coldPeak"`
	ColdLimit       zlunit.Slots `json:"coldLimit"`
	Peak            int          `json:"peak"`
	PeakConnections int          `json:"peakConnections"`
	Connects        int64        `json:"connects"`
	RefusedConns    int64        `json:"refusedConnections"`
	Restarts        int64        `json:"restarts"`
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

	mu     sync.Mutex
	random *rand.Rand
	life   *life
	cold   int
	leftAt time.Time
	counts Counts
	runs   runs
	loads  []loadSample
	server *http.Server
	done   chan struct{}
}

// life is what a restart ends: work and connections of one process.
type life struct {
	process  zlunit.Process
	inFlight int
	running  int
	waiting  []chan struct{}
	conns    map[*countedConn]bool
}

type connKey struct{}

// Run listens and serves until Close; it returns once the listener is up.
func (u *Upstream) Run() error {
	listener, err := net.Listen("tcp", u.Address)
	if err != nil {
		return err
	}
	u.Address = listener.Addr().String()
	u.random = rand.New(rand.NewPCG(u.Seed, 1))
	u.counts.Versions = map[zlunit.IndexVersion]int64{}
	u.done = make(chan struct{})
	u.cold = u.Settings.ColdWork
	u.life = newLife()
	u.server = &http.Server{
		Handler:           u.handler(),
		ReadHeaderTimeout: time.Minute,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
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

func newLife() *life {
	return &life{
		process: zlunit.Process(uuid.NewString()),
		conns:   map[*countedConn]bool{},
	}
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
	mux.HandleFunc("GET /control/runs", u.serveRuns)
	mux.HandleFunc("POST /control/runs", u.serveRunsOf)
	mux.HandleFunc("PUT /control/settings", u.serveSettings)
	mux.HandleFunc("POST /control/cold", u.serveCold)
	mux.HandleFunc("POST /control/leave", u.serveLeave)
	mux.HandleFunc("POST /control/lose", u.serveLose)
	mux.HandleFunc("POST /control/repartition", u.serveRepartition)
	return mux
}

// GoCold makes it cold; restart also gives it a new process identity, breaks
// its connections and ends what ran on them.
func (u *Upstream) GoCold(restart bool) {
	u.mu.Lock()
	u.cold = u.Settings.ColdWork
	if !restart {
		u.mu.Unlock()
		return
	}
	old := u.life
	u.life = newLife()
	u.counts.Restarts++
	conns := make([]*countedConn, 0, len(old.conns))
	for c := range old.conns {
		conns = append(conns, c)
	}
	u.mu.Unlock()
	for _, c := range conns {
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

// Return ends a Leave as a restart does: it takes work again, cold.
func (u *Upstream) Return() {
	u.mu.Lock()
	u.Settings.Draining = false
	u.leftAt = time.Time{}
	u.mu.Unlock()
	u.GoCold(true)
}

// Update changes the settings in place.
func (u *Upstream) Update(edit func(*Settings)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	edit(&u.Settings)
}

// LoseShard makes it no longer hold a shard of a version, or, if it was the
// last one, the version.
func (u *Upstream) LoseShard(version zlunit.IndexVersion, shard zlunit.Shard) {
	u.mu.Lock()
	defer u.mu.Unlock()
	shards := maps.Clone(u.Settings.Shards)
	var kept []zlunit.Shard
	for _, s := range shards[version] {
		if s != shard {
			kept = append(kept, s)
		}
	}
	shards[version] = kept
	if len(kept) == 0 {
		delete(shards, version)
	}
	u.Settings.Shards = shards
}

// Repartition makes it hold shards of a further version. Only that one stays
// if drop is set.
func (u *Upstream) Repartition(version zlunit.IndexVersion, held []zlunit.Shard, drop bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	shards := map[zlunit.IndexVersion][]zlunit.Shard{}
	if !drop {
		maps.Copy(shards, u.Settings.Shards)
	}
	shards[version] = held
	u.Settings.Shards = shards
}

// Counts returns what it saw so far.
func (u *Upstream) Counts() Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := u.counts
	out.ColdLimit = u.Settings.ColdLimit
	out.LeftAt = u.leftAt
	out.Versions = maps.Clone(u.counts.Versions)
	return out
}

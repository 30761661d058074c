// Package zlfakeupstream simulates an upstream for tests and demos: it serves
// queries over HTTP for shards of several index versions, with slots, a queue, a
// connection limit, cold starts, shedding and draining. Its control endpoints
// change the settings and report counts that are independent of what daemons
// report. The rows are made up; it is no search engine.
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
	"zinnialock/io/request/zlupstreamclient"

	"github.com/google/uuid"
)

// Settings holds the properties and the faults of an upstream. All but Name and
// Service may change at run time.
type Settings struct {
	// Name is the name of the upstream in its replies.
	Name zlunit.Upstream `json:"name"`
	// Service is the service whose rows it returns.
	Service zlunit.Service `json:"service"`
	// Slots is the number of queries that run at the same time.
	Slots zlunit.Slots `json:"slots"`
	// Connections is the largest number of open connections; further ones are
	// closed at once.
	Connections zlunit.Connections `json:"connections"`
	// ColdLimit is the number of requests that daemons may have in flight here
	// while it is cold. It is not enforced, only repeated in Counts.
	ColdLimit zlunit.Slots `json:"coldLimit"`
	// ColdWork is the number of finished requests after which it is warm.
	ColdWork int `json:"coldWork"`
	// ConnectMs delays the first read of a new connection, in milliseconds.
	ConnectMs float64 `json:"connectMs"`
	// ServiceMs is the mean service time, in milliseconds.
	ServiceMs float64 `json:"serviceMs"`
	// StraggleShare is the share of requests that are stragglers, from 0 to 1.
	StraggleShare float64 `json:"straggleShare"`
	// StragglerSlowdown multiplies the service time of a straggler.
	StragglerSlowdown float64 `json:"straggleTimes"`
	// QueueLimit is the number of requests that may wait for a slot; further ones
	// are shed.
	QueueLimit int `json:"queueLimit"`
	// Shards lists the shards it holds, by index version.
	Shards map[zlunit.IndexVersion][]zlunit.Shard `json:"shards"`
	// Draining makes it refuse new requests.
	Draining bool `json:"draining"`
	// ShedShare is the share of requests that it sheds at random, from 0 to 1.
	ShedShare float64 `json:"shedShare"`
	// PartCoverage is the coverage in its replies; 0 means full coverage.
	PartCoverage zlunit.Coverage `json:"partCoverage"`
	// ReportedLoad, if not 0, replaces the true load in the load endpoint.
	ReportedLoad float64 `json:"reportedLoad"`
	// LoadLagMs is the age of the load in the load endpoint, in milliseconds.
	LoadLagMs float64 `json:"loadLagMs"`
	// Anonymous leaves the process id out of its replies.
	Anonymous bool `json:"anonymous"`
}

// Counts holds what an upstream counted since Run, across restarts.
type Counts struct {
	// Received is the number of requests, refused ones included.
	Received int64 `json:"received"`
	// Done is the number of requests that finished.
	Done int64 `json:"done"`
	// Shed is the number of requests refused because of the queue limit or
	// ShedShare.
	Shed int64 `json:"shed"`
	// Cancelled is the number of requests that ended while they ran, by the
	// caller or their deadline.
	Cancelled int64 `json:"cancelled"`
	// ColdPeak is the largest number of requests in flight when one arrived
	// while it was cold.
	ColdPeak int `json:"coldPeak"`
	// ColdLimit is Settings.ColdLimit, for comparison with ColdPeak.
	ColdLimit zlunit.Slots `json:"coldLimit"`
	// Peak is the largest number of requests in flight.
	Peak int `json:"peak"`
	// PeakConnections is the largest number of open connections.
	PeakConnections int `json:"peakConnections"`
	// Connects is the number of accepted connections.
	Connects int64 `json:"connects"`
	// RefusedConns is the number of connections closed because of the limit.
	RefusedConns int64 `json:"refusedConnections"`
	// Restarts is the number of restarts.
	Restarts int64 `json:"restarts"`
	// AfterLeaving is the number of requests that arrived after Leave.
	AfterLeaving int64 `json:"afterLeaving"`
	// LastReceived is when the last request arrived.
	LastReceived time.Time `json:"lastReceived"`
	// LeftAt is when Leave was called; zero if it has not left.
	LeftAt time.Time `json:"leftAt,omitzero"`
	// Versions is the number of finished requests by index version.
	Versions map[zlunit.IndexVersion]int64 `json:"versions"`
	// RepeatedRuns lists non-idempotent requests of which a shard ran more than once.
	RepeatedRuns []zlunit.RequestID `json:"doubled,omitempty"`
}

// Upstream is a simulated upstream. The exported fields must be set before Run;
// after it the methods may be called concurrently and Settings changes by Update
// only.
type Upstream struct {
	// Settings holds its properties and faults.
	Settings Settings
	// Seed seeds the random service times, stragglers and shedding.
	Seed uint64
	// Address is the TCP address to listen on; Run replaces a port of 0.
	Address string

	mu      sync.Mutex
	random  *rand.Rand
	current *incarnation
	// coldWorkLeft is the number of requests until it is warm.
	coldWorkLeft int
	leftAt       time.Time
	counts       Counts
	runs         runCounter
	loadSamples  []loadSample
	server       *http.Server
	done         chan struct{}
}

// incarnation is one start of the simulated process, with the requests and
// connections that a restart ends.
type incarnation struct {
	process  zlunit.Process
	inFlight int
	running  int
	// waiting holds the requests that wait for a slot, in order of arrival.
	waiting []chan struct{}
	conns   map[*countedConn]bool
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// Run starts to listen and to serve, and returns; Close ends both. It fails if
// the address is not available.
func (u *Upstream) Run() error {
	listener, err := net.Listen("tcp", u.Address)
	if err != nil {
		return err
	}
	u.Address = listener.Addr().String()
	u.random = rand.New(rand.NewPCG(u.Seed, 1))
	u.counts.Versions = map[zlunit.IndexVersion]int64{}
	u.done = make(chan struct{})
	u.coldWorkLeft = u.Settings.ColdWork
	u.current = newIncarnation()
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

func newIncarnation() *incarnation {
	return &incarnation{
		process: zlunit.Process(uuid.NewString()),
		conns:   map[*countedConn]bool{},
	}
}

// Close stops it at once and breaks its connections. Run must have succeeded.
func (u *Upstream) Close() {
	_ = u.server.Close()
	<-u.done
}

func (u *Upstream) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+zlupstreamclient.Path, u.serveQuery)
	mux.HandleFunc("GET /load", u.serveLoad)
	mux.HandleFunc("GET /control/counts", u.serveCounts)
	mux.HandleFunc("GET /control/runs", u.serveRuns)
	mux.HandleFunc("POST /control/runs", u.serveRunsByID)
	mux.HandleFunc("PUT /control/settings", u.serveSettings)
	mux.HandleFunc("POST /control/cold", u.serveCold)
	mux.HandleFunc("POST /control/leave", u.serveLeave)
	mux.HandleFunc("POST /control/lose", u.serveLose)
	mux.HandleFunc("POST /control/repartition", u.serveRepartition)
	return mux
}

// GoCold makes it cold. With restart it also gets a new process id, and its
// connections break with the requests on them.
func (u *Upstream) GoCold(restart bool) {
	u.mu.Lock()
	u.coldWorkLeft = u.Settings.ColdWork
	if !restart {
		u.mu.Unlock()
		return
	}
	old := u.current
	u.current = newIncarnation()
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

// Leave makes it refuse requests and count those that still arrive.
func (u *Upstream) Leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.Settings.Draining = true
	u.leftAt = time.Now()
}

// Return ends a Leave by a restart: it accepts requests again and is cold.
func (u *Upstream) Return() {
	u.mu.Lock()
	u.Settings.Draining = false
	u.leftAt = time.Time{}
	u.mu.Unlock()
	u.GoCold(true)
}

// Update runs edit on the settings under the lock.
func (u *Upstream) Update(edit func(*Settings)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	edit(&u.Settings)
}

// LoseShard drops a shard of a version, and the version with its last shard.
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

// Repartition adds a version with its shards. With drop, all other versions are
// removed.
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

// Counts returns a copy of the counts so far.
func (u *Upstream) Counts() Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := u.counts
	out.ColdLimit = u.Settings.ColdLimit
	out.LeftAt = u.leftAt
	out.Versions = maps.Clone(u.counts.Versions)
	return out
}

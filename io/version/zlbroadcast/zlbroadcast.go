// Package zlbroadcast exchanges updates of the platform's store and health reports
// between the relay's VMs of a data centre, and reports of requests that crash replicas
// and of roll-outs between all its VMs; its counterpart in zinnialock serve is
// zlgossip. Heartbeats and small updates travel as UDP datagrams, which avoid
// connections between all VMs: a heartbeat is outdated within seconds, and the next
// one replaces a lost one. An update that is too large or was lost is fetched over
// TCP. The package isn't for messages that must arrive.
package zlbroadcast

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"zinnialock/core/connection/zlreadbudget"
	"zinnialock/core/process/zlbalancer"
	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlquarantine"
	"zinnialock/core/process/zlsharedrate"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlpoller"
	"zinnialock/core/version/zlrollout"
	"zinnialock/core/version/zlwatcher"
	"zinnialock/io/connection/zlconnlimit"
)

const (
	// heartbeatPeriod is the time between heartbeats of a VM that polls the
	// store: a third of the shortest validity of a confirmation.
	heartbeatPeriod = 250 * time.Millisecond
	// maxConfirmationAge is the age past which a confirmation by the store is no
	// longer sent to other VMs.
	maxConfirmationAge = 2 * time.Second
	// maxDatagramBytes is the size that fits a datagram without IP fragmentation.
	maxDatagramBytes = 1200
	// healthReportPeriod is the time between health reports: a third of their
	// validity. Each period is lengthened by up to the share healthReportJitter.
	healthReportPeriod = 500 * time.Millisecond
	healthReportJitter = 0.2
	// fetchTimeout bounds a fetch: 200 KB take 0.8 s over a link of 20 Mbit/s
	// that is shared with ten others.
	fetchTimeout = 1500 * time.Millisecond
	// maxFetchBytes bounds the response to a fetch, and maxHeadBytes the head of a
	// request or response.
	maxFetchBytes = 8 << 20
	maxHeadBytes  = 16 << 10
	// fetchPath is the path of a fetch; the number of the topic follows it.
	fetchPath = "/news/"
	// idlePeerTimeout is how long an idle connection to another VM is kept.
	idlePeerTimeout = 90 * time.Second
	// peerConnIdleTime is how long an idle connection of another VM is kept: it closes the
	// connection itself before that, since its request would be lost otherwise.
	peerConnIdleTime = 2 * time.Minute
	// peerHeadBudget bounds the bytes of all incomplete heads of other VMs, which are short.
	peerHeadBudget = 1 << 20
	// minFetchPause is the shortest pause after a fetch.
	minFetchPause = 30 * time.Millisecond
)

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// KindListen means that the address can't be bound.
	KindListen Kind = "listen"
	// KindFetch means that a fetch from another VM failed.
	KindFetch Kind = "fetch"
)

// Error is the error of this package. Op is the operation, or the address of
// the other VM for KindFetch; Err is the cause.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("zlbroadcast: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Broadcaster sends and receives messages at Address, over UDP and TCP. The exported
// fields must be set before Open; HealthReports, OnHealthReports and Sink may be nil.
type Broadcaster struct {
	// Address is the host and port to listen on, the same for UDP and TCP.
	Address string
	// VM is the name of this VM, the sender of its messages.
	VM    zlunit.VM
	Timer *zltimer.Service
	// PollPolicy knows the other VMs and decides which of them forward a message.
	PollPolicy *zlpoller.Policy
	// Watcher supplies the updates for other VMs and applies theirs.
	Watcher *zlwatcher.Watcher
	// Sink records failures of this package.
	Sink zldecision.Sink
	// HealthReports returns the health reports to send to the other VMs.
	HealthReports func() []zlbalancer.HealthReport
	// OnHealthReports is called with the health reports of another VM.
	OnHealthReports func(vm zlunit.VM, list []zlbalancer.HealthReport)
	// ShortServices returns the services to report to the other VMs as short of places, and
	// OnShortServices is called with those that another VM reports; both may be nil.
	ShortServices   func() []zlunit.Service
	OnShortServices func(list []zlunit.Service)
	// Quarantine holds what the VMs tell each other of requests that crash replicas; nil
	// if they don't.
	Quarantine *zlquarantine.Ledger
	// OnRolloutReport is called with each report on roll-outs of another VM; may be nil.
	OnRolloutReport func(report *zlrollout.Report)
	// OnRate takes the messages on shared rates; nil drops them.
	OnRate func(from zlsharedrate.Member, m *zlsharedrate.Message)
	// OnPeer is called with the sender of each heartbeat or health report and the address
	// that it came from, which is another VM's if that one forwarded it; may be nil.
	OnPeer func(from zlsharedrate.Member)
	// Handlers serve further requests of other VMs, by path.
	Handlers map[string]http.Handler
	// MaxConns limits the number of connections of other VMs; 0 means no limit.
	MaxConns int
	// Replies limits the bytes of all replies to fetches that are being sent; nil means no limit.
	Replies *zlreadbudget.Budget
	// OnClose is called for each connection of another VM that is closed for a limit; may be
	// nil.
	OnClose func(zlconnlimit.Cause)
	// Done ends Run when it is closed.
	Done <-chan struct{}

	// crashReports holds the reports to send.
	crashReports chan *zlquarantine.Report

	socket   *net.UDPConn
	listener net.Listener
	client   *http.Client
	// fetchSources holds the address of a VM that has a later revision.
	fetchSources chan string
	sequence     atomic.Uint32
	// rateBytes counts the bytes of messages on shared rates.
	rateBytes atomic.Int64
	// heartbeats counts those sent without an update.
	heartbeats atomic.Uint32
	// replies holds the replies to fetches, by topic.
	replies [zlwatcher.NumTopics]replyCache
	mu      sync.Mutex
	// peerAddrs caches resolved addresses.
	peerAddrs map[string]*net.UDPAddr
}

// Open binds the address for UDP and TCP; its error is an *Error.
func (b *Broadcaster) Open() error {
	addr, err := net.ResolveUDPAddr("udp4", b.Address)
	if err != nil {
		return &Error{
			Op:   "open",
			Kind: KindListen,
			Err:  err,
		}
	}
	if b.socket, err = net.ListenUDP("udp4", addr); err != nil {
		return &Error{
			Op:   "open",
			Kind: KindListen,
			Err:  err,
		}
	}
	if b.listener, err = net.Listen("tcp", b.Address); err != nil {
		_ = b.socket.Close()
		return &Error{
			Op:   "open",
			Kind: KindListen,
			Err:  err,
		}
	}
	b.fetchSources = make(chan string, 1)
	b.crashReports = make(chan *zlquarantine.Report, maxCrashReports)
	b.peerAddrs = map[string]*net.UDPAddr{}
	b.client = &http.Client{
		Timeout: fetchTimeout,
		Transport: &http.Transport{
			IdleConnTimeout:        idlePeerTimeout,
			MaxResponseHeaderBytes: maxHeadBytes,
		},
	}
	return nil
}

// Run sends heartbeats and handles messages until Done is closed. It must be
// called once, after Open.
func (b *Broadcaster) Run() {
	mux := http.NewServeMux()
	mux.HandleFunc("/", b.serveFetch)
	for path, h := range b.Handlers {
		mux.Handle(path, h)
	}
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: fetchTimeout,
	}
	limiter := &zlconnlimit.Limiter{
		Limits:   peerLimits,
		MaxConns: b.MaxConns,
		Heads: &zlreadbudget.Budget{
			Limit: peerHeadBudget,
		},
		OnClose: b.OnClose,
	}
	limiter.Apply(server)
	listener := limiter.Listen(b.listener)
	var group sync.WaitGroup
	group.Go(b.receive)
	group.Go(b.runFetches)
	group.Go(func() {
		if err := server.Serve(listener); err != nil && !b.closed() {
			b.recordFailure(err)
		}
	})
	group.Go(func() {
		b.Timer.Subscribe(b.Done, heartbeatPeriod, 0, func() {
			b.sendHeartbeat(0, nil)
		})
	})
	if b.Quarantine != nil {
		group.Go(b.runCrashReports)
		group.Go(b.learnQuarantine)
	}
	if b.HealthReports != nil {
		group.Go(func() {
			b.Timer.Subscribe(b.Done, healthReportPeriod, healthReportJitter, b.sendHealthReports)
		})
	}
	<-b.Done
	_ = b.socket.Close()
	_ = server.Close()
	b.client.CloseIdleConnections()
	group.Wait()
}

func peerLimits() zlconnlimit.Limits {
	return zlconnlimit.Limits{
		HeadTime:  fetchTimeout,
		IdleTime:  peerConnIdleTime,
		HeadBytes: maxHeadBytes + zlconnlimit.HeadSlack,
	}
}

func (b *Broadcaster) closed() bool {
	select {
	case <-b.Done:
		return true
	default:
		return false
	}
}

func (b *Broadcaster) recordFailure(err error) {
	if b.Sink != nil {
		b.Sink.Record(&zldecision.Dependency{
			Name:  "cast",
			State: "failed",
			Why:   err.Error(),
		})
	}
}

// Package zlfakeplatform simulates the platform's object API for tests and demos:
// versioned objects with conditional updates, watches and a list of VMs that lags.
// Its control endpoints make it unavailable or slow, or make it lose replies to
// writes that took effect. All data is in memory.
package zlfakeplatform

import (
	"net/http"
	"sync"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/io/process/zlplatform"

	"golang.org/x/time/rate"
)

// Faults are the failures that the platform simulates; the zero value is none.
type Faults struct {
	// Down makes every call of the object API fail with status 503.
	Down bool `json:"down"`
	// SlowMs delays every call of the object API, in milliseconds.
	SlowMs int64 `json:"slowMs"`
	// LoseReplies is the share of writes that get no reply although they are
	// processed, from 0 to 1.
	LoseReplies float64 `json:"loseReplies"`
}

// VM is an entry of the platform's list of VMs.
type VM struct {
	// Name is the name of the VM.
	Name zlunit.VM `json:"name"`
	// DataCentre is where the VM is.
	DataCentre zlunit.DataCentre `json:"dataCentre"`
	// Leaving says that the VM is about to be removed.
	Leaving bool `json:"leaving"`
}

// Counts holds the number of calls of the object API since the start. Calls that
// fail because the platform is down are not counted.
type Counts struct {
	// Reads is the number of reads within the rate, watches included.
	Reads int64 `json:"reads"`
	// Writes is the number of writes within the rate, also those that conflict.
	Writes int64 `json:"writes"`
	// Watches is the number of watches.
	Watches int64 `json:"watches"`
	// Refused is the number of reads and writes over the rate.
	Refused int64 `json:"refused"`
	// LostAcks is the number of writes whose reply was lost.
	LostAcks int64 `json:"lostAcks"`
}

const (
	// maxValueBytes bounds the value of an object.
	maxValueBytes = 1 << 20
	// maxWatchWait bounds the duration of a watch.
	maxWatchWait = time.Minute
)

// key identifies an object.
type key struct {
	kind zlplatform.ObjectKind
	name string
}

// timedVMList is a list of VMs and the time at which it was set.
type timedVMList struct {
	at  time.Time
	vms []VM
}

// Platform is a simulated platform. The exported fields must be set before the
// first call of a method; after it all methods may be called concurrently.
type Platform struct {
	// ReadsPerSecond is the rate limit of reads; 0 means no limit.
	ReadsPerSecond float64
	// WritesPerSecond is the rate limit of writes; 0 means no limit.
	WritesPerSecond float64
	// VMLag is the delay after which a change of the list of VMs is visible.
	VMLag time.Duration

	once    sync.Once
	reads   *rate.Limiter
	writes  *rate.Limiter
	mu      sync.Mutex
	objects map[key]zlplatform.Object
	// revision is the version of the last change.
	revision zlunit.ObjectVersion
	// changed is closed and replaced when an object or the faults change.
	changed chan struct{}
	faults  Faults
	counts  Counts
	// vmListHistory holds all lists of VMs, oldest first. GET /vms returns an older
	// one until the newest was set at least VMLag ago.
	vmListHistory []timedVMList
	// accumulatedReplyLoss grows by Faults.LoseReplies at each write. When it reaches
	// 1, the reply is dropped and 1 is subtracted.
	accumulatedReplyLoss float64
}

func (p *Platform) init() {
	p.once.Do(func() {
		p.objects = map[key]zlplatform.Object{}
		p.changed = make(chan struct{})
		p.reads = newLimiter(p.ReadsPerSecond)
		p.writes = newLimiter(p.WritesPerSecond)
	})
}

// newLimiter returns a limiter with a burst of about one second's calls; a rate of
// 0 means no limit.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond)+1)
}

// Handler returns the handler of the object API and of the control endpoints.
func (p *Platform) Handler() http.Handler {
	p.init()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{kind}/{name}", p.read(p.getObject))
	mux.HandleFunc("GET /objects/{kind}", p.read(p.listObjects))
	mux.HandleFunc("PUT /objects/{kind}/{name}", p.write(p.putObject))
	mux.HandleFunc("DELETE /objects/{kind}/{name}", p.write(p.deleteObject))
	mux.HandleFunc("GET /watch", p.read(p.watch))
	mux.HandleFunc("GET /vms", p.read(p.listVMs))
	mux.HandleFunc("PUT /control/faults", p.setFaults)
	mux.HandleFunc("GET /control/faults", p.getFaults)
	mux.HandleFunc("PUT /control/vms", p.setVMs)
	mux.HandleFunc("GET /control/counts", p.getCounts)
	return mux
}

// SetFaults replaces the simulated faults. It also wakes the waiting watches.
func (p *Platform) SetFaults(f Faults) {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	// Wakes the waiting watches, so that they see the new faults.
	close(p.changed)
	p.changed = make(chan struct{})
}

// Faults returns the current faults.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Counts returns the counts so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// read wraps the handler of a read with the faults, the rate limit and the count.
func (p *Platform) read(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if p.rejectCall(w, r, p.reads) {
			return
		}
		p.mu.Lock()
		p.counts.Reads++
		p.mu.Unlock()
		next(w, r)
	}
}

// rejectCall applies the faults and the rate limit and reports whether the call is
// over: refused, or cancelled by the client.
func (p *Platform) rejectCall(w http.ResponseWriter, r *http.Request, l *rate.Limiter) bool {
	if slow := p.Faults().SlowMs; slow > 0 {
		select {
		case <-time.After(time.Duration(slow) * time.Millisecond):
		case <-r.Context().Done():
			return true
		}
	}
	if p.Faults().Down {
		writeUnavailable(w)
		return true
	}
	if !l.Allow() {
		p.mu.Lock()
		p.counts.Refused++
		p.mu.Unlock()
		http.Error(w, "rate exceeded", http.StatusTooManyRequests)
		return true
	}
	return false
}

func writeUnavailable(w http.ResponseWriter) {
	http.Error(w, "platform is down", http.StatusServiceUnavailable)
}

// write wraps the handler of a write with the faults, the rate limit and the
// count. A reply that is to be lost is discarded and the connection broken.
func (p *Platform) write(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if p.rejectCall(w, r, p.writes) {
			return
		}
		p.mu.Lock()
		p.counts.Writes++
		p.accumulatedReplyLoss += p.faults.LoseReplies
		loseReply := p.accumulatedReplyLoss >= 1
		if loseReply {
			p.accumulatedReplyLoss--
			p.counts.LostAcks++
		}
		p.mu.Unlock()
		if !loseReply {
			next(w, r)
			return
		}
		next(discardWriter{}, r)
		panic(http.ErrAbortHandler)
	}
}

// discardWriter is a response writer that drops the reply.
type discardWriter struct{}

func (discardWriter) Header() http.Header            { return http.Header{} }
func (discardWriter) Write(data []byte) (int, error) { return len(data), nil }
func (discardWriter) WriteHeader(int)                {}

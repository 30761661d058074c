// Package zlfakeplatform is a small stand-in for the platform's object API:
// objects with versions, conditional updates, watches and a lagging list of
// VMs. It can be told to be down, slow, or to lose replies.
package zlfakeplatform

import (
	"net/http"
	"sync"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/io/process/zlplatform"

	"golang.org/x/time/rate"
)

// Faults is what the platform is told to suffer.
type Faults struct {
	// Down makes every call fail at once.
	Down bool `json:"down"`
	// SlowMs delays every call, in milliseconds.
	SlowMs int64 `json:"slowMs"`
	// LoseReplies is the share of writes whose reply is lost after they took
	// effect, from 0 to 1.
	LoseReplies float64 `json:"loseReplies"`
}

// VM is an entry of the platform's list of VMs.
type VM struct {
	Name       zlunit.VM         `json:"name"`
	DataCentre zlunit.DataCentre `json:"dataCentre"`
	Leaving    bool              `json:"leaving"`
}

// Counts is what the platform saw.
type Counts struct {
	Reads    int64 `json:"reads"`
	Writes   int64 `json:"writes"`
	Watches  int64 `json:"watches"`
	Refused  int64 `json:"refused"`
	LostAcks int64 `json:"lostAcks"`
}

const (
	// maxValue bounds an object's value, in bytes.
	maxValue = 1 << 20
	// maxWait bounds a watch.
	maxWait = time.Minute
)

type key struct {
	kind zlplatform.ObjectKind
	name string
}

type listedVMs struct {
	at  time.Time
	vms []VM
}

// Platform is the stand-in. Rates and VMLag may be set before Handler is used.
type Platform struct {
	// ReadsPerSecond and WritesPerSecond are its rates; 0 means no limit.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// VMLag is how old the list of VMs is.
	VMLag time.Duration

	once    sync.Once
	reads   *rate.Limiter
	writes  *rate.Limiter
	mu      sync.Mutex
	objects map[key]zlplatform.Object
	rev     zlunit.ObjectVersion
	changed chan struct{}
	faults  Faults
	counts  Counts
	lists   []listedVMs
	lost    float64
}

func (p *Platform) init() {
	p.once.Do(func() {
		p.objects = map[key]zlplatform.Object{}
		p.changed = make(chan struct{})
		p.reads = limiter(p.ReadsPerSecond)
		p.writes = limiter(p.WritesPerSecond)
	})
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond)+1)
}

// Handler serves the object API and the stand-in's own controls.
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

// SetFaults tells the platform what to suffer from now on.
func (p *Platform) SetFaults(f Faults) {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	// Waiting watches look at the faults again.
	close(p.changed)
	p.changed = make(chan struct{})
}

// Faults returns what the platform suffers now.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Counts returns what the platform saw so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

func (p *Platform) read(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if p.suffer(w, r, p.reads) {
			return
		}
		p.mu.Lock()
		p.counts.Reads++
		p.mu.Unlock()
		next(w, r)
	}
}

// suffer applies the faults and rates, and reports whether the call ended.
func (p *Platform) suffer(w http.ResponseWriter, r *http.Request, l *rate.Limiter) bool {
	if slow := p.Faults().SlowMs; slow > 0 {
		select {
		case <-time.After(time.Duration(slow) * time.Millisecond):
		case <-r.Context().Done():
			return true
		}
	}
	if p.Faults().Down {
		refuseDown(w)
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

func refuseDown(w http.ResponseWriter) {
	http.Error(w, "platform is down", http.StatusServiceUnavailable)
}

func (p *Platform) write(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if p.suffer(w, r, p.writes) {
			return
		}
		p.mu.Lock()
		p.counts.Writes++
		p.lost += p.faults.LoseReplies
		lose := p.lost >= 1
		if lose {
			p.lost--
			p.counts.LostAcks++
		}
		p.mu.Unlock()
		if !lose {
			next(w, r)
			return
		}
		next(discard{}, r)
		panic(http.ErrAbortHandler)
	}
}

// discard swallows a reply that is to be lost.
type discard struct{}

func (discard) Header() http.Header            { return http.Header{} }
func (discard) Write(data []byte) (int, error) { return len(data), nil }
func (discard) WriteHeader(int)                {}

package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// run is a request that a replica began to work on.
type run struct {
	at      time.Time
	id      string
	method  string
	target  string
	body    string
	service string
	replica string
	zone    string
	tenant  string
	key     string
}

// ledger holds all runs.
type ledger struct {
	mu   sync.Mutex
	runs []run
}

func (l *ledger) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

func (l *ledger) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs...)
}

// replica is a stand-in of a replica.
type replica struct {
	id      string
	service string
	zone    string
	slots   int
	work    time.Duration
	store   *store
	ledger  *ledger
	rec     *record
	// coldUntil is the end of its cold time.
	coldUntil time.Time

	// misbehave may take over a request that runs; it reports whether it did.
	misbehave func(r *replica, w http.ResponseWriter, req *http.Request, id string, body []byte) bool

	addr     string
	server   *http.Server
	running  atomic.Int64
	places   chan struct{}
	mu       sync.Mutex
	seq      int
	said     string
	draining bool
	ended    chan struct{}
}

const (
	heartbeat = 1200 * time.Millisecond
	queue     = 18
)

// start listens and registers the replica.
func (r *replica) start(ip string) error {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return err
	}
	r.addr = l.Addr().String()
	r.places = make(chan struct{}, r.slots)
	r.ended = make(chan struct{})
	r.server = &http.Server{Handler: r}
	go func() {
		_ = r.server.Serve(l)
	}()
	r.register()
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				r.register()
			case <-r.ended:
				return
			}
		}
	}()
	return nil
}

// register writes the replica's entry, if more than its count changes.
func (r *replica) register() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	state := "ready"
	if r.draining {
		state = "draining"
	}
	said := fmt.Sprint(state, max(time.Until(r.coldUntil).Milliseconds(), 0))
	if said == r.said {
		return
	}
	r.said = said
	r.store.put("servers", r.id, map[string]any{
		"service": r.service, "address": r.addr, "zone": r.zone, "version": "v1", "concurrency": r.slots,
		"state": state, "warmup_remaining_ms": max(time.Until(r.coldUntil).Milliseconds(), 0), "seq": r.seq,
	})
}

// drain reports that the replica leaves.
func (r *replica) drain() {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	r.register()
}

// exit ends the replica.
func (r *replica) exit() {
	close(r.ended)
	_ = r.server.Close()
	r.store.remove("servers", r.id)
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Request-Id")
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	if target := req.Header.Get("X-Target-Instance"); target != "" && target != r.id {
		w.Header().Set("X-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.misbehave != nil && req.ContentLength > 9000 && rand.Intn(6) == 0 {
		// Rejected before it is read; the connection goes on.
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		time.Sleep(20 * time.Millisecond)
		_, _ = io.Copy(io.Discard, req.Body)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.running.Add(1) > int64(r.slots+queue) {
		r.running.Add(-1)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.running.Add(-1)
	select {
	case r.places <- struct{}{}:
	case <-req.Context().Done():
		return
	}
	defer func() { <-r.places }()
	r.ledger.add(run{
		at: time.Now(), id: id, method: req.Method, target: req.RequestURI, body: digest(body),
		service: r.service, replica: r.id, zone: r.zone,
		tenant: req.Header.Get("X-Tenant-Id"), key: req.Header.Get("X-Credential"),
	})
	r.rec.quiet("run %s at %s (%s, %s) tenant %q", id, r.id, r.service, r.zone, req.Header.Get("X-Tenant-Id"))
	time.Sleep(r.work)
	if r.misbehave != nil && r.misbehave(r, w, req, id, body) {
		return
	}
	w.Header().Set("X-Server-Signature", fmt.Sprintf("%s.%s", r.id, id))
	_, _ = w.Write(answerOf(r.id, id))
}

func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:8])
}

// answerOf is the body of a replica's answer: two records.
func answerOf(replica, id string) []byte {
	sum := sha256.Sum256([]byte(replica + " " + id))
	return sum[:]
}

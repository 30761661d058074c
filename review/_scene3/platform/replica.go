package main

import (
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// beat is how often a replica writes its entry, heartbeat_interval_ms.
	beat = 1200 * time.Millisecond
	// recordSize is the size of a record of a part.
	recordSize = 16
	// partRecords is how many records a part has.
	partRecords = 10
)

// arrival is one request that reached a replica and was not answered with 421.
type arrival struct {
	replica *replica
	at      time.Time
	id      string
	path    string
	tenant  string
	// cold is set if the replica was cold.
	cold bool
}

// replica is one replica of a service. It is sound: it runs what names it, and writes its
// entry on each beat and whenever it changes.
type replica struct {
	world   *world
	id      string
	service string
	zone    string
	slots   chan struct{}
	work    time.Duration

	mu        sync.Mutex
	address   string
	server    *http.Server
	stop      chan struct{}
	born      int64
	seq       int
	state     string
	coldUntil time.Time
	arrivals  []arrival
	// maxCold is how many requests in a second the replica bears while it is cold: it
	// crashes at more. 0 means any number.
	maxCold int
	// crashedAt is when it did, and lost holds the ids of the requests that it ran then.
	crashedAt time.Time
	lost      []string
}

// addReplica starts a replica that is warm.
func (w *world) addReplica(id, service, zone string, slots int, work time.Duration) (*replica, error) {
	r := &replica{
		world:   w,
		id:      id,
		service: service,
		zone:    zone,
		slots:   make(chan struct{}, slots),
		work:    work,
	}
	w.replicas = append(w.replicas, r)
	port, err := w.freePort()
	if err != nil {
		return nil, err
	}
	return r, r.startAt(fmt.Sprintf("127.0.0.1:%d", port), 0)
}

// startAt starts the replica at an address, cold for a time.
func (r *replica) startAt(address string, cold time.Duration) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.address = l.Addr().String()
	r.server = &http.Server{
		Handler: r,
	}
	r.stop = make(chan struct{})
	r.born = time.Now().UnixMilli()
	r.seq = 0
	r.state = "ready"
	r.coldUntil = time.Now().Add(cold)
	server, stop := r.server, r.stop
	r.mu.Unlock()
	r.write()
	go func() {
		_ = server.Serve(l)
	}()
	go func() {
		ticker := time.NewTicker(beat)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				r.write()
			}
		}
	}()
	return nil
}

// crash ends the replica at once. Its entry stays until the store has heard nothing for
// three beats.
func (r *replica) crash() {
	r.mu.Lock()
	server, stop := r.server, r.stop
	r.server = nil
	r.mu.Unlock()
	if server == nil {
		return
	}
	close(stop)
	_ = server.Close()
	time.AfterFunc(3*beat, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.server == nil {
			r.world.store.remove("servers", r.id, 0)
		}
	})
}

// turnCold makes the replica cold for a time, and writes that.
func (r *replica) turnCold(d time.Duration) {
	r.mu.Lock()
	r.coldUntil = time.Now().Add(d)
	r.mu.Unlock()
	r.write()
}

// write writes the entry and returns when the store acknowledged it.
func (r *replica) write() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	return r.world.store.put("servers", r.id, map[string]any{
		"service":             r.service,
		"address":             r.address,
		"zone":                r.zone,
		"version":             "v1",
		"concurrency":         cap(r.slots),
		"state":               r.state,
		"warmup_remaining_ms": max(time.Until(r.coldUntil).Milliseconds(), 0),
		"seq":                 r.seq,
		"born":                r.born,
	})
}

// isCold reports whether the replica is cold.
func (r *replica) isCold() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.coldUntil)
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	at := time.Now()
	if req.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", r.id)
		w.Header().Set("X-Warmup-Remaining-Ms", strconv.FormatInt(max(time.Until(r.coldUntil).Milliseconds(), 0), 10))
		return
	}
	id := req.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if target := req.Header.Get("X-Target-Instance"); target != "" && target != r.id {
		w.Header().Set("X-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(req.Body); err != nil {
		return
	}
	a := arrival{
		replica: r,
		at:      at,
		id:      id,
		path:    req.URL.Path,
		tenant:  req.Header.Get("X-Tenant-Id"),
		cold:    r.isCold(),
	}
	r.mu.Lock()
	r.arrivals = append(r.arrivals, a)
	overloaded := a.cold && r.maxCold > 0 && r.countColdSince(at.Add(-time.Second)) > r.maxCold
	r.mu.Unlock()
	if overloaded {
		r.collapse()
		r.noteLost(id)
		return
	}
	select {
	case r.slots <- struct{}{}:
	case <-req.Context().Done():
		return
	}
	defer func() {
		<-r.slots
	}()
	select {
	case <-time.After(r.work):
	case <-req.Context().Done():
		r.noteLost(id)
		return
	}
	body := make([]byte, partRecords*recordSize)
	_, _ = rand.Read(body)
	w.Header().Set("X-Server-Signature", fmt.Sprintf("%s.%s.%x", r.id, id, at.UnixNano()))
	_, _ = w.Write(body)
}

// countColdSince returns how many requests arrived since then while the replica was cold.
// The caller holds mu.
func (r *replica) countColdSince(since time.Time) int {
	n := 0
	for i := len(r.arrivals) - 1; i >= 0 && r.arrivals[i].at.After(since); i-- {
		if r.arrivals[i].cold {
			n++
		}
	}
	return n
}

// collapse ends the replica for the requests that it gets while it is cold.
func (r *replica) collapse() {
	r.mu.Lock()
	isFirst := r.server != nil
	if isFirst {
		r.crashedAt = time.Now()
	}
	r.mu.Unlock()
	if isFirst {
		r.world.note("%s (%s, %s) is cold and crashes under its requests", r.id, r.service, r.zone)
		r.crash()
	}
}

// noteLost notes a request that the replica ran when it crashed under its requests.
func (r *replica) noteLost(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.crashedAt.IsZero() && time.Since(r.crashedAt) < 100*time.Millisecond {
		r.lost = append(r.lost, id)
	}
}

// revive starts the replica again if it crashed, cold for a time.
func (r *replica) revive(cold time.Duration) error {
	r.mu.Lock()
	isDown, address := r.server == nil, r.address
	r.mu.Unlock()
	if !isDown {
		return nil
	}
	return r.startAt(address, cold)
}

// arrived returns the arrivals so far.
func (r *replica) arrived() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}

package main

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that a replica has run.
type arrival struct {
	at      time.Time
	request string
	replica *replica
}

// arrivals holds what all replicas ran, in order.
type arrivals struct {
	mu   sync.Mutex
	list []arrival
}

func (a *arrivals) add(x arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, x)
}

func (a *arrivals) all() []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]arrival(nil), a.list...)
}

// replica is a stand-in for one sound replica.
type replica struct {
	id, service, zone, address string
	born                       int64
	work                       time.Duration
	ran                        *arrivals
}

func newReplica(id, service, zone string, work time.Duration, ran *arrivals) *replica {
	x := &replica{
		id: id, service: service, zone: zone, born: time.Now().UnixMilli(),
		work: work, ran: ran,
	}
	l := listen()
	x.address = l.Addr().String()
	server := &http.Server{Handler: x}
	go func() { _ = server.Serve(l) }()
	return x
}

// entry is what the replica says of itself in the store.
func (x *replica) entry(state string, seq int) map[string]any {
	return map[string]any{
		"service": x.service, "address": x.address, "zone": x.zone, "version": "v1",
		"concurrency": 8, "state": state, "warmup_remaining_ms": 0, "seq": seq, "born": x.born,
	}
}

func (x *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", x.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	w.Header().Set("X-Request-Id", id)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != x.id {
		w.Header().Set("X-Instance-Id", x.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	x.ran.add(arrival{
		at: time.Now(), request: id, replica: x,
	})
	select {
	case <-time.After(x.work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Server-Signature", "sig."+x.id+"."+id)
	w.WriteHeader(http.StatusOK)
	_, _ = io.WriteString(w, "0123456789abcdef")
}

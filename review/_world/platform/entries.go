package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The functions of this file try entries of KNOWN-RED.txt and of open issues; they are no cases.

// linked gives each machine paths of its own to the replicas.
func linked(w *world, zones []string) (map[*machine]*link, error) {
	links := map[string]*link{}
	out := map[*machine]*link{}
	for _, z := range zones {
		m, err := w.addMachine(z)
		if err != nil {
			return nil, err
		}
		l := &link{ip: w.base + "230"}
		links[m.name], out[m] = l, l
		for range 3 {
			if _, err := w.addReplica("guild-rolls", z, 6, 15*time.Millisecond, 0); err != nil {
				return nil, err
			}
		}
	}
	w.store.rewrite = func(vm, kind string, spec json.RawMessage) json.RawMessage {
		var fields map[string]any
		if kind != "servers" || json.Unmarshal(spec, &fields) != nil {
			return spec
		}
		fields["address"] = links[vm].to(fields["address"].(string))
		data, _ := json.Marshal(fields)
		return data
	}
	w.store.put("config", "main", config(7, []map[string]any{
		route("cert", "/cert/", "idempotent", "guild-rolls", 2000, 400),
	}, []string{"guild-rolls"}, nil))
	return out, w.startAll()
}

// playSilent tries issue 34, 1 and 27, 1: one machine's connections to replicas are reset for
// half a second, then hang; all callers ask for the same.
func playSilent(w *world) (bool, error) {
	links, err := linked(w, []string{"nashua", "lowell"})
	if err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	done := make(chan struct{})
	var group sync.WaitGroup
	var mu sync.Mutex
	cutAt := time.Now().Add(3 * time.Second)
	served, asked := map[string]int{}, map[string]int{}
	for _, m := range w.machines {
		c := newClient(m)
		group.Add(1)
		go pace(done, 33, &group, func(i int) {
			at := time.Now()
			got := c.do(fmt.Sprintf("%s-%d", m.name, i), "GET", "front.example", "/cert/popular", "", 2*time.Second, nil)
			if at.Before(cutAt.Add(4*time.Second)) || at.After(cutAt.Add(12*time.Second)) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			asked[m.name]++
			if got.err == nil && got.status == http.StatusOK {
				served[m.name]++
			}
		})
	}
	time.Sleep(time.Until(cutAt))
	l := links[w.machines[0]]
	l.set(linkReset)
	time.Sleep(500 * time.Millisecond)
	l.set(linkSilent)
	time.Sleep(13 * time.Second)
	l.set(linkOpen)
	time.Sleep(time.Second)
	close(done)
	group.Wait()
	w.rec.line("served %v of %v", served, asked)
	a, b := w.machines[0].name, w.machines[1].name
	return 3*served[a]*asked[b] < 2*served[b]*asked[a] || served[b]*10 < asked[b]*9, nil
}

// playSigned tries issue 34, 3: a replica runs a request that may run once and answers 503
// without saying that it did not run it.
func playSigned(w *world) (bool, error) {
	if _, err := w.addMachine("nashua"); err != nil {
		return false, err
	}
	r, err := w.addReplica("guild-rolls", "nashua", 6, 15*time.Millisecond, 0)
	if err != nil {
		return false, err
	}
	r.misbehave = func(r *replica, rw http.ResponseWriter, _ *http.Request, id string, _ []byte) bool {
		rw.Header().Set("X-Server-Signature", r.id+"."+id)
		rw.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	w.store.put("config", "main", config(7, []map[string]any{
		route("once", "/once/", "non_idempotent", "guild-rolls", 2000, 400),
	}, []string{"guild-rolls"}, nil))
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(9 * time.Second)
	got := newClient(w.machines[0]).do("once-1", "POST", "front.example", "/once/a", "x", 2*time.Second, nil)
	w.rec.line("answered %d %v, ran %d times", got.status, got.err, len(w.ledger.all()))
	return got.status == http.StatusServiceUnavailable && len(w.ledger.all()) > 0, nil
}

// playKept tries issue 34, 3: a connection whose last request had its body in a later segment
// is idle for 10 s of 15.
func playKept(w *world) (bool, error) {
	if _, err := linked(w, []string{"nashua"}); err != nil {
		return false, err
	}
	conn, err := net.Dial("tcp", w.machines[0].callers())
	if err != nil {
		return false, err
	}
	for i := range 3 {
		fmt.Fprintf(conn, "POST /cert/a HTTP/1.1\r\nHost: front.example\r\nX-Request-Id: kept-%d\r\nX-Deadline-Ms: 2000\r\nContent-Length: 5\r\n\r\n", i)
		time.Sleep(100 * time.Millisecond)
		_, _ = conn.Write([]byte("12345"))
		buffer := make([]byte, 4096)
		_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		n, err := conn.Read(buffer)
		w.rec.line("request %d: %q %v", i, strings.SplitN(string(buffer[:n]), "\r\n", 2)[0], err)
		if err != nil {
			return true, nil
		}
		time.Sleep(10 * time.Second)
	}
	return false, nil
}

// playDouble tries KNOWN-RED 40: a machine is killed again and again while its keeper counts
// what it delegated.
func playDouble(w *world) (bool, error) {
	q := newQuota(w)
	for range 2 {
		if err := q.addSite("nashua", 3); err != nil {
			return false, err
		}
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	for _, m := range w.machines {
		q.press(m, 2)
	}
	time.Sleep(5 * time.Second)
	hot := make(chan struct{})
	go func() {
		defer close(hot)
		q.heat()
	}()
	m := w.machines[1]
	for range 4 {
		time.Sleep(1200 * time.Millisecond)
		if w.trouble {
			_ = m.cmd.Process.Signal(syscall.SIGKILL)
			<-m.exited
			time.Sleep(150 * time.Millisecond)
			if err := w.run(m, false); err != nil {
				return false, err
			}
		}
	}
	<-hot
	return q.verdict()
}

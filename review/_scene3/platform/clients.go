package main

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// attempt is one request of a client.
type attempt struct {
	id     string
	relay  *relay
	path   string
	sent   time.Time
	done   time.Time
	status int
	err    error
}

// stream is traffic of one kind: so many requests a second at each relay.
type stream struct {
	world    *world
	method   string
	host     string
	path     string
	key      string
	perS     float64
	deadline time.Duration
	stop     chan struct{}
	group    sync.WaitGroup

	mu       sync.Mutex
	attempts []attempt
}

var lastID atomic.Int64

// newID returns the id of an attempt.
func newID() string {
	return fmt.Sprintf("%016x", 0x5ce0000000000000+lastID.Add(1))
}

// startStream starts traffic at all relays, spread evenly.
func (w *world) startStream(s *stream) *stream {
	s.world = w
	s.stop = make(chan struct{})
	for i, r := range w.relays {
		client := newClient()
		gap := time.Duration(float64(time.Second) / s.perS)
		offset := gap * time.Duration(i) / time.Duration(len(w.relays))
		s.group.Go(func() {
			next := time.Now().Add(offset)
			for {
				select {
				case <-s.stop:
					return
				case <-time.After(time.Until(next)):
				}
				next = next.Add(gap)
				s.group.Go(func() {
					a := s.send(client, r)
					s.mu.Lock()
					s.attempts = append(s.attempts, a)
					s.mu.Unlock()
				})
			}
		})
	}
	return s
}

func newClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 64,
			DisableCompression:  true,
		},
	}
}

func (s *stream) send(client *http.Client, r *relay) attempt {
	a := attempt{
		id:    newID(),
		relay: r,
		path:  s.path,
		sent:  time.Now(),
	}
	req, err := http.NewRequest(cmp.Or(s.method, http.MethodGet), "http://"+r.address+s.path, nil)
	if err != nil {
		a.err = err
		return a
	}
	req.Host = s.host
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(s.deadline.Milliseconds(), 10))
	if s.key != "" {
		req.Header.Set("X-Credential", s.key)
	}
	resp, err := client.Do(req)
	a.done = time.Now()
	if err != nil {
		a.err = err
		return a
	}
	_, a.err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	a.status = resp.StatusCode
	return a
}

// end stops the traffic, writes all attempts to the record and returns them by id.
func (s *stream) end() map[string]attempt {
	close(s.stop)
	s.group.Wait()
	byID := make(map[string]attempt, len(s.attempts))
	counts := map[int]int{}
	for _, a := range s.attempts {
		byID[a.id] = a
		counts[a.status]++
	}
	s.world.dump(s.attempts)
	s.world.note("%s: %d requests, answers by status %v", s.path, len(s.attempts), counts)
	return byID
}

// countLost returns how many of the attempts were running at replicas that crashed under
// their requests, and got no success.
func (w *world) countLost(sent map[string]attempt) int {
	n := 0
	for _, r := range w.replicas {
		r.mu.Lock()
		for _, id := range r.lost {
			a, ok := sent[id]
			if ok && a.status != http.StatusOK {
				n++
				w.noteAt(a.sent, "lost: request %s to %s ran at %s when that crashed, and was answered %d", id, a.relay.name, r.id, a.status)
			}
		}
		r.mu.Unlock()
	}
	return n
}

// dump writes what was sent, answered and run, a line for each attempt.
func (w *world) dump(attempts []attempt) {
	runs := map[string][]string{}
	for _, r := range w.replicas {
		for _, a := range r.arrived() {
			cold := ""
			if a.cold {
				cold = " (cold)"
			}
			runs[a.id] = append(runs[a.id], fmt.Sprintf("%s at %.3f%s", r.id, a.at.Sub(w.start).Seconds(), cold))
		}
	}
	slices.SortFunc(attempts, func(a, b attempt) int {
		return a.sent.Compare(b.sent)
	})
	for _, a := range attempts {
		answer := strconv.Itoa(a.status)
		if a.err != nil {
			answer = a.err.Error()
		}
		w.noteAt(a.sent, "sent %s %s to %s; answered %s at %.3f; run by %s", a.id, a.path, a.relay.name, answer, a.done.Sub(w.start).Seconds(), strings.Join(runs[a.id], ", "))
	}
}

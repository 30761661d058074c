package main

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// usualDelay is how long an answer of the store takes when it is not slow.
const usualDelay = 4 * time.Millisecond

// pageSize is the number of objects in one page of a list.
const pageSize = 50

// meta is the metadata of an object.
type meta struct {
	Name              string   `json:"name"`
	Revision          uint64   `json:"revision"`
	CreatedRevision   uint64   `json:"created_revision"`
	Finalizers        []string `json:"finalizers"`
	DeletionRequested bool     `json:"deletion_requested"`
}

// object is one object of the store.
type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// event is one change of a kind.
type event struct {
	revision uint64
	kind     string
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// store is a stand-in for the platform's store. It is linearizable: each call takes effect
// at one moment between its arrival and its answer.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []event
	changed  chan struct{}
	// slowFrom and slowTo bound the time that an answer takes while the store is slow; 0
	// means that it is not.
	slowFrom, slowTo time.Duration
	// onList is called when a list that is not a watch takes effect.
	onList func(vm, kind string, stale bool)
}

func newStore() *store {
	return &store{
		revision: 100,
		objects:  map[string]map[string]object{},
		changed:  make(chan struct{}),
	}
}

// serveFor serves the store at a new loopback address, for the calls of one VM.
func (s *store) serveFor(vm string) string {
	l := listen()
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.serve(vm, w, r)
		}),
	}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String()
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	return l
}

// setSlow makes each answer take between from and to; 0 and 0 end that.
func (s *store) setSlow(from, to time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowFrom, s.slowTo = from, to
}

// setOnList sets what is called when a list that is not a watch takes effect.
func (s *store) setOnList(f func(vm, kind string, stale bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onList = f
}

func (s *store) delay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slowTo <= 0 {
		return usualDelay
	}
	return s.slowFrom + time.Duration(rand.Float64()*float64(s.slowTo-s.slowFrom))
}

// put writes an object as the operator or a replica, and returns the revision.
func (s *store) put(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		cannotRun("encode: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, data, nil)
}

// write creates or replaces an object. The caller holds mu.
func (s *store) write(kind, name string, spec, status json.RawMessage) uint64 {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o, ok := s.objects[kind][name]
	if ok && string(o.Spec) == string(spec) && string(o.Status) == string(status) {
		return s.revision
	}
	s.revision++
	if !ok {
		o.Meta.CreatedRevision = s.revision
		o.Meta.Finalizers = []string{}
	}
	o.Meta.Name = name
	o.Meta.Revision = s.revision
	o.Spec, o.Status = spec, status
	s.objects[kind][name] = o
	s.note(event{revision: s.revision, kind: kind, Object: o})
	return s.revision
}

func (s *store) remove(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return false
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Meta.Revision = s.revision
	s.note(event{revision: s.revision, kind: kind, Object: o, Deleted: true})
	return true
}

// note keeps an event and wakes the watches. The caller holds mu.
func (s *store) note(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serve(vm string, w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/api/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && q.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(vm, w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			s.answer(r.Context(), w, http.StatusNotFound, struct{}{})
			return
		}
		s.answer(r.Context(), w, http.StatusOK, o)
	default:
		s.change(w, r, kind, name)
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	_ = json.NewDecoder(r.Body).Decode(&o)
	status := http.StatusOK
	s.mu.Lock()
	switch r.Method {
	case http.MethodPost:
		if _, ok := s.objects[kind][o.Meta.Name]; ok {
			status = http.StatusConflict
		} else {
			s.write(kind, o.Meta.Name, o.Spec, nil)
			name = o.Meta.Name
		}
	case http.MethodPut:
		if _, ok := s.objects[kind][name]; !ok {
			status = http.StatusNotFound
		} else {
			s.write(kind, name, o.Spec, s.objects[kind][name].Status)
		}
	case http.MethodDelete:
		s.mu.Unlock()
		if !s.remove(kind, name) {
			status = http.StatusNotFound
		}
		s.mu.Lock()
	default:
		status = http.StatusMethodNotAllowed
	}
	found := s.objects[kind][name]
	s.mu.Unlock()
	s.answer(r.Context(), w, status, found)
}

// list takes effect at once; its answer takes as long as all answers do.
func (s *store) list(vm string, w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	names := make([]string, 0, len(s.objects[kind]))
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	reply := struct {
		Items      []object `json:"items"`
		HasMore    bool     `json:"has_more"`
		AtRevision uint64   `json:"at_revision"`
	}{Items: []object{}, AtRevision: s.revision}
	for i, name := range names {
		if i == pageSize {
			reply.HasMore = true
			break
		}
		reply.Items = append(reply.Items, s.objects[kind][name])
	}
	onList := s.onList
	s.mu.Unlock()
	if onList != nil {
		onList(vm, kind, r.URL.Query().Has("stale_ok"))
	}
	s.answer(r.Context(), w, http.StatusOK, reply)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	reply := struct {
		Events     []event `json:"events"`
		AtRevision uint64  `json:"at_revision"`
	}{Events: []event{}}
	ended := false
	for {
		s.mu.Lock()
		for _, e := range s.history {
			if e.kind == kind && e.revision > since {
				reply.Events = append(reply.Events, e)
			}
		}
		reply.AtRevision = s.revision
		changed := s.changed
		s.mu.Unlock()
		if len(reply.Events) > 0 || ended {
			break
		}
		select {
		case <-changed:
		case <-end.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
	s.answer(r.Context(), w, http.StatusOK, reply)
}

func (s *store) answer(ctx context.Context, w http.ResponseWriter, status int, body any) {
	select {
	case <-time.After(s.delay()):
	case <-ctx.Done():
		return
	}
	data, err := json.Marshal(body)
	if err != nil {
		cannotRun("encode: %v", err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	objectsPath = "/api/objects/"
	pageItems   = 500
	maxWatch    = 30 * time.Second
)

// object is an object of the store. Objects are replaced and never changed.
type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type meta struct {
	Name              string   `json:"name"`
	Revision          uint64   `json:"revision"`
	CreatedRevision   uint64   `json:"created_revision"`
	Finalizers        []string `json:"finalizers"`
	DeletionRequested bool     `json:"deletion_requested"`
}

type event struct {
	Object  *object `json:"object"`
	Deleted bool    `json:"deleted"`
	kind    string
	at      uint64
}

// store is the platform's store, as PROTOCOL.md describes it. It is sound: it answers all
// calls at once and forgets nothing.
type store struct {
	address string
	server  *http.Server

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object
	events   []event
	changed  chan struct{}
}

func newStore() (*store, error) {
	s := &store{
		revision: 100,
		objects:  map[string]map[string]*object{},
		changed:  make(chan struct{}),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	s.server = &http.Server{
		Handler: s,
	}
	go func() {
		_ = s.server.Serve(l)
	}()
	return s, nil
}

func (s *store) close() {
	_ = s.server.Close()
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	name, status := strings.CutSuffix(name, "/status")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var in object
	if len(body) > 0 && json.Unmarshal(body, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && name == "" && query.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		reply(w, http.StatusOK, s.list(kind, query.Get("after")))
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	case r.Method == http.MethodPost:
		code, o := s.create(kind, in)
		reply(w, code, o)
	case r.Method == http.MethodPut:
		code, o := s.replace(kind, name, in, status)
		reply(w, code, o)
	case r.Method == http.MethodDelete:
		revision, _ := strconv.ParseUint(query.Get("revision"), 10, 64)
		code, o := s.remove(kind, name, revision)
		reply(w, code, o)
	}
}

func reply(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o := s.objects[kind][name]
	s.mu.Unlock()
	if o == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *store) list(kind, after string) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.objects[kind]))
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > pageItems
	if more {
		names = names[:pageItems]
	}
	items := make([]*object, 0, len(names))
	for _, name := range names {
		items = append(items, s.objects[kind][name])
	}
	return map[string]any{
		"items":       items,
		"has_more":    more,
		"at_revision": s.revision,
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxWatch))
	defer timeout.Stop()
	ended := false
	for {
		events, at, changed := s.eventsAfter(kind, after)
		if len(events) > 0 || ended {
			reply(w, http.StatusOK, map[string]any{
				"events":      events,
				"at_revision": at,
			})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) eventsAfter(kind string, after uint64) ([]event, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := sort.Search(len(s.events), func(i int) bool {
		return s.events[i].at > after
	})
	events := []event{}
	for _, e := range s.events[first:] {
		if e.kind == kind {
			events = append(events, e)
		}
	}
	return events, s.revision, s.changed
}

// record notes a change of o. The caller holds mu.
func (s *store) record(kind string, o *object, deleted bool) {
	s.events = append(s.events, event{
		Object:  o,
		Deleted: deleted,
		kind:    kind,
		at:      s.revision,
	})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) create(kind string, in object) (int, *object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.objects[kind][in.Meta.Name]; old != nil {
		return http.StatusConflict, old
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	s.revision++
	in.Meta.Revision = s.revision
	in.Meta.CreatedRevision = s.revision
	s.objects[kind][in.Meta.Name] = &in
	s.record(kind, &in, false)
	return http.StatusOK, &in
}

func (s *store) replace(kind, name string, in object, status bool) (int, *object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.objects[kind][name]
	switch {
	case old == nil:
		return http.StatusNotFound, nil
	case in.Meta.Revision != 0 && in.Meta.Revision != old.Meta.Revision:
		return http.StatusConflict, old
	}
	next := *old
	if status {
		next.Status = in.Status
	} else {
		next.Spec = in.Spec
		next.Meta.Finalizers = in.Meta.Finalizers
	}
	if string(next.Spec) == string(old.Spec) && string(next.Status) == string(old.Status) {
		return http.StatusOK, old
	}
	s.revision++
	next.Meta.Revision = s.revision
	s.objects[kind][name] = &next
	s.record(kind, &next, false)
	return http.StatusOK, &next
}

func (s *store) remove(kind, name string, revision uint64) (int, *object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.objects[kind][name]
	switch {
	case old == nil:
		return http.StatusNotFound, nil
	case revision != 0 && revision != old.Meta.Revision:
		return http.StatusConflict, old
	}
	s.revision++
	last := *old
	last.Meta.Revision = s.revision
	delete(s.objects[kind], name)
	s.record(kind, &last, true)
	return http.StatusOK, &last
}

// put creates or replaces an object, as the operator and the replicas do, and returns when
// the store acknowledged it.
func (s *store) put(kind, name string, spec any) time.Time {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	in := object{
		Meta: meta{
			Name: name,
		},
		Spec: data,
	}
	if code, _ := s.create(kind, in); code == http.StatusConflict {
		s.replace(kind, name, in, false)
	}
	return time.Now()
}

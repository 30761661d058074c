package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// meta is the head of an object of the store.
type meta struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	CreatedRevision uint64   `json:"created_revision"`
	Finalizers      []string `json:"finalizers"`
	Deletion        bool     `json:"deletion_requested"`
}

// object is an object of the store.
type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// event is one change of an object.
type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`

	kind string
	at   time.Time
}

// store is a stand-in of the platform's store. Each machine gets an address of its own, so
// that the store knows who calls.
type store struct {
	rec *record
	// lag is the age of the lists that may be stale.
	lag time.Duration
	// lose reports whether the answer to a call is lost: nothing more comes on its
	// connection. It may be nil.
	lose func(c *call) bool
	// rewrite changes a spec for a machine; it may be nil.
	rewrite func(vm, kind string, spec json.RawMessage) json.RawMessage
	// late returns how much later a write is done whose answer is lost; 0 means that it is
	// done and answered at once. It may be nil.
	late func(c *call) time.Duration

	// downFrom and downUntil bound the time in which the store is down: it takes calls, does
	// nothing for them and never answers.
	downFrom, downUntil time.Time

	mu       sync.Mutex
	probes   map[string]time.Time
	lists    map[string]time.Time
	revision uint64
	objects  map[string]map[string]object
	log      []event
	changed  chan struct{}
	waiting  map[*call]time.Time
}

// call is one call to the store.
type call struct {
	vm     string
	method string
	kind   string
	name   string
	watch  bool
	wait   time.Duration
	events []event
}

func newStore(rec *record) *store {
	return &store{
		rec:      rec,
		revision: 100,
		objects:  map[string]map[string]object{},
		changed:  make(chan struct{}),
		waiting:  map[*call]time.Time{},
		probes:   map[string]time.Time{},
		lists:    map[string]time.Time{},
	}
}

// listen opens an address for a machine and returns it.
func (s *store) listen(ip, vm string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.serve(w, r, vm)
		}))
	}()
	return l.Addr().String(), nil
}

// put writes an object and returns the time of the acknowledgement.
func (s *store) put(kind, name string, spec any) time.Time {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, data)
	return time.Now()
}

func (s *store) putLocked(kind, name string, spec json.RawMessage) object {
	old, ok := s.objects[kind][name]
	if ok && string(old.Spec) == string(spec) {
		return old
	}
	s.revision++
	o := old
	if !ok {
		o.Meta = meta{Name: name, CreatedRevision: s.revision, Finalizers: []string{}}
		o.Status = json.RawMessage("null")
	}
	o.Meta.Revision = s.revision
	o.Spec = spec
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.note(event{Object: o, kind: kind})
	return o
}

// remove deletes an object and reports whether it was there.
func (s *store) remove(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.removeLocked(kind, name)
}

func (s *store) removeLocked(kind, name string) bool {
	o, ok := s.objects[kind][name]
	if !ok {
		return false
	}
	s.revision++
	o.Meta.Revision = s.revision
	delete(s.objects[kind], name)
	s.note(event{Object: o, kind: kind, Deleted: true})
	return true
}

func (s *store) note(e event) {
	e.at = time.Now()
	s.log = append(s.log, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// listed returns the objects of a kind as of a time, by name, and the revision then.
func (s *store) listed(kind string, at time.Time) ([]object, uint64) {
	state := map[string]object{}
	revision := uint64(100)
	for _, e := range s.log {
		if e.at.After(at) {
			break
		}
		revision = e.Object.Meta.Revision
		if e.kind != kind {
			continue
		}
		if e.Deleted {
			delete(state, e.Object.Meta.Name)
		} else {
			state[e.Object.Meta.Name] = e.Object
		}
	}
	list := make([]object, 0, len(state))
	for _, o := range state {
		list = append(list, o)
	}
	sort.Slice(list, func(i, j int) bool {
		return list[i].Meta.Name < list[j].Meta.Name
	})
	return list, revision
}

// since returns the changes of a kind after a revision.
func (s *store) since(kind string, revision uint64) []event {
	i := sort.Search(len(s.log), func(i int) bool {
		return s.log[i].Object.Meta.Revision > revision
	})
	var list []event
	for _, e := range s.log[i:] {
		if e.kind == kind {
			list = append(list, e)
		}
	}
	return list
}

// watches reports whether a machine waits for changes of a kind.
func (s *store) watches(kind, vm string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.waiting {
		if c.kind == kind && c.vm == vm {
			return true
		}
	}
	return false
}

// probedAt returns when a machine last made the call by which it looks whether the store
// answers.
func (s *store) probedAt(vm string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.probes[vm]
}

// listedAt returns when a machine last listed a kind.
func (s *store) listedAt(kind, vm string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists[vm+" "+kind]
}

// goDown makes the store down from a time on.
func (s *store) goDown(from time.Time, length time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downFrom, s.downUntil = from, from.Add(length)
}

func (s *store) serve(w http.ResponseWriter, r *http.Request, vm string) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	c := &call{vm: vm, method: r.Method, kind: parts[0]}
	if len(parts) > 1 {
		c.name = parts[1]
	}
	now := time.Now()
	s.mu.Lock()
	isDown := now.After(s.downFrom) && now.Before(s.downUntil)
	if c.kind == "evacuations" && r.URL.Query().Has("stale_ok") {
		s.probes[vm] = now
	}
	s.mu.Unlock()
	if isDown {
		s.rec.line("store: down, takes %s %s?%s of %s and never answers", r.Method, r.URL.Path, r.URL.RawQuery, vm)
		s.silence(w)
		return
	}
	var body struct {
		Meta meta            `json:"meta"`
		Spec json.RawMessage `json:"spec"`
	}
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if c.name == "" {
			c.name = body.Meta.Name
		}
	}
	if r.Method == http.MethodGet {
		s.read(w, r, c)
		return
	}
	if s.late != nil {
		if d := s.late(c); d > 0 {
			time.AfterFunc(d, func() {
				status, _ := s.write(c, body.Spec)
				s.rec.line("store: %s %s/%s of %s done %v late, status %d, not answered", c.method, c.kind, c.name, vm, d, status)
			})
			s.silence(w)
			return
		}
	}
	status, o := s.write(c, body.Spec)
	s.rec.line("store: %s %s/%s of %s, status %d", c.method, c.kind, c.name, vm, status)
	s.answer(w, c, status, o)
}

func (s *store) write(c *call, spec json.RawMessage) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.objects[c.kind][c.name]
	switch {
	case c.method == http.MethodPost && ok:
		return http.StatusConflict, old
	case c.method == http.MethodPost:
		return http.StatusOK, s.putLocked(c.kind, c.name, spec)
	case !ok:
		return http.StatusNotFound, map[string]any{}
	case c.method == http.MethodPut:
		return http.StatusOK, s.putLocked(c.kind, c.name, spec)
	default:
		s.removeLocked(c.kind, c.name)
		return http.StatusOK, map[string]any{}
	}
}

func (s *store) read(w http.ResponseWriter, r *http.Request, c *call) {
	q := r.URL.Query()
	if c.name != "" {
		s.mu.Lock()
		o, ok := s.objects[c.kind][c.name]
		s.mu.Unlock()
		if !ok {
			s.answer(w, c, http.StatusNotFound, map[string]any{})
			return
		}
		s.answer(w, c, http.StatusOK, o)
		return
	}
	if q.Has("watch") {
		s.watch(w, r, c)
		return
	}
	at := time.Now()
	if q.Has("stale_ok") {
		at = at.Add(-s.lag)
	}
	s.mu.Lock()
	s.lists[c.vm+" "+c.kind] = time.Now()
	list, revision := s.listed(c.kind, at)
	s.mu.Unlock()
	rest := make([]object, 0, len(list))
	for _, o := range list {
		if s.rewrite != nil {
			o.Spec = s.rewrite(c.vm, c.kind, o.Spec)
		}
		if o.Meta.Name > q.Get("after") {
			rest = append(rest, o)
		}
	}
	s.answer(w, c, http.StatusOK, map[string]any{"items": rest, "has_more": false, "at_revision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, c *call) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	c.watch = true
	c.wait = time.Duration(ms) * time.Millisecond
	end := time.NewTimer(c.wait)
	defer end.Stop()
	s.mu.Lock()
	s.waiting[c] = time.Now()
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.waiting, c)
		s.mu.Unlock()
	}()
	for over := false; ; {
		s.mu.Lock()
		c.events = s.since(c.kind, from)
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(c.events) > 0 || over {
			list := c.events
			if list == nil {
				list = []event{}
			}
			for i := range list {
				if s.rewrite != nil {
					list[i].Object.Spec = s.rewrite(c.vm, c.kind, list[i].Object.Spec)
				}
			}
			s.answer(w, c, http.StatusOK, map[string]any{"events": list, "at_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// answer answers a call, unless its answer is lost.
func (s *store) answer(w http.ResponseWriter, c *call, status int, body any) {
	if s.lose != nil && s.lose(c) {
		s.rec.line("store: the answer to %s %s of %s is lost (%d changes)", c.method, c.kind, c.vm, len(c.events))
		s.silence(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// silence leaves the connection open without an answer.
func (s *store) silence(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	_ = conn.SetDeadline(time.Time{})
	silent.Lock()
	defer silent.Unlock()
	silent.conns = append(silent.conns, conn)
}

// silent holds the connections on which nothing more comes.
var silent struct {
	sync.Mutex
	conns []net.Conn
}

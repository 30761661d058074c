package zlfakeplatform

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/io/process/zlplatform"
)

// objectKeyFromPath returns the key of the object that the path of r names.
func objectKeyFromPath(r *http.Request) key {
	return key{
		kind: zlplatform.ObjectKind(r.PathValue("kind")),
		name: r.PathValue("name"),
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	o, ok := p.objects[objectKeyFromPath(r)]
	p.mu.Unlock()
	if !ok || o.Deleted {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	writeJSON(w, o)
}

func (p *Platform) listObjects(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, p.changesAfter(0, []string{r.PathValue("kind")}))
}

// changesAfter lists the objects of the given kinds that changed after a revision,
// in order of change. Deleted objects are left out if rev is 0.
func (p *Platform) changesAfter(rev zlunit.ObjectVersion, kinds []string) zlplatform.Listing {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := zlplatform.Listing{
		Revision: p.revision,
	}
	for k, o := range p.objects {
		if o.Version > rev && slices.Contains(kinds, string(k.kind)) && (rev > 0 || !o.Deleted) {
			l.Objects = append(l.Objects, o)
		}
	}
	slices.SortFunc(l.Objects, func(a, b zlplatform.Object) int {
		return int(int64(a.Version) - int64(b.Version))
	})
	return l
}

// watch replies as soon as objects changed after the revision in the query, with
// an empty list after waitMs, and with an error when the platform goes down.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	rev, err := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMs, waitErr := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	if err != nil || waitErr != nil {
		http.Error(w, "after and waitMs must be numbers", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.counts.Watches++
	p.mu.Unlock()
	timeout := time.NewTimer(min(time.Duration(waitMs)*time.Millisecond, maxWatchWait))
	defer timeout.Stop()
	for {
		p.mu.Lock()
		changed := p.changed
		down := p.faults.Down
		p.mu.Unlock()
		if down {
			writeUnavailable(w)
			return
		}
		l := p.changesAfter(zlunit.ObjectVersion(rev), q["kind"])
		if len(l.Objects) > 0 || rev == 0 {
			writeJSON(w, l)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			writeJSON(w, l)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	var value json.RawMessage
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxValueBytes)).Decode(&value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.storeIfVersion(w, r, zlplatform.Object{
		Value: value,
	})
}

func (p *Platform) deleteObject(w http.ResponseWriter, r *http.Request) {
	p.storeIfVersion(w, r, zlplatform.Object{
		Deleted: true,
	})
}

// storeIfVersion stores next if ifVersion in the query is the object's version,
// where 0 stands for an object that does not exist.
func (p *Platform) storeIfVersion(w http.ResponseWriter, r *http.Request, next zlplatform.Object) {
	expected, err := strconv.ParseUint(r.URL.Query().Get("ifVersion"), 10, 64)
	if err != nil {
		http.Error(w, "ifVersion must be a number", http.StatusBadRequest)
		return
	}
	k := objectKeyFromPath(r)
	p.mu.Lock()
	defer p.mu.Unlock()
	var current zlunit.ObjectVersion
	if old, ok := p.objects[k]; ok && !old.Deleted {
		current = old.Version
	}
	if current != zlunit.ObjectVersion(expected) {
		http.Error(w, "version is "+strconv.FormatUint(uint64(current), 10), http.StatusConflict)
		return
	}
	p.revision++
	next.Kind = k.kind
	next.Name = k.name
	next.Version = p.revision
	p.objects[k] = next
	close(p.changed)
	p.changed = make(chan struct{})
	writeJSON(w, next)
}

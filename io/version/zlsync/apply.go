package zlsync

import (
	"encoding/json"
	"maps"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/core/version/zlhistory"
	"zinnialock/core/version/zlmark"
	"zinnialock/core/version/zlobject"
	"zinnialock/core/version/zlroster"
	"zinnialock/core/version/zlsettings"
	"zinnialock/core/version/zlview"
	"zinnialock/io/process/zlplatform"

	"github.com/rotisserie/eris"
)

// decode implements zlobject.Store.Decode: it decodes and checks the object next,
// given the one that is held, which may be nil.
func decode(held, next *zlobject.Item) (any, error) {
	kind := zlplatform.ObjectKind(next.Key.Kind)
	_, isRecord := targetOf(kind, next.Key.Name)
	if next.Deleted {
		if isRecord {
			return nil, eris.New("a record must not be deleted")
		}
		return nil, nil
	}
	value, err := decodeValue(kind, next)
	if err != nil {
		return nil, err
	}
	if isRecord && held != nil && forked(held.Decoded, value) {
		return nil, zlobject.ErrForked
	}
	return value, nil
}

// forked reports whether next lacks changes that the held record has.
func forked(held, next any) bool {
	old, oldOK := held.(zlhistory.Record)
	record, ok := next.(zlhistory.Record)
	return oldOK && ok && zlhistory.Forked(old, record)
}

func decodeValue(kind zlplatform.ObjectKind, next *zlobject.Item) (any, error) {
	switch kind {
	case zlplatform.ObjectSettings:
		return zlsettings.Decode(next.Value)
	case zlplatform.ObjectMarks:
		return zlmark.Decode(next.Value)
	case zlplatform.ObjectCatalog:
		return zlcatalog.Decode(next.Value)
	case zlplatform.ObjectRoster:
		var r zlroster.Roster
		if err := json.Unmarshal(next.Value, &r); err != nil {
			return nil, eris.Wrap(err, "roster")
		}
		r.Epoch = next.Rank.Version
		return r, nil
	default:
		return nil, eris.Errorf("kind %q is not followed by daemons", kind)
	}
}

// rebuild stores a view with the accepted items. The caller must hold f.mu.
func (w *Watcher) rebuild(accepted []zlobject.Item) {
	next := w.copyView()
	for _, item := range accepted {
		w.setItem(&next, item)
	}
	w.view = next
	built := next
	w.Views.Store(built.Build())
}

// copyView copies the view, and its maps of catalogues and rosters.
func (w *Watcher) copyView() zlview.View {
	next := w.view
	next.Deployment = w.Deployment
	next.Home = w.Home
	next.Catalogs = maps.Clone(w.view.Catalogs)
	if next.Catalogs == nil {
		next.Catalogs = map[zlunit.Service]*zlcatalog.Catalog{}
	}
	next.Rosters = maps.Clone(w.view.Rosters)
	if next.Rosters == nil {
		next.Rosters = map[zlunit.DataCentre]zlroster.Roster{}
	}
	return next
}

// setItem sets an accepted item in v; a deleted one is removed.
func (w *Watcher) setItem(v *zlview.View, item zlobject.Item) {
	switch value := item.Decoded.(type) {
	case *zlsettings.Tree:
		v.Tree = value
	case *zlmark.Marks:
		// At the first marks no upstream returns to service, so none ramps up.
		if v.Marks != nil {
			v.Ramps = v.Ramps.Advance(v.Marks, value, w.Timer.Now())
		}
		v.Marks = value
	case *zlcatalog.Catalog:
		v.Catalogs[zlunit.Service(item.Key.Name)] = value
	case zlroster.Roster:
		v.Rosters[zlunit.DataCentre(item.Key.Name)] = value
	case nil:
		w.removeItem(v, item)
	}
}

func (w *Watcher) removeItem(v *zlview.View, item zlobject.Item) {
	if zlplatform.ObjectKind(item.Key.Kind) == zlplatform.ObjectCatalog {
		delete(v.Catalogs, zlunit.Service(item.Key.Name))
		return
	}
	delete(v.Rosters, zlunit.DataCentre(item.Key.Name))
}

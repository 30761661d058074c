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

// decode is the store's Decode.
func decode(held, next *zlobject.Item) (any, error) {
	kind := zlplatform.ObjectKind(next.Key.Kind)
	_, isRecord := targetOf(kind, next.Key.Name)
	if next.Deleted {
		if isRecord {
			return nil, eris.New("a record cannot be deleted")
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
		return nil, eris.Errorf("found kind %q, which daemons do not follow", kind)
	}
}

// rebuild makes a view with the taken items and stores it; f.mu is held.
func (f *Follower) rebuild(taken []zlobject.Item) {
	next := f.copyView()
	for _, item := range taken {
		f.put(&next, item)
	}
	f.view = next
	built := next
	f.Views.Store(built.Build())
}

// copyView copies the view with maps of its own.
func (f *Follower) copyView() zlview.View {
	next := f.view
	next.Deployment = f.Deployment
	next.Home = f.Home
	next.Catalogs = maps.Clone(f.view.Catalogs)
	if next.Catalogs == nil {
		next.Catalogs = map[zlunit.Service]*zlcatalog.Catalog{}
	}
	next.Rosters = maps.Clone(f.view.Rosters)
	if next.Rosters == nil {
		next.Rosters = map[zlunit.DataCentre]zlroster.Roster{}
	}
	return next
}

func (f *Follower) put(v *zlview.View, item zlobject.Item) {
	switch value := item.Decoded.(type) {
	case *zlsettings.Tree:
		v.Tree = value
	case *zlmark.Marks:
		// Without a view there was no work that a return could bring back.
		if v.Marks != nil {
			v.Ramps = v.Ramps.Advance(v.Marks, value, f.Timer.Now())
		}
		v.Marks = value
	case *zlcatalog.Catalog:
		v.Catalogs[zlunit.Service(item.Key.Name)] = value
	case zlroster.Roster:
		v.Rosters[zlunit.DataCentre(item.Key.Name)] = value
	case nil:
		f.remove(v, item)
	}
}

func (f *Follower) remove(v *zlview.View, item zlobject.Item) {
	if zlplatform.ObjectKind(item.Key.Kind) == zlplatform.ObjectCatalog {
		delete(v.Catalogs, zlunit.Service(item.Key.Name))
		return
	}
	delete(v.Rosters, zlunit.DataCentre(item.Key.Name))
}

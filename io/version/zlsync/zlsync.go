// Package zlsync follows the platform's objects and keeps the daemon's view of
// them current. Versions only grow in it.
package zlsync

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/core/version/zlmark"
	"zinnialock/core/version/zlroster"
	"zinnialock/core/version/zltree"
	"zinnialock/core/version/zlview"
	"zinnialock/io/process/zlplatform"

	"github.com/phuslu/log"
)

const (
	// watchWait is how long the platform holds a watch when nothing changes.
	watchWait = time.Second
	// retryPause is the pause after a failed call, lengthened at random.
	retryPause = 200 * time.Millisecond
	// MarksName is the name of the marks object, the only one of its kind.
	MarksName = "all"
	// TreeName is the name of the settings tree's object, the only one.
	TreeName = "tree"
)

// Kinds lists what a daemon follows.
var Kinds = []zlplatform.ObjectKind{
	zlplatform.ObjectSettings,
	zlplatform.ObjectMarks,
	zlplatform.ObjectCatalog,
	zlplatform.ObjectRoster,
}

type objectKey struct {
	kind zlplatform.ObjectKind
	name string
}

// Follower watches the platform. The exported fields must be set before Run.
type Follower struct {
	Deployment zlunit.Deployment
	Home       zlunit.DataCentre
	Platform   *zlplatform.Client
	Timer      *zltimer.Service
	Views      *zlview.Holder
	Log        *log.Logger

	mu       sync.Mutex
	revision zlunit.ObjectVersion
	versions map[objectKey]zlunit.ObjectVersion
	view     zlview.View
}

// Run follows the platform until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.Poll(ctx, watchWait); err != nil {
			f.Log.Warn().Err(err).Msg("sync: watch failed")
			if !f.Timer.Sleep(ctx.Done(), retryPause) {
				return
			}
		}
	}
}

// Poll makes one watch call and applies what it brings.
func (f *Follower) Poll(ctx context.Context, wait time.Duration) error {
	f.mu.Lock()
	after := f.revision
	f.mu.Unlock()
	started := f.Timer.Now()
	listing, err := f.Platform.Watch(ctx, Kinds, after, wait)
	if err != nil {
		return err
	}
	f.apply(listing)
	f.Views.Confirm(started)
	return nil
}

func (f *Follower) apply(l *zlplatform.Listing) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.versions == nil {
		f.versions = map[objectKey]zlunit.ObjectVersion{}
	}
	changed := f.Views.Load() == nil
	next := f.copyView()
	for _, o := range l.Objects {
		key := objectKey{
			kind: o.Kind,
			name: o.Name,
		}
		if o.Version <= f.versions[key] {
			continue
		}
		if err := applyObject(&next, o); err != nil {
			f.Log.Error().Err(err).Str("kind", string(o.Kind)).Str("name", o.Name).Msg("sync: object refused")
			continue
		}
		f.versions[key] = o.Version
		changed = true
	}
	f.revision = max(f.revision, l.Revision)
	if !changed {
		return
	}
	f.view = next
	built := next
	f.Views.Store(built.Build())
}

// copyView copies the view with maps of its own.
func (f *Follower) copyView() zlview.View {
	next := zlview.View{
		Deployment: f.Deployment,
		Home:       f.Home,
		Catalogs:   make(map[zlunit.Service]*zlcatalog.Catalog, len(f.view.Catalogs)),
		Tree:       f.view.Tree,
		Marks:      f.view.Marks,
		Rosters:    make(map[zlunit.DataCentre]zlroster.Roster, len(f.view.Rosters)),
	}
	for k, v := range f.view.Catalogs {
		next.Catalogs[k] = v
	}
	for k, v := range f.view.Rosters {
		next.Rosters[k] = v
	}
	return next
}

func applyObject(v *zlview.View, o zlplatform.Object) error {
	switch o.Kind {
	case zlplatform.ObjectSettings:
		tree, err := zltree.Decode(o.Value)
		if err != nil {
			return err
		}
		v.Tree = tree
	case zlplatform.ObjectMarks:
		var marks zlmark.Marks
		if err := json.Unmarshal(o.Value, &marks); err != nil {
			return err
		}
		v.Marks = &marks
	case zlplatform.ObjectCatalog:
		return applyCatalog(v, o)
	case zlplatform.ObjectRoster:
		return applyRoster(v, o)
	default:
		// Daemons follow no other kind.
	}
	return nil
}

func applyCatalog(v *zlview.View, o zlplatform.Object) error {
	if o.Deleted {
		delete(v.Catalogs, zlunit.Service(o.Name))
		return nil
	}
	c, err := zlcatalog.Decode(o.Value)
	if err != nil {
		return err
	}
	v.Catalogs[c.Service] = c
	return nil
}

func applyRoster(v *zlview.View, o zlplatform.Object) error {
	dc := zlunit.DataCentre(o.Name)
	if o.Deleted {
		delete(v.Rosters, dc)
		return nil
	}
	var r zlroster.Roster
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return err
	}
	r.Epoch = o.Version
	v.Rosters[dc] = r
	return nil
}

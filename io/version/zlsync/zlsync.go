// Package zlsync follows the platform's objects, keeps the daemon's view of
// them current, and changes the records that operators edit. Versions only grow
// in it.
package zlsync

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlobject"
	"zinnialock/core/version/zlview"
	"zinnialock/io/process/zlplatform"

	"github.com/phuslu/log"
)

const (
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

// Follower watches the platform, takes news from other daemons, and keeps the
// view. The exported fields must be set before Run.
type Follower struct {
	Deployment zlunit.Deployment
	Home       zlunit.DataCentre
	Platform   Platform
	Timer      *zltimer.Service
	Views      *zlview.CurrentView
	Log        *log.Logger
	// Count, if set, counts what was refused, repaired and failed, by reason.
	Count func(what, reason string)
	// Taken, if set, is called after news came into force.
	Taken func()

	once      sync.Once
	store     *zlobject.Store
	mu        sync.Mutex
	revision  zlunit.ObjectVersion
	view      zlview.View
	confirmed atomic.Pointer[time.Time]
	// woken tells that the last watch brought something.
	woken     atomic.Bool
	repairing atomic.Bool
	repairs   sync.WaitGroup
}

func (f *Follower) init() {
	f.once.Do(func() {
		f.store = &zlobject.Store{
			Decode: decode,
		}
	})
}

// Store returns what the follower holds of the platform's objects.
func (f *Follower) Store() *zlobject.Store {
	f.init()
	return f.store
}

// Confirmed returns the latest local time as of which the platform itself
// confirmed that the view is current, or false if it never did. Views.Heard
// includes what other daemons confirmed.
func (f *Follower) Confirmed() (time.Time, bool) {
	t := f.confirmed.Load()
	if t == nil {
		return time.Time{}, false
	}
	return *t, true
}

// Poll makes one watch call and applies what it brings.
func (f *Follower) Poll(ctx context.Context, wait time.Duration) error {
	f.init()
	f.mu.Lock()
	after := f.revision
	f.mu.Unlock()
	started := f.Timer.Now()
	listing, err := f.Platform.Watch(ctx, Kinds, after, wait)
	if err != nil {
		if zlplatform.Is(err, zlplatform.KindRejected) {
			f.startOver("watch was rejected")
		}
		return err
	}
	if listing.Revision < after {
		f.startOver("the platform's revision went back")
		return nil
	}
	f.applyListing(ctx, listing)
	f.Views.Confirm(started)
	f.confirmed.Store(&started)
	return nil
}

// startOver makes the next watch list everything.
func (f *Follower) startOver(why string) {
	f.mu.Lock()
	f.revision = 0
	f.mu.Unlock()
	f.count("startOver", why)
	f.Log.Warn().Str("why", why).Msg("sync: listing everything anew")
}

func (f *Follower) applyListing(ctx context.Context, l *zlplatform.Listing) {
	items := make([]zlobject.Item, 0, len(l.Objects))
	for _, o := range l.Objects {
		items = append(items, itemOf(o))
	}
	f.woken.Store(len(items) > 0)
	result := f.Take(items)
	f.mu.Lock()
	f.revision = max(f.revision, l.Revision)
	f.mu.Unlock()
	f.checkPlatform(ctx, &result)
}

func itemOf(o zlplatform.Object) zlobject.Item {
	return zlobject.Item{
		Key: zlobject.Key{
			Kind: string(o.Kind),
			Name: o.Name,
		},
		Rank:    zlobject.RankOf(o.Version, o.Value),
		Value:   o.Value,
		Deleted: o.Deleted,
	}
}

// Take brings into force those items that are newer than what is held.
func (f *Follower) Take(items []zlobject.Item) zlobject.Result {
	f.init()
	f.mu.Lock()
	result := f.store.Offer(items, f.Timer.Now())
	if len(result.Accepted) > 0 || f.Views.Load() == nil {
		f.rebuild(result.Accepted)
	}
	f.mu.Unlock()
	for _, r := range result.Rejected {
		f.count("refusedNews", r.Item.Key.Kind)
		f.Log.Error().Err(r.Err).Str("kind", r.Item.Key.Kind).Str("name", r.Item.Key.Name).Msg("sync: object refused, the old one stays in force")
	}
	if len(result.Accepted) > 0 && f.Taken != nil {
		f.Taken()
	}
	return result
}

func (f *Follower) count(what, reason string) {
	if f.Count != nil {
		f.Count(what, reason)
	}
}

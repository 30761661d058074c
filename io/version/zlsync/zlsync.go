// Package zlsync connects a daemon of zinnialock serve to the platform's objects;
// its counterpart in the relay is zlwatcher. Its Watcher polls and watches them and
// publishes each new view to a zlview.CurrentView; an object in the view is only
// ever replaced by a newer one. Its Editor and RosterStore write edits of the
// records and of the roster to the platform, by conditional updates. Updates between
// daemons are the task of zlgossip.
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
	// TreeName is the name of the settings tree's object, the only one of its kind.
	TreeName = "tree"
)

// Kinds lists the kinds of objects that a daemon watches.
var Kinds = []zlplatform.ObjectKind{
	zlplatform.ObjectSettings,
	zlplatform.ObjectMarks,
	zlplatform.ObjectCatalog,
	zlplatform.ObjectRoster,
}

// Watcher watches the platform, takes updates from other daemons, and maintains
// the view. The exported fields must be set before use. Store, Confirmed and
// ApplyItems may be called at the same time as Run.
type Watcher struct {
	Deployment zlunit.Deployment
	// Home is the daemon's own data centre.
	Home     zlunit.DataCentre
	Platform Platform
	Timer    *zltimer.Service
	// Views receives each new view.
	Views *zlview.CurrentView
	Log   *log.Logger
	// Count, if set, counts rejected objects, repairs and failures, by reason.
	Count func(what, reason string)
	// OnUpdate, if set, is called after updates came into force.
	OnUpdate func()

	once  sync.Once
	store *zlobject.Store
	// mu guards revision and view.
	mu sync.Mutex
	// revision is the platform's revision that the next watch starts after.
	revision zlunit.ObjectVersion
	view     zlview.View
	// confirmed is the latest time as of which the platform confirmed the view.
	confirmed atomic.Pointer[time.Time]
	// lastWatchHadChanges is true if the last listing held objects.
	lastWatchHadChanges atomic.Bool
	// repairing is true while a repair runs, which repairs waits for.
	repairing atomic.Bool
	repairs   sync.WaitGroup
}

func (w *Watcher) init() {
	w.once.Do(func() {
		w.store = &zlobject.Store{
			Decode: decode,
		}
	})
}

// Store returns the watcher's store of platform objects.
func (w *Watcher) Store() *zlobject.Store {
	w.init()
	return w.store
}

// Confirmed returns the latest local time as of which the platform itself
// confirmed that the view is current, or false if it never did.
// Views.ConfirmedAt includes what other daemons confirmed.
func (w *Watcher) Confirmed() (time.Time, bool) {
	t := w.confirmed.Load()
	if t == nil {
		return time.Time{}, false
	}
	return *t, true
}

// Poll makes one watch call, which the platform holds for up to wait, and applies
// the listing that it returns.
func (w *Watcher) Poll(ctx context.Context, wait time.Duration) error {
	w.init()
	w.mu.Lock()
	after := w.revision
	w.mu.Unlock()
	started := w.Timer.Now()
	listing, err := w.Platform.Watch(ctx, Kinds, after, wait)
	if err != nil {
		if zlplatform.Is(err, zlplatform.KindRejected) {
			w.relist("watch was rejected")
		}
		return err
	}
	if listing.Revision < after {
		w.relist("the platform's revision went back")
		return nil
	}
	w.applyListing(ctx, listing)
	w.Views.Confirm(started)
	w.confirmed.Store(&started)
	return nil
}

// relist makes the next watch list all objects.
func (w *Watcher) relist(reason string) {
	w.mu.Lock()
	w.revision = 0
	w.mu.Unlock()
	w.count("startOver", reason)
	w.Log.Warn().Str("why", reason).Msg("sync: listing all objects again")
}

func (w *Watcher) applyListing(ctx context.Context, l *zlplatform.Listing) {
	items := make([]zlobject.Item, 0, len(l.Objects))
	for _, o := range l.Objects {
		items = append(items, itemOf(o))
	}
	w.lastWatchHadChanges.Store(len(items) > 0)
	result := w.ApplyItems(items)
	w.mu.Lock()
	w.revision = max(w.revision, l.Revision)
	w.mu.Unlock()
	w.checkPlatform(ctx, &result)
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

// ApplyItems accepts the items that are newer than those held and brings them into
// force.
func (w *Watcher) ApplyItems(items []zlobject.Item) zlobject.Result {
	w.init()
	w.mu.Lock()
	result := w.store.Offer(items, w.Timer.Now())
	if len(result.Accepted) > 0 || w.Views.Load() == nil {
		w.rebuild(result.Accepted)
	}
	w.mu.Unlock()
	for _, r := range result.Rejected {
		w.count("refusedNews", r.Item.Key.Kind)
		w.Log.Error().Err(r.Err).Str("kind", r.Item.Key.Kind).Str("name", r.Item.Key.Name).Msg("sync: object rejected, the previous one stays in force")
	}
	if len(result.Accepted) > 0 && w.OnUpdate != nil {
		w.OnUpdate()
	}
	return result
}

func (w *Watcher) count(what, reason string) {
	if w.Count != nil {
		w.Count(what, reason)
	}
}

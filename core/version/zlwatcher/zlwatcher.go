// Package zlwatcher keeps a zlregistry.Registry of the relay up to date from the
// platform's store; its counterpart in zinnialock serve is zlsync. It lists each
// topic, watches it for changes, and lists it again after a failed watch; while the
// store does not answer, it only probes it. It also takes and hands out deltas for
// other VMs, but sends no messages itself (see zlbroadcast), and doesn't decide
// which VM asks the store (see zlpoller).
package zlwatcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zlrevision"
	"zinnialock/core/version/zlrollout"
	"zinnialock/core/version/zltable"
)

const (
	// watchTimeout is how long one watch waits at the store. A watch that the store took
	// while it was down for a moment is never answered, and no probe shows it: with the
	// second that a call may take, it is found within 5 s. A change after the contact
	// window (4 s) must be in force within the bound (3 s).
	watchTimeout = 4 * time.Second
	// shortWatchTime is how long after the start and after each list watches wait only
	// for the topic's watch interval: a watch that the store accepts while it drops its
	// history may never report a change. It equals the contact window of the platform's
	// settings.
	shortWatchTime = 4 * time.Second
	// The watch intervals are the least time between two watches of a topic that
	// changes often, and so the age that an update may reach. They are well under
	// the bounds of the platform's settings (3 s for routes and drains, 5 s for
	// data centres), with room for one failed call.
	tableWatchInterval   = 800 * time.Millisecond
	replicaWatchInterval = 800 * time.Millisecond
	outWatchInterval     = 1500 * time.Millisecond
	// rolloutWatchInterval is less than that of the others: a status that the first VM
	// wrote reaches the others by it, and a short roll-out lasts 12 s.
	rolloutWatchInterval = 400 * time.Millisecond
	// applyMargin is subtracted from the time in which a table must be in force. It
	// covers a heartbeat between VMs and late timers on a busy VM.
	applyMargin = 300 * time.Millisecond
	// probeInterval is the time between probes of a store that answers. Probes detect
	// an outage, which watches alone don't: a watch that the store accepted during the
	// outage may never return. After an outage, updates must be in force within the
	// contact window (4 s) plus the bound (3 s), which is 7 s.
	probeInterval = 500 * time.Millisecond
	// peerCheckInterval is how often a VM that is updated by its peers checks that it
	// still is.
	peerCheckInterval = 50 * time.Millisecond
	// startCheckInterval is how often a VM that has listed nothing yet checks whether
	// it may ask the store.
	startCheckInterval = 2 * time.Millisecond
	// lostProbeMin and lostProbeMax bound the random time between probes of a store
	// that does not answer.
	lostProbeMin = 300 * time.Millisecond
	lostProbeMax = 600 * time.Millisecond
	// maxListPages bounds a list: 100 pages have about 50,000 records.
	maxListPages = 100
	// emptyTableDelay is the time to the next list if no table was written yet, or if the
	// list of a topic failed that not each VM follows.
	emptyTableDelay = 700 * time.Millisecond
)

// Topic is a kind of record in the store that is listed and watched separately.
type Topic int

// The topics.
const (
	TopicTable Topic = iota
	TopicReplicas
	TopicOutOfService
	// TopicRollouts is followed only if Watcher.OnOrders is set.
	TopicRollouts
)

// NumTopics is the number of topics, and NumCommonTopics of those that each VM follows,
// which are the first ones.
const (
	NumTopics       = 4
	NumCommonTopics = 3
)

// String implements fmt.Stringer.
func (t Topic) String() string {
	switch t {
	case TopicTable:
		return "table"
	case TopicReplicas:
		return "replicas"
	case TopicOutOfService:
		return "outOfService"
	case TopicRollouts:
		return "rollouts"
	default:
		return "unknown"
	}
}

// Item is one record of a topic: a *TableItem, *ReplicaItem, *OutOfServiceItem or
// *RolloutItem.
type Item interface {
	item()
}

// TableItem is a version of the routing table. Table is nil if it could not be decoded.
type TableItem struct {
	Table *zltable.Table
}

// ReplicaItem is a replica's entry. Replica is nil if the entry was removed or is
// not usable.
type ReplicaItem struct {
	ID      zlunit.Upstream
	Replica *zlregistry.Replica
}

// OutOfServiceItem marks a data centre as out of service.
type OutOfServiceItem struct {
	DataCentre zlunit.DataCentre
	// Removed is true if the mark was removed.
	Removed bool
}

// RolloutItem is the order of a roll-out. Order is nil if it was withdrawn or cannot be
// read.
type RolloutItem struct {
	// Name is that of the record.
	Name  string
	Order *zlrollout.Order
}

func (*TableItem) item()        {}
func (*ReplicaItem) item()      {}
func (*OutOfServiceItem) item() {}
func (*RolloutItem) item()      {}

// Page is one page of a list, or the changes that a watch returned.
type Page struct {
	Items    []Item
	Revision zlrevision.Revision
	// Next is the token of the next page; empty on the last.
	Next string
}

// ErrHistoryGone is returned by Store.Watch if the store no longer keeps the changes
// after the revision.
var ErrHistoryGone = errors.New("zlwatcher: watch: the store no longer keeps the history after the revision")

// errEndlessList ends a list that does not advance or has too many pages.
var errEndlessList = errors.New("zlwatcher: list: the store sends pages without end")

// Store is the platform's store. Each call has its own timeout. Calls may be
// concurrent.
type Store interface {
	// Probe probes the store by the cheapest call that shows whether it answers.
	// It returns the store's era.
	Probe(ctx context.Context) (zlrevision.Era, error)
	// List returns the page of a topic that begins at the token after; "" is the
	// first page.
	List(ctx context.Context, t Topic, after string) (*Page, error)
	// Watch waits up to wait for changes of a topic after the revision. A page
	// without items means that there were none.
	Watch(ctx context.Context, t Topic, revision zlrevision.Revision, wait time.Duration) (*Page, error)
}

// PollPolicy decides whether this VM asks the store or relies on the updates of its
// peers, the other VMs of the data centre.
type PollPolicy interface {
	// UpdatedByPeers reports whether peers recently confirmed what this VM holds, so that it
	// need not ask the store. storeLost says that this VM cannot reach the store; for
	// the VM that is first in line to ask, the result is true only then.
	UpdatedByPeers(storeLost bool) bool
	// MayPoll reports whether this VM lists and watches the store itself.
	MayPoll() bool
	// PeersConfirmedAt returns the newest time at which the store confirmed, as peers
	// report, all that this VM holds; zero if it never did.
	PeersConfirmedAt() time.Time
	// StoreRegained notes that a probe of this VM reached the store again. Peers may
	// have reached it as well.
	StoreRegained()
}

// Watcher follows all topics. Exported fields must be set before Run. Its methods
// may be called concurrently.
type Watcher struct {
	Timer *zltimer.Service
	// Registry receives the updates.
	Registry *zlregistry.Registry
	Store    Store
	// Sink receives the changes of the store's and the watches' state; may be nil.
	Sink zldecision.Sink
	// Done ends Run when it is closed.
	Done <-chan struct{}
	// PollPolicy is nil if this VM always asks the store itself.
	PollPolicy PollPolicy
	// UpdateBound is the time in which a table must be in force; 0 means at once.
	UpdateBound time.Duration
	// OnUpdate is called with each update that came from the store, to be sent to
	// peers; may be nil.
	OnUpdate func(t Topic, d *Delta)
	// OnOrders is called with all orders of roll-outs whenever they change, and must not
	// call the watcher. If it is nil, TopicRollouts is not followed.
	OnOrders func(orders []zlrollout.Order, at time.Time)

	topics [NumTopics]topicState
	mu     sync.Mutex
	// answeredAt is the time at which the latest answered probe or list was sent.
	answeredAt time.Time
	// tableConfirmedAt is the latest time at which the store confirmed the table.
	tableConfirmedAt time.Time
	// unreachableSince is the time at which the store stopped answering; zero while it
	// answers. regained is closed when it answers again. storeCtx is the context of the
	// calls to the store, which cancelCalls ends when the store is lost.
	unreachableSince time.Time
	regained         chan struct{}
	storeCtx         context.Context
	cancelCalls      context.CancelFunc
	// era is the newest known era of the store.
	era zlrevision.Era
	// heldOut names the data centres that were out of service before the store last went
	// back; until heldOutUntil they stay so.
	heldOut      map[zlunit.DataCentre]bool
	heldOutUntil time.Time
}

// Run follows the topics and returns after Done is closed.
func (w *Watcher) Run() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.mu.Lock()
	w.storeCtx, w.cancelCalls = context.WithCancel(ctx)
	w.mu.Unlock()
	var group sync.WaitGroup
	for t := range Topic(NumTopics) {
		if w.Follows(t) {
			group.Go(func() {
				w.follow(t)
			})
		}
	}
	group.Go(func() {
		w.probeLoop(ctx)
	})
	<-w.Done
	cancel()
	group.Wait()
}

// Follows reports whether this VM follows a topic.
func (w *Watcher) Follows(t Topic) bool {
	return t < NumCommonTopics || t == TopicRollouts && w.OnOrders != nil
}

func (w *Watcher) isDone() bool {
	select {
	case <-w.Done:
		return true
	default:
		return false
	}
}

// probeLoop probes the store and tracks whether it answers.
func (w *Watcher) probeLoop(ctx context.Context) {
	for {
		lost := w.lost()
		updatedByPeers := w.PollPolicy != nil && w.PollPolicy.UpdatedByPeers(lost)
		w.setOutage(lost && !updatedByPeers)
		wait, due := w.nextProbe(ctx, lost, updatedByPeers)
		if !w.Timer.Sleep(w.Done, wait) {
			return
		}
		if !due {
			continue
		}
		at := w.Timer.Now()
		era, err := w.Store.Probe(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			w.markLost("pulse", err)
		default:
			w.noteAnswer(at)
			w.noteEra(era)
			w.noteConfirmed(TopicTable, w.ConfirmedAt())
			if w.PollPolicy != nil && w.lost() {
				w.PollPolicy.StoreRegained()
			}
			w.markRegained(ctx, "pulse")
		}
	}
}

// nextProbe returns the time to wait and whether a probe is due after it. None is due
// while peers bring the updates, or while this VM still waits for them to.
func (w *Watcher) nextProbe(ctx context.Context, lost, updatedByPeers bool) (wait time.Duration, due bool) {
	switch {
	case updatedByPeers && w.PollPolicy.UpdatedByPeers(false):
		w.markRegained(ctx, "others")
		return peerCheckInterval, false
	case lost:
		return lostProbeMin + time.Duration(rand.Float64()*float64(lostProbeMax-lostProbeMin)), true
	case w.PollPolicy != nil && !w.PollPolicy.MayPoll():
		return peerCheckInterval, false
	default:
		return probeInterval, true
	}
}

// watchInterval returns the least time between two watches of the topic.
func (t Topic) watchInterval() time.Duration {
	switch t {
	case TopicReplicas:
		return replicaWatchInterval
	case TopicOutOfService:
		return outWatchInterval
	case TopicRollouts:
		return rolloutWatchInterval
	default:
		return tableWatchInterval
	}
}

// follow lists and watches one topic until Done is closed.
func (w *Watcher) follow(t Topic) {
	state := &w.topics[t]
	for {
		ctx := w.waitForStore()
		if ctx == nil {
			return
		}
		if w.PollPolicy != nil && !w.PollPolicy.MayPoll() {
			state.stopWatch()
			wait := peerCheckInterval
			if !state.isListed() {
				wait = startCheckInterval
			}
			w.Timer.Sleep(w.Done, wait)
			continue
		}
		var err error
		var pause time.Duration
		callCtx, cancel := context.WithCancel(ctx)
		state.beginCall(cancel)
		listed := state.isListed()
		if listed {
			pause, err = w.watch(callCtx, t, state)
		} else {
			pause, err = w.list(callCtx, t, state)
		}
		interrupted := callCtx.Err() != nil
		cancel()
		switch {
		case interrupted:
			state.requireList()
			continue
		case errors.Is(err, errEraChanged):
			state.requireList()
			continue
		case err != nil && listed:
			// A failed watch may have missed changes that the store no longer
			// keeps; only a list includes them for sure.
			w.noteDependency("watch", "lost", t.String()+": "+err.Error(), 0)
			w.withdrawConfirmation(t)
			state.requireList()
		case err != nil && t >= NumCommonTopics:
			// A store that does not serve the topic must not count as lost.
			w.noteDependency("list", "failed", t.String()+": "+err.Error(), 0)
			pause = emptyTableDelay
		case err != nil:
			w.markLost(t.String(), err)
		}
		w.Timer.Sleep(w.Done, pause)
	}
}

// noteDependency notes in the decision log that the state of a dependency changed. out is
// the length of the outage that ended.
func (w *Watcher) noteDependency(name, state, why string, out time.Duration) {
	if w.Sink != nil {
		w.Sink.Record(&zldecision.Dependency{
			Name:  name,
			State: state,
			Why:   why,
			Out:   out,
		})
	}
}

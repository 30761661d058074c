// Package zlfollow keeps a zlregistry.Book up to date from the platform's store:
// it lists each topic, watches it for changes, and lists it again after a failed
// watch. While the store does not answer, it only probes it. It also takes and
// hands out deltas for other VMs, but sends no messages itself (see zlcast), and
// doesn't decide which VM asks the store (see zlfeed).
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
	"zinnialock/core/version/zltable"
)

const (
	// watchTimeout is how long one watch waits at the store. It is less than the 20 s
	// of history that the store keeps, so that the next watch can resume from there.
	watchTimeout = 15 * time.Second
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
	// applyMargin is subtracted from the time in which a table must be in force. It
	// covers a heartbeat between VMs and late timers on a busy VM.
	applyMargin = 300 * time.Millisecond
	// probeInterval is the time between probes of a store that answers. Watches alone
	// don't show an outage, since one that the store accepted during it may never
	// return, and after an outage updates are due within the contact window (4 s)
	// plus the bound (3 s).
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
	// emptyTableDelay is the time to the next list if no table was written yet.
	emptyTableDelay = 700 * time.Millisecond
)

// Topic is a kind of record in the store that is listed and watched separately.
type Topic int

// The topics.
const (
	TopicTable Topic = iota
	TopicReplicas
	TopicOutOfService
)

// NumTopics is the number of topics.
const NumTopics = 3

// String implements fmt.Stringer.
func (t Topic) String() string {
	switch t {
	case TopicTable:
		return "table"
	case TopicReplicas:
		return "replicas"
	case TopicOutOfService:
		return "outOfService"
	default:
		return "unknown"
	}
}

// Item is one record of a topic: a *TableItem, *ReplicaItem or *OutItem.
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

func (*TableItem) item()        {}
func (*ReplicaItem) item()      {}
func (*OutOfServiceItem) item() {}

// Page is one page of a list, or the changes that a watch returned.
type Page struct {
	Items    []Item
	Revision uint64
	// Next is the token of the next page; empty on the last.
	Next string
}

// ErrHistoryGone is returned by Store.Watch if the store no longer keeps the changes
// after the revision.
var ErrHistoryGone = errors.New("zlfollow: watch: the store no longer keeps the history after the revision")

// Store is the platform's store. Each call has its own timeout. Calls may be
// concurrent.
type Store interface {
	// Probe probes the store by the cheapest call that shows whether it answers.
	Probe(ctx context.Context) error
	// List returns the page of a topic that begins at the token after; "" is the
	// first page.
	List(ctx context.Context, t Topic, after string) (*Page, error)
	// Watch waits up to wait for changes of a topic after the revision. A page
	// without items means that there were none.
	Watch(ctx context.Context, t Topic, revision uint64, wait time.Duration) (*Page, error)
}

// PollPolicy decides whether this VM asks the store or relies on the updates of its
// peers, the other VMs of the data centre.
type PollPolicy interface {
	// FedByPeers reports whether peers recently confirmed what this VM holds, so that it
	// need not ask the store. For the VM that is first in line to ask, it is true
	// only if lost is set, which says that this VM cannot reach the store.
	FedByPeers(lost bool) bool
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

	topics [NumTopics]topicState
	mu     sync.Mutex
	// answeredAt is the time at which the latest answered probe or list was sent.
	answeredAt time.Time
	// unreachableSince is the time since which the store does not answer; zero while it
	// does. regained is closed when it answers again. storeCtx is the context of the
	// calls to the store, which cancelCalls ends when the store is lost.
	unreachableSince time.Time
	regained         chan struct{}
	storeCtx         context.Context
	cancelCalls      context.CancelFunc
}

// Run follows the topics and returns after Done is closed.
func (f *Watcher) Run() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f.mu.Lock()
	f.storeCtx, f.cancelCalls = context.WithCancel(ctx)
	f.mu.Unlock()
	var group sync.WaitGroup
	for _, t := range []Topic{TopicTable, TopicReplicas, TopicOutOfService} {
		group.Go(func() {
			f.follow(t)
		})
	}
	group.Go(func() {
		f.probeLoop(ctx)
	})
	<-f.Done
	cancel()
	group.Wait()
}

func (f *Watcher) isDone() bool {
	select {
	case <-f.Done:
		return true
	default:
		return false
	}
}

// probeLoop probes the store and tracks whether it answers.
func (f *Watcher) probeLoop(ctx context.Context) {
	for {
		lost := f.lost()
		fedByPeers := f.PollPolicy != nil && f.PollPolicy.FedByPeers(lost)
		f.setOutage(lost && !fedByPeers)
		wait, due := f.nextProbe(ctx, lost, fedByPeers)
		if !f.Timer.Sleep(f.Done, wait) {
			return
		}
		if !due {
			continue
		}
		at := f.Timer.Now()
		err := f.Store.Probe(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			f.markLost("pulse", err)
		default:
			f.noteAnswer(at)
			if f.PollPolicy != nil && f.lost() {
				f.PollPolicy.StoreRegained()
			}
			f.markRegained(ctx, "pulse")
		}
	}
}

// nextProbe returns the time to wait and whether a probe is due after it. None is due
// while peers bring the updates, or while this VM still waits for them to.
func (f *Watcher) nextProbe(ctx context.Context, lost, fedByPeers bool) (wait time.Duration, due bool) {
	switch {
	case fedByPeers && f.PollPolicy.FedByPeers(false):
		f.markRegained(ctx, "others")
		return peerCheckInterval, false
	case lost:
		return lostProbeMin + time.Duration(rand.Float64()*float64(lostProbeMax-lostProbeMin)), true
	case f.PollPolicy != nil && !f.PollPolicy.MayPoll():
		return peerCheckInterval, false
	default:
		return probeInterval, true
	}
}

// noteAnswer notes that the store answered a call sent at the given time.
func (f *Watcher) noteAnswer(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.answeredAt) {
		f.answeredAt = at
	}
}

// setOutage sets whether the book counts the store as out. While peers bring its
// updates it doesn't, however long this VM cannot reach it.
func (f *Watcher) setOutage(outage bool) {
	if outage {
		f.Registry.MarkFailing()
	} else {
		f.Registry.MarkAnswering()
	}
}

// ConfirmedAt returns the latest time at which the store confirmed to this VM all that
// it holds; zero while it does not watch all topics or the store does not answer.
func (f *Watcher) ConfirmedAt() time.Time {
	for i := range f.topics {
		if !f.topics[i].isWatched() {
			return time.Time{}
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.unreachableSince.IsZero() {
		return time.Time{}
	}
	return f.answeredAt
}

func (f *Watcher) lost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.unreachableSince.IsZero()
}

// markLost notes that the store does not answer and cancels all calls to it.
func (f *Watcher) markLost(why string, err error) {
	f.mu.Lock()
	if !f.unreachableSince.IsZero() {
		f.mu.Unlock()
		return
	}
	f.unreachableSince = f.Timer.Now()
	f.regained = make(chan struct{})
	cancelCalls := f.cancelCalls
	f.mu.Unlock()
	cancelCalls()
	f.setOutage(f.PollPolicy == nil || !f.PollPolicy.FedByPeers(true))
	f.noteDependency("store", "lost", why+": "+err.Error(), 0)
}

// markRegained notes that the store is reachable again, and resumes all topics.
func (f *Watcher) markRegained(ctx context.Context, why string) {
	f.mu.Lock()
	if f.unreachableSince.IsZero() {
		f.mu.Unlock()
		return
	}
	out := f.Timer.Now().Sub(f.unreachableSince)
	f.unreachableSince = time.Time{}
	f.storeCtx, f.cancelCalls = context.WithCancel(ctx)
	close(f.regained)
	f.mu.Unlock()
	f.setOutage(false)
	f.noteDependency("store", "regained", why, out)
}

// waitForStore waits until the store answers and returns the context for calls to it,
// or nil once Done is closed.
func (f *Watcher) waitForStore() context.Context {
	for !f.isDone() {
		f.mu.Lock()
		storeCtx, regained, lost := f.storeCtx, f.regained, !f.unreachableSince.IsZero()
		f.mu.Unlock()
		if !lost {
			return storeCtx
		}
		select {
		case <-regained:
		case <-f.Done:
		}
	}
	return nil
}

// watchInterval returns the least time between two watches of the topic.
func (t Topic) watchInterval() time.Duration {
	switch t {
	case TopicReplicas:
		return replicaWatchInterval
	case TopicOutOfService:
		return outWatchInterval
	default:
		return tableWatchInterval
	}
}

// follow lists and watches one topic until Done is closed.
func (f *Watcher) follow(t Topic) {
	state := &f.topics[t]
	for {
		ctx := f.waitForStore()
		if ctx == nil {
			return
		}
		if f.PollPolicy != nil && !f.PollPolicy.MayPoll() {
			state.stopWatch()
			wait := peerCheckInterval
			if !state.isListed() {
				wait = startCheckInterval
			}
			f.Timer.Sleep(f.Done, wait)
			continue
		}
		var err error
		var pause time.Duration
		listed := state.isListed()
		if listed {
			pause, err = f.watch(ctx, t, state)
		} else {
			pause, err = f.list(ctx, t, state)
		}
		switch {
		case ctx.Err() != nil:
			state.requireList()
			continue
		case err != nil && listed:
			// A failed watch may have missed changes that the store no longer
			// keeps; only a list includes them for sure.
			f.noteDependency("watch", "lost", t.String()+": "+err.Error(), 0)
			state.requireList()
		case err != nil:
			f.markLost(t.String(), err)
		}
		f.Timer.Sleep(f.Done, pause)
	}
}

// noteDependency notes in the decision log that the state of a dependency changed. out is
// the length of the outage that ended.
func (f *Watcher) noteDependency(name, state, why string, out time.Duration) {
	if f.Sink != nil {
		f.Sink.Record(&zldecision.Dependency{
			Name:  name,
			State: state,
			Why:   why,
			Out:   out,
		})
	}
}

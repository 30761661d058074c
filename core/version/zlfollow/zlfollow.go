// Package zlfollow keeps the registry's book up to date from the platform's
// store: it lists, watches, begins anew when history is gone, and calls a store
// that does not answer no more often than it must.
package zlfollow

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
	// watchWait is how long one watch waits at the store: less than the 20 s of
	// history that it keeps, so that the next can go on from there.
	watchWait = 15 * time.Second
	// doubtTime is for how long this VM's first watches, and those after a list, wait
	// no longer than the news may be old: one that the store takes while it drops its
	// history may never hear of a change. It is the contact window of the platform's
	// settings.
	doubtTime = 4 * time.Second
	// rearmTable, rearmReplicas and rearmOut space the calls of a topic in
	// which much changes. Each is the age that news may have: well under the
	// bounds of the platform's settings (3 s for routes and drains, 5 s for
	// data centres), with room for one call that fails.
	rearmTable    = 800 * time.Millisecond
	rearmReplicas = 800 * time.Millisecond
	rearmOut      = 1500 * time.Millisecond
	// applyMargin is left of the time in which a table must be in force: a beat
	// between VMs, and timers of a VM that is busy.
	applyMargin = 300 * time.Millisecond
	// pulseEach is the time between pulses, which tell that the store still
	// answers: a watch that it took in an outage may never return, and after
	// an outage news is due within the contact window (4 s) and the bound (3 s).
	pulseEach = 500 * time.Millisecond
	// feedLook is how often a VM that others feed looks whether they still do.
	feedLook = 50 * time.Millisecond
	// startLook is how often a VM without news looks whether it may ask.
	startLook = 2 * time.Millisecond
	// probeLeast and probeMost are the time between pulses to a store that
	// does not answer.
	probeLeast = 300 * time.Millisecond
	probeMost  = 600 * time.Millisecond
	// emptyPause is the time to the next look where nothing was written yet.
	emptyPause = 700 * time.Millisecond
)

// Topic is a kind of news.
type Topic int

// The topics.
const (
	TopicTable Topic = iota
	TopicReplicas
	TopicOut
)

// Topics is how many topics there are.
const Topics = 3

// String implements fmt.Stringer.
func (t Topic) String() string {
	switch t {
	case TopicTable:
		return "table"
	case TopicReplicas:
		return "replicas"
	case TopicOut:
		return "outOfService"
	default:
		return "unknown"
	}
}

// Item is one of *TableItem, *ReplicaItem and *OutItem.
type Item interface {
	item()
}

// TableItem is a version of the routes; Table is nil if it could not be read.
type TableItem struct {
	Table *zltable.Table
}

// ReplicaItem is an entry of a replica. Replica is nil if it is gone or names
// none that can be used.
type ReplicaItem struct {
	ID      zlunit.Upstream
	Replica *zlregistry.Replica
}

// OutItem marks a data centre.
type OutItem struct {
	DataCentre zlunit.DataCentre
	// In tells that the mark was taken away.
	In bool
}

func (*TableItem) item()   {}
func (*ReplicaItem) item() {}
func (*OutItem) item()     {}

// Page is a part of a list, or the news of a watch.
type Page struct {
	Items    []Item
	Revision uint64
	// Next is where the list goes on, or empty.
	Next string
}

// ErrHistoryGone tells that a watch asked for changes that are not kept.
var ErrHistoryGone = errors.New("zlfollow: history is gone")

// Store is the platform's store. All calls end by themselves.
type Store interface {
	// Pulse makes the cheapest call that shows whether the store answers.
	Pulse(ctx context.Context) error
	List(ctx context.Context, t Topic, after string) (*Page, error)
	Watch(ctx context.Context, t Topic, revision uint64, wait time.Duration) (*Page, error)
}

// Feed tells whether other VMs bring the news, so that this one need not ask.
type Feed interface {
	// Fed reports whether what this VM holds was confirmed by others lately, so
	// that it need not ask; the one that asks for all is fed only while it has
	// lost the store.
	Fed(lost bool) bool
	// MayAsk reports whether this VM is to ask the store for news itself.
	MayAsk() bool
	// Settled is the newest time at which others confirmed all that this VM holds,
	// or zero.
	Settled() time.Time
	// Regained tells that this VM has the store again by its own call; others
	// may have it as well.
	Regained()
}

// Follower follows all topics. Exported fields must be set before Run; Sink,
// Feed and Told may be nil.
type Follower struct {
	Timer *zltimer.Service
	Book  *zlregistry.Book
	Store Store
	Sink  zldecision.Sink
	Done  <-chan struct{}
	Feed  Feed
	// Within is the time in which a table must be in force; 0 means at once.
	Within time.Duration
	// Told is called with what the store said, for other VMs.
	Told func(t Topic, d *Delta)

	topics [Topics]topicState
	mu     sync.Mutex
	// pulsed is when the last pulse or list that was answered went out.
	pulsed time.Time
	// lostAt is when the store was first not to be had, or zero; back is
	// closed when it is had again, and epoch ends when it is lost.
	lostAt time.Time
	back   chan struct{}
	epoch  context.Context
	end    context.CancelFunc
}

// Run follows until Done is closed.
func (f *Follower) Run() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f.mu.Lock()
	f.epoch, f.end = context.WithCancel(ctx)
	f.mu.Unlock()
	var group sync.WaitGroup
	for _, t := range []Topic{TopicTable, TopicReplicas, TopicOut} {
		group.Go(func() {
			f.follow(t)
		})
	}
	group.Go(func() {
		f.pulse(ctx)
	})
	<-f.Done
	cancel()
	group.Wait()
}

func (f *Follower) closed() bool {
	select {
	case <-f.Done:
		return true
	default:
		return false
	}
}

// pulse watches over the store itself.
func (f *Follower) pulse(ctx context.Context) {
	for {
		lost := f.lost()
		fed := f.Feed != nil && f.Feed.Fed(lost)
		f.judge(lost && !fed)
		wait, ask := f.turn(ctx, lost, fed)
		if !f.Timer.Sleep(f.Done, wait) {
			return
		}
		if !ask {
			continue
		}
		at := f.Timer.Now()
		err := f.Store.Pulse(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			f.lose("pulse", err)
		default:
			f.answered(at)
			if f.Feed != nil && f.lost() {
				f.Feed.Regained()
			}
			f.regain(ctx, "pulse")
		}
	}
}

// turn tells how long to wait, and whether a pulse is due then: not while others
// bring the news or are waited for.
func (f *Follower) turn(ctx context.Context, lost, fed bool) (wait time.Duration, ask bool) {
	switch {
	case fed && f.Feed.Fed(false):
		f.regain(ctx, "others")
		return feedLook, false
	case lost:
		return probeLeast + time.Duration(rand.Float64()*float64(probeMost-probeLeast)), true
	case f.Feed != nil && !f.Feed.MayAsk():
		return feedLook, false
	default:
		return pulseEach, true
	}
}

func (f *Follower) answered(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.pulsed) {
		f.pulsed = at
	}
}

// judge tells the book whether the store is out. It is not while other VMs have
// its news, however long this one has lost it.
func (f *Follower) judge(out bool) {
	if out {
		f.Book.Trouble()
	} else {
		f.Book.Well()
	}
}

// Confirmed is when the store last confirmed all that this VM holds, or zero.
func (f *Follower) Confirmed() time.Time {
	for i := range f.topics {
		if !f.topics[i].isWatched() {
			return time.Time{}
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.lostAt.IsZero() {
		return time.Time{}
	}
	return f.pulsed
}

func (f *Follower) lost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.lostAt.IsZero()
}

// lose ends what waits at the store.
func (f *Follower) lose(why string, err error) {
	f.mu.Lock()
	if !f.lostAt.IsZero() {
		f.mu.Unlock()
		return
	}
	f.lostAt = f.Timer.Now()
	f.back = make(chan struct{})
	end := f.end
	f.mu.Unlock()
	end()
	f.judge(f.Feed == nil || !f.Feed.Fed(true))
	f.dependency("store", "lost", why+": "+err.Error(), 0)
}

// regain begins anew with all topics.
func (f *Follower) regain(ctx context.Context, why string) {
	f.mu.Lock()
	if f.lostAt.IsZero() {
		f.mu.Unlock()
		return
	}
	out := f.Timer.Now().Sub(f.lostAt)
	f.lostAt = time.Time{}
	f.epoch, f.end = context.WithCancel(ctx)
	close(f.back)
	f.mu.Unlock()
	f.judge(false)
	f.dependency("store", "regained", why, out)
}

// admitted waits until the store is had and returns the context of its epoch,
// or nil once the follower ends.
func (f *Follower) admitted() context.Context {
	for !f.closed() {
		f.mu.Lock()
		epoch, back, lost := f.epoch, f.back, !f.lostAt.IsZero()
		f.mu.Unlock()
		if !lost {
			return epoch
		}
		select {
		case <-back:
		case <-f.Done:
		}
	}
	return nil
}

func (t Topic) rearm() time.Duration {
	switch t {
	case TopicReplicas:
		return rearmReplicas
	case TopicOut:
		return rearmOut
	default:
		return rearmTable
	}
}

func (f *Follower) follow(t Topic) {
	state := &f.topics[t]
	for {
		ctx := f.admitted()
		if ctx == nil {
			return
		}
		if f.Feed != nil && !f.Feed.MayAsk() {
			state.unwatch()
			look := feedLook
			if !state.isListed() {
				look = startLook
			}
			f.Timer.Sleep(f.Done, look)
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
			state.unlist()
			continue
		case err != nil && listed:
			// A watch that ended badly may have missed changes that the
			// store does not keep; only a list is sure to have them.
			f.dependency("watch", "lost", t.String()+": "+err.Error(), 0)
			state.unlist()
		case err != nil:
			f.lose(t.String(), err)
		}
		f.Timer.Sleep(f.Done, pause)
	}
}

func (f *Follower) dependency(name, state, why string, out time.Duration) {
	if f.Sink != nil {
		f.Sink.Note(&zldecision.Dependency{
			Name:  name,
			State: state,
			Why:   why,
			Out:   out,
		})
	}
}

package zlfollow

import (
	"sync"
	"time"
)

// logLength is how many deltas of a topic are kept for VMs that missed some.
const logLength = 64

// Delta is the news of a topic between two revisions of the store.
type Delta struct {
	From  uint64
	To    uint64
	Items []Item
	// Full tells that the items are all there is at To; From does not count.
	Full bool
}

// topicState is what a VM holds of a topic, besides what is in the book.
type topicState struct {
	mu       sync.Mutex
	revision uint64
	// listed tells that everything up to revision is known.
	listed bool
	// watched tells that a watch waits at the store or is about to.
	watched bool
	// doubted is until when a watch may be one that hears nothing.
	doubted time.Time
	// all is the newest full state, kept up to date; log the last deltas.
	all map[string]Item
	log []*Delta
}

func (s *topicState) isListed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listed
}

func (s *topicState) isWatched() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listed && s.watched
}

func (s *topicState) unlist() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed = false
	s.watched = false
}

// watch notes that this VM watches from the revision that it returns, and tells
// whether the watch is in doubt; unwatch notes that it watches no longer. Between two
// watches a topic counts as watched.
func (s *topicState) watch(now time.Time) (from uint64, doubted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.watched {
		s.watched = true
		s.doubted = now.Add(doubtTime)
	}
	return s.revision, now.Before(s.doubted)
}

func (s *topicState) unwatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watched = false
}

// key names an item within its topic; gone tells that it is to be dropped.
func key(i Item) (name string, gone bool) {
	switch i := i.(type) {
	case *TableItem:
		return "table", i.Table == nil
	case *ReplicaItem:
		return string(i.ID), i.Replica == nil
	case *OutItem:
		return string(i.DataCentre), i.In
	default:
		return "", true
	}
}

// take applies a delta to the book and keeps it for others; own tells that the
// store itself said so.
func (f *Follower) take(t Topic, d *Delta, at time.Time, own bool) {
	s := &f.topics[t]
	by := f.tableBy()
	s.mu.Lock()
	if d.To <= s.revision && (!own || !d.Full) {
		s.mu.Unlock()
		f.confirm(t, at)
		return
	}
	if d.Full || s.all == nil {
		s.all = map[string]Item{}
	}
	for _, i := range d.Items {
		name, gone := key(i)
		if gone {
			delete(s.all, name)
		} else {
			s.all[name] = i
		}
	}
	if d.Full {
		s.log = nil
		f.replace(t, d.Items, at, by)
	} else {
		s.log = append(s.log, d)
		if len(s.log) > logLength {
			s.log = s.log[len(s.log)-logLength:]
		}
		f.apply(t, d.Items, at, by)
	}
	s.revision = max(s.revision, d.To)
	s.mu.Unlock()
	if own && f.Told != nil {
		f.Told(t, d)
	}
}

// Revisions are those up to which each topic is known; 0 means not known.
func (f *Follower) Revisions() [Topics]uint64 {
	var all [Topics]uint64
	for i := range f.topics {
		s := &f.topics[i]
		s.mu.Lock()
		if s.all != nil {
			all[i] = s.revision
		}
		s.mu.Unlock()
	}
	return all
}

// Offer takes a delta from another VM and reports whether this one is up to
// date with it.
func (f *Follower) Offer(t Topic, d *Delta) bool {
	s := &f.topics[t]
	s.mu.Lock()
	known, revision := s.all != nil, s.revision
	fits := d.Full || (known && d.From <= revision)
	s.mu.Unlock()
	if known && d.To <= revision {
		return true
	}
	if !fits {
		return false
	}
	f.take(t, d, f.Timer.Now(), false)
	s.mu.Lock()
	s.listed = true
	s.mu.Unlock()
	return true
}

// Since returns the news of a topic after a revision, or nil if nothing is known
// or there is none.
func (f *Follower) Since(t Topic, have uint64) *Delta {
	s := &f.topics[t]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil || have >= s.revision {
		return nil
	}
	d := &Delta{
		From: have,
		To:   s.revision,
	}
	if len(s.log) > 0 && s.log[0].From <= have && have > 0 {
		for _, l := range s.log {
			if l.To > have {
				d.Items = append(d.Items, l.Items...)
			}
		}
		return d
	}
	d.Full = true
	for _, i := range s.all {
		d.Items = append(d.Items, i)
	}
	return d
}

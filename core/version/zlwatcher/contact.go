package zlwatcher

import (
	"context"
	"time"
)

// noteAnswer notes that the store answered a call sent at the given time.
func (w *Watcher) noteAnswer(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at.After(w.answeredAt) {
		w.answeredAt = at
	}
}

// setOutage sets whether the registry counts the store as out. While peers bring its
// updates it doesn't, however long this VM cannot reach it.
func (w *Watcher) setOutage(outage bool) {
	if outage {
		w.Registry.MarkFailing()
	} else {
		w.Registry.MarkAnswering()
	}
}

// ConfirmedAt returns the latest time at which the store answered this VM while it watched all
// topics that it follows; zero while it does not, or the store does not answer. If the store
// lost a watch, a change of that topic is found up to watchTimeout and the time of a call later.
func (w *Watcher) ConfirmedAt() time.Time {
	for i := range w.topics {
		if w.Follows(Topic(i)) && !w.topics[i].isWatched() {
			return time.Time{}
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.unreachableSince.IsZero() {
		return time.Time{}
	}
	return w.answeredAt
}

// TableConfirmedAt returns the latest time at which the store confirmed the newest table that
// this VM knows; zero if it never did. Unlike ConfirmedAt it does not end with the contact to
// the store.
func (w *Watcher) TableConfirmedAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tableConfirmedAt
}

// noteConfirmed notes that the store confirmed at the given time what this VM holds of a topic.
func (w *Watcher) noteConfirmed(t Topic, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t == TopicTable && at.After(w.tableConfirmedAt) {
		w.tableConfirmedAt = at
	}
}

// withdrawConfirmation takes back what probes confirmed of a topic since the store last
// answered a watch or a list of it: the watch that failed may have been lost before.
func (w *Watcher) withdrawConfirmation(t Topic) {
	at := w.topics[t].lastAnswer()
	w.mu.Lock()
	defer w.mu.Unlock()
	if t == TopicTable && w.tableConfirmedAt.After(at) {
		w.tableConfirmedAt = at
	}
}

func (w *Watcher) lost() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.unreachableSince.IsZero()
}

// markLost notes that the store does not answer and cancels all calls to it.
func (w *Watcher) markLost(why string, err error) {
	w.mu.Lock()
	if !w.unreachableSince.IsZero() {
		w.mu.Unlock()
		return
	}
	w.unreachableSince = w.Timer.Now()
	w.regained = make(chan struct{})
	cancelCalls := w.cancelCalls
	w.mu.Unlock()
	cancelCalls()
	w.setOutage(w.PollPolicy == nil || !w.PollPolicy.UpdatedByPeers(true))
	w.noteDependency("store", "lost", why+": "+err.Error(), 0)
}

// markRegained notes that the store is reachable again, and resumes all topics.
func (w *Watcher) markRegained(ctx context.Context, why string) {
	w.mu.Lock()
	if w.unreachableSince.IsZero() {
		w.mu.Unlock()
		return
	}
	out := w.Timer.Now().Sub(w.unreachableSince)
	w.unreachableSince = time.Time{}
	w.storeCtx, w.cancelCalls = context.WithCancel(ctx)
	close(w.regained)
	w.mu.Unlock()
	w.setOutage(false)
	w.noteDependency("store", "regained", why, out)
}

// waitForStore waits until the store answers and returns the context for calls to it,
// or nil once Done is closed.
func (w *Watcher) waitForStore() context.Context {
	for !w.isDone() {
		w.mu.Lock()
		storeCtx, regained, lost := w.storeCtx, w.regained, !w.unreachableSince.IsZero()
		w.mu.Unlock()
		if !lost {
			return storeCtx
		}
		select {
		case <-regained:
		case <-w.Done:
		}
	}
	return nil
}

package zlwatcher

import (
	"errors"
	"maps"
	"strconv"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlrevision"
)

// outHold is how long after the store went back a data centre stays out of service
// although the store does not list it: operators write again what the store lost.
const outHold = 5 * time.Second

// errEraChanged ends a list or watch during which the store went back.
var errEraChanged = errors.New("zlwatcher: the store went back to an earlier state")

// noteEra notes the era of a reply and returns the newest one known. If it is a new one,
// all topics are listed again, and until then requests go on with what this VM holds: the
// store lost the newest changes, but they were in force, and their writers write them
// again. Entries that are missing are kept for the grace of an outage, and data centres
// stay out of service for outHold.
func (w *Watcher) noteEra(era zlrevision.Era) zlrevision.Era {
	w.mu.Lock()
	if era <= w.era {
		defer w.mu.Unlock()
		return w.era
	}
	isFirst := w.era == 0
	w.era = era
	if !isFirst {
		w.heldOut = maps.Clone(w.Registry.View().OutOfService)
		w.heldOutUntil = w.Timer.Now().Add(outHold)
	}
	w.mu.Unlock()
	if !isFirst {
		w.Registry.MarkRestored()
		w.noteDependency("store", "restored", "era "+strconv.FormatUint(uint64(era), 10), 0)
		w.Timer.AfterFunc(outHold, w.releaseHeldOut)
	}
	for i := range w.topics {
		w.topics[i].requireEra(era)
	}
	return era
}

// withHeldOut adds the data centres that are held out of service to out.
func (w *Watcher) withHeldOut(out map[zlunit.DataCentre]bool) map[zlunit.DataCentre]bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.Timer.Now().Before(w.heldOutUntil) {
		return out
	}
	for dc := range w.heldOut {
		out[dc] = true
	}
	return out
}

// releaseHeldOut applies what the store lists once the hold has ended.
func (w *Watcher) releaseHeldOut() {
	w.mu.Lock()
	held := w.Timer.Now().Before(w.heldOutUntil)
	w.mu.Unlock()
	if held {
		return
	}
	s := &w.topics[TopicOutOfService]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.items == nil {
		return
	}
	w.setOut(s.items, w.Registry.View().OutOfServiceAt)
}

package zlsync

import (
	"context"
	"math/rand/v2"
	"time"
)

// The intervals between platform calls grow with the fleet, so that all daemons
// together make no more than a few hundred calls a second at any size.
const (
	// callSpreadPerDaemon is the time that each daemon adds to the interval over
	// which the fleet spreads its calls: together the daemons make at most one
	// call in this time.
	callSpreadPerDaemon = 4 * time.Millisecond
	// watchLengthPerDaemon is the time that each daemon adds to the length of
	// every daemon's watch.
	watchLengthPerDaemon = 7 * time.Millisecond
	// minWatchLength and maxWatch bound how long the platform holds a watch.
	minWatchLength = 500 * time.Millisecond
	maxWatchLength = 30 * time.Second
	// maxUnconfirmedWatch is the length of watch above which a confirming poll is
	// made between two watches, since a watch confirms the view only as of its
	// start.
	maxUnconfirmedWatch = 700 * time.Millisecond
	// minBackoff is the mean of the first pause after a failure in a small fleet.
	// Pauses are drawn from zero up (full jitter), so that daemons that failed at
	// the same time spread out.
	minBackoff = 200 * time.Millisecond
	// minBackoffCap bounds the pause after many failures in a small fleet.
	minBackoffCap = 2 * time.Second
	// backoffCapPerDaemon is what each daemon adds to that bound in a large fleet.
	backoffCapPerDaemon = 30 * time.Millisecond
	// assumedFleetSize is the number of daemons that backoff assumes while there
	// is no view.
	assumedFleetSize = 250
	// recheckPeriod is the longest time between two reads of all records, which
	// detect a platform that was restored from an older state.
	recheckPeriod = 5 * time.Minute
)

// Run polls and watches the platform until ctx ends, and then waits for repairs
// under way. It must be called once.
func (w *Watcher) Run(ctx context.Context) {
	w.init()
	defer w.repairs.Wait()
	failures := 0
	recheck := w.Timer.Now().Add(w.jittered(recheckPeriod))
	for ctx.Err() == nil {
		hadView := w.Views.Load() != nil
		err := w.step(ctx)
		if err == nil && !hadView {
			// The first listing holds all records, so no recheck is due.
			recheck = w.Timer.Now().Add(w.jittered(recheckPeriod))
			failures = 0
		}
		if err == nil && (failures > 0 || w.Timer.Now().After(recheck)) {
			recheck = w.Timer.Now().Add(w.jittered(recheckPeriod))
			err = w.recheck(ctx)
		}
		if err != nil && ctx.Err() == nil {
			failures++
			w.count("platformCallFailed", "watch")
			w.Log.Warn().Err(err).Int("failures", failures).Msg("sync: platform call failed, retrying after a backoff")
		}
		if err == nil {
			failures = 0
		}
		if !w.Timer.Sleep(ctx.Done(), w.nextDelay(failures)) {
			return
		}
	}
}

// step makes one watch, and before a long one a confirming poll. It skips the
// poll right after a change, which ends the watches of the whole fleet at once.
func (w *Watcher) step(ctx context.Context) error {
	wait := w.watchLength()
	if wait > maxUnconfirmedWatch && !w.lastWatchHadChanges.Load() {
		if err := w.Poll(ctx, 0); err != nil {
			return err
		}
	}
	return w.Poll(ctx, wait)
}

// fleetSize returns the number of daemons in the view's rosters, at least 1, as
// a factor for durations.
func (w *Watcher) fleetSize() time.Duration {
	n := 0
	if view := w.Views.Load(); view != nil {
		for _, r := range view.Rosters {
			n += len(r.Members)
		}
	}
	return time.Duration(max(n, 1))
}

func (w *Watcher) watchLength() time.Duration {
	return min(max(w.fleetSize()*watchLengthPerDaemon, minWatchLength), maxWatchLength)
}

// nextDelay returns the pause before the next call, after a number of failures
// in a row.
func (w *Watcher) nextDelay(failures int) time.Duration {
	spread := w.fleetSize() * callSpreadPerDaemon
	if failures == 0 {
		return time.Duration(rand.Float64() * float64(spread))
	}
	fleet := w.fleetSize()
	if w.Views.Load() == nil {
		fleet = assumedFleetSize
	}
	top := max(fleet*backoffCapPerDaemon, minBackoffCap)
	limit := min(max(spread, minBackoff)<<min(failures, 16), top)
	return time.Duration(rand.Float64() * float64(limit))
}

// jittered returns a random time between half of d and d.
func (w *Watcher) jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Float64()*float64(d/2))
}

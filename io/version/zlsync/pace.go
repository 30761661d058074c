package zlsync

import (
	"context"
	"math/rand/v2"
	"time"
)

// The pace of platform calls follows the size of the fleet, so that the sum
// over all daemons stays within a few hundred calls a second at any size.
const (
	// perDaemon is the time that each daemon adds to the spread of the fleet's
	// calls: all of them together make at most one call each perDaemon.
	perDaemon = 4 * time.Millisecond
	// watchPerDaemon is the time that each daemon adds to the length of a
	// watch.
	watchPerDaemon = 7 * time.Millisecond
	// minWatch and maxWatch bound how long the platform holds a watch.
	minWatch = 500 * time.Millisecond
	maxWatch = 30 * time.Second
	// longWatch is the length past which a confirming call is made between
	// two watches, since a watch only confirms as of its start.
	longWatch = 700 * time.Millisecond
	// minBackoff is the mean of the first pause after a failure. Pauses are
	// drawn from zero up, so that daemons that failed at once spread out.
	minBackoff = 200 * time.Millisecond
	// minTopBackoff bounds the pause after many failures in a small fleet.
	minTopBackoff = 2 * time.Second
	// topBackoffPerDaemon is what each daemon adds to that bound.
	topBackoffPerDaemon = 30 * time.Millisecond
	// unknownFleet is the size that backoff assumes while nothing is known.
	unknownFleet = 250
	// recheckPeriod is the period of reading the records in full, which finds
	// a platform that was restored from an older state unnoticed.
	recheckPeriod = 5 * time.Minute
)

// Run follows the platform until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.init()
	defer f.repairs.Wait()
	failures := 0
	recheck := f.Timer.Now().Add(f.jittered(recheckPeriod))
	for ctx.Err() == nil {
		knew := f.Views.Load() != nil
		err := f.step(ctx)
		if err == nil && !knew {
			// The first listing brought everything.
			recheck = f.Timer.Now().Add(f.jittered(recheckPeriod))
			failures = 0
		}
		if err == nil && (failures > 0 || f.Timer.Now().After(recheck)) {
			recheck = f.Timer.Now().Add(f.jittered(recheckPeriod))
			err = f.recheck(ctx)
		}
		if err != nil && ctx.Err() == nil {
			failures++
			f.count("platformCallFailed", "watch")
			f.Log.Warn().Err(err).Int("failures", failures).Msg("sync: the platform cannot be followed")
		}
		if err == nil {
			failures = 0
		}
		if !f.Timer.Sleep(ctx.Done(), f.pause(failures)) {
			return
		}
	}
}

// step makes one watch, after a confirming call if it is a long one. Right
// after a change, which wakes the whole fleet, it leaves the confirming call
// out.
func (f *Follower) step(ctx context.Context) error {
	wait := f.watchLength()
	if wait > longWatch && !f.woken.Load() {
		if err := f.Poll(ctx, 0); err != nil {
			return err
		}
	}
	return f.Poll(ctx, wait)
}

// fleet returns how many daemons the view shows, at least 1.
func (f *Follower) fleet() time.Duration {
	n := 0
	if view := f.Views.Load(); view != nil {
		for _, r := range view.Rosters {
			n += len(r.Members)
		}
	}
	return time.Duration(max(n, 1))
}

func (f *Follower) watchLength() time.Duration {
	return min(max(f.fleet()*watchPerDaemon, minWatch), maxWatch)
}

// pause returns how long to wait before the next call.
func (f *Follower) pause(failures int) time.Duration {
	spread := f.fleet() * perDaemon
	if failures == 0 {
		return time.Duration(rand.Float64() * float64(spread))
	}
	fleet := f.fleet()
	if f.Views.Load() == nil {
		fleet = unknownFleet
	}
	top := max(fleet*topBackoffPerDaemon, minTopBackoff)
	limit := min(max(spread, minBackoff)<<min(failures, 16), top)
	return time.Duration(rand.Float64() * float64(limit))
}

// jittered returns a random time between half of d and d.
func (f *Follower) jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Float64()*float64(d/2))
}

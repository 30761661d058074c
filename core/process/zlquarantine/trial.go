package zlquarantine

import (
	"time"

	"zinnialock/core/process/zlunit"

	"github.com/cespare/xxhash/v2"
)

const (
	// firstDuration is how long a request stays in quarantine until it is tried again,
	// which takes durationFactor times longer after each crash by a trial, up to
	// maxDuration: no more than three trials reach replicas within half an hour.
	firstDuration  = 30 * time.Second
	durationFactor = 10
	maxDuration    = time.Hour
	// trialSpread is the time over which the VMs begin a trial, so that the others hear
	// of the first one, and trialTime how long they wait for its end.
	trialSpread = 5 * time.Second
	trialTime   = 2 * time.Second
)

// Begin returns what may be done with a request that a caller sends. After a quarantine the
// first one is a trial, while the VMs refuse the others.
func (l *Ledger) Begin(f zlunit.Fingerprint) Verdict {
	if !l.active.Load() {
		return Unsuspected
	}
	now := l.Timer.Now()
	l.mu.Lock()
	r, ok := l.requests[f]
	if !ok || r.quarantinedUntil.IsZero() {
		l.mu.Unlock()
		return l.Verdict(f)
	}
	if now.Before(r.quarantinedUntil.Add(l.trialDelay(f))) {
		l.mu.Unlock()
		return Quarantined
	}
	r.quarantinedUntil = now.Add(trialTime)
	e := Entry{
		Fingerprint: f,
		Left:        trialTime,
		Trials:      r.trials,
	}
	r.trialAt = now
	l.note(f, "trial")
	l.mu.Unlock()
	l.report(&Report{
		Quarantined: []Entry{e},
	})
	return Trial
}

// trialDelay returns how long after the end of a quarantine this VM begins a trial.
func (l *Ledger) trialDelay(f zlunit.Fingerprint) time.Duration {
	h := xxhash.Sum64String(string(l.Self) + " " + f.String())
	return time.Duration(h % uint64(trialSpread))
}

// Left returns how long a request stays in quarantine; 0 if it is not.
func (l *Ledger) Left(f zlunit.Fingerprint) time.Duration {
	now := l.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.requests[f]
	if !ok {
		return 0
	}
	return max(r.quarantinedUntil.Sub(now), 0)
}

// duration returns the length of the next quarantine.
func (r *record) duration() time.Duration {
	d := firstDuration
	for range r.trials {
		d = min(d*durationFactor, maxDuration)
	}
	return d
}

// quarantine takes in a request that another VM has in quarantine. One that follows from a
// later trial goes before. It returns false if the request was found to be sound, of which the
// other VM has not heard.
func (l *Ledger) quarantine(q Entry) bool {
	now := l.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.answered.has(q.Fingerprint, now) {
		return false
	}
	r := l.recordFor(q.Fingerprint, now)
	if now.Before(r.clearedAt.Add(clearedTime)) {
		return false
	}
	until := now.Add(min(q.Left, maxDuration))
	if q.Left <= trialTime && q.Trials == r.trials {
		r.trialAt = now
	}
	if q.Trials > r.trials || until.After(r.quarantinedUntil) {
		r.trials = max(r.trials, min(q.Trials, maxTrials))
		l.start(q.Fingerprint, r, now, until)
	}
	return true
}

package zlquarantine

import (
	"slices"
	"time"

	"zinnialock/core/process/zlunit"
)

const (
	// pendingTime is how long a crash waits for its confirmation: until a replica that
	// ended is out of the registry, or listed with its next start.
	pendingTime = 8 * time.Second
	// answeredTime is how long an answer to a request weighs against crashes of it.
	answeredTime = 5 * time.Second
	// maxAnswered bounds the requests that are remembered as answered, in each of two
	// generations.
	maxAnswered = 4096
	// maxRoundCrashes bounds the crashes of one round that are remembered: one of each
	// shard of a query, so that the other VMs know which replicas ended.
	maxRoundCrashes = 48
	// minRestartTime is the time after a replica was found to have ended from which on it may
	// live again, before the registry has its next incarnation.
	minRestartTime = 500 * time.Millisecond
	// maxTrials bounds the trials that are counted.
	maxTrials = 16
)

// crashNews is what a crash adds to what is known.
type crashNews int

const (
	crashKnown crashNews = iota
	crashNew
	// crashOfAnswered: the request was answered lately, so that it does not crash
	// replicas.
	crashOfAnswered
)

// RecordCrash notes that a connection to a replica broke while it had the request, and tells
// the other VMs. It counts as a crash once it is confirmed.
func (l *Ledger) RecordCrash(c *Crash) {
	if l.addPending(c, true) != crashNew {
		return
	}
	l.report(&Report{
		Crashes: []Crash{*c},
	})
	l.verify(*c, true)
}

// verify has a crash verified, or counts it if there is no way to.
func (l *Ledger) verify(c Crash, own bool) {
	if l.Verify != nil {
		l.Verify(c, own)
		return
	}
	l.confirm(Replica{
		Upstream:    c.Upstream,
		Incarnation: c.Incarnation,
	})
}

// ReportEnded notes that this VM found that a replica ended, and tells the others.
func (l *Ledger) ReportEnded(x Replica) {
	if l.confirm(x) {
		l.report(&Report{
			Ended: []Replica{x},
		})
	}
}

// ReportAlive notes that this VM found that a replica lives, and tells the others.
func (l *Ledger) ReportAlive(x Replica) {
	if l.disprove(x) {
		l.report(&Report{
			Alive: []Replica{x},
		})
	}
}

// Unconfirmed returns the crashes that are not confirmed yet.
func (l *Ledger) Unconfirmed() []Crash {
	if !l.active.Load() {
		return nil
	}
	now := l.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Crash
	for _, r := range l.requests {
		if now.Before(r.lastPending.Add(pendingTime)) {
			list = append(list, r.pending...)
		}
	}
	return list
}

// addPending adds a crash that is not confirmed.
func (l *Ledger) addPending(c *Crash, own bool) crashNews {
	now := l.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.answered.has(c.Fingerprint, now) {
		if own {
			return crashKnown
		}
		return crashOfAnswered
	}
	r := l.recordFor(c.Fingerprint, now)
	r.forgetOld(now)
	if now.Before(r.clearedAt.Add(clearedTime)) || slices.Contains(r.pending, *c) || r.hasCounted(c) {
		return crashKnown
	}
	if r.countRound(c.Round) >= maxRoundCrashes {
		return crashKnown
	}
	r.pending = appendBounded(r.pending, *c)
	r.lastPending = now
	return crashNew
}

// forgetOld drops crashes that do not count any more.
func (r *record) forgetOld(now time.Time) {
	if now.After(r.lastCrash.Add(suspicionTime)) && r.quarantinedUntil.IsZero() {
		r.crashes = nil
	}
	if now.After(r.lastPending.Add(pendingTime)) {
		r.pending = nil
	}
}

// hasCounted reports whether a crash was counted already.
func (r *record) hasCounted(c *Crash) bool {
	return slices.ContainsFunc(r.crashes, func(known countedCrash) bool {
		return known.Crash == *c
	})
}

// appendBounded appends a crash, in place of the oldest if there are maxCrashesKept.
func appendBounded[T any](list []T, c T) []T {
	if len(list) >= maxCrashesKept {
		list = list[1:]
	}
	return append(list, c)
}

// isOf reports whether the crash is one of the replica.
func (c *Crash) isOf(x Replica) bool {
	return c.Upstream == x.Upstream && c.Incarnation == x.Incarnation
}

// confirm takes in that a replica ended, and reports whether there were crashes at it.
func (l *Ledger) confirm(x Replica) bool {
	if !l.active.Load() {
		return false
	}
	found := l.countAll(x)
	if found && l.OnEnded != nil {
		l.OnEnded(x)
	}
	return found
}

// countAll counts the crashes at a replica that ended, and reports whether there were any.
func (l *Ledger) countAll(x Replica) bool {
	now := l.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	found := false
	for f, r := range l.requests {
		for _, c := range r.pending {
			if c.isOf(x) {
				found = true
				l.count(f, r, c, now)
			}
		}
		r.pending = slices.DeleteFunc(r.pending, func(c Crash) bool {
			return c.isOf(x)
		})
	}
	return found
}

// count counts a confirmed crash. The caller holds mu.
func (l *Ledger) count(f zlunit.Fingerprint, r *record, c Crash, now time.Time) {
	r.crashes = appendBounded(r.crashes, countedCrash{
		Crash: c,
		at:    now,
	})
	r.lastCrash = now
	switch {
	case !r.mustQuarantine():
	case r.quarantinedUntil.IsZero():
		l.start(f, r, now, now.Add(firstDuration))
	case !r.trialAt.IsZero():
		r.trialAt = time.Time{}
		r.trials = min(r.trials+1, maxTrials)
		l.start(f, r, now, now.Add(r.duration()))
	}
}

// disprove drops the crashes at a replica that lives, unless it may have restarted since, and
// the quarantines that followed from them. It reports whether there were any.
func (l *Ledger) disprove(x Replica) bool {
	if !l.active.Load() {
		return false
	}
	now := l.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	found := false
	isPending := func(c Crash) bool {
		return c.isOf(x)
	}
	isCounted := func(c countedCrash) bool {
		return c.isOf(x) && now.Before(c.at.Add(minRestartTime))
	}
	for f, r := range l.requests {
		n := len(r.pending) + len(r.crashes)
		r.pending = slices.DeleteFunc(r.pending, isPending)
		r.crashes = slices.DeleteFunc(r.crashes, isCounted)
		if len(r.pending)+len(r.crashes) == n {
			continue
		}
		found = true
		if r.trials == 0 && r.isOwn && !r.quarantinedUntil.IsZero() && !r.hasEnoughCrashes() {
			r.quarantinedUntil = time.Time{}
			l.noteIf(now, f, r)
		}
	}
	return found
}

// noteIf records that a quarantine was lifted. The caller holds mu.
func (l *Ledger) noteIf(now time.Time, f zlunit.Fingerprint, r *record) {
	if r.verdict(now) != Quarantined {
		l.note(f, "disproved")
	}
}

// recentSet holds the requests of the last answeredTime to twice that.
type recentSet struct {
	current, previous map[zlunit.Fingerprint]struct{}
	// since is when current began.
	since time.Time
}

func (s *recentSet) add(f zlunit.Fingerprint, now time.Time) {
	s.turn(now)
	if s.current == nil || len(s.current) >= maxAnswered {
		s.previous = s.current
		s.current = map[zlunit.Fingerprint]struct{}{}
		s.since = now
	}
	s.current[f] = struct{}{}
}

func (s *recentSet) has(f zlunit.Fingerprint, now time.Time) bool {
	s.turn(now)
	_, inCurrent := s.current[f]
	_, inPrevious := s.previous[f]
	return inCurrent || inPrevious
}

// turn drops what is too old.
func (s *recentSet) turn(now time.Time) {
	switch age := now.Sub(s.since); {
	case age >= 2*answeredTime:
		s.current, s.previous = nil, nil
		s.since = now
	case age >= answeredTime:
		s.current, s.previous = nil, s.current
		s.since = now
	}
}

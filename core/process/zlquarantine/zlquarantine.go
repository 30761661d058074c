// Package zlquarantine recognises requests that crash the replicas that run them, and
// keeps them from replicas. Such a request comes again, at any VM, so the VMs tell each
// other what they saw. It does no I/O: reports to and from other VMs are passed in and out.
//
// Load pattern: one request ends a replica, or one of each shard, whenever it is sent;
// every other request under way there has to be sent again, and once all replicas of a
// service are down nothing is served. Requests that were only under way at the same
// replica look alike at first. What tells them apart is that theirs are answered
// when they are sent again.
package zlquarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
)

const (
	// minCrashes is how many rounds of sends, and how many replicas, must have ended
	// under a request until it is quarantined.
	minCrashes = 3
	// suspicionTime is how long a crash counts.
	suspicionTime = 2 * time.Minute
	// clearedTime is how long a request that was answered is not suspected.
	clearedTime = 30 * time.Second
	// maxCrashesKept bounds the crashes of a request.
	maxCrashesKept = 64
	// maxRequests bounds the requests that are remembered.
	maxRequests = 1024
	// maxListed bounds the list of Quarantined, so that it fits a datagram.
	maxListed = 24
)

// Duration is how long after its last attempt a request stays in quarantine.
const Duration = 10 * time.Minute

// Verdict is what may be done with a request.
type Verdict int

// The verdicts.
const (
	// Unsuspected: nothing is known against the request.
	Unsuspected Verdict = iota
	// Suspected: replicas ended under the request; it may go to one at a time.
	Suspected
	// Quarantined: the request may not be sent.
	Quarantined
)

// Round identifies the sends of a caller's attempt that were made before the first of
// them was found to have ended a replica.
type Round uint64

// Crash is the evidence that a replica ended while it had the request.
type Crash struct {
	Fingerprint zlunit.Fingerprint `cbor:"1,keyasint"`
	Round       Round              `cbor:"2,keyasint"`
	Upstream    zlunit.Upstream    `cbor:"3,keyasint"`
	Incarnation int64              `cbor:"4,keyasint"`
}

// Entry is a request in quarantine and how long it stays there.
type Entry struct {
	Fingerprint zlunit.Fingerprint `cbor:"1,keyasint"`
	Left        time.Duration      `cbor:"2,keyasint"`
}

// Report is what a VM tells the others.
type Report struct {
	Crashes     []Crash              `cbor:"1,keyasint,omitempty"`
	Cleared     []zlunit.Fingerprint `cbor:"2,keyasint,omitempty"`
	Quarantined []Entry              `cbor:"3,keyasint,omitempty"`
}

// Ledger holds what is known against requests. Exported fields must be set before use; the
// methods may be called concurrently.
type Ledger struct {
	Timer *zltimer.Service
	// Sink receives an event when a request is quarantined or cleared; may be nil.
	Sink zldecision.Sink
	// OnReport is called with what the other VMs should know at once; it must not block.
	// It may be nil.
	OnReport func(*Report)

	// active is set once anything is known against any request.
	active atomic.Bool

	mu       sync.Mutex
	requests map[zlunit.Fingerprint]*record
}

// record is what is known of one request.
type record struct {
	crashes []Crash
	// lastCrash is when the last crash became known.
	lastCrash time.Time
	// quarantinedUntil is the end of the quarantine; zero if there is none.
	quarantinedUntil time.Time
	// clearedAt is when the request was found to be answered.
	clearedAt time.Time
}

// end returns when the record is no longer needed.
func (r *record) end() time.Time {
	end := r.lastCrash.Add(suspicionTime)
	if r.quarantinedUntil.After(end) {
		end = r.quarantinedUntil
	}
	if at := r.clearedAt.Add(clearedTime); at.After(end) {
		end = at
	}
	return end
}

func (r *record) verdict(now time.Time) Verdict {
	switch {
	case now.Before(r.quarantinedUntil):
		return Quarantined
	case !r.quarantinedUntil.IsZero(), len(r.crashes) > 0 && now.Before(r.lastCrash.Add(suspicionTime)):
		return Suspected
	default:
		return Unsuspected
	}
}

// countRound returns how many crashes of a round are known.
func (r *record) countRound(round Round) int {
	n := 0
	for _, s := range r.crashes {
		if s.Round == round {
			n++
		}
	}
	return n
}

// mustQuarantine reports whether the crashes are enough for a quarantine; after an earlier one
// a single crash is.
func (r *record) mustQuarantine() bool {
	if !r.quarantinedUntil.IsZero() {
		return true
	}
	var rounds []Round
	type replica struct {
		id          zlunit.Upstream
		incarnation int64
	}
	var replicas []replica
	for _, s := range r.crashes {
		if !slices.Contains(rounds, s.Round) {
			rounds = append(rounds, s.Round)
		}
		x := replica{
			id:          s.Upstream,
			incarnation: s.Incarnation,
		}
		if !slices.Contains(replicas, x) {
			replicas = append(replicas, x)
		}
	}
	return len(rounds) >= minCrashes && len(replicas) >= minCrashes
}

// Active reports whether anything was ever known against any request.
func (l *Ledger) Active() bool {
	return l.active.Load()
}

// Verdict returns what may be done with a request.
func (l *Ledger) Verdict(f zlunit.Fingerprint) Verdict {
	if !l.active.Load() {
		return Unsuspected
	}
	now := l.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.requests[f]
	if !ok {
		return Unsuspected
	}
	return r.verdict(now)
}

// Refuse notes an attempt of a request in quarantine, which lasts Duration from then.
func (l *Ledger) Refuse(f zlunit.Fingerprint) {
	now := l.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if r, ok := l.requests[f]; ok && r.verdict(now) == Quarantined {
		r.quarantinedUntil = now.Add(Duration)
	}
}

// RecordCrash notes that a replica ended while it had the request, and tells the other VMs.
func (l *Ledger) RecordCrash(s *Crash) {
	if l.addCrash(s) && l.OnReport != nil {
		l.OnReport(&Report{
			Crashes: []Crash{*s},
		})
	}
}

// Clear notes that a replica answered the request, and tells the other VMs if anything was
// known against it.
func (l *Ledger) Clear(f zlunit.Fingerprint) {
	if l.clearRecord(f) && l.OnReport != nil {
		l.OnReport(&Report{
			Cleared: []zlunit.Fingerprint{f},
		})
	}
}

// Apply takes in the report of another VM. It returns what of the crashes and cleared
// requests was not known, or nil.
func (l *Ledger) Apply(report *Report) *Report {
	news := &Report{}
	for _, s := range report.Crashes {
		if l.addCrash(&s) {
			news.Crashes = append(news.Crashes, s)
		}
	}
	for _, f := range report.Cleared {
		if l.clearRecord(f) {
			news.Cleared = append(news.Cleared, f)
		}
	}
	for _, q := range report.Quarantined {
		l.quarantine(q)
	}
	if len(news.Crashes) == 0 && len(news.Cleared) == 0 {
		return nil
	}
	return news
}

// Quarantined returns the requests in quarantine, at most maxListed, those that stay
// longest first.
func (l *Ledger) Quarantined() []Entry {
	if !l.active.Load() {
		return nil
	}
	now := l.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Entry
	for f, r := range l.requests {
		if r.verdict(now) == Quarantined {
			list = append(list, Entry{
				Fingerprint: f,
				Left:        r.quarantinedUntil.Sub(now),
			})
		}
	}
	slices.SortFunc(list, func(a, b Entry) int {
		return cmp.Compare(b.Left, a.Left)
	})
	return list[:min(len(list), maxListed)]
}

// addCrash adds a crash and reports whether it is new and counts.
func (l *Ledger) addCrash(s *Crash) bool {
	now := l.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.recordFor(s.Fingerprint, now)
	if now.After(r.lastCrash.Add(suspicionTime)) && r.quarantinedUntil.IsZero() {
		r.crashes = nil
	}
	if now.Before(r.clearedAt.Add(clearedTime)) || slices.Contains(r.crashes, *s) || r.countRound(s.Round) >= minCrashes {
		return false
	}
	if len(r.crashes) >= maxCrashesKept {
		r.crashes = r.crashes[1:]
	}
	r.crashes = append(r.crashes, *s)
	r.lastCrash = now
	if r.mustQuarantine() {
		l.start(s.Fingerprint, r, now, now.Add(Duration))
	}
	return true
}

// quarantine takes in a request that another VM has in quarantine.
func (l *Ledger) quarantine(q Entry) {
	now := l.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.recordFor(q.Fingerprint, now)
	if now.Before(r.clearedAt.Add(clearedTime)) {
		return
	}
	until := now.Add(min(q.Left, Duration))
	if until.After(r.quarantinedUntil) {
		l.start(q.Fingerprint, r, now, until)
	}
}

// start begins or lengthens a quarantine. The caller holds mu.
func (l *Ledger) start(f zlunit.Fingerprint, r *record, now, until time.Time) {
	if r.verdict(now) != Quarantined {
		l.note(f, "quarantined")
	}
	r.quarantinedUntil = until
}

// clearRecord drops what is known against a request and reports whether there was
// anything.
func (l *Ledger) clearRecord(f zlunit.Fingerprint) bool {
	if !l.active.Load() {
		return false
	}
	now := l.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.requests[f]
	if !ok || r.verdict(now) == Unsuspected {
		return false
	}
	if r.verdict(now) == Quarantined {
		l.note(f, "cleared")
	}
	*r = record{
		clearedAt: now,
	}
	return true
}

// recordFor returns the record of a request. If there are too many, it drops the ones
// that are no longer needed, or else the one that ends first. The caller holds mu.
func (l *Ledger) recordFor(f zlunit.Fingerprint, now time.Time) *record {
	if r, ok := l.requests[f]; ok {
		return r
	}
	if l.requests == nil {
		l.requests = map[zlunit.Fingerprint]*record{}
	}
	if len(l.requests) >= maxRequests {
		l.makeRoom(now)
	}
	r := &record{}
	l.requests[f] = r
	l.active.Store(true)
	return r
}

// makeRoom drops records. The caller holds mu.
func (l *Ledger) makeRoom(now time.Time) {
	var first zlunit.Fingerprint
	var firstEnd time.Time
	for f, r := range l.requests {
		end := r.end()
		if !now.Before(end) {
			delete(l.requests, f)
			continue
		}
		if firstEnd.IsZero() || end.Before(firstEnd) {
			first, firstEnd = f, end
		}
	}
	if len(l.requests) >= maxRequests {
		delete(l.requests, first)
	}
}

func (l *Ledger) note(f zlunit.Fingerprint, what string) {
	if l.Sink != nil {
		l.Sink.Record(&zldecision.Belief{
			Topic: "request",
			Name:  f.String(),
			What:  what,
		})
	}
}

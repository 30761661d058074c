// Package zlquarantine recognises requests that crash the replicas that run them, and
// keeps them from replicas. Such a request comes again, at any VM, so the VMs tell each
// other what they saw. It does no I/O: reports to and from other VMs are passed in and out.
//
// Load pattern: one request ends a replica, or one of each shard, whenever it is sent;
// every other request under way there has to be sent again, and once all replicas of a
// service are down nothing is served. Requests that were only under way at the same
// replica look alike at first, and so do requests of a VM whose connections are reset by
// the network. What tells them apart is that theirs are answered when they are sent
// again, or were a moment before, and that the replica lives on: a broken connection
// counts once another VM has found that the replica ended (see evidence.go).
package zlquarantine

import (
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
	// Trial: the quarantine is over, and this attempt finds out whether the request still
	// crashes replicas; it may go to one at a time.
	Trial
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

// countedCrash is a crash that was confirmed.
type countedCrash struct {
	Crash
	// at is when it was.
	at time.Time
}

// Entry is a request in quarantine and how long it stays there.
type Entry struct {
	Fingerprint zlunit.Fingerprint `cbor:"1,keyasint"`
	Left        time.Duration      `cbor:"2,keyasint"`
	// Trials counts the trials that crashed a replica.
	Trials int `cbor:"3,keyasint,omitempty"`
}

// Report is what a VM tells the others.
type Report struct {
	// Crashes are broken connections that may be crashes. They count once the replica is
	// among Ended, and do not if it is among Alive.
	Crashes     []Crash              `cbor:"1,keyasint,omitempty"`
	Cleared     []zlunit.Fingerprint `cbor:"2,keyasint,omitempty"`
	Quarantined []Entry              `cbor:"3,keyasint,omitempty"`
	Ended       []Replica            `cbor:"4,keyasint,omitempty"`
	Alive       []Replica            `cbor:"5,keyasint,omitempty"`
}

// Replica is one incarnation of a replica.
type Replica struct {
	Upstream    zlunit.Upstream `cbor:"1,keyasint"`
	Incarnation int64           `cbor:"2,keyasint"`
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
	// Verify is called for each crash that is not confirmed yet; own is set if this VM
	// saw it. It leads to ReportEnded or ReportAlive, or to nothing if it cannot be found
	// out, and must not block. If it is nil, crashes count at once.
	Verify func(c Crash, own bool)
	// OnEnded is called for each replica that was found to have ended under a request; it
	// must not block and may be nil.
	OnEnded func(Replica)
	// Self spreads the trials of the VMs.
	Self zlunit.VM

	known knownState

	// active is set once anything is known against any request.
	active atomic.Bool

	mu       sync.Mutex
	requests map[zlunit.Fingerprint]*record
	// answered holds the requests that were answered lately.
	answered recentSet
}

// record is what is known of one request.
type record struct {
	// crashes are confirmed, pending are not.
	crashes []countedCrash
	pending []Crash
	// lastCrash is when the last crash became known, and lastPending when the last of
	// pending did.
	lastCrash   time.Time
	lastPending time.Time
	// quarantinedUntil is the end of the quarantine; zero if there is none.
	quarantinedUntil time.Time
	// isOwn is set if the quarantine follows from crashes, rather than from what another VM
	// told.
	isOwn bool
	// trials counts the trials that crashed a replica, and trialAt is when the last one
	// began, zero if its outcome is known.
	trials  int
	trialAt time.Time
	// clearedAt is when the request was found to be answered.
	clearedAt time.Time
}

// end returns when the record is no longer needed.
func (r *record) end() time.Time {
	end := r.lastCrash.Add(suspicionTime)
	if !r.quarantinedUntil.IsZero() {
		// The next crash follows from this quarantine.
		end = r.quarantinedUntil.Add(maxDuration)
	}
	if at := r.clearedAt.Add(clearedTime); at.After(end) {
		end = at
	}
	if at := r.lastPending.Add(pendingTime); at.After(end) {
		end = at
	}
	return end
}

func (r *record) verdict(now time.Time) Verdict {
	switch {
	case now.Before(r.quarantinedUntil):
		return Quarantined
	case !r.quarantinedUntil.IsZero(), len(r.crashes) > 0 && now.Before(r.lastCrash.Add(suspicionTime)),
		len(r.pending) > 0 && now.Before(r.lastPending.Add(pendingTime)):
		return Suspected
	default:
		return Unsuspected
	}
}

// countRound returns how many crashes of a round are known.
func (r *record) countRound(round Round) int {
	n := 0
	for _, c := range r.pending {
		if c.Round == round {
			n++
		}
	}
	for _, c := range r.crashes {
		if c.Round == round {
			n++
		}
	}
	return n
}

// mustQuarantine reports whether the crashes are enough for a quarantine; after an earlier one
// a single crash is.
func (r *record) mustQuarantine() bool {
	return !r.quarantinedUntil.IsZero() || r.hasEnoughCrashes()
}

// hasEnoughCrashes reports whether there are minCrashes rounds and replicas.
func (r *record) hasEnoughCrashes() bool {
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

func (l *Ledger) report(r *Report) {
	if l.OnReport != nil {
		l.OnReport(r)
	}
}

// Clear notes that a replica answered the request, and tells the other VMs if anything was
// known against it.
func (l *Ledger) Clear(f zlunit.Fingerprint) {
	now := l.Timer.Now()
	l.mu.Lock()
	l.answered.add(f, now)
	l.mu.Unlock()
	if l.clearRecord(f, "cleared") {
		l.reportCleared(f)
	}
}

// reportCleared tells the other VMs that nothing is to be known against a request.
func (l *Ledger) reportCleared(f zlunit.Fingerprint) {
	l.report(&Report{
		Cleared: []zlunit.Fingerprint{f},
	})
}

// Apply takes in the report of another VM. It returns what of it was not known, or nil.
func (l *Ledger) Apply(report *Report) *Report {
	news := &Report{}
	for _, c := range report.Crashes {
		switch l.addPending(&c, false) {
		case crashNew:
			news.Crashes = append(news.Crashes, c)
			l.verify(c, false)
		case crashOfAnswered:
			l.reportCleared(c.Fingerprint)
		case crashKnown:
		}
	}
	for _, f := range report.Cleared {
		if l.clearRecord(f, "cleared") {
			news.Cleared = append(news.Cleared, f)
		}
	}
	for _, x := range report.Ended {
		if l.confirm(x) {
			news.Ended = append(news.Ended, x)
		}
	}
	for _, x := range report.Alive {
		if l.disprove(x) {
			news.Alive = append(news.Alive, x)
		}
	}
	for _, q := range report.Quarantined {
		if !l.quarantine(q) {
			l.reportCleared(q.Fingerprint)
		}
	}
	if len(news.Crashes)+len(news.Cleared)+len(news.Ended)+len(news.Alive) == 0 {
		return nil
	}
	return news
}

// Quarantined returns the requests in quarantine for other VMs, at most maxListed, those that
// stay longest first.
func (l *Ledger) Quarantined() []Entry {
	list := l.List()
	entries := make([]Entry, 0, min(len(list), maxListed))
	for _, s := range list[:min(len(list), maxListed)] {
		entries = append(entries, Entry{
			Fingerprint: s.Fingerprint,
			Left:        s.Left,
			Trials:      s.Trials,
		})
	}
	return entries
}

// start begins or lengthens a quarantine. The caller holds mu.
func (l *Ledger) start(f zlunit.Fingerprint, r *record, now, until time.Time) {
	if r.verdict(now) != Quarantined {
		l.note(f, "quarantined")
	}
	r.quarantinedUntil = until
	r.isOwn = r.hasEnoughCrashes()
}

// clearRecord drops what is known against a request and reports whether there was
// anything; what names the event if it was in quarantine.
func (l *Ledger) clearRecord(f zlunit.Fingerprint, what string) bool {
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
		l.note(f, what)
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

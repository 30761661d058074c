// Package zlfairshare measures how much of the capacity organisations used recently, and which
// of them are over their fair share. It only counts; zlbalancer orders the waiting requests by
// it, zlrelay refuses by it, and zlsendbudget divides a short budget by it.
//
// Load pattern: one organisation sends 5 to 7.5 times its usual rate beside many others, and
// the replicas have too few places. What it sends beyond its usual share is served with what
// the others leave. If all organisations send more at once, their shares stay as they were and
// the order does too. An organisation's fair share is the larger of
//
//   - its usual share, learned over a minute, since a large organisation at its usual rate
//     is no cause of the shortage;
//   - an equal share among the organisations that were active recently, since a small one has
//     too few requests for its usual share to be known;
//
// An organisation with a limit that all VMs share is over its share only while it asks for more
// than that. An organisation is not over its share either while it is served 0.3 as often as the others,
// so that none is served less than a quarter as often as all.
package zlfairshare

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"zinnialock/core/process/zlunit"
)

const (
	// recentTime is the time constant of recent use. Bursts last seconds; the places that
	// a VM with 30 requests a second gives in this time still tell a hot organisation from
	// one that is unlucky.
	recentTime = 3 * time.Second
	// usualTime is the time constant of usual use: longer than a burst, so that one raises
	// it little, and short enough to follow callers that move between VMs.
	usualTime = time.Minute
	// unknownTime is for how long at the current rate all organisations are taken to have
	// had equal shares before this process started, since a burst may be under way.
	unknownTime = 20 * time.Second
	// minServedShare is how often each organisation is served, relative to the others: a quarter
	// is required, and the rest is for late measurement.
	minServedShare = 0.3
	// tolerance is how far recent use may exceed the fair share: limits of organisations
	// are 1.6 times their usual use, so up to that an organisation is not hot.
	tolerance = 1.6
	// levelsPerDoubling is how many levels recent use passes while it doubles.
	levelsPerDoubling = 2
	// refreshInterval is the time between two computations of all levels. It is short
	// against recentTime; for 5,000 organisations they take under 1 % of a weak VM.
	refreshInterval = 100 * time.Millisecond
	// minUse is the use, in sends, below which an organisation is not active, and below
	// which it is forgotten once its usual use is that low as well.
	minUse = 0.05
)

// Ledger holds the use of each organisation. The zero value is ready for use, and the
// methods are safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	accounts map[zlunit.Organisation]*Account
	at       time.Time
	total    use
	active   int
}

// use counts sends, each with a weight that decays with its age.
type use struct {
	recent float64
	usual  float64
	asked  float64
}

// Account is the use of one organisation. A nil Account stands for a request in a deployment
// without organisations; it is never over its share.
type Account struct {
	ledger *Ledger
	name   zlunit.Organisation
	use    use
	level  atomic.Int32
	// isLimited is set if the organisation has a limit that all VMs share, and atLimit is
	// when a request was last refused for it.
	isLimited bool
	atLimit   time.Time
}

// Account returns the account of an organisation; an empty name stands for all requests
// without one.
func (l *Ledger) Account(name zlunit.Organisation) *Account {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[name]
	if !ok {
		if l.accounts == nil {
			l.accounts = map[zlunit.Organisation]*Account{}
		}
		a = &Account{
			ledger: l,
			name:   name,
		}
		l.accounts[name] = a
	}
	return a
}

// Name returns the organisation's name, empty for nil.
func (a *Account) Name() zlunit.Organisation {
	if a == nil {
		return ""
	}
	return a.name
}

// SetLimited sets whether the organisation has a limit that all VMs share. One that has is over
// its share only while it asks for more than its limit: what this VM sees of a fleet with few
// requests at each VM does not tell a hot organisation from one whose callers are connected
// here.
func (a *Account) SetLimited(isLimited bool) {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	a.isLimited = isLimited
}

// MarkAtLimit notes that a request was refused for the organisation's limit.
func (a *Account) MarkAtLimit(now time.Time) {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	a.atLimit = now
}

// isWithinLimit reports whether the organisation asked for no more than its limit lately. The
// caller holds the ledger's mu.
func (a *Account) isWithinLimit(now time.Time) bool {
	return a.isLimited && (a.atLimit.IsZero() || now.Sub(a.atLimit) > recentTime)
}

// Ask counts a first attempt of a caller that needs so many sends. Callers that repeat a
// request at once must not be counted again, as they would raise their share by it.
func (a *Account) Ask(now time.Time, sends int) {
	a.add(now, use{
		asked: float64(sends),
	})
}

// Use counts sends to replicas.
func (a *Account) Use(now time.Time, sends int) {
	a.add(now, use{
		recent: float64(sends),
		usual:  float64(sends),
	})
}

func (a *Account) add(now time.Time, u use) {
	if a == nil {
		return
	}
	l := a.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	if a.use == (use{}) {
		l.active++
		// It may have been forgotten while a request held it.
		if _, ok := l.accounts[a.name]; !ok {
			l.accounts[a.name] = a
		}
	}
	a.use.add(u)
	l.total.add(u)
	a.level.Store(l.levelOf(a, now))
}

func (u *use) add(v use) {
	u.recent += v.recent
	u.usual += v.usual
	u.asked += v.asked
}

func (u *use) decay(age time.Duration) {
	recent := math.Exp(-float64(age) / float64(recentTime))
	u.recent *= recent
	u.asked *= recent
	u.usual *= math.Exp(-float64(age) / float64(usualTime))
}

// Level returns by how much the organisation is over its fair share: 0 if it is not, and 2
// more for each doubling of its recent use. Lower levels are served first.
func (a *Account) Level() int {
	if a == nil {
		return 0
	}
	return int(a.level.Load())
}

// FairShare returns the organisation's fair share of what the process sends, from 0 to 1.
func (a *Account) FairShare(now time.Time) float64 {
	if a == nil {
		return 1
	}
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	a.ledger.refresh(now)
	return a.ledger.fairShare(a)
}

// OverShare returns how many organisations are over their fair share.
func (l *Ledger) OverShare(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	n := 0
	for _, a := range l.accounts {
		if a.Level() > 0 {
			n++
		}
	}
	return n
}

// refresh lets all use decay and computes the levels. The caller holds mu.
func (l *Ledger) refresh(now time.Time) {
	age := now.Sub(l.at)
	if age < refreshInterval {
		return
	}
	l.at = now
	l.total = use{}
	l.active = 0
	for name, a := range l.accounts {
		a.use.decay(age)
		if a.use.usual < minUse && a.use.asked < minUse {
			a.use = use{}
			a.level.Store(0)
			delete(l.accounts, name)
			continue
		}
		if a.use.recent >= minUse || a.use.asked >= minUse {
			l.active++
		}
		l.total.add(a.use)
	}
	for _, a := range l.accounts {
		a.level.Store(l.levelOf(a, now))
	}
}

// fairShare returns the fair share of an account. The caller holds mu.
func (l *Ledger) fairShare(a *Account) float64 {
	equal := 1 / float64(max(l.active, 1))
	share := equal
	// unknown is what counts as used by all in equal shares before this process started.
	unknown := l.total.recent * float64(unknownTime) / float64(recentTime)
	if known := l.total.usual + unknown; known > 0 {
		share = max(share, (a.use.usual+unknown*equal)/known)
	}
	return min(share, 1)
}

// levelOf returns the level of an account. The caller holds mu.
func (l *Ledger) levelOf(a *Account, now time.Time) int32 {
	if l.total.recent <= 0 || a.isWithinLimit(now) {
		return 0
	}
	ratio := a.use.recent / l.total.recent / (tolerance * l.fairShare(a))
	others := (l.total.recent - a.use.recent) / max(l.total.asked-a.use.asked, minUse)
	if most := minServedShare * min(others, 1) * a.use.asked; most > 0 {
		ratio = min(ratio, a.use.recent/most)
	}
	if ratio <= 1 {
		return 0
	}
	return int32(math.Ceil(levelsPerDoubling * math.Log2(ratio)))
}

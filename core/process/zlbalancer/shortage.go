package zlbalancer

import (
	"math"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
)

const (
	// shortageMemory is how long a service counts as short of places after this process found
	// that. In a mild shortage of the replay 0.91 of all were served with 1 s, and 0.95 with
	// 250 ms; with 100 ms a hot organisation takes more in a severe one.
	shortageMemory = 250 * time.Millisecond
	// toldMemory is the same after other VMs said so: a little more than the time between two
	// reports of one VM. Two reports within half of it are needed, as one comes with each pause
	// of a replica.
	toldMemory = 700 * time.Millisecond
	// levelPlaces is the share of the places that remains from one level to the next. With 0.8
	// one place of a few is kept at the first levels. In the replay 0.7 leaves places unused in
	// a mild shortage (0.90 of all served, 0.95 with 0.8 and 0.9), and no other load tells
	// them apart.
	levelPlaces = 0.8
	// maxShortServices bounds the services in one report of this VM, to a few hundred bytes.
	maxShortServices = 16
)

// shareOfPlaces returns the share of the places that an organisation may use which is so far
// over its fair share.
func shareOfPlaces(over int) float64 {
	return math.Pow(levelPlaces, float64(over))
}

// overShare returns by how much the request's organisation is over its fair share; 0 while
// the service is not short of places.
//
// Load pattern: a hot organisation's requests come so often that a place which became free is
// taken by the next of them before another organisation's arrives.
func (q *waitQueue) overShare(now time.Time, t *Turn) int {
	if t == nil || t.Account.Level() == 0 {
		return 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.isShort(now) {
		return 0
	}
	return t.Account.Level()
}

// isShort reports whether the service is short of places. The caller holds mu.
func (q *waitQueue) isShort(now time.Time) bool {
	return now.Sub(q.shortAt) <= shortageMemory || now.Sub(q.toldAt) <= toldMemory
}

// isCapped reports whether a waiter may not use a place that is free for levels up to highest,
// although others may. Such a waiter must not hold back those that may. The caller holds mu.
//
// Load pattern: a hot organisation with the better priority waits for more than its part of
// the places, and the others leave the rest idle if they wait behind it.
func (q *waitQueue) isCapped(now time.Time, w *Waiter, highest int) bool {
	return highest >= 0 && !w.Started && w.Turn.Account.Level() > highest && q.isShort(now)
}

// highestLevel returns the highest level of an organisation that may use a place at a replica
// with n places for this process; -1 if none is free.
func (s *replicaState) highestLevel(n int) int {
	level := -1
	for s.inFlight < s.placesFor(n, level+1) {
		level++
	}
	return level
}

// highestLevel returns the highest level of an organisation that may use a place at some
// replica of a service; -1 if none is free.
func (p *Placer) highestLevel(v *zlregistry.View, now time.Time, s zlunit.Service) int {
	level := -1
	if p.Waiting(s) == 0 {
		return level
	}
	eligible := p.eligibilityOf(s)
	share := p.ConnectionShare(v.Table.Services[s])
	for _, e := range v.Replicas[s] {
		if v.OutOfService[e.DataCentre] || !eligible.allows(e) {
			continue
		}
		r := p.recordFor(e)
		state := r.snapshot(now)
		until, never := r.restriction.blockedUntil(now, p.Settings.LeavingGrace)
		if !never && until.IsZero() && !state.moved {
			level = max(level, state.highestLevel(share))
		}
	}
	return level
}

// markShort notes that a replica of the service refused a request. Late answers don't count:
// those that meet a pause of a replica are late without a shortage.
func (q *waitQueue) markShort(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.shortAt = now
}

// ShortServices returns services that this VM recently found short of places: requests within
// their share waited there, or its replicas refused some. It leaves out those of which
// another VM has just said so.
//
// Load pattern: many VMs have few requests each, so that one VM seldom has a request that
// waits; or a hot organisation's callers are connected to few VMs, where no others wait. Each
// VM knows how much of its own requests a hot organisation sends, so the shortage is all that
// has to be told.
func (p *Placer) ShortServices(now time.Time) []zlunit.Service {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []zlunit.Service
	for s, q := range p.waitQueues {
		if len(list) >= maxShortServices {
			break
		}
		q.mu.Lock()
		if now.Sub(q.shortAt) <= toldMemory && now.Sub(q.toldAt) > toldMemory/2 {
			list = append(list, s)
		}
		q.mu.Unlock()
	}
	return list
}

// AddShortages takes in the services that another VM found short of places. It ignores those
// that this process has sent nothing to.
func (p *Placer) AddShortages(list []zlunit.Service, now time.Time) {
	for _, s := range list {
		p.mu.Lock()
		q := p.waitQueues[s]
		p.mu.Unlock()
		if q != nil {
			q.mu.Lock()
			if now.Sub(q.reportedAt) <= toldMemory/2 {
				q.toldAt = now
			}
			q.reportedAt = now
			q.mu.Unlock()
		}
	}
}

// IsHopeless reports whether a waiter whose organisation is over its fair share will get no
// place before a time: as many go first as places that it may use become free until then.
// Those of a higher level do not count, as they leave it some of the places.
//
// Load pattern: a hot organisation's callers are refused at the end of their wait, too late
// for a second attempt.
func (p *Placer) IsHopeless(now time.Time, w *Waiter, until time.Time) bool {
	q := p.queueFor(w.Service)
	over := q.overShare(now, &w.Turn)
	if over == 0 {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	places, ok := q.freed.within(now, until.Sub(now))
	return ok && float64(q.countBefore(now, w, over)) >= places*shareOfPlaces(over)
}

const (
	// freedTime is the time constant of the rate at which places become free: ten times
	// what a request waits at most with an objective of 200 ms.
	freedTime = 500 * time.Millisecond
	// minFreed is how many recent places the rate must come from. With fewer, one place
	// more or less would decide on refusals.
	minFreed = 3
)

// freedPlaces counts the places that became free, with a weight that decays with their age.
type freedPlaces struct {
	n  float64
	at time.Time
}

func (f *freedPlaces) decay(now time.Time) {
	if age := now.Sub(f.at); age > 0 {
		f.n *= math.Exp(-float64(age) / float64(freedTime))
		f.at = now
	}
}

func (f *freedPlaces) add(now time.Time) {
	f.decay(now)
	f.n++
}

// within returns how many places become free in a time at the recent rate, and whether that
// is known.
func (f *freedPlaces) within(now time.Time, d time.Duration) (float64, bool) {
	f.decay(now)
	return f.n * float64(d) / float64(freedTime), f.n >= minFreed
}

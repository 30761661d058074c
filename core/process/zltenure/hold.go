package zltenure

import (
	"slices"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlroster"
)

// hold is an upstream that the roster in force assigns to this daemon.
type hold struct {
	// debts names all who may hold tenure of the upstream from an earlier epoch.
	debts []*debt
	// carried is the end of the lease of an earlier epoch since which it has
	// been held without a break.
	carried time.Time
	// blocked counts the earlier holders whose leases may not have ended.
	blocked int
	// unaccounted counts those whose leases have ended but which may wake up.
	unaccounted int
}

// debt is one process that held the upstream at earlier epochs.
type debt struct {
	holder zlroster.Member
	// epoch is the latest of these epochs.
	epoch zlunit.ObjectVersion
	// terms names the holder's vouchers at each of these epochs, without
	// repetitions.
	terms []term
}

// term is a set of vouchers and the latest epoch at which it was in force.
type term struct {
	epoch    zlunit.ObjectVersion
	vouchers []zlroster.Key
}

// full reports that nobody else can be sending.
func (h *hold) full() bool {
	return h.blocked == 0 && h.unaccounted == 0
}

// rebuild works out who may still hold what this daemon holds now. Ended is
// the end of the lease of the epoch that was in force before.
func (t *Tenure) rebuild(old zlroster.Roster, upstreams []zlunit.Upstream, ended, now time.Time) {
	before := t.holds
	t.holds = map[zlunit.Upstream]*hold{}
	t.noteExits(now)
	if !t.member(t.roster) || t.stopped {
		return
	}
	var mine []zlunit.Upstream
	for _, u := range upstreams {
		if m, ok := t.roster.Holder(u); ok && m.Key() == t.Self {
			mine = append(mine, u)
			t.holds[u] = &hold{}
		}
	}
	if len(mine) == 0 {
		return
	}
	past := t.past()
	for _, u := range mine {
		t.owe(u, past, old.Epoch, before[u], ended)
	}
}

// epochOf is one earlier roster with its vouchers worked out on demand.
type epochOf struct {
	roster   zlroster.Roster
	vouchers map[zlunit.VM][]zlroster.Key
}

func (t *Tenure) past() []*epochOf {
	var out []*epochOf
	t.roster.Earlier(func(r zlroster.Roster) {
		out = append(out, &epochOf{
			roster:   r,
			vouchers: map[zlunit.VM][]zlroster.Key{},
		})
	})
	return out
}

func (e *epochOf) vouchersOf(vm zlunit.VM) []zlroster.Key {
	if keys, ok := e.vouchers[vm]; ok {
		return keys
	}
	var keys []zlroster.Key
	for _, m := range e.roster.Vouchers(vm) {
		keys = append(keys, m.Key())
	}
	e.vouchers[vm] = keys
	return keys
}

// owe fills the hold of u from the earlier rosters, newest first. It stops at
// the epoch that was in force here before if u was held ever since.
func (t *Tenure) owe(u zlunit.Upstream, past []*epochOf, from zlunit.ObjectVersion, before *hold, ended time.Time) {
	h := t.holds[u]
	unbroken := before != nil
	for _, e := range past {
		if unbroken && e.roster.Epoch < from {
			break
		}
		holder, ok := e.roster.Holder(u)
		if !ok || holder.Key() == t.Self {
			continue
		}
		unbroken = false
		h.add(holder, e)
	}
	if unbroken {
		h.debts = before.debts
		h.carried = latest(before.carried, ended)
	}
}

// add notes that holder held the upstream at e.
func (h *hold) add(holder zlroster.Member, e *epochOf) {
	var d *debt
	for _, x := range h.debts {
		if x.holder.Key() == holder.Key() {
			d = x
		}
	}
	if d == nil {
		d = &debt{
			holder: holder,
			epoch:  e.roster.Epoch,
		}
		h.debts = append(h.debts, d)
	}
	keys := e.vouchersOf(holder.VM)
	for _, x := range d.terms {
		if slices.Equal(x.vouchers, keys) {
			return
		}
	}
	d.terms = append(d.terms, term{
		epoch:    e.roster.Epoch,
		vouchers: keys,
	})
}

// settle counts, for each hold, who may still be sending.
func (t *Tenure) settle(now time.Time) {
	t.clear = true
	for u, h := range t.holds {
		h.blocked, h.unaccounted = 0, 0
		for _, d := range h.debts {
			switch {
			case t.accounted(u, d, now):
			case t.lapsed(d, now):
				h.unaccounted++
			default:
				h.blocked++
			}
		}
		t.clear = t.clear && h.full()
	}
}

// accounted reports that the earlier holder will send nothing any more and
// has nothing in flight.
func (t *Tenure) accounted(u zlunit.Upstream, d *debt, now time.Time) bool {
	f, ok := t.facts[d.holder.Key()]
	if !ok {
		return false
	}
	if f.stopped {
		return true
	}
	if epoch, ok := f.released[u]; ok && epoch >= d.epoch {
		return true
	}
	return f.dead && t.waited(t.deadSince(f), now)
}

// lapsed reports that the earlier holder's lease has ended, by its own clock.
func (t *Tenure) lapsed(d *debt, now time.Time) bool {
	for _, x := range d.terms {
		if by, ok := t.ended(x.epoch); !ok || !t.waited(by, now) {
			return false
		}
		if len(x.vouchers) > 0 && !slices.ContainsFunc(x.vouchers, func(k zlroster.Key) bool {
			return t.adopted(k, x.epoch, now)
		}) {
			return false
		}
	}
	return true
}

// adopted reports that the process k left epoch, by adopting a later one or by
// its death, at least a lease ago.
func (t *Tenure) adopted(k zlroster.Key, epoch zlunit.ObjectVersion, now time.Time) bool {
	f, ok := t.facts[k]
	if !ok {
		return false
	}
	by, ok := f.left(epoch)
	return ok && t.waited(by, now)
}

func (t *Tenure) waited(since, now time.Time) bool {
	return now.Sub(since) >= t.wait()
}

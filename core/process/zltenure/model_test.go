package zltenure

import (
	"fmt"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlroster"

	"pgregory.net/rapid"
)

// world knows the truth: true time, who runs, and what is in flight. Every
// daemon sends as much as its tenure lets it, for as long as it lets it.
type world struct {
	t        *rapid.T
	now      time.Duration
	daemons  []*daemon
	upstream map[zlunit.Upstream]*upstream
	names    []zlunit.Upstream
	roster   zlroster.Roster
	down     bool
	cut      map[[2]zlunit.VM]bool
	post     []letter
	born     zlunit.Incarnation
}

type upstream struct {
	use  Use
	cold bool
	// turned is when it last turned cold.
	turned time.Duration
}

// letter is an answer on its way.
type letter struct {
	at    time.Duration
	to    *daemon
	apply func()
}

// flight is a request in flight, until its deadline at the latest.
type flight struct {
	began time.Duration
	ends  time.Duration
}

type daemon struct {
	tenure *Tenure
	member zlroster.Member
	rate   float64
	offset time.Duration

	paused   bool
	pausedAt time.Duration
	dead     bool
	diedAt   time.Duration
	slow     bool
	noStore  bool
	leaving  bool
	flights  map[zlunit.Upstream][]flight
	conns    map[zlunit.Upstream]zlunit.Connections
	warm     map[zlunit.Upstream]bool
	// checked holds, for each upstream for which the daemon was paused between
	// a check and its send, the slots of the share that it checked.
	checked map[zlunit.Upstream]int
	heard   map[zlunit.VM]time.Duration
	beat    time.Duration
}

const (
	modelLease = 4 * time.Second
	// modelError is far above the real one, so that a missed wait shows.
	modelError = 0.25
	modelStep  = 250 * time.Millisecond
	// modelHeal is the stated bound: all upstreams have a holder with the full
	// share this long after everything has healed.
	modelHeal = 20 * time.Second
)

func (d *daemon) local(at time.Duration) time.Time {
	return time.Unix(0, 0).Add(d.offset + time.Duration(float64(at)*d.rate))
}

func (d *daemon) truth(at time.Time) time.Duration {
	return time.Duration(float64(at.Sub(time.Unix(0, 0))-d.offset) / d.rate)
}

func (d *daemon) runs() bool {
	return !d.dead && !d.paused
}

func (w *world) start(vm zlunit.VM) {
	w.born++
	d := &daemon{
		member: zlroster.Member{
			VM:          vm,
			Incarnation: w.born,
			Peer:        string(vm),
		},
		rate:    rapid.SampledFrom([]float64{0.9, 1, 1.1}).Draw(w.t, "rate"),
		offset:  time.Duration(rapid.IntRange(0, 1000).Draw(w.t, "offset")) * time.Second,
		flights: map[zlunit.Upstream][]flight{},
		conns:   map[zlunit.Upstream]zlunit.Connections{},
		warm:    map[zlunit.Upstream]bool{},
		checked: map[zlunit.Upstream]int{},
		heard:   map[zlunit.VM]time.Duration{},
	}
	d.tenure = &Tenure{
		Self:        d.member.Key(),
		Lease:       modelLease,
		ClockError:  modelError,
		Unconfirmed: DefaultUnconfirmed,
	}
	w.daemons = append(w.daemons, d)
}

func (w *world) write(next zlroster.Roster) {
	if len(next.Past) == len(w.roster.Past) && len(next.Members) == len(w.roster.Members) {
		return
	}
	next.Epoch = w.roster.Epoch + 1
	w.roster = next
}

func (w *world) wall() time.Time {
	return time.Unix(0, 0).Add(w.now)
}

func (w *world) apart(a, b zlunit.VM) bool {
	return w.cut[[2]zlunit.VM{a, b}] || w.cut[[2]zlunit.VM{b, a}]
}

func (w *world) byKey(k zlroster.Key) *daemon {
	for _, d := range w.daemons {
		if d.member.Key() == k {
			return d
		}
	}
	return nil
}

// at returns the live process under a VM name.
func (w *world) at(vm zlunit.VM) *daemon {
	for _, d := range w.daemons {
		if d.member.VM == vm && !d.dead {
			return d
		}
	}
	return nil
}

func (w *world) store(d *daemon) bool {
	return !w.down && !d.noStore
}

// pass lets true time pass, in steps in which each daemon does its work.
func (w *world) pass(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += modelStep
		w.deliver()
		for _, d := range w.daemons {
			if d.runs() {
				w.work(d)
			}
		}
		w.check()
	}
}

func (w *world) deliver() {
	var later []letter
	for _, l := range w.post {
		switch {
		case l.at > w.now || l.to.paused:
			later = append(later, l)
		case !l.to.dead:
			l.apply()
		}
	}
	w.post = later
}

func (w *world) work(d *daemon) {
	now := d.local(w.now)
	if w.store(d) && (!d.slow || rapid.IntRange(0, 9).Draw(w.t, "reads") == 0) {
		w.reads(d, now)
	}
	if w.now-d.beat >= time.Second {
		d.beat = w.now
		for _, v := range d.tenure.Vouchers() {
			w.ask(d, v, nil)
		}
	}
	for _, q := range d.tenure.Questions(now) {
		w.ask(d, q.To, q.Released)
	}
	d.tenure.Tick(now)
	w.send(d)
	if w.store(d) {
		w.watch(d)
	}
}

// reads takes up the roster from the platform, and joins or leaves.
func (w *world) reads(d *daemon, now time.Time) {
	m, ok := w.roster.Member(d.member.VM)
	switch {
	case d.leaving && ok && m.State != zlroster.StateLeaving:
		d.member.State = zlroster.StateLeaving
		w.write(w.roster.With(d.member, w.wall()))
	case d.leaving && ok && w.idle(d):
		d.tenure.Stop()
		d.dead, d.diedAt = true, w.now
		w.write(w.roster.Without([]zlroster.Departure{{
			Member: d.member,
			How:    zlroster.ExitReleased,
		}}, w.wall()))
		return
	case !d.leaving && (!ok || m.Incarnation != d.member.Incarnation):
		w.write(w.roster.With(d.member, w.wall()))
	}
	d.tenure.Adopt(w.roster, w.names, now)
	if d.tenure.Left(now) < modelLease/2 {
		d.tenure.Confirm(w.roster.Epoch, now)
	}
}

func (w *world) idle(d *daemon) bool {
	if len(d.tenure.Held(d.local(w.now))) > 0 {
		return false
	}
	for _, u := range w.names {
		if len(d.flights[u]) > 0 || d.conns[u] > 0 {
			return false
		}
	}
	return true
}

// ask sends a beat; it and its answer take time and may be lost.
func (w *world) ask(d *daemon, to zlroster.Member, released []zlunit.Upstream) {
	peer := w.at(to.VM)
	if peer == nil || w.apart(d.member.VM, to.VM) || !peer.runs() {
		return
	}
	fate := rapid.IntRange(0, 19).Draw(w.t, "fate")
	if fate == 0 {
		return
	}
	asked := d.local(w.now)
	b := d.tenure.Beat()
	b.Released = released
	peer.heard[d.member.VM] = w.now
	echo := peer.tenure.Answer(&b, func(u zlunit.Upstream) bool {
		return len(peer.flights[u]) == 0 && peer.conns[u] == 0
	}, peer.local(w.now))
	w.post = append(w.post, letter{
		at: w.now + time.Duration(max(fate-15, 0))*modelStep,
		to: d,
		apply: func() {
			d.tenure.Heard(to.Key(), b.Epoch, asked, &echo, d.local(w.now))
		},
	})
}

// watch writes silent members out of the roster.
func (w *world) watch(d *daemon) {
	for _, m := range w.roster.Vouched(d.member.VM) {
		heard, ok := d.heard[m.VM]
		if !ok {
			d.heard[m.VM] = w.now
			continue
		}
		how := zlroster.ExitSilent
		if p := w.byKey(m.Key()); p.dead && w.now-p.diedAt > time.Second {
			how = zlroster.ExitDead
		}
		if w.now-heard > 5*time.Second || how == zlroster.ExitDead && w.now-heard > 2*time.Second {
			w.write(w.roster.Without([]zlroster.Departure{{
				Member: m,
				How:    how,
			}}, w.wall()))
		}
	}
	for _, q := range d.tenure.Questions(d.local(w.now)) {
		if p := w.byKey(q.To.Key()); p != nil && p.dead && !w.apart(d.member.VM, q.To.VM) {
			d.tenure.Dead(q.To.Key(), d.local(w.now))
		}
	}
}

// send has d use all of its shares, each request until the share's end.
func (w *world) send(d *daemon) {
	for _, name := range w.names {
		u := w.upstream[name]
		var left []flight
		for _, f := range d.flights[name] {
			if f.ends > w.now {
				left = append(left, f)
			}
		}
		d.flights[name] = left
		s := d.tenure.May(u.use, d.local(w.now))
		if !s.OK {
			d.conns[name] = 0
			d.warm[name] = false
			continue
		}
		if d.warm[name] || s.Cold > 0 {
			d.conns[name] = s.Connections
		}
		limit := s.Slots
		if !d.warm[name] {
			limit = min(limit, s.Cold)
		}
		for len(d.flights[name]) < int(limit) {
			d.flights[name] = append(d.flights[name], flight{
				began: w.now,
				ends:  min(d.truth(s.Until), w.now+2*time.Second),
			})
		}
		if !u.cold && len(d.flights[name]) > 0 {
			d.warm[name] = true
		}
	}
}

// check compares the sums over all daemons with what each upstream bears.
func (w *world) check() {
	for _, name := range w.names {
		u := w.upstream[name]
		var slots, cold, conns int
		text := ""
		for _, d := range w.daemons {
			for _, f := range d.flights[name] {
				if f.ends <= w.now {
					continue
				}
				slots++
				if u.cold && f.began >= u.turned {
					cold++
				}
			}
			conns += int(d.conns[name])
			if len(d.flights[name]) > 0 || d.conns[name] > 0 {
				text += fmt.Sprintf("; %s/%d %d in flight %d connections paused %v share %+v", d.member.VM, d.member.Incarnation, len(d.flights[name]), d.conns[name], d.paused, d.tenure.May(u.use, d.local(w.now)))
			}
		}
		if slots > int(u.use.Slots) || cold > int(u.use.Cold) || conns > int(u.use.Connections) {
			w.t.Fatalf("at %v upstream %s: %d in flight, %d of them cold, %d connections; bears %+v%s", w.now, name, slots, cold, conns, u.use, text)
		}
	}
}

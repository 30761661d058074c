package zllease

import (
	"fmt"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlroster"

	"pgregory.net/rapid"
)

// world simulates the daemons, the store and the network in true time, and
// knows what is in flight. Every daemon uses its whole share for as long as it
// lasts.
type world struct {
	t        *rapid.T
	now      time.Duration
	daemons  []*daemon
	upstream map[zlunit.Upstream]*upstream
	names    []zlunit.Upstream
	roster   zlroster.Roster
	// storeDown is set while the platform is down.
	storeDown bool
	// cut holds the pairs of VMs without a connection between them.
	cut             map[[2]zlunit.VM]bool
	inTransit       []message
	lastIncarnation zlunit.Incarnation
}

type upstream struct {
	use  Capacity
	cold bool
	// coldAt is when it last turned cold.
	coldAt time.Duration
}

// message is an answer in transit.
type message struct {
	at    time.Duration
	to    *daemon
	apply func()
}

// flight is a request in flight, at the latest until its deadline.
type flight struct {
	began time.Duration
	ends  time.Duration
}

type daemon struct {
	leases *Leases
	member zlroster.Member
	// rate and offset relate the daemon's clock to true time.
	rate   float64
	offset time.Duration

	paused   bool
	pausedAt time.Duration
	dead     bool
	diedAt   time.Duration
	// slow is set while the daemon seldom reads the store.
	slow bool
	// noStore is set while the daemon is cut off from the platform.
	noStore bool
	leaving bool
	flights map[zlunit.Upstream][]flight
	conns   map[zlunit.Upstream]zlunit.Connections
	warm    map[zlunit.Upstream]bool
	// checked holds, for each upstream for which the daemon was paused between
	// the check of its share and the send, the slots of that share.
	checked map[zlunit.Upstream]int
	heard   map[zlunit.VM]time.Duration
	// heartbeatAt is when the daemon last sent heartbeats to its guarantors.
	heartbeatAt time.Duration
}

const (
	modelLease = 4 * time.Second
	// modelError is far above DefaultClockError, so that a wait that ignores
	// clock error fails the test.
	modelError = 0.25
	modelStep  = 250 * time.Millisecond
	// modelRecovery is the documented bound: this long after all faults have
	// ended, each upstream has a holder with the whole share.
	modelRecovery = 20 * time.Second
)

func (d *daemon) localTime(at time.Duration) time.Time {
	return time.Unix(0, 0).Add(d.offset + time.Duration(float64(at)*d.rate))
}

func (d *daemon) trueTime(at time.Time) time.Duration {
	return time.Duration(float64(at.Sub(time.Unix(0, 0))-d.offset) / d.rate)
}

func (d *daemon) runs() bool {
	return !d.dead && !d.paused
}

func (w *world) start(vm zlunit.VM) {
	w.lastIncarnation++
	d := &daemon{
		member: zlroster.Member{
			VM:          vm,
			Incarnation: w.lastIncarnation,
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
	d.leases = &Leases{
		Self:        d.member.Key(),
		Lease:       modelLease,
		ClockError:  modelError,
		Unconfirmed: DefaultUnconfirmed,
	}
	w.daemons = append(w.daemons, d)
}

func (w *world) write(next zlroster.Roster) {
	if len(next.Changes) == len(w.roster.Changes) && len(next.Members) == len(w.roster.Members) {
		return
	}
	next.Epoch = w.roster.Epoch + 1
	w.roster = next
}

func (w *world) wallTime() time.Time {
	return time.Unix(0, 0).Add(w.now)
}

func (w *world) partitioned(a, b zlunit.VM) bool {
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

// liveProcess returns the live process under a VM name, or nil.
func (w *world) liveProcess(vm zlunit.VM) *daemon {
	for _, d := range w.daemons {
		if d.member.VM == vm && !d.dead {
			return d
		}
	}
	return nil
}

func (w *world) storeReachable(d *daemon) bool {
	return !w.storeDown && !d.noStore
}

// advance advances true time by d, in steps in which each daemon does its work.
func (w *world) advance(d time.Duration) {
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
	var later []message
	for _, l := range w.inTransit {
		switch {
		case l.at > w.now || l.to.paused:
			later = append(later, l)
		case !l.to.dead:
			l.apply()
		}
	}
	w.inTransit = later
}

func (w *world) work(d *daemon) {
	now := d.localTime(w.now)
	if w.storeReachable(d) && (!d.slow || rapid.IntRange(0, 9).Draw(w.t, "reads") == 0) {
		w.readStore(d, now)
	}
	if w.now-d.heartbeatAt >= time.Second {
		d.heartbeatAt = w.now
		for _, v := range d.leases.Guarantors() {
			w.sendHeartbeat(d, v, nil)
		}
	}
	for _, q := range d.leases.ReleaseQueries(now) {
		w.sendHeartbeat(d, q.To, q.Released)
	}
	d.leases.Tick(now)
	w.useShares(d)
	if w.storeReachable(d) {
		w.removeSilent(d)
	}
}

// readStore reads the roster from the platform, and joins or leaves it.
func (w *world) readStore(d *daemon, now time.Time) {
	m, ok := w.roster.Member(d.member.VM)
	switch {
	case d.leaving && ok && m.State != zlroster.StateLeaving:
		d.member.State = zlroster.StateLeaving
		w.write(w.roster.With(d.member, w.wallTime()))
	case d.leaving && ok && w.hasReleasedAll(d):
		d.leases.Stop()
		d.dead, d.diedAt = true, w.now
		w.write(w.roster.Without([]zlroster.Departure{{
			Member: d.member,
			Exit:   zlroster.ExitReleased,
		}}, w.wallTime()))
		return
	case !d.leaving && (!ok || m.Incarnation != d.member.Incarnation):
		w.write(w.roster.With(d.member, w.wallTime()))
	}
	d.leases.Adopt(w.roster, w.names, now)
	if d.leases.Remaining(now) < modelLease/2 {
		d.leases.Confirm(w.roster.Epoch, now)
	}
}

func (w *world) hasReleasedAll(d *daemon) bool {
	if len(d.leases.Held(d.localTime(w.now))) > 0 {
		return false
	}
	for _, u := range w.names {
		if len(d.flights[u]) > 0 || d.conns[u] > 0 {
			return false
		}
	}
	return true
}

// sendHeartbeat sends a heartbeat; the heartbeat may be lost, and its answer
// may be delayed.
func (w *world) sendHeartbeat(d *daemon, to zlroster.Member, released []zlunit.Upstream) {
	peer := w.liveProcess(to.VM)
	if peer == nil || w.partitioned(d.member.VM, to.VM) || !peer.runs() {
		return
	}
	outcome := rapid.IntRange(0, 19).Draw(w.t, "fate")
	if outcome == 0 {
		return
	}
	asked := d.localTime(w.now)
	b := d.leases.Heartbeat()
	b.Released = released
	peer.heard[d.member.VM] = w.now
	reply := peer.leases.Answer(&b, func(u zlunit.Upstream) bool {
		return len(peer.flights[u]) == 0 && peer.conns[u] == 0
	}, peer.localTime(w.now))
	w.inTransit = append(w.inTransit, message{
		at: w.now + time.Duration(max(outcome-15, 0))*modelStep,
		to: d,
		apply: func() {
			d.leases.HandleReply(to.Key(), b.Epoch, asked, &reply, d.localTime(w.now))
		},
	})
}

// removeSilent removes members from the roster that were not heard from or are
// dead.
func (w *world) removeSilent(d *daemon) {
	for _, m := range w.roster.GuaranteedBy(d.member.VM) {
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
				Exit:   how,
			}}, w.wallTime()))
		}
	}
	for _, q := range d.leases.ReleaseQueries(d.localTime(w.now)) {
		if p := w.byKey(q.To.Key()); p != nil && p.dead && !w.partitioned(d.member.VM, q.To.VM) {
			d.leases.MarkDead(q.To.Key(), d.localTime(w.now))
		}
	}
}

// useShares makes d use its whole share of each upstream; each request lasts at
// most until the share ends.
func (w *world) useShares(d *daemon) {
	for _, name := range w.names {
		u := w.upstream[name]
		var left []flight
		for _, f := range d.flights[name] {
			if f.ends > w.now {
				left = append(left, f)
			}
		}
		d.flights[name] = left
		s := d.leases.Share(u.use, d.localTime(w.now))
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
				ends:  min(d.trueTime(s.Until), w.now+2*time.Second),
			})
		}
		if !u.cold && len(d.flights[name]) > 0 {
			d.warm[name] = true
		}
	}
}

// check fails the test if the sums over all daemons exceed the capacity of an
// upstream.
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
				if u.cold && f.began >= u.coldAt {
					cold++
				}
			}
			conns += int(d.conns[name])
			if len(d.flights[name]) > 0 || d.conns[name] > 0 {
				text += fmt.Sprintf("; %s/%d %d in flight %d connections paused %v share %+v", d.member.VM, d.member.Incarnation, len(d.flights[name]), d.conns[name], d.paused, d.leases.Share(u.use, d.localTime(w.now)))
			}
		}
		if slots > int(u.use.Slots) || cold > int(u.use.Cold) || conns > int(u.use.Connections) {
			w.t.Fatalf("at %v upstream %s: %d in flight, %d of them cold, %d connections, want at most %+v%s", w.now, name, slots, cold, conns, u.use, text)
		}
	}
}

package zllease

import (
	"fmt"
	"testing"
	"time"

	"zinnialock/core/process/zlunit"

	"pgregory.net/rapid"
)

func newWorld(t *rapid.T) *world {
	w := &world{
		t:        t,
		upstream: map[zlunit.Upstream]*upstream{},
		cut:      map[[2]zlunit.VM]bool{},
	}
	for i, use := range []Capacity{
		{Slots: 3, Connections: 30, Cold: 1},
		{Slots: 6, Connections: 100, Cold: 2},
		{Slots: 2, Connections: 25, Cold: 1},
		{Slots: 1, Connections: 1, Cold: 1},
		{Slots: 4, Connections: 5, Cold: 4},
		{Slots: 3, Connections: 30, Cold: 3},
	} {
		use.Name = zlunit.Upstream(fmt.Sprintf("u%d", i))
		w.names = append(w.names, use.Name)
		w.upstream[use.Name] = &upstream{
			use:  use,
			cold: i%2 == 0,
		}
	}
	for i := range rapid.IntRange(1, 8).Draw(t, "daemons") {
		w.start(zlunit.VM(fmt.Sprintf("vm%d", i)))
	}
	w.advance(10 * time.Second)
	return w
}

func (w *world) pick(fits func(*daemon) bool) *daemon {
	var fit []*daemon
	for _, d := range w.daemons {
		if fits(d) {
			fit = append(fit, d)
		}
	}
	if len(fit) == 0 {
		w.t.Skip("no daemon fits this action")
	}
	return fit[rapid.IntRange(0, len(fit)-1).Draw(w.t, "daemon")]
}

func (w *world) pause(d *daemon) {
	d.paused, d.pausedAt = true, w.now
	for _, name := range w.names {
		s := d.leases.Share(w.upstream[name].use, d.localTime(w.now))
		// At most one of the daemon's senders is between its check and its
		// send.
		d.checked[name] = 0
		if s.OK && d.conns[name] > 0 && d.warm[name] {
			d.checked[name] = int(s.Slots)
		}
	}
}

func (w *world) resume(d *daemon) {
	d.paused = false
	for _, name := range w.names {
		stale := w.now-d.pausedAt >= modelLease-sendMargin
		d.flights[name] = unexpired(d.flights[name], w.now)
		if len(d.flights[name]) < d.checked[name] {
			d.flights[name] = append(d.flights[name], flight{
				began: w.now,
				ends:  w.now + time.Second,
			})
		}
		d.checked[name] = 0
		if stale || w.upstream[name].coldAt >= d.pausedAt {
			d.warm[name] = false
		}
	}
	w.check()
}

func unexpired(flights []flight, now time.Duration) []flight {
	var out []flight
	for _, f := range flights {
		if f.ends > now {
			out = append(out, f)
		}
	}
	return out
}

// turnCold turns an upstream cold; a restart also breaks all its connections. A
// running daemon learns of it from the next reply, which the model delivers at
// once.
func (w *world) turnCold(name zlunit.Upstream, restart bool) {
	u := w.upstream[name]
	u.cold, u.coldAt = true, w.now
	for _, d := range w.daemons {
		d.flights[name] = nil
		if restart {
			d.conns[name] = 0
			d.checked[name] = 0
		}
		if restart || d.runs() {
			d.warm[name] = false
		}
	}
}

func (w *world) kill(d *daemon) {
	d.dead, d.diedAt, d.paused = true, w.now, false
	// The upstream may go on with its requests until their deadlines; the
	// kernel closes the connections.
	d.conns = map[zlunit.Upstream]zlunit.Connections{}
}

// pauseWhileCold pauses a daemon beyond its lease while an upstream turns cold.
func (w *world) pauseWhileCold() {
	d := w.pick(func(d *daemon) bool { return d.runs() })
	w.pause(d)
	for range rapid.IntRange(1, 3).Draw(w.t, "rounds") {
		w.advance(time.Duration(rapid.IntRange(1, 8).Draw(w.t, "seconds")) * time.Second)
		name := rapid.SampledFrom(w.names).Draw(w.t, "upstream")
		if rapid.Bool().Draw(w.t, "chill") {
			w.turnCold(name, rapid.Bool().Draw(w.t, "restart"))
			w.advance(2 * modelStep)
		}
	}
	if d.paused {
		w.resume(d)
	}
}

// isolate partitions a daemon from the platform and from all other daemons.
func (w *world) isolate() {
	d := w.pick(func(d *daemon) bool { return !d.dead })
	d.noStore = true
	for _, x := range w.daemons {
		w.cut[[2]zlunit.VM{d.member.VM, x.member.VM}] = true
	}
}

// split partitions a daemon and all its guarantors from the platform and from
// the other daemons; within the partition they extend each other's leases.
func (w *world) split() {
	d := w.pick(func(d *daemon) bool { return !d.dead })
	inPartition := map[zlunit.VM]bool{
		d.member.VM: true,
	}
	for _, v := range w.roster.Guarantors(d.member.VM) {
		inPartition[v.VM] = true
	}
	for _, a := range w.daemons {
		if !inPartition[a.member.VM] {
			continue
		}
		a.noStore = true
		for _, b := range w.daemons {
			if !inPartition[b.member.VM] {
				w.cut[[2]zlunit.VM{a.member.VM, b.member.VM}] = true
			}
		}
	}
	w.advance(time.Duration(rapid.IntRange(10, 40).Draw(w.t, "seconds")) * time.Second)
}

func (w *world) actions() map[string]func(*rapid.T) {
	on := func(f func()) func(*rapid.T) {
		return func(t *rapid.T) {
			w.t = t
			f()
		}
	}
	isAlive := func(d *daemon) bool { return !d.dead }
	runs := func(d *daemon) bool { return d.runs() }
	return map[string]func(*rapid.T){
		"pass": on(func() {
			w.advance(time.Duration(rapid.IntRange(1, 24).Draw(w.t, "steps")) * modelStep)
		}),
		"pass long": on(func() {
			w.advance(time.Duration(rapid.IntRange(5, 15).Draw(w.t, "seconds")) * time.Second)
		}),
		"pause":  on(func() { w.pause(w.pick(runs)) }),
		"resume": on(func() { w.resume(w.pick(func(d *daemon) bool { return d.paused && !d.dead })) }),
		"kill":   on(func() { w.kill(w.pick(isAlive)) }),
		"restart": on(func() {
			d := w.pick(func(d *daemon) bool { return d.dead && w.liveProcess(d.member.VM) == nil })
			w.start(d.member.VM)
		}),
		"join":  on(func() { w.start(zlunit.VM(fmt.Sprintf("new%d", w.lastIncarnation))) }),
		"leave": on(func() { w.pick(runs).leaving = true }),
		"slow":  on(func() { d := w.pick(isAlive); d.slow = !d.slow }),
		"store": on(func() { d := w.pick(isAlive); d.noStore = !d.noStore }),
		"down":  on(func() { w.storeDown = rapid.IntRange(0, 2).Draw(w.t, "down") == 0 }),
		"cut": on(func() {
			a, b := w.pick(isAlive).member.VM, w.pick(isAlive).member.VM
			w.cut[[2]zlunit.VM{a, b}] = true
		}),
		"split": on(w.split),
		"shun": on(func() {
			d := w.pick(func(d *daemon) bool { return !d.dead })
			d.slow = true
			for _, v := range d.leases.Guarantors() {
				w.cut[[2]zlunit.VM{d.member.VM, v.VM}] = true
			}
			w.advance(time.Duration(rapid.IntRange(8, 15).Draw(w.t, "seconds")) * time.Second)
		}),
		"nap":      on(w.pauseWhileCold),
		"long nap": on(w.pauseWhileCold),
		"isolate":  on(w.isolate),
		"strand": on(func() {
			w.isolate()
			w.advance(time.Duration(rapid.IntRange(5, 20).Draw(w.t, "seconds")) * time.Second)
		}),
		"mend": on(func() {
			w.cut = map[[2]zlunit.VM]bool{}
			for _, d := range w.daemons {
				d.noStore = false
			}
		}),
		"cold": on(func() {
			name := rapid.SampledFrom(w.names).Draw(w.t, "upstream")
			w.turnCold(name, rapid.Bool().Draw(w.t, "restart"))
		}),
		"warm": on(func() {
			w.upstream[rapid.SampledFrom(w.names).Draw(w.t, "upstream")].cold = false
		}),
	}
}

// endFaults ends every fault and returns a description of an upstream that does
// not then have one holder with the whole share, or "".
func (w *world) endFaults() string {
	w.storeDown = false
	w.cut = map[[2]zlunit.VM]bool{}
	anyAlive := false
	for _, d := range w.daemons {
		if d.paused && !d.dead {
			w.resume(d)
		}
		d.slow, d.noStore = false, false
		anyAlive = anyAlive || !d.dead && !d.leaving
	}
	if !anyAlive {
		w.start("last")
	}
	w.advance(modelRecovery)
	for _, name := range w.names {
		full := 0
		text := ""
		for _, d := range w.daemons {
			if s := d.leases.Share(w.upstream[name].use, d.localTime(w.now)); !d.dead && s.Reason != ReasonNotHolder {
				text += fmt.Sprintf(" %s: %+v %+v", d.member.VM, s, d.leases.ReleaseQueries(d.localTime(w.now)))
				if s.OK && s.Reason == ReasonHeld {
					full++
				}
			}
		}
		if full != 1 {
			return fmt.Sprintf("upstream %s: got %d holders with the whole share, want 1:%s; roster %+v", name, full, text, w.roster.Members)
		}
	}
	return ""
}

// TestDaemonsTogetherStayWithinUpstreamCapacity checks that the daemons together never
// exceed an upstream's capacity. Pauses, crashes, partitions, clock errors and
// lost answers could each let an earlier holder send beside the next one.
func TestDaemonsTogetherStayWithinUpstreamCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(w.actions())
		w.t = t
		if fault := w.endFaults(); fault != "" {
			t.Fatal(fault)
		}
	})
}

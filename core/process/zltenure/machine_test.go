package zltenure

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
	for i, use := range []Use{
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
	w.pass(10 * time.Second)
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
		w.t.Skip("none")
	}
	return fit[rapid.IntRange(0, len(fit)-1).Draw(w.t, "daemon")]
}

func (w *world) pause(d *daemon) {
	d.paused, d.pausedAt = true, w.now
	for _, name := range w.names {
		s := d.tenure.May(w.upstream[name].use, d.local(w.now))
		// One sender at a time is between its check and its send.
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
		d.flights[name] = alive(d.flights[name], w.now)
		if len(d.flights[name]) < d.checked[name] {
			d.flights[name] = append(d.flights[name], flight{
				began: w.now,
				ends:  w.now + time.Second,
			})
		}
		d.checked[name] = 0
		if stale || w.upstream[name].turned >= d.pausedAt {
			d.warm[name] = false
		}
	}
	w.check()
}

func alive(flights []flight, now time.Duration) []flight {
	var out []flight
	for _, f := range flights {
		if f.ends > now {
			out = append(out, f)
		}
	}
	return out
}

// chill turns an upstream cold; a restart also breaks all its connections.
// Who runs learns of it from the next reply, which the model brings at once.
func (w *world) chill(name zlunit.Upstream, restart bool) {
	u := w.upstream[name]
	u.cold, u.turned = true, w.now
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
	// The upstream may go on with what it has until its deadline; the kernel
	// closes the connections.
	d.conns = map[zlunit.Upstream]zlunit.Connections{}
}

// nap pauses a daemon past its lease while an upstream turns cold.
func (w *world) nap() {
	d := w.pick(func(d *daemon) bool { return d.runs() })
	w.pause(d)
	for range rapid.IntRange(1, 3).Draw(w.t, "rounds") {
		w.pass(time.Duration(rapid.IntRange(1, 8).Draw(w.t, "seconds")) * time.Second)
		name := rapid.SampledFrom(w.names).Draw(w.t, "upstream")
		if rapid.Bool().Draw(w.t, "chill") {
			w.chill(name, rapid.Bool().Draw(w.t, "restart"))
			w.pass(2 * modelStep)
		}
	}
	if d.paused {
		w.resume(d)
	}
}

// isolate cuts a daemon off from the platform and from all others.
func (w *world) isolate() {
	d := w.pick(func(d *daemon) bool { return !d.dead })
	d.noStore = true
	for _, x := range w.daemons {
		w.cut[[2]zlunit.VM{d.member.VM, x.member.VM}] = true
	}
}

// split cuts a daemon and all its vouchers off from the platform and from the
// other daemons: they keep up each other's leases.
func (w *world) split() {
	d := w.pick(func(d *daemon) bool { return !d.dead })
	inside := map[zlunit.VM]bool{
		d.member.VM: true,
	}
	for _, v := range w.roster.Vouchers(d.member.VM) {
		inside[v.VM] = true
	}
	for _, a := range w.daemons {
		if !inside[a.member.VM] {
			continue
		}
		a.noStore = true
		for _, b := range w.daemons {
			if !inside[b.member.VM] {
				w.cut[[2]zlunit.VM{a.member.VM, b.member.VM}] = true
			}
		}
	}
	w.pass(time.Duration(rapid.IntRange(10, 40).Draw(w.t, "seconds")) * time.Second)
}

func (w *world) actions() map[string]func(*rapid.T) {
	on := func(f func()) func(*rapid.T) {
		return func(t *rapid.T) {
			w.t = t
			f()
		}
	}
	lives := func(d *daemon) bool { return !d.dead }
	runs := func(d *daemon) bool { return d.runs() }
	return map[string]func(*rapid.T){
		"pass": on(func() {
			w.pass(time.Duration(rapid.IntRange(1, 24).Draw(w.t, "steps")) * modelStep)
		}),
		"pass long": on(func() {
			w.pass(time.Duration(rapid.IntRange(5, 15).Draw(w.t, "seconds")) * time.Second)
		}),
		"pause":  on(func() { w.pause(w.pick(runs)) }),
		"resume": on(func() { w.resume(w.pick(func(d *daemon) bool { return d.paused && !d.dead })) }),
		"kill":   on(func() { w.kill(w.pick(lives)) }),
		"restart": on(func() {
			d := w.pick(func(d *daemon) bool { return d.dead && w.at(d.member.VM) == nil })
			w.start(d.member.VM)
		}),
		"join":  on(func() { w.start(zlunit.VM(fmt.Sprintf("new%d", w.born))) }),
		"leave": on(func() { w.pick(runs).leaving = true }),
		"slow":  on(func() { d := w.pick(lives); d.slow = !d.slow }),
		"store": on(func() { d := w.pick(lives); d.noStore = !d.noStore }),
		"down":  on(func() { w.down = rapid.IntRange(0, 2).Draw(w.t, "down") == 0 }),
		"cut": on(func() {
			a, b := w.pick(lives).member.VM, w.pick(lives).member.VM
			w.cut[[2]zlunit.VM{a, b}] = true
		}),
		"split": on(w.split),
		"shun": on(func() {
			d := w.pick(func(d *daemon) bool { return !d.dead })
			d.slow = true
			for _, v := range d.tenure.Vouchers() {
				w.cut[[2]zlunit.VM{d.member.VM, v.VM}] = true
			}
			w.pass(time.Duration(rapid.IntRange(8, 15).Draw(w.t, "seconds")) * time.Second)
		}),
		"nap":      on(w.nap),
		"long nap": on(w.nap),
		"isolate":  on(w.isolate),
		"strand": on(func() {
			w.isolate()
			w.pass(time.Duration(rapid.IntRange(5, 20).Draw(w.t, "seconds")) * time.Second)
		}),
		"mend": on(func() {
			w.cut = map[[2]zlunit.VM]bool{}
			for _, d := range w.daemons {
				d.noStore = false
			}
		}),
		"cold": on(func() {
			name := rapid.SampledFrom(w.names).Draw(w.t, "upstream")
			w.chill(name, rapid.Bool().Draw(w.t, "restart"))
		}),
		"warm": on(func() {
			w.upstream[rapid.SampledFrom(w.names).Draw(w.t, "upstream")].cold = false
		}),
	}
}

// heal ends every fault and reports who does not have the full share.
func (w *world) heal() string {
	w.down = false
	w.cut = map[[2]zlunit.VM]bool{}
	living := false
	for _, d := range w.daemons {
		if d.paused && !d.dead {
			w.resume(d)
		}
		d.slow, d.noStore = false, false
		living = living || !d.dead && !d.leaving
	}
	if !living {
		w.start("last")
	}
	w.pass(modelHeal)
	for _, name := range w.names {
		full := 0
		text := ""
		for _, d := range w.daemons {
			if s := d.tenure.May(w.upstream[name].use, d.local(w.now)); !d.dead && s.Why != WhyNotHolder {
				text += fmt.Sprintf(" %s: %+v %+v", d.member.VM, s, d.tenure.Questions(d.local(w.now)))
				if s.OK && s.Why == WhyHeld {
					full++
				}
			}
		}
		if full != 1 {
			return fmt.Sprintf("upstream %s has %d full holders%s; roster %+v", name, full, text, w.roster.Members)
		}
	}
	return ""
}

func TestSumsStayWithinWhatUpstreamsBear(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(w.actions())
		w.t = t
		if fault := w.heal(); fault != "" {
			t.Fatal(fault)
		}
	})
}

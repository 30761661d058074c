// Package zlmember decides which members of a roster to write out, from
// heartbeats, from what other vouchers heard, from the kernels' answers of the
// members' machines and from the platform's lagging list of VMs. It is pure.
package zlmember

import (
	"sync"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlroster"
)

const (
	// DoubtAfter is the silence after which a member is asked directly.
	DoubtAfter = 1500 * time.Millisecond
	// DeadAfter is the least silence after which proof of death is acted on.
	DeadAfter = 2 * time.Second
	// SilentAfter is the silence after which a member is written out without
	// proof. It may be paused or cut off.
	SilentAfter = 15 * time.Second
	// TurnDelay is how long each voucher waits for the one before it.
	TurnDelay = 700 * time.Millisecond
	// ListLag bounds how far the platform's list of VMs is behind.
	ListLag = 2 * time.Minute
	// companyWithin is how recent a sign of others must be for a daemon to
	// believe that the silence is not its own.
	companyWithin = 3 * time.Second
)

// Detector watches the members that this daemon vouches for. Self must be set
// before use.
type Detector struct {
	Self zlroster.Key

	mu      sync.Mutex
	watched map[zlroster.Key]*watch
	// company is when any other daemon was last heard from.
	company time.Time
	// resumed is when this daemon last found that it had been paused.
	resumed time.Time
	ticked  time.Time
}

// watch is what is known of one member.
type watch struct {
	member zlroster.Member
	// turn is this daemon's place among the member's vouchers, from 0.
	turn int
	// peers is how many other vouchers the member has.
	peers   int
	heard   time.Time
	refused bool
	gone    bool
	// elsewhere is when another voucher last said that it had heard from it.
	elsewhere time.Time
}

// Watch sets the roster in force.
func (d *Detector) Watch(r zlroster.Roster, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.watched
	d.watched = map[zlroster.Key]*watch{}
	for _, m := range r.Vouched(d.Self.VM) {
		w, ok := old[m.Key()]
		if !ok {
			w = &watch{
				heard: now,
			}
		}
		w.member = m
		vouchers := r.Vouchers(m.VM)
		w.peers = len(vouchers) - 1
		for i, v := range vouchers {
			if v.VM == d.Self.VM {
				w.turn = i
			}
		}
		d.watched[m.Key()] = w
	}
}

// Heard notes a sign of life of a process.
func (d *Detector) Heard(k zlroster.Key, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.company = now
	if w, ok := d.watched[k]; ok {
		w.heard = now
		w.refused = false
	}
}

// Seen lists those of the named members that were heard from lately.
func (d *Detector) Seen(doubted []zlunit.VM, now time.Time) []zlunit.VM {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []zlunit.VM
	for _, vm := range doubted {
		for k, w := range d.watched {
			if k.VM == vm && now.Sub(w.heard) < companyWithin {
				out = append(out, vm)
			}
		}
	}
	return out
}

// SeenElsewhere notes that another voucher has heard from vm.
func (d *Detector) SeenElsewhere(vm zlunit.VM, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for k, w := range d.watched {
		if k.VM == vm {
			w.elsewhere = now
		}
	}
}

// Refused notes that the kernel of a member's machine said that no process
// listens at its address. A paused process still does.
func (d *Detector) Refused(k zlroster.Key) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w, ok := d.watched[k]; ok {
		w.refused = true
	}
}

// Listed takes in the platform's list of VMs. A list that lacks this daemon's
// own VM is not trusted; see Gone.
func (d *Detector) Listed(vms map[zlunit.VM]bool, wall time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for k, w := range d.watched {
		w.gone = Gone(k, d.Self.VM, vms, wall)
	}
}

// Gone reports whether a list of VMs proves that a process is dead: it lacks
// the VM though the process is older than the list can be, and it holds self.
func Gone(k zlroster.Key, self zlunit.VM, vms map[zlunit.VM]bool, wall time.Time) bool {
	born := time.Unix(0, int64(k.Incarnation))
	return vms[self] && !vms[k.VM] && wall.Sub(born) > 2*ListLag
}

// Tick must be called often. After a pause of its own the daemon doubts no
// one until they had time to be heard.
func (d *Detector) Tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ticked.IsZero() && now.Sub(d.ticked) > DoubtAfter {
		d.resumed = now
	}
	d.ticked = now
}

// silence is how long w was not heard from while this daemon could hear.
func (d *Detector) silence(w *watch, now time.Time) time.Duration {
	since := w.heard
	if d.resumed.After(since) {
		since = d.resumed
	}
	return now.Sub(since)
}

// Doubted lists the members that were not heard from lately.
func (d *Detector) Doubted(now time.Time) []zlroster.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []zlroster.Member
	for _, w := range d.watched {
		if d.silence(w, now) >= DoubtAfter {
			out = append(out, w.member)
		}
	}
	return out
}

// Judge lists the members that this daemon should write out now, and how.
func (d *Detector) Judge(now time.Time) []zlroster.Departure {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []zlroster.Departure
	for _, w := range d.watched {
		how, due := d.verdict(w, now)
		if due {
			out = append(out, zlroster.Departure{
				Member: w.member,
				How:    how,
			})
		}
	}
	return out
}

func (d *Detector) verdict(w *watch, now time.Time) (zlroster.Exit, bool) {
	silence := d.silence(w, now) - time.Duration(w.turn)*TurnDelay
	if w.refused || w.gone {
		return zlroster.ExitDead, silence >= DeadAfter
	}
	if silence < SilentAfter || now.Sub(w.elsewhere) < SilentAfter {
		return zlroster.ExitSilent, false
	}
	return zlroster.ExitSilent, w.peers == 0 || now.Sub(d.company) < companyWithin
}

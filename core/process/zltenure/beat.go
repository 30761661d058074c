package zltenure

import (
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlroster"
)

// maxQuestions bounds the daemons asked at once for their releases.
const maxQuestions = 16

// Beat is what a daemon sends to its vouchers and to earlier holders.
type Beat struct {
	VM          zlunit.VM            `cbor:"1,keyasint"`
	Incarnation zlunit.Incarnation   `cbor:"2,keyasint"`
	Epoch       zlunit.ObjectVersion `cbor:"3,keyasint"`
	// Released lists the upstreams whose release the sender waits for.
	Released []zlunit.Upstream `cbor:"4,keyasint,omitempty"`
	// Doubted lists the daemons that the sender has not heard from.
	Doubted []zlunit.VM `cbor:"5,keyasint,omitempty"`
	// Past asks for the epochs that the answerer adopted before.
	Past bool `cbor:"6,keyasint,omitempty"`
}

// Adoption tells how long ago a daemon adopted an epoch.
type Adoption struct {
	Epoch zlunit.ObjectVersion `cbor:"1,keyasint"`
	Age   time.Duration        `cbor:"2,keyasint"`
}

// Echo answers a Beat.
type Echo struct {
	VM          zlunit.VM            `cbor:"1,keyasint"`
	Incarnation zlunit.Incarnation   `cbor:"2,keyasint"`
	Epoch       zlunit.ObjectVersion `cbor:"3,keyasint"`
	// Adopted holds the epoch and, if asked for, those adopted before it,
	// oldest first.
	Adopted []Adoption `cbor:"4,keyasint"`
	// Vouches is the promise to stop vouching once a later epoch is adopted.
	Vouches bool `cbor:"5,keyasint,omitempty"`
	// Confirmed is the time since the platform confirmed the epoch, if it did.
	Confirmed *time.Duration `cbor:"6,keyasint,omitempty"`
	// Released lists those asked for that this daemon does not hold as of the
	// epoch, with nothing in flight and no connection left.
	Released []zlunit.Upstream `cbor:"7,keyasint,omitempty"`
	// Seen lists those doubted that this daemon has heard from.
	Seen []zlunit.VM `cbor:"8,keyasint,omitempty"`
}

// Beat returns the beat to send to a daemon.
func (t *Tenure) Beat() Beat {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return Beat{
		VM:          t.Self.VM,
		Incarnation: t.Self.Incarnation,
		Epoch:       t.roster.Epoch,
		Past:        !t.clear,
	}
}

// Answer answers a beat. Drained tells whether an upstream that is not held
// here has nothing in flight and no connection left.
func (t *Tenure) Answer(b *Beat, drained func(zlunit.Upstream) bool, now time.Time) Echo {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.later = max(t.later, b.Epoch)
	e := Echo{
		VM:          t.Self.VM,
		Incarnation: t.Self.Incarnation,
		Epoch:       t.roster.Epoch,
		Vouches:     b.Epoch == t.roster.Epoch && t.vouchesFor(b),
	}
	e.Adopted = t.adoptions(b.Past, now)
	if !t.confirmed.IsZero() {
		age := now.Sub(t.confirmed)
		e.Confirmed = &age
	}
	for _, u := range b.Released {
		if _, held := t.holds[u]; !held && drained(u) {
			e.Released = append(e.Released, u)
		}
	}
	return e
}

// adoptions lists the epochs adopted here, or only the one in force.
func (t *Tenure) adoptions(past bool, now time.Time) []Adoption {
	f, ok := t.facts[t.Self]
	if !ok {
		return nil
	}
	list := f.adoptions
	if !past {
		list = list[max(len(list)-1, 0):]
	}
	out := make([]Adoption, 0, len(list))
	for _, a := range list {
		out = append(out, Adoption{
			Epoch: a.epoch,
			Age:   now.Sub(a.by),
		})
	}
	return out
}

func (t *Tenure) vouchesFor(b *Beat) bool {
	m, ok := t.roster.Member(b.VM)
	if !ok || m.Incarnation != b.Incarnation || !t.member(t.roster) {
		return false
	}
	for _, v := range t.roster.Vouched(t.Self.VM) {
		if v.VM == b.VM {
			return true
		}
	}
	return false
}

// Heard takes in the answer to a beat that was sent at asked, with epoch, to
// the process to, and was answered by now.
func (t *Tenure) Heard(to zlroster.Key, epoch zlunit.ObjectVersion, asked time.Time, e *Echo, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.later = max(t.later, e.Epoch)
	from := zlroster.Key{
		VM:          e.VM,
		Incarnation: e.Incarnation,
	}
	if from.VM == to.VM && from.Incarnation > to.Incarnation {
		t.dead(to, now)
	}
	f := t.fact(from)
	for _, a := range e.Adopted {
		f.adopt(a.Epoch, now.Add(-t.shorter(a.Age)))
	}
	for _, u := range e.Released {
		f.released[u] = max(f.released[u], e.Epoch)
	}
	if e.Epoch == t.roster.Epoch {
		if e.Vouches && epoch == e.Epoch {
			t.promises[from] = latest(t.promises[from], asked)
		}
		if e.Confirmed != nil {
			t.confirm(e.Epoch, asked.Add(-t.longer(*e.Confirmed)))
		}
	}
	t.settle(now)
}

// shorter is the least that a time on another clock can be on this one.
func (t *Tenure) shorter(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 + t.ClockError))
}

// longer is the most that a time on another clock can be on this one.
func (t *Tenure) longer(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + t.ClockError))
}

// Question is a daemon to ask, and the upstreams whose release is waited for.
type Question struct {
	To       zlroster.Member
	Released []zlunit.Upstream
}

// Questions returns whom to ask so that what is held here becomes usable:
// the earlier holders, their vouchers while leases may still run, and this
// daemon's own vouchers, which may have seen epochs end before it started.
func (t *Tenure) Questions(now time.Time) []Question {
	t.mu.RLock()
	defer t.mu.RUnlock()
	asks := map[zlroster.Key]*Question{}
	ask := func(m zlroster.Member) *Question {
		q, ok := asks[m.Key()]
		if !ok {
			q = &Question{
				To: m,
			}
			asks[m.Key()] = q
		}
		return q
	}
	for u, h := range t.holds {
		for _, d := range h.debts {
			if t.accounted(u, d, now) {
				continue
			}
			for _, v := range t.vouchers {
				ask(v)
			}
			q := ask(d.holder)
			q.Released = append(q.Released, u)
			if !t.lapsed(d, now) {
				t.askVouchers(d, ask)
			}
		}
	}
	out := make([]Question, 0, len(asks))
	for k, q := range asks {
		if f, ok := t.facts[k]; ok && f.dead || k == t.Self {
			continue
		}
		if len(out) < maxQuestions {
			out = append(out, *q)
		}
	}
	return out
}

// askVouchers asks those vouchers of an earlier holder that are in the roster
// in force; of the others the roster's past tells.
func (t *Tenure) askVouchers(d *debt, ask func(zlroster.Member) *Question) {
	for _, x := range d.terms {
		for _, k := range x.vouchers {
			m, ok := t.roster.Member(k.VM)
			if ok && m.Key() == k {
				ask(m)
			}
		}
	}
}

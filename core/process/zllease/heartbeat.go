package zllease

import (
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlroster"
)

// maxQuestions bounds how many daemons are asked at once.
const maxQuestions = 16

// Heartbeat is a heartbeat that a daemon sends to its guarantors and to earlier
// holders.
type Heartbeat struct {
	// VM and Incarnation name the sending process.
	VM          zlunit.VM          `cbor:"1,keyasint"`
	Incarnation zlunit.Incarnation `cbor:"2,keyasint"`
	// Epoch is the epoch in force at the sender.
	Epoch zlunit.ObjectVersion `cbor:"3,keyasint"`
	// Released lists the upstreams that the receiver is asked to confirm as
	// released.
	Released []zlunit.Upstream `cbor:"4,keyasint,omitempty"`
	// Suspected lists the daemons that the sender has not heard from.
	Suspected []zlunit.VM `cbor:"5,keyasint,omitempty"`
	// AllEpochs asks for all epochs that the receiver has adopted and still keeps.
	AllEpochs bool `cbor:"6,keyasint,omitempty"`
}

// Adoption is an epoch and the time since a daemon adopted it.
type Adoption struct {
	Epoch zlunit.ObjectVersion `cbor:"1,keyasint"`
	// Age is the time since the adoption, by the clock of that daemon.
	Age time.Duration `cbor:"2,keyasint"`
}

// HeartbeatReply is the answer to a Beat.
type HeartbeatReply struct {
	// VM and Incarnation name the answering process.
	VM          zlunit.VM          `cbor:"1,keyasint"`
	Incarnation zlunit.Incarnation `cbor:"2,keyasint"`
	// Epoch is the epoch in force at the answering process.
	Epoch zlunit.ObjectVersion `cbor:"3,keyasint"`
	// Adopted holds the epoch in force and, if Beat.Past is set, those adopted
	// before it, oldest first.
	Adopted []Adoption `cbor:"4,keyasint"`
	// Guarantees is set if the answering daemon guarantees the sender's lease at
	// this epoch; it stops doing so once it adopts a later one.
	Guarantees bool `cbor:"5,keyasint,omitempty"`
	// Confirmed is the time since the platform confirmed the epoch, or nil if
	// it did not.
	Confirmed *time.Duration `cbor:"6,keyasint,omitempty"`
	// Released lists those of Beat.Released that the answering daemon does not
	// hold at this epoch, with nothing in flight and no connection left.
	Released []zlunit.Upstream `cbor:"7,keyasint,omitempty"`
	// Seen lists those of Beat.Doubted that the answering daemon has heard
	// from.
	Seen []zlunit.VM `cbor:"8,keyasint,omitempty"`
}

// Heartbeat returns the heartbeat to send; the caller fills in Released and Doubted.
func (t *Leases) Heartbeat() Heartbeat {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return Heartbeat{
		VM:          t.Self.VM,
		Incarnation: t.Self.Incarnation,
		Epoch:       t.roster.Epoch,
		AllEpochs:   !t.noEarlierHolders,
	}
}

// Answer returns the answer to the heartbeat b. The function drained reports
// whether an upstream that is not held here has nothing in flight and no
// connection left.
func (t *Leases) Answer(b *Heartbeat, drained func(zlunit.Upstream) bool, now time.Time) HeartbeatReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.latestEpoch = max(t.latestEpoch, b.Epoch)
	e := HeartbeatReply{
		VM:          t.Self.VM,
		Incarnation: t.Self.Incarnation,
		Epoch:       t.roster.Epoch,
		Guarantees:  b.Epoch == t.roster.Epoch && t.guarantees(b),
	}
	e.Adopted = t.adoptions(b.AllEpochs, now)
	if !t.epochConfirmedAt.IsZero() {
		age := now.Sub(t.epochConfirmedAt)
		e.Confirmed = &age
	}
	for _, u := range b.Released {
		if _, held := t.assignments[u]; !held && drained(u) {
			e.Released = append(e.Released, u)
		}
	}
	return e
}

// adoptions returns the epochs adopted here, oldest first, or only the one in
// force unless past is set.
func (t *Leases) adoptions(past bool, now time.Time) []Adoption {
	s, ok := t.processes[t.Self]
	if !ok {
		return nil
	}
	list := s.adoptions
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

// guarantees reports whether this daemon is a guarantor of the sender of b.
func (t *Leases) guarantees(b *Heartbeat) bool {
	m, ok := t.roster.Member(b.VM)
	if !ok || m.Incarnation != b.Incarnation || !t.isMember(t.roster) {
		return false
	}
	for _, v := range t.roster.GuaranteedBy(t.Self.VM) {
		if v.VM == b.VM {
			return true
		}
	}
	return false
}

// HandleReply records the answer e to a heartbeat that was sent at sentAt, with
// epoch, to the process to. The answer arrived by now.
func (t *Leases) HandleReply(to zlroster.Key, epoch zlunit.ObjectVersion, sentAt time.Time, e *HeartbeatReply, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.latestEpoch = max(t.latestEpoch, e.Epoch)
	from := zlroster.Key{
		VM:          e.VM,
		Incarnation: e.Incarnation,
	}
	if from.VM == to.VM && from.Incarnation > to.Incarnation {
		t.dead(to, now)
	}
	s := t.process(from)
	for _, a := range e.Adopted {
		s.adopt(a.Epoch, now.Add(-t.minLocal(a.Age)))
	}
	for _, u := range e.Released {
		s.released[u] = max(s.released[u], e.Epoch)
	}
	if e.Epoch == t.roster.Epoch {
		if e.Guarantees && epoch == e.Epoch {
			t.guaranteedAt[from] = latest(t.guaranteedAt[from], sentAt)
		}
		if e.Confirmed != nil {
			t.confirm(e.Epoch, sentAt.Add(-t.maxLocal(*e.Confirmed)))
		}
	}
	t.countEarlierHolders(now)
}

// minLocal returns the least time on this daemon's clock for a time d on
// another one.
func (t *Leases) minLocal(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 + t.ClockError))
}

// maxLocal returns the greatest time on this daemon's clock for a time d on
// another one.
func (t *Leases) maxLocal(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + t.ClockError))
}

// ReleaseQuery is a daemon to send a heartbeat to, and the upstreams that it is
// asked to confirm as released.
type ReleaseQuery struct {
	// To is the daemon to ask.
	To zlroster.Member
	// Released lists the upstreams for Beat.Released.
	Released []zlunit.Upstream
}

// ReleaseQueries returns the daemons to ask so that the upstreams held here become
// usable: the earlier holders, their guarantors while leases may still run, and
// this daemon's own guarantors, which may have seen epochs end before this
// daemon started. It returns no process that is known to be dead, and at most
// maxQuestions.
func (t *Leases) ReleaseQueries(now time.Time) []ReleaseQuery {
	t.mu.RLock()
	defer t.mu.RUnlock()
	asks := map[zlroster.Key]*ReleaseQuery{}
	ask := func(m zlroster.Member) *ReleaseQuery {
		q, ok := asks[m.Key()]
		if !ok {
			q = &ReleaseQuery{
				To: m,
			}
			asks[m.Key()] = q
		}
		return q
	}
	for u, a := range t.assignments {
		for _, prev := range a.earlierHolders {
			if t.finished(u, prev, now) {
				continue
			}
			for _, v := range t.guarantors {
				ask(v)
			}
			q := ask(prev.holder)
			q.Released = append(q.Released, u)
			if !t.leaseExpired(prev, now) {
				t.askGuarantors(prev, ask)
			}
		}
	}
	out := make([]ReleaseQuery, 0, len(asks))
	for k, q := range asks {
		if s, ok := t.processes[k]; ok && s.dead || k == t.Self {
			continue
		}
		if len(out) < maxQuestions {
			out = append(out, *q)
		}
	}
	return out
}

// askGuarantors asks those guarantors of an earlier holder that are in the
// roster in force. The departures recorded in the roster cover the others.
func (t *Leases) askGuarantors(prev *earlierHolder, ask func(zlroster.Member) *ReleaseQuery) {
	for _, x := range prev.guarantorSets {
		for _, k := range x.guarantors {
			m, ok := t.roster.Member(k.VM)
			if ok && m.Key() == k {
				ask(m)
			}
		}
	}
}

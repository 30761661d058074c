package zllease

import (
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlroster"
)

// maxReleaseQueries bounds how many daemons are asked at once.
const maxReleaseQueries = 16

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

// HeartbeatReply is the answer to a Heartbeat.
type HeartbeatReply struct {
	// VM and Incarnation name the answering process.
	VM          zlunit.VM          `cbor:"1,keyasint"`
	Incarnation zlunit.Incarnation `cbor:"2,keyasint"`
	// Epoch is the epoch in force at the answering process.
	Epoch zlunit.ObjectVersion `cbor:"3,keyasint"`
	// Adopted holds the epoch in force and, if Heartbeat.AllEpochs is set, those
	// adopted before it, oldest first.
	Adopted []Adoption `cbor:"4,keyasint"`
	// Guarantees is set if the answering daemon guarantees the sender's lease at
	// this epoch; it stops doing so once it adopts a later one.
	Guarantees bool `cbor:"5,keyasint,omitempty"`
	// Confirmed is the time since the platform confirmed the epoch, or nil if
	// it did not.
	Confirmed *time.Duration `cbor:"6,keyasint,omitempty"`
	// Released lists those of Heartbeat.Released that the answering daemon does
	// not hold at this epoch, with nothing in flight and no connection left.
	Released []zlunit.Upstream `cbor:"7,keyasint,omitempty"`
	// Seen lists those of Heartbeat.Suspected that the answering daemon has
	// heard from.
	Seen []zlunit.VM `cbor:"8,keyasint,omitempty"`
}

// Heartbeat returns the heartbeat to send; the caller fills in Released and
// Suspected.
func (l *Leases) Heartbeat() Heartbeat {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return Heartbeat{
		VM:          l.Self.VM,
		Incarnation: l.Self.Incarnation,
		Epoch:       l.roster.Epoch,
		AllEpochs:   !l.noEarlierHolders,
	}
}

// Answer returns the answer to the heartbeat b. The function drained reports
// whether an upstream that is not held here has nothing in flight and no
// connection left.
func (l *Leases) Answer(b *Heartbeat, drained func(zlunit.Upstream) bool, now time.Time) HeartbeatReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latestEpoch = max(l.latestEpoch, b.Epoch)
	e := HeartbeatReply{
		VM:          l.Self.VM,
		Incarnation: l.Self.Incarnation,
		Epoch:       l.roster.Epoch,
		Guarantees:  b.Epoch == l.roster.Epoch && l.guarantees(b),
	}
	e.Adopted = l.adoptions(b.AllEpochs, now)
	if !l.epochConfirmedAt.IsZero() {
		age := now.Sub(l.epochConfirmedAt)
		e.Confirmed = &age
	}
	for _, u := range b.Released {
		if _, held := l.assignments[u]; !held && drained(u) {
			e.Released = append(e.Released, u)
		}
	}
	return e
}

// adoptions returns the roster epochs that this process has adopted, oldest
// first; unless allEpochs is set, only the newest.
func (l *Leases) adoptions(allEpochs bool, now time.Time) []Adoption {
	s, ok := l.processes[l.Self]
	if !ok {
		return nil
	}
	list := s.adoptions
	if !allEpochs {
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
func (l *Leases) guarantees(b *Heartbeat) bool {
	m, ok := l.roster.Member(b.VM)
	if !ok || m.Incarnation != b.Incarnation || !l.isMember(l.roster) {
		return false
	}
	for _, v := range l.roster.GuaranteedBy(l.Self.VM) {
		if v.VM == b.VM {
			return true
		}
	}
	return false
}

// HandleReply records the answer e to a heartbeat that was sent at sentAt, with
// epoch, to the process to. The answer arrived by now.
func (l *Leases) HandleReply(to zlroster.Key, epoch zlunit.ObjectVersion, sentAt time.Time, e *HeartbeatReply, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latestEpoch = max(l.latestEpoch, e.Epoch)
	from := zlroster.Key{
		VM:          e.VM,
		Incarnation: e.Incarnation,
	}
	if from.VM == to.VM && from.Incarnation > to.Incarnation {
		l.dead(to, now)
	}
	s := l.process(from)
	for _, a := range e.Adopted {
		s.adopt(a.Epoch, now.Add(-l.minLocal(a.Age)))
	}
	for _, u := range e.Released {
		s.releasedAtEpoch[u] = max(s.releasedAtEpoch[u], e.Epoch)
	}
	if e.Epoch == l.roster.Epoch {
		if e.Guarantees && epoch == e.Epoch {
			l.guaranteedAt[from] = latest(l.guaranteedAt[from], sentAt)
		}
		if e.Confirmed != nil {
			l.confirm(e.Epoch, sentAt.Add(-l.maxLocal(*e.Confirmed)))
		}
	}
	l.countEarlierHolders(now)
}

// minLocal returns the least time on this daemon's clock for a time d on
// another one.
func (l *Leases) minLocal(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 + l.ClockError))
}

// maxLocal returns the greatest time on this daemon's clock for a time d on
// another one.
func (l *Leases) maxLocal(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + l.ClockError))
}

// ReleaseQuery is a daemon to send a heartbeat to, and the upstreams that it is
// asked to confirm as released.
type ReleaseQuery struct {
	// To is the daemon to ask.
	To zlroster.Member
	// Released lists the upstreams for Heartbeat.Released.
	Released []zlunit.Upstream
}

// ReleaseQueries returns the daemons to ask so that the upstreams held here become
// usable: the earlier holders, their guarantors while leases may still run, and
// this daemon's own guarantors, which may have seen epochs end before this
// daemon started. It returns no process that is known to be dead, and at most
// maxReleaseQueries.
func (l *Leases) ReleaseQueries(now time.Time) []ReleaseQuery {
	l.mu.RLock()
	defer l.mu.RUnlock()
	queries := map[zlroster.Key]*ReleaseQuery{}
	queryFor := func(m zlroster.Member) *ReleaseQuery {
		q, ok := queries[m.Key()]
		if !ok {
			q = &ReleaseQuery{
				To: m,
			}
			queries[m.Key()] = q
		}
		return q
	}
	for u, a := range l.assignments {
		for _, prev := range a.earlierHolders {
			if l.finished(u, prev, now) {
				continue
			}
			for _, v := range l.guarantors {
				queryFor(v)
			}
			q := queryFor(prev.holder)
			q.Released = append(q.Released, u)
			if !l.leaseExpired(prev, now) {
				l.queryGuarantors(prev, queryFor)
			}
		}
	}
	out := make([]ReleaseQuery, 0, len(queries))
	for k, q := range queries {
		if s, ok := l.processes[k]; ok && s.dead || k == l.Self {
			continue
		}
		if len(out) < maxReleaseQueries {
			out = append(out, *q)
		}
	}
	return out
}

// queryGuarantors adds queries for those guarantors of an earlier holder that are
// in the roster in force. The departures recorded in the roster cover the others.
func (l *Leases) queryGuarantors(prev *earlierHolder, queryFor func(zlroster.Member) *ReleaseQuery) {
	for _, x := range prev.guarantorSets {
		for _, k := range x.guarantors {
			m, ok := l.roster.Member(k.VM)
			if ok && m.Key() == k {
				queryFor(m)
			}
		}
	}
}

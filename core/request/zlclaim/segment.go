package zlclaim

import (
	"context"
	"slices"
	"time"

	"zinnialock/core/process/zlunit"

	"github.com/rotisserie/eris"
)

// entry is the newest record of an id.
type entry struct {
	at     millis
	nonce  Nonce
	holder zlunit.VM
	state  State
}

// segment is a daemon's copy of one segment. A copy may be out of date: what
// it says of a claimed id stays safe, and a claim of an unknown id counts only
// once the head was written on the very version that the copy is of.
type segment struct {
	number   Segment
	synced   bool
	revision zlunit.ObjectVersion
	version  zlunit.ObjectVersion
	head     head
	headSize int
	archives map[string]zlunit.ObjectVersion
	index    map[key]entry
}

func (s *segment) reset() {
	s.synced = false
	s.revision = 0
	s.version = 0
	s.head = head{}
	s.headSize = 0
	s.archives = map[string]zlunit.ObjectVersion{}
	s.index = map[key]entry{}
}

// sync reads what changed in the store, or everything after a reset.
func (s *segment) sync(ctx context.Context, store Store) error {
	if s.index == nil {
		s.reset()
	}
	objects, revision, err := store.Changes(ctx, s.number, s.revision)
	if err != nil {
		return err
	}
	if err := s.load(objects); err != nil {
		s.reset()
		return err
	}
	s.revision = revision
	s.synced = true
	return nil
}

// load applies changed objects: archives in the order of the log, then the
// head, so that the newest record of an id is the last one applied.
func (s *segment) load(objects []Object) error {
	changed := map[string]Object{}
	for _, o := range objects {
		if o.Deleted {
			delete(s.archives, o.Name)
			continue
		}
		changed[o.Name] = o
		if o.Name != headName {
			s.archives[o.Name] = o.Version
		}
	}
	next, ok := changed[headName]
	if !ok || next.Version <= s.version {
		return nil
	}
	var h head
	if err := decodeObject(next, &h); err != nil {
		return err
	}
	for _, ref := range h.Archives {
		if _, ok := s.archives[ref.Name]; !ok {
			return &Error{
				Op:   "load",
				Kind: KindDecode,
				Err:  eris.Errorf("segment %d: archive %q is missing", s.number, ref.Name),
			}
		}
		o, ok := changed[ref.Name]
		if !ok {
			continue
		}
		var a archive
		if err := decodeObject(o, &a); err != nil {
			return err
		}
		s.apply(a.Ops)
	}
	s.head = h
	s.headSize = len(next.Value)
	s.version = next.Version
	s.apply(h.Ops)
	s.forget(h.Floor)
	return nil
}

func (s *segment) apply(ops []op) {
	for _, o := range ops {
		s.index[o.key] = entry{
			at:     o.at,
			nonce:  o.nonce,
			holder: o.holder,
			state:  o.state,
		}
	}
}

// forget drops the ids at or below the floor.
func (s *segment) forget(floor millis) {
	for k, e := range s.index {
		if e.at <= floor {
			delete(s.index, k)
		}
	}
}

// judge returns the reply to an ask as far as this copy knows; fresh tells
// that the ask needs a record.
func (s *segment) judge(ask Ask, k key, now time.Time) (reply Reply, fresh bool) {
	at := timeOf(k, now)
	switch {
	case timed(k) && at <= s.head.Floor, at < millisOf(now.Add(-Window)):
		return Reply{
			Verdict: VerdictTooOld,
		}, false
	case at > millisOf(now.Add(ClockSkew)):
		return Reply{
			Verdict: VerdictAhead,
		}, false
	}
	e, ok := s.index[k]
	if !ok || e.state == StateNotRun && e.nonce != ask.Nonce {
		return Reply{
			Verdict: VerdictFresh,
		}, true
	}
	reply.Holder = e.holder
	switch {
	case e.nonce == ask.Nonce && e.state == StateClaimed:
		reply.Verdict = VerdictFresh
	case e.state == StateDone:
		reply.Verdict = VerdictDone
	default:
		reply.Verdict = VerdictHeld
	}
	return reply, false
}

// wants reports whether an outcome needs a record.
func (s *segment) wants(o Outcome, k key) bool {
	e, ok := s.index[k]
	return ok && e.nonce == o.Nonce && e.state == StateClaimed
}

// memory is how much longer than Window an id is remembered.
const memory = time.Minute

// expired returns the head without the archives whose ids are all too old to
// be claimed and its floor raised above them, and whether there were any.
func (h head) expired(now time.Time) (next head, raised bool) {
	limit := millisOf(now.Add(-Window - memory))
	n := 0
	for n < len(h.Archives) && h.Archives[n].Newest <= limit {
		h.Floor = max(h.Floor, h.Archives[n].Newest)
		n++
	}
	h.Archives = slices.Clone(h.Archives[n:])
	return h, n > 0
}

// compact keeps the newest record of each id, in order.
func compact(ops []op) (out []op, newest millis) {
	last := make(map[key]int, len(ops))
	for i, o := range ops {
		last[o.key] = i
	}
	for i, o := range ops {
		if last[o.key] == i {
			out = append(out, o)
			newest = max(newest, o.at)
		}
	}
	return out, newest
}

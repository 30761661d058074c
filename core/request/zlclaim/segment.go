package zlclaim

import (
	"context"
	"slices"
	"time"

	"zinnialock/core/process/zlunit"

	"github.com/rotisserie/eris"
)

// entry is the latest record of an id.
type entry struct {
	at     millis
	nonce  Nonce
	holder zlunit.VM
	state  State
}

// segment is a daemon's copy of one segment. A copy may be out of date. What it
// says of a claimed id is still safe to act on, and a claim of an unknown id
// only succeeds if the head is written on the version that the copy has.
type segment struct {
	number Segment
	// synced is set unless the copy must be read again before the next write.
	synced bool
	// revision is the revision of the last listing.
	revision zlunit.ObjectVersion
	// version is the version of the head.
	version zlunit.ObjectVersion
	head    head
	// headSize is the size of the encoded head in bytes.
	headSize int
	// archives holds the versions of the stored archives by name.
	archives map[string]zlunit.ObjectVersion
	index    map[key]entry
}

// reset empties the copy, so that the next sync reads everything.
func (s *segment) reset() {
	s.synced = false
	s.revision = 0
	s.version = 0
	s.head = head{}
	s.headSize = 0
	s.archives = map[string]zlunit.ObjectVersion{}
	s.index = map[key]entry{}
}

// sync applies what has changed in the store since the last sync, or everything
// after a reset.
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
// head, so that the latest record of an id is applied last.
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
		s.apply(a.Records)
	}
	s.head = h
	s.headSize = len(next.Value)
	s.version = next.Version
	s.apply(h.Records)
	s.dropUpTo(h.Floor)
	return nil
}

// apply enters records into the index, in the order of the log.
func (s *segment) apply(records []record) {
	for _, r := range records {
		s.index[r.key] = entry{
			at:     r.at,
			nonce:  r.nonce,
			holder: r.holder,
			state:  r.state,
		}
	}
}

// dropUpTo removes the ids at or below the floor.
func (s *segment) dropUpTo(floor millis) {
	for k, e := range s.index {
		if e.at <= floor {
			delete(s.index, k)
		}
	}
}

// evaluate returns the reply to a claim request according to this copy. If needsRecord
// is set, the claim must be written before the reply is given.
func (s *segment) evaluate(claimReq ClaimRequest, k key, now time.Time) (reply Reply, needsRecord bool) {
	at := retentionTime(k, now)
	switch {
	case hasTime(k) && at <= s.head.Floor, at < millisOf(now.Add(-Window)):
		return Reply{
			Verdict: VerdictTooOld,
		}, false
	case at > millisOf(now.Add(ClockSkew)):
		return Reply{
			Verdict: VerdictAhead,
		}, false
	}
	e, ok := s.index[k]
	if !ok || e.state == StateNotRun && e.nonce != claimReq.Nonce {
		return Reply{
			Verdict: VerdictGranted,
		}, true
	}
	reply.Holder = e.holder
	switch {
	case e.nonce == claimReq.Nonce && e.state == StateClaimed:
		reply.Verdict = VerdictGranted
	case e.state == StateDone:
		reply.Verdict = VerdictDone
	default:
		reply.Verdict = VerdictHeld
	}
	return reply, false
}

// needsOutcome reports whether an outcome has to be recorded.
func (s *segment) needsOutcome(o Outcome, k key) bool {
	e, ok := s.index[k]
	return ok && e.nonce == o.Nonce && e.state == StateClaimed
}

// extraRetention is how much longer than Window an id is kept.
const extraRetention = time.Minute

// withoutExpired returns the head without the archives whose ids are all too
// old to be claimed, and with its floor raised to the newest of them. It also
// returns whether there were any.
func (h head) withoutExpired(now time.Time) (next head, raised bool) {
	limit := millisOf(now.Add(-Window - extraRetention))
	n := 0
	for n < len(h.Archives) && h.Archives[n].Newest <= limit {
		h.Floor = max(h.Floor, h.Archives[n].Newest)
		n++
	}
	h.Archives = slices.Clone(h.Archives[n:])
	return h, n > 0
}

// compact keeps the latest record of each id, in order, and returns the largest
// time of the records kept.
func compact(records []record) (out []record, newest millis) {
	last := make(map[key]int, len(records))
	for i, r := range records {
		last[r.key] = i
	}
	for i, r := range records {
		if last[r.key] == i {
			out = append(out, r)
			newest = max(newest, r.at)
		}
	}
	return out, newest
}

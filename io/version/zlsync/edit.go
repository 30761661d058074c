package zlsync

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlhistory"
	"zinnialock/io/process/zlplatform"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

const (
	// editPause is the longest pause before an edit's next try.
	editPause = 200 * time.Millisecond
	// maxRecord bounds a record, in bytes of JSON; the platform takes 1 MB.
	maxRecord = 900 << 10
)

// Editor changes records by conditional writes.
type Editor struct {
	Platform Platform
	Timer    *zltimer.Service
}

// Edit is one wanted change of a record.
type Edit struct {
	By     string
	Reason string
	// Prepare returns the changes, and the serial of the record that they
	// were made on, given the newest record.
	Prepare func(r zlhistory.Record) ([]zlhistory.Change, zlunit.Serial, error)
}

// Accepted tells what an accepted edit did.
type Accepted struct {
	Serial  zlunit.Serial      `json:"serial"`
	Nonce   zlhistory.Nonce    `json:"nonce"`
	Changes []zlhistory.Change `json:"changes"`
	// Unchanged tells that all was so already and nothing was written.
	Unchanged bool `json:"unchanged"`
	// Lost counts the replies that were lost or came too late on the way.
	Lost int `json:"lost"`
}

// attempt is one edit under way.
type attempt struct {
	*Editor
	target   *Target
	entry    zlhistory.Entry
	base     zlunit.Serial
	prepared bool
	// inDoubt tells that a write may have taken effect.
	inDoubt bool
	lost    int
	prepare func(r zlhistory.Record) ([]zlhistory.Change, zlunit.Serial, error)
}

// Edit makes a change, and returns once it took effect and was read back. Where
// others write at the same time it goes on top of theirs, but fails if they
// changed the same values. The error is an *Error; only KindUnknown leaves it
// open whether the change took effect.
func (e *Editor) Edit(ctx context.Context, t *Target, edit *Edit) (*Accepted, error) {
	a := &attempt{
		Editor:  e,
		target:  t,
		prepare: edit.Prepare,
		entry: zlhistory.Entry{
			Nonce:  zlhistory.Nonce(uuid.NewString()),
			By:     edit.By,
			Reason: edit.Reason,
		},
	}
	for {
		accepted, err := a.try(ctx)
		if err == nil {
			return accepted, nil
		}
		if errors.Is(err, errReadBack) {
			continue
		}
		if !passing(err) {
			return nil, err
		}
		if !e.Timer.Sleep(ctx.Done(), time.Duration(rand.Float64()*float64(editPause))) {
			return nil, a.giveUp(err)
		}
	}
}

// passing reports whether a failed call is worth another try.
func passing(err error) bool {
	for _, kind := range []zlplatform.Kind{
		zlplatform.KindConflict, zlplatform.KindUnavailable, zlplatform.KindLimited, zlplatform.KindDecode,
	} {
		if zlplatform.Is(err, kind) {
			return true
		}
	}
	return false
}

func (a *attempt) giveUp(err error) error {
	if a.inDoubt {
		return fault(KindUnknown, eris.Wrapf(err, "the change may have taken effect; look for nonce %s in the history", a.entry.Nonce))
	}
	return fault(KindFailed, eris.Wrap(err, "nothing was written"))
}

// try reads, changes and writes once. A passing error asks for another try.
func (a *attempt) try(ctx context.Context) (*Accepted, error) {
	r, version, err := a.target.load(ctx, a.Platform)
	if err != nil {
		return nil, err
	}
	if a.prepared {
		done, err := a.written(ctx, r)
		if err != nil || done != nil {
			return done, err
		}
	}
	if err := a.compose(r); err != nil {
		return nil, err
	}
	if overflow := r.Head().Overflow(); len(overflow) > 0 {
		if err := a.archive(ctx, a.target, overflow); err != nil {
			return nil, err
		}
		r.Head().Drop(overflow)
	}
	if !zlhistory.Commit(r, a.entry) {
		return &Accepted{
			Serial:    r.Head().Serial,
			Unchanged: true,
		}, nil
	}
	if err := a.check(r); err != nil {
		return nil, err
	}
	return a.write(ctx, r, version)
}

// compose prepares the changes on the first try; later it checks that nobody
// else changed the same.
func (a *attempt) compose(r zlhistory.Record) error {
	if !a.prepared {
		changes, base, err := a.prepare(r)
		if err != nil {
			return err
		}
		a.entry.Changes = changes
		a.entry.At = a.Timer.Now().UTC()
		a.base = base
		a.prepared = true
	}
	if r.Head().Serial == a.base {
		return nil
	}
	if err := zlhistory.Rebase(r, a.base, a.entry.Changes); err != nil {
		return fault(KindConflict, err)
	}
	return nil
}

func (a *attempt) check(r zlhistory.Record) error {
	if err := a.target.Check(r); err != nil {
		return fault(KindInvalid, err)
	}
	data, err := json.Marshal(r)
	if err != nil {
		return fault(KindInvalid, eris.Wrap(err, "encode"))
	}
	if len(data) > maxRecord {
		return fault(KindInvalid, eris.Errorf("found %d bytes, allowed is %d", len(data), maxRecord))
	}
	return nil
}

func (a *attempt) write(ctx context.Context, r zlhistory.Record, version zlunit.ObjectVersion) (*Accepted, error) {
	_, err := a.Platform.Put(ctx, a.target.Kind, a.target.Name, version, r)
	if zlplatform.Is(err, zlplatform.KindUnavailable) || zlplatform.Is(err, zlplatform.KindDecode) {
		a.inDoubt = true
		a.lost++
	}
	if err != nil {
		return nil, err
	}
	// From here on it is in effect; the loop reads it back.
	a.inDoubt = true
	return nil, errReadBack
}

// errReadBack asks for the read that turns a write into an accepted one.
var errReadBack = &zlplatform.Error{
	Op:   "readBack",
	Kind: zlplatform.KindConflict,
	Err:  errors.New("not read back yet"),
}

// errLagging asks for another read, since this one was older than the last.
var errLagging = &zlplatform.Error{
	Op:   "read",
	Kind: zlplatform.KindConflict,
	Err:  errors.New("the platform answered with an older state"),
}

// written looks for the edit in what the platform holds; nil means that it is
// not there.
func (a *attempt) written(ctx context.Context, r zlhistory.Record) (*Accepted, error) {
	log := r.Head().History
	if !log.Has(a.entry.Nonce) {
		if _, whole := r.Head().Since(a.base); whole {
			return nil, nil
		}
		if r.Head().Serial < a.base {
			return nil, errLagging
		}
		archive, _, err := a.loadArchive(ctx, a.target)
		if err != nil {
			return nil, err
		}
		log = archive.Entries
	}
	for _, e := range log {
		if e.Nonce == a.entry.Nonce {
			return &Accepted{
				Serial:  e.Serial,
				Nonce:   e.Nonce,
				Changes: e.Changes,
				Lost:    a.lost,
			}, nil
		}
	}
	return nil, nil
}

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
	// maxRetryDelay is the longest pause before the next attempt of an edit.
	maxRetryDelay = 200 * time.Millisecond
	// maxRecordBytes bounds a record as JSON; the platform accepts up to 1 MB.
	maxRecordBytes = 900 << 10
)

// Editor changes records by conditional writes. The fields must be set before
// use; its methods may be called at the same time.
type Editor struct {
	Platform Platform
	Timer    *zltimer.Service
}

// Edit is a requested change of a record.
type Edit struct {
	// By names the author and Reason the reason, both for the history.
	By     string
	Reason string
	// Prepare returns the changes, and the serial of the record that they are
	// based on, given the newest record. It is not called again once it
	// succeeded.
	Prepare func(r zlhistory.Record) ([]zlhistory.Change, zlunit.Serial, error)
}

// Accepted is the result of an accepted edit.
type Accepted struct {
	// Serial is the serial of the record with the edit.
	Serial zlunit.Serial `json:"serial"`
	// Nonce identifies the edit in the history.
	Nonce   zlhistory.Nonce    `json:"nonce"`
	Changes []zlhistory.Change `json:"changes"`
	// Unchanged is true if the record had all values already and nothing was
	// written.
	Unchanged bool `json:"unchanged"`
	// LostReplies counts the replies to writes that were lost or came too late.
	LostReplies int `json:"lost"`
}

// pendingEdit is an edit that is neither accepted nor failed.
type pendingEdit struct {
	*Editor
	target   *Target
	entry    zlhistory.Entry
	base     zlunit.Serial
	prepared bool
	// maybeWritten is true once a write may have taken effect.
	maybeWritten bool
	lostReplies  int
	prepare      func(r zlhistory.Record) ([]zlhistory.Change, zlunit.Serial, error)
}

// Edit changes a record and returns once the change was read back. The change is
// rebased on concurrent ones, and fails with KindConflict if they set the same
// values. It retries until ctx ends. Only an *Error of KindUnknown leaves it open
// whether the change took effect.
func (e *Editor) Edit(ctx context.Context, t *Target, edit *Edit) (*Accepted, error) {
	a := &pendingEdit{
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
		accepted, err := a.attempt(ctx)
		if err == nil {
			return accepted, nil
		}
		if errors.Is(err, errNotReadBack) {
			continue
		}
		if !retryable(err) {
			// An *Error says that the record has changed, so that an earlier write whose
			// reply was lost cannot take effect any more.
			var e *Error
			if a.maybeWritten && !errors.As(err, &e) {
				return nil, a.finalError(err)
			}
			return nil, err
		}
		if !e.Timer.Sleep(ctx.Done(), time.Duration(rand.Float64()*float64(maxRetryDelay))) {
			return nil, a.finalError(err)
		}
	}
}

// retryable reports whether another attempt may succeed after err.
func retryable(err error) bool {
	for _, kind := range []zlplatform.Kind{
		zlplatform.KindConflict, zlplatform.KindUnavailable, zlplatform.KindLimited, zlplatform.KindDecode,
	} {
		if zlplatform.Is(err, kind) {
			return true
		}
	}
	return false
}

func (a *pendingEdit) finalError(err error) error {
	if a.maybeWritten {
		return editError(KindUnknown, eris.Wrapf(err, "the change may have taken effect; check the history for nonce %s", a.entry.Nonce))
	}
	return editError(KindFailed, eris.Wrap(err, "nothing was written"))
}

// attempt reads, changes and writes the record once. A retryable error calls for
// another attempt.
func (a *pendingEdit) attempt(ctx context.Context) (*Accepted, error) {
	r, version, err := a.target.load(ctx, a.Platform)
	if err != nil {
		return nil, err
	}
	if a.prepared {
		done, err := a.findWritten(ctx, r)
		if err != nil || done != nil {
			return done, err
		}
	}
	if err := a.apply(r); err != nil {
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

// apply prepares the changes on the first attempt, and rebases them if the record
// changed since; others that set the same values are a conflict.
func (a *pendingEdit) apply(r zlhistory.Record) error {
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
		return editError(KindConflict, err)
	}
	return nil
}

// check checks the changed record and its size before it is written.
func (a *pendingEdit) check(r zlhistory.Record) error {
	if err := a.target.Check(r); err != nil {
		return editError(KindInvalid, err)
	}
	data, err := json.Marshal(r)
	if err != nil {
		return editError(KindInvalid, eris.Wrap(err, "encode record"))
	}
	if len(data) > maxRecordBytes {
		return editError(KindInvalid, eris.Errorf("record has %d bytes, allowed is %d", len(data), maxRecordBytes))
	}
	return nil
}

// write writes the record; its error is never nil, since an accepted write is
// read back by the next attempt.
func (a *pendingEdit) write(ctx context.Context, r zlhistory.Record, version zlunit.ObjectVersion) (*Accepted, error) {
	_, err := a.Platform.Put(ctx, a.target.Kind, a.target.Name, version, r)
	if zlplatform.Is(err, zlplatform.KindUnavailable) || zlplatform.Is(err, zlplatform.KindDecode) {
		a.maybeWritten = true
		a.lostReplies++
	}
	if err != nil {
		return nil, err
	}
	// The change is in effect; the next attempt reads it back.
	a.maybeWritten = true
	return nil, errNotReadBack
}

// errNotReadBack calls for the read after a write; the edit is accepted once it
// finds the change.
var errNotReadBack = &zlplatform.Error{
	Op:   "readBack",
	Kind: zlplatform.KindConflict,
	Err:  errors.New("not read back yet"),
}

// errStaleRead calls for another read, since this one returned an older state
// than the one before.
var errStaleRead = &zlplatform.Error{
	Op:   "read",
	Kind: zlplatform.KindConflict,
	Err:  errors.New("the platform returned an older state than before"),
}

// findWritten looks for the edit in the record's history and its archive; nil
// means that it is in neither.
func (a *pendingEdit) findWritten(ctx context.Context, r zlhistory.Record) (*Accepted, error) {
	log := r.Head().History
	if !log.Has(a.entry.Nonce) {
		if _, complete := r.Head().Since(a.base); complete {
			return nil, nil
		}
		if r.Head().Serial < a.base {
			return nil, errStaleRead
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
				Serial:      e.Serial,
				Nonce:       e.Nonce,
				Changes:     e.Changes,
				LostReplies: a.lostReplies,
			}, nil
		}
	}
	return nil, nil
}

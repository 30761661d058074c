package zlsync

import (
	"context"
	"encoding/json"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlhistory"
	"zinnialock/io/process/zlplatform"

	"github.com/rotisserie/eris"
)

// maxArchiveBytes bounds the entries of an archive as JSON; the oldest are
// dropped first.
const maxArchiveBytes = 600 << 10

// Archive holds the entries that were moved out of a record's own history. An
// entry is written here before it is removed from the record, so it is always in
// at least one of the two. Daemons do not follow archives.
type Archive struct {
	// Dropped counts the oldest entries, which are no longer kept.
	Dropped int           `json:"dropped,omitempty"`
	Entries zlhistory.Log `json:"entries"`
}

// archive adds entries to a target's archive, each of them once. A conflict means
// that another editor wrote the archive or that the read was stale; the edit is
// then attempted again.
func (e *Editor) archive(ctx context.Context, t *Target, entries zlhistory.Log) error {
	a, version, err := e.loadArchive(ctx, t)
	if err != nil {
		return err
	}
	if !a.add(entries) {
		return nil
	}
	_, err = e.Platform.Put(ctx, zlplatform.ObjectHistory, string(t.Kind), version, a)
	return err
}

func (e *Editor) loadArchive(ctx context.Context, t *Target) (*Archive, zlunit.ObjectVersion, error) {
	var a Archive
	o, err := e.Platform.Get(ctx, zlplatform.ObjectHistory, string(t.Kind))
	if zlplatform.Is(err, zlplatform.KindNotFound) {
		return &a, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	if err := json.Unmarshal(o.Value, &a); err != nil {
		return nil, 0, eris.Wrapf(err, "history of %s", t.Kind)
	}
	return &a, o.Version, nil
}

// add adds the entries that the archive lacks, drops the oldest ones over the
// bound, and reports whether it added any.
func (a *Archive) add(entries zlhistory.Log) bool {
	changed := false
	for _, entry := range entries {
		if !a.Entries.Has(entry.Nonce) {
			a.Entries = append(a.Entries, entry)
			changed = true
		}
	}
	total := 0
	for i := len(a.Entries) - 1; i >= 0; i-- {
		data, _ := json.Marshal(a.Entries[i])
		total += len(data)
		if total > maxArchiveBytes {
			a.Dropped += i + 1
			a.Entries = a.Entries[i+1:]
			break
		}
	}
	return changed
}

// History returns all kept entries of a target, oldest first, and the number of
// older ones that were dropped. It reads the platform twice.
func (e *Editor) History(ctx context.Context, t *Target) (zlhistory.Log, int, error) {
	// The record is read first: an entry that moves to the archive in between is
	// seen twice rather than missed.
	r, _, err := t.load(ctx, e.Platform)
	if err != nil {
		return nil, 0, err
	}
	a, _, err := e.loadArchive(ctx, t)
	if err != nil {
		return nil, 0, err
	}
	out := a.Entries
	for _, entry := range r.Head().History {
		if !out.Has(entry.Nonce) {
			out = append(out, entry)
		}
	}
	return out, a.Dropped, nil
}
